#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "lovagedale/http/client.h"

namespace lovagedale {

/// One traffic thread's idle connections to backend servers.
class upstream_pool {
 public:
  explicit upstream_pool(boost::asio::io_context& context)
      : context_(context) {}

  /// Returns an idle connection that does not look closed, or a new one. With
  /// `fresh` it is always a new one, so that the request cannot hit a
  /// connection that the server has just closed. Throws http_call_error.
  auto Acquire(const std::string& host, std::uint16_t port, bool fresh,
               const http_deadlines& deadlines,
               boost::asio::yield_context yield)
      -> std::unique_ptr<http_connection>;
  /// Keeps the connection for later if it may carry another request.
  auto Release(const std::string& host, std::uint16_t port,
               std::unique_ptr<http_connection> connection) -> void;
  /// Closes the idle connections to a server after one of them failed: a device
  /// on the path that lost the state of one may have lost that of all.
  auto DropIdle(const std::string& host, std::uint16_t port) -> void;

 private:
  struct idle_connection {
    std::unique_ptr<http_connection> connection;
    std::chrono::steady_clock::time_point idle_since;
  };

  boost::asio::io_context& context_;
  std::unordered_map<std::string, std::deque<idle_connection>> idle_;
};

}  // namespace lovagedale
