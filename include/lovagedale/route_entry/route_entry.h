#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "lovagedale/http/server.h"
#include "lovagedale/relay/relay.h"
#include "lovagedale/route_entry/fleet_link.h"
#include "lovagedale/route_entry/settings.h"

namespace lovagedale {

/// An entry's metrics in the Prometheus text format.
auto FormatRelayMetrics(const relay_state& state) -> std::string;

/// Reads the settings again. Throws std::exception if they are invalid.
using reload_settings = std::function<route_entry_settings()>;

/// An entry that relays by routes. Everything runs on one thread: the entry
/// hosts that it is made for have one core or less.
template <call_protocol Protocol>
class route_entry {
 public:
  route_entry(boost::asio::io_context& context, route_entry_settings settings,
              Protocol protocol, std::string ready_path, server_source source,
              reload_settings reload);

  /// Runs until a signal has arrived and the calls have ended. Returns the exit
  /// code.
  auto Run() -> int;

 private:
  auto WaitForSignal() -> void;
  auto Drain(boost::asio::yield_context yield) -> void;
  /// Ends the calls that still run, and gives their last answers time.
  auto EndCalls(boost::asio::yield_context yield) -> void;
  auto HandleReady(http_exchange& exchange) -> void;
  auto HandleMetrics(http_exchange& exchange) -> void;
  auto ApplyLimits() -> void;
  /// Of callers and other entries.
  auto ActiveRequests() const -> std::size_t;
  auto CleanUp() -> void;
  /// Reads the settings file and applies its seeds, if they have changed.
  /// `is_requested`: by SIGHUP rather than the timer.
  auto Reload(bool is_requested) -> void;

  boost::asio::io_context& context_;
  const route_entry_settings settings_;
  const reload_settings reload_;
  const std::string ready_path_;
  relay_state state_;
  relay<Protocol> relay_;
  fleet_link link_;
  /// Shared by all ports: a crowd at one of them draws from the same memory.
  const std::shared_ptr<connection_account> connections_;
  http_server callers_;
  std::optional<http_server> entries_;  ///< if calls of other entries are taken
  http_server ready_;
  http_server metrics_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer clean_up_timer_;
  std::vector<std::string> seeds_;
  monotonic_ms reloaded_ms_ = 0;
  bool draining_ = false;
  int exit_code_ = 0;
};

}  // namespace lovagedale

#include "lovagedale/route_entry/route_entry-inl.h"
