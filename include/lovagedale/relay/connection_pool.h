#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "lovagedale/common/time.h"
#include "lovagedale/discovery/server_list.h"
#include "lovagedale/http/client.h"

namespace lovagedale {

/// Connecting takes milliseconds, also to a server of a neighbouring zone.
inline constexpr std::chrono::milliseconds kServerConnectTimeout{250};

/// A connection taken from the pool.
struct pooled_connection {
  std::unique_ptr<http_connection> connection;
  bool is_fresh = true;  ///< it has carried no request yet
};

/// Idle connections to discovered servers, by server id: an address may be
/// reassigned to another server.
class connection_pool {
 public:
  connection_pool(boost::asio::io_context& context,
                  std::chrono::milliseconds dead_after)
      : context_(context), dead_after_(dead_after) {}

  /// An idle connection that was used within `max_idle_ms` and was not closed
  /// by the server, or a new one that is not connected yet.
  auto Acquire(const listed_server& server, monotonic_ms max_idle_ms)
      -> pooled_connection;
  /// A connection that has carried no request and is not connected yet.
  auto Create(const listed_server& server) -> pooled_connection;
  /// Returns a connection to the pool if it can be reused. `keep_alive` is the
  /// idle timeout that the server sent, if any.
  auto Release(const std::string& server_id,
               std::unique_ptr<http_connection> connection,
               std::optional<std::chrono::seconds> keep_alive) -> void;
  auto Drop(const std::string& server_id) -> void { idle_.erase(server_id); }
  /// Closes idle connections that have expired.
  auto DropExpired() -> void;

 private:
  struct idle_connection {
    std::unique_ptr<http_connection> connection;
    monotonic_ms idle_since_ms = 0;
    monotonic_ms expires_ms = 0;
  };

  boost::asio::io_context& context_;
  std::chrono::milliseconds dead_after_;
  system_monotonic_clock clock_;
  std::unordered_map<std::string, std::deque<idle_connection>> idle_;
};

}  // namespace lovagedale
