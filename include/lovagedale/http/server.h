#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lovagedale/http/connection_account.h"

namespace lovagedale {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Limits that protect a server from slow callers and oversized requests.
struct http_limits {
  std::size_t max_header_bytes = 16UL << 10U;
  std::size_t max_body_bytes = 4UL << 20U;
  /// Memory for all connections together, with their requests' bodies and the
  /// copies that are sent on; of a server that shares no account with others.
  std::size_t max_held_body_bytes = 48UL << 20U;
  std::chrono::milliseconds header_timeout{10'000};
  /// End a peer from which no byte of a body comes for so long, or that takes
  /// no byte of an answer, and one that is so far behind an ordinary peer; see
  /// transfer_pace.
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds write_timeout{30'000};
  std::chrono::milliseconds idle_timeout{60'000};

  auto operator==(const http_limits&) const -> bool = default;
};

/// One request, received or to be sent.
struct http_request {
  std::string method;
  std::string target;  ///< path and query
  header_list headers;
  std::string body;

  /// Value of the first header of that name, ignoring case; empty if absent.
  auto Header(std::string_view name) const -> std::string_view;
  auto Path() const -> std::string_view;
  /// Value of a query parameter; empty if absent. Not percent-decoded.
  auto Query(std::string_view name) const -> std::string_view;
};

/// The caller disconnected or stopped reading the answer.
class caller_disconnected_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One request and its answer. A handler calls either Respond once, or
/// StartStream, Write any number of times and EndStream. Each of them throws
/// caller_disconnected_error.
class http_exchange {
 public:
  virtual ~http_exchange() = default;
  virtual auto request() const -> const http_request& = 0;
  virtual auto yield() -> boost::asio::yield_context& = 0;
  /// Adds Content-Length and, unless `content_type` is empty, Content-Type.
  virtual auto Respond(unsigned status, std::string_view content_type,
                       std::string_view body, const header_list& headers)
      -> void = 0;
  virtual auto StartStream(unsigned status, std::string_view content_type,
                           const header_list& headers) -> void = 0;
  virtual auto Write(std::string_view bytes) -> void = 0;
  virtual auto EndStream() -> void = 0;
  virtual auto HasStarted() const -> bool = 0;
  /// Calls `on_disconnect` once, on this thread, if the caller closes its
  /// connection before the answer is complete. A later call replaces the
  /// callback.
  virtual auto OnCallerDisconnect(std::function<void()> on_disconnect)
      -> void = 0;
  /// Closes the connection when the handler returns. An incomplete answer is
  /// thus cut off, and the caller cannot take it for a complete one.
  virtual auto CloseAfterResponse() -> void = 0;

  auto RespondJson(unsigned status, std::string_view body,
                   const header_list& headers = {}) -> void {
    Respond(status, "application/json", body, headers);
  }
};

using http_handler = std::function<void(http_exchange&)>;

/// The account that a server's connections draw from. Without one, the server
/// has its own, which bounds memory only.
struct port_account {
  std::shared_ptr<connection_account> account;
  port_class ports = port_class::kGeneral;
};

/// HTTP/1.1 server with keep-alive; each connection runs as one fiber on the
/// thread of `context`. Slow, oversized and malformed requests are answered
/// with 408, 413 and 400, and with 503 if the account has no memory for them.
/// Connections that give way to others are closed without an answer. If a
/// handler throws before it has started an answer, the caller gets 500.
class http_server {
 public:
  /// Port 0 lets the kernel choose a free one. With `share_port`, several
  /// servers of this process may listen on the same port.
  http_server(boost::asio::io_context& context, const std::string& host,
              std::uint16_t port, bool share_port, http_limits limits,
              http_handler handler, port_account account = {});
  ~http_server();
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;

  auto port() const -> std::uint16_t;
  /// From now on each answer closes its connection; new connections are still
  /// accepted.
  auto BeginDrain() -> void;
  /// Applies to later requests; the write timeout also to those in progress,
  /// and max_held_body_bytes to none.
  auto SetLimits(const http_limits& limits) -> void;
  /// Closes the connections that wait for a request.
  auto CloseIdle() -> void;
  /// Accepts the connections in the backlog, then stops listening.
  auto StopAccepting() -> void;
  /// Number of requests whose handler has not returned.
  auto ActiveRequests() const -> std::size_t;

 private:
  struct shared_state;

  auto AcceptLoop(boost::asio::yield_context yield) -> void;
  /// Accepts a part of the backlog.
  auto AcceptWaiting() -> void;
  /// Frees a descriptor for the next connection, if too few are left.
  auto HandleAcceptError(const boost::system::error_code& error) -> void;
  auto StartSession(boost::asio::ip::tcp::socket socket) -> void;

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<shared_state> state_;
};

}  // namespace lovagedale
