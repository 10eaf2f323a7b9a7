#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "lovagedale/entry/caller_api.h"
#include "lovagedale/entry/control_link.h"
#include "lovagedale/entry/entry_state.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// One traffic thread: its event loop, its listening socket and its handlers.
class traffic_thread {
 public:
  traffic_thread(entry_state& state, std::size_t index, std::uint64_t seed);
  ~traffic_thread();
  traffic_thread(const traffic_thread&) = delete;
  auto operator=(const traffic_thread&) -> traffic_thread& = delete;

  auto Start() -> void;
  /// The methods below may be called from the control thread.
  auto BeginDrain() -> void;
  auto CloseIdle() -> void;
  auto StopAccepting() -> void;
  /// Number of active requests plus bills that no ledger has stored yet.
  auto Unfinished() const -> std::size_t;
  auto metrics() const -> std::shared_ptr<thread_metrics> {
    return context_.metrics;
  }

 private:
  /// Updates periodically the count that Unfinished returns to other threads.
  auto PublishUnfinished() -> void;

  traffic_context context_;
  caller_api api_;
  http_server server_;
  boost::asio::steady_timer timer_;
  std::atomic<std::size_t> unfinished_{0};
  std::thread thread_;
};

/// The entry program: control thread, traffic threads, the operators' HTTP port
/// and graceful shutdown.
class entry_process {
 public:
  explicit entry_process(entry_settings settings);

  /// Runs until SIGTERM or SIGINT. Returns the exit code: 0 after a complete
  /// drain, 1 after a second signal or if requests were cut at the drain limit.
  auto Run() -> int;

 private:
  auto HandleAdmin(http_exchange& exchange) -> void;
  auto WaitForSignal() -> void;
  auto Drain(boost::asio::yield_context yield) -> void;
  auto Unfinished() const -> std::size_t;

  entry_state state_;
  boost::asio::io_context context_{1};
  control_link link_;
  http_server admin_;
  boost::asio::signal_set signals_;
  std::vector<std::unique_ptr<traffic_thread>> threads_;
  int exit_code_ = 0;
};

}  // namespace lovagedale
