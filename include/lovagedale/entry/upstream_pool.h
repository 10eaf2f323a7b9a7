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

/// One traffic thread's idle connections to back-end servers.
class upstream_pool {
 public:
  explicit upstream_pool(boost::asio::io_context& context)
      : context_(context) {}

  /// An idle connection that still looks alive, or a new one, connected.
  /// `fresh` always makes a new one: its request cannot meet a connection
  /// that the server has just closed. Throws http_call_error.
  auto Acquire(const std::string& host, std::uint16_t port, bool fresh,
               const http_deadlines& deadlines,
               boost::asio::yield_context yield)
      -> std::unique_ptr<http_connection>;
  /// Keeps the connection for later if it may carry another request.
  auto Release(const std::string& host, std::uint16_t port,
               std::unique_ptr<http_connection> connection) -> void;
  /// Drops the idle connections to a server after one of them failed: what
  /// lost track of one may have lost track of all.
  auto DropIdle(const std::string& host, std::uint16_t port) -> void;

 private:
  struct idle_connection {
    std::unique_ptr<http_connection> connection;
    std::chrono::steady_clock::time_point since;
  };

  boost::asio::io_context& context_;
  std::unordered_map<std::string, std::deque<idle_connection>> idle_;
};

}  // namespace lovagedale
