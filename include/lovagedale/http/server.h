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

namespace lovagedale {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Limits that protect a server from slow and oversized callers.
struct http_limits {
  std::size_t max_header_bytes = 16UL << 10U;
  std::size_t max_body_bytes = 4UL << 20U;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds write_timeout{30'000};
  std::chrono::milliseconds idle_timeout{60'000};

  auto operator==(const http_limits&) const -> bool = default;
};

/// One request as received.
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

/// The caller went away or stopped reading.
class caller_disconnected_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One request and the way to answer it: Respond once, or StartStream, Write
/// any number of times and EndStream. Each throws caller_disconnected_error.
class http_exchange {
 public:
  virtual ~http_exchange() = default;
  virtual auto request() const -> const http_request& = 0;
  virtual auto yield() -> boost::asio::yield_context& = 0;
  /// Adds the framing and, unless it is empty, the content type.
  virtual auto Respond(unsigned status, std::string_view content_type,
                       std::string_view body, const header_list& headers)
      -> void = 0;
  virtual auto StartStream(unsigned status, std::string_view content_type,
                           const header_list& headers) -> void = 0;
  virtual auto Write(std::string_view bytes) -> void = 0;
  virtual auto EndStream() -> void = 0;
  virtual auto HasStarted() const -> bool = 0;
  /// Calls `on_disconnect` once, on this thread, if the caller closes its
  /// connection before the answer is complete. The latest call counts.
  virtual auto OnCallerDisconnect(std::function<void()> on_disconnect)
      -> void = 0;
  /// The connection is closed after this answer, or at once if the answer is
  /// not complete: what was sent of it must not look whole.
  virtual auto CloseAfterResponse() -> void = 0;

  auto RespondJson(unsigned status, std::string_view body,
                   const header_list& headers = {}) -> void {
    Respond(status, "application/json", body, headers);
  }
};

using http_handler = std::function<void(http_exchange&)>;

/// HTTP/1.1 server with keep-alive; each connection runs as one fiber on the
/// thread of `context`. Slow, oversized and malformed requests are answered
/// with 408, 413 and 400. A handler that throws answers with 500.
class http_server {
 public:
  http_server(boost::asio::io_context& context, const std::string& host,
              std::uint16_t port, bool share_port, http_limits limits,
              http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;

  auto port() const -> std::uint16_t;
  /// From now on each answer closes its connection; new connections are still
  /// accepted.
  auto BeginDrain() -> void;
  /// For requests and connections from now on.
  auto SetLimits(const http_limits& limits) -> void;
  /// Closes the connections on which no request is under way.
  auto CloseIdle() -> void;
  /// Accepts the connections that are waiting, then refuses new ones.
  auto StopAccepting() -> void;
  /// Requests that have been read and not yet answered whole.
  auto ActiveRequests() const -> std::size_t;

 private:
  struct shared_state;

  auto AcceptLoop(boost::asio::yield_context yield) -> void;
  auto StartSession(boost::asio::ip::tcp::socket socket) -> void;

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<shared_state> state_;
};

}  // namespace lovagedale
