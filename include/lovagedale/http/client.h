#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "lovagedale/http/server.h"

namespace lovagedale {

/// A request to another HTTP server failed.
class http_call_error : public std::runtime_error {
 public:
  enum class stage {
    kNotSent,      ///< no byte of the request was written
    kSent,         ///< it may have been handled; no answer arrived
    kAnswerBroken  ///< the answer began and did not end
  };
  http_call_error(stage failed_at, const std::string& reason,
                  bool timed_out = false)
      : std::runtime_error(reason), stage_(failed_at), timed_out_(timed_out) {}
  auto failure_stage() const -> stage { return stage_; }
  /// Whether a deadline passed, rather than the connection having broken.
  auto timed_out() const -> bool { return timed_out_; }

 private:
  stage stage_;
  bool timed_out_;
};

struct http_deadlines {
  std::chrono::milliseconds connect{500};
  std::chrono::milliseconds first_byte{30'000};
  std::chrono::milliseconds between_reads{10'000};

  auto operator==(const http_deadlines&) const -> bool = default;
};

struct http_response_head {
  unsigned status = 0;
  std::string content_type;
  header_list headers;  ///< without those that concern one connection only
  /// How long the server keeps the connection when idle, if it says so.
  std::optional<std::chrono::seconds> keep_alive_timeout;

  auto Header(std::string_view name) const -> std::string_view;
};

/// Time without an acknowledgement after which a connection fails.
inline constexpr std::chrono::milliseconds kServerAckTimeout{10'000};

/// A connection to one server that carries one request at a time. After any
/// error it must be dropped: a late answer could be taken for the next one's.
class http_connection {
 public:
  /// The connection fails when its peer has not acknowledged what was sent
  /// for `ack_timeout`.
  http_connection(boost::asio::io_context& context, std::string host,
                  std::uint16_t port,
                  std::chrono::milliseconds ack_timeout = kServerAckTimeout);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  auto operator=(const http_connection&) -> http_connection& = delete;

  auto Connect(const http_deadlines& deadlines,
               boost::asio::yield_context yield) -> void;
  /// Sends the request and reads the head of the answer, which may come while
  /// the body is still being written. A Host header of the request is kept.
  auto Send(const http_request& request, const http_deadlines& deadlines,
            boost::asio::yield_context yield) -> http_response_head;
  /// Reads the head of one more answer on this connection, after one that was
  /// not asked for.
  auto ReadHead(const http_deadlines& deadlines,
                boost::asio::yield_context yield) -> http_response_head;
  /// Next part of the answer's body; empty at its end. The view is valid until
  /// the next call.
  auto ReadSome(const http_deadlines& deadlines,
                boost::asio::yield_context yield) -> std::string_view;
  /// The whole body of the answer.
  auto ReadAll(const http_deadlines& deadlines,
               boost::asio::yield_context yield) -> std::string;
  /// Whether the answer has been read whole and another request may follow.
  auto IsReusable() const -> bool;
  /// Whether the peer has closed the connection or sent something unasked.
  auto IsStale() -> bool;
  auto Close() -> void;

 private:
  struct impl;

  auto ReadNextHead(boost::asio::yield_context yield) -> http_response_head;

  std::unique_ptr<impl> impl_;
};

struct http_answer {
  http_response_head head;
  std::string body;
};

/// One request on a connection of its own, with its whole answer. Simpler
/// than a pool and slower: for operators, ratings and orders.
auto HttpCall(boost::asio::io_context& context, const std::string& host,
              std::uint16_t port, const http_request& request,
              const http_deadlines& deadlines, boost::asio::yield_context yield)
    -> http_answer;

/// Like HttpCall, for a program with nothing else to do: blocks the caller.
auto BlockingHttpCall(const std::string& host, std::uint16_t port,
                      const http_request& request,
                      const http_deadlines& deadlines) -> http_answer;

}  // namespace lovagedale
