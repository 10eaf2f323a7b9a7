#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Calls a function when a wait takes longer than its limit, and again at
/// intervals while it goes on. Restarting it for each read is cheap: the timer
/// is set again only when it expires. Used on the event loop's thread.
class silence_timer {
 public:
  silence_timer(const boost::asio::any_io_executor& executor,
                std::function<void()> on_silence)
      : state_(std::make_shared<state>(executor)) {
    state_->on_silence = std::move(on_silence);
  }
  ~silence_timer() {
    state_->on_silence = nullptr;
    state_->timer.cancel();
  }
  silence_timer(const silence_timer&) = delete;
  auto operator=(const silence_timer&) -> silence_timer& = delete;

  /// The wait begins.
  auto Begin(monotonic_ms limit_ms) -> void {
    state_->is_waiting = true;
    state_->due_ms = state_->clock.Now() + limit_ms;
    if (!state_->is_set || state_->due_ms < state_->expires_ms) {
      Set(state_, limit_ms);
    }
  }
  /// The wait has ended.
  auto End() -> void { state_->is_waiting = false; }

 private:
  static constexpr monotonic_ms kRepeatMs = 100;
  /// If the timer runs this late the process was paused, and what arrived
  /// meanwhile has not been read yet.
  static constexpr monotonic_ms kMaxDelayMs = 50;

  struct state {
    explicit state(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
    std::function<void()> on_silence;
    system_monotonic_clock clock;
    bool is_waiting = false;
    bool is_set = false;
    monotonic_ms due_ms = 0;
    monotonic_ms expires_ms = 0;
  };

  static auto Set(const std::shared_ptr<state>& state, monotonic_ms after_ms)
      -> void {
    state->is_set = true;
    state->expires_ms = state->clock.Now() + after_ms;
    state->timer.expires_after(std::chrono::milliseconds(after_ms));
    state->timer.async_wait([state](boost::system::error_code error) {
      if (!error) OnExpired(state);
    });
  }
  static auto OnExpired(const std::shared_ptr<state>& state) -> void {
    state->is_set = false;
    if (!state->is_waiting || !state->on_silence) return;
    const auto now = state->clock.Now();
    if (now < state->due_ms) {
      Set(state, state->due_ms - now);
      return;
    }
    if (now - state->expires_ms > kMaxDelayMs) {
      Set(state, 1);
      return;
    }
    state->on_silence();
    if (state->on_silence) Set(state, kRepeatMs);
  }

  std::shared_ptr<state> state_;
};

}  // namespace lovagedale
