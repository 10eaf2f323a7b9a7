#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace lovagedale {

/// Suspends the calling fiber for `duration` without blocking its thread.
inline auto Pause(const boost::asio::any_io_executor& executor,
                  std::chrono::milliseconds duration,
                  boost::asio::yield_context yield) -> void {
  boost::asio::steady_timer timer(executor, duration);
  boost::system::error_code ignored;
  timer.async_wait(yield[ignored]);
}

/// A one-shot event that a callback sets and one fiber on the same thread waits
/// for. Copies share state, so the callback may outlive the waiting fiber.
class fiber_event {
 public:
  explicit fiber_event(const boost::asio::any_io_executor& executor)
      : state_(std::make_shared<state>(executor)) {}

  auto Set() const -> void {
    state_->is_set = true;
    state_->timer.cancel();
  }
  /// Returns false if the event was not set within `timeout`.
  auto Wait(std::chrono::milliseconds timeout,
            boost::asio::yield_context yield) const -> bool {
    if (state_->is_set) return true;
    // Keeps the state alive if this event is destroyed during the wait.
    const auto kept_state = state_;
    kept_state->timer.expires_after(timeout);
    boost::system::error_code ignored;
    kept_state->timer.async_wait(yield[ignored]);
    return kept_state->is_set;
  }

 private:
  struct state {
    explicit state(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
    bool is_set = false;
  };
  std::shared_ptr<state> state_;
};

}  // namespace lovagedale
