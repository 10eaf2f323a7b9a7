#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/rpc/errors.h"

namespace lovagedale {

class frame_connection;

/// Address of an entry, control or ledger process.
struct process_address {
  std::string name;
  std::string host;  ///< IP address
  std::uint16_t port = 0;
  std::string zone;

  auto operator==(const process_address&) const -> bool = default;
};

/// Returns the addresses with those of `zone` first, otherwise in the same
/// order.
auto OwnZoneFirst(std::vector<process_address> addresses,
                  const std::string& zone) -> std::vector<process_address>;

/// Client end of a framed connection that multiplexes concurrent calls.
/// Connects on first use and reconnects after a failure. Not thread-safe.
class rpc_channel {
 public:
  rpc_channel(boost::asio::io_context& context, process_address address);
  ~rpc_channel();
  rpc_channel(const rpc_channel&) = delete;
  auto operator=(const rpc_channel&) -> rpc_channel& = delete;

  /// Sends `body` and waits for the answer. Throws rpc_error, which says
  /// whether the request may have reached the peer. If a call times out and
  /// nothing was received since it began, the connection is closed, as the
  /// network may have lost the connection's state.
  auto Call(const std::string& body, std::chrono::milliseconds timeout,
            boost::asio::yield_context yield) -> std::string;
  /// Sends a message that has no answer; it is dropped if there is no
  /// connection. Only these messages probe the connection: they send a ping
  /// first, at most one per kPingPeriod. A connection on which nothing arrives
  /// for kReceiveTimeout despite a ping is closed and replaced.
  auto SendOneWay(const std::string& body) -> void;
  auto Close() -> void;
  auto address() const -> const process_address& { return address_; }

 private:
  struct pending_call {
    boost::asio::steady_timer* wake;
    std::optional<std::string> answer;
    bool failed = false;
  };

  auto EnsureConnected() -> void;
  auto Connect(boost::asio::yield_context yield) -> void;
  auto FailPending() -> void;
  auto ProbeConnection() -> void;

  boost::asio::io_context& context_;
  process_address address_;
  std::shared_ptr<frame_connection> connection_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unordered_map<std::uint64_t, pending_call*> pending_;
  std::chrono::steady_clock::time_point retry_at_{};
  std::uint64_t next_call_id_ = 1;
  std::chrono::steady_clock::time_point pinged_at_{};
  bool connecting_ = false;
};

}  // namespace lovagedale
