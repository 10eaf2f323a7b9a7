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

#include "lovagedale/common/byte_budget.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// A request to another HTTP server failed.
class http_call_error : public std::runtime_error {
 public:
  enum class stage {
    kNotSent,      ///< no byte of the request was written
    kSent,         ///< no valid head arrived; the request may have been handled
    kAnswerBroken  ///< the answer ended before it was complete
  };
  http_call_error(stage failed_at, const std::string& reason,
                  bool timed_out = false, bool was_refused = false)
      : std::runtime_error(reason),
        stage_(failed_at),
        timed_out_(timed_out),
        was_refused_(was_refused) {}
  auto failure_stage() const -> stage { return stage_; }
  /// True if a deadline passed, false if the connection failed.
  auto timed_out() const -> bool { return timed_out_; }
  /// True if the peer's host has rejected the connection.
  auto was_refused() const -> bool { return was_refused_; }

 private:
  stage stage_;
  bool timed_out_;
  bool was_refused_;
};

/// Time limits of one request, each measured from the start of its own step. A
/// server can send bytes without end, so no step is limited by the time of its
/// reads alone, except a body that is read with ReadSome: its reader decides
/// how long it may take.
struct http_deadlines {
  std::chrono::milliseconds connect{500};
  /// From sending the request until the head of the answer has been read.
  std::chrono::milliseconds first_byte{30'000};
  /// For each read of the answer's body.
  std::chrono::milliseconds between_reads{10'000};
  /// For reading the whole body with ReadAll or SkipRest.
  std::chrono::milliseconds body{60'000};

  auto operator==(const http_deadlines&) const -> bool = default;
};

/// Whether an HTTP status says that the request succeeded.
inline auto IsSuccess(unsigned status) -> bool {
  return status >= 200 && status < 300;
}

struct http_response_head {
  unsigned status = 0;
  std::string content_type;
  header_list headers;  ///< without Content-Type and hop-by-hop headers
  /// Idle time after which the server closes the connection, from its
  /// Keep-Alive header.
  std::optional<std::chrono::seconds> keep_alive_timeout;

  /// Value of the first header of that name, ignoring case; empty if absent.
  auto Header(std::string_view name) const -> std::string_view;
};

/// Default limit of a body that is read as a whole: the documents that
/// processes exchange have a few megabytes at most.
inline constexpr std::size_t kMaxAnswerBytes = 8UL << 20U;

/// How long sent data may stay unacknowledged before the connection fails.
inline constexpr std::chrono::milliseconds kServerAckTimeout{10'000};

/// A connection to one server that carries one request at a time. Its calls
/// throw http_call_error. After any error it must be discarded: a late answer
/// could be taken for the answer to the next request.
class http_connection {
 public:
  /// The connection fails when sent data stays unacknowledged for
  /// `ack_timeout`.
  http_connection(boost::asio::io_context& context, std::string host,
                  std::uint16_t port,
                  std::chrono::milliseconds ack_timeout = kServerAckTimeout);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  auto operator=(const http_connection&) -> http_connection& = delete;

  auto Connect(const http_deadlines& deadlines,
               boost::asio::yield_context yield) -> void;
  /// Sends the request and reads the head of the answer, which may arrive while
  /// the body is still being written. Adds a Host header if there is none.
  /// Interim responses (1xx) are skipped.
  auto Send(http_request request, const http_deadlines& deadlines,
            boost::asio::yield_context yield) -> http_response_head;
  /// Reads the head of the next answer, when the previous one was not an answer
  /// to the request.
  auto ReadHead(const http_deadlines& deadlines,
                boost::asio::yield_context yield) -> http_response_head;
  /// Next part of the answer's body; empty at its end. The view is valid until
  /// the next call.
  auto ReadSome(const http_deadlines& deadlines,
                boost::asio::yield_context yield) -> std::string_view;
  /// Reads the rest of the answer's body. Fails as kAnswerBroken if the body
  /// exceeds `max_bytes`, or `memory` if there is one.
  auto ReadAll(const http_deadlines& deadlines,
               boost::asio::yield_context yield,
               std::size_t max_bytes = kMaxAnswerBytes,
               byte_reservation* memory = nullptr) -> std::string;
  /// Reads and discards the rest of a short body, so that the connection can be
  /// reused. Closes the connection and returns false if that fails or the body
  /// exceeds `max_bytes`.
  auto SkipRest(const http_deadlines& deadlines, std::size_t max_bytes,
                boost::asio::yield_context yield) -> bool;
  /// Whether the answer has no length, so that it ends with the connection.
  auto EndsWithConnection() const -> bool;
  /// Whether the answer has been read completely and another request may
  /// follow.
  auto IsReusable() const -> bool;
  /// Whether the peer has closed this idle connection or sent unexpected data.
  auto IsStale() -> bool;
  auto Close() -> void;

 private:
  struct impl;

  /// Reads the head of the next final answer.
  auto ReadNextHead(boost::asio::yield_context yield) -> http_response_head;
  /// Reads one head, of an interim response too.
  auto ReadOneHead(boost::asio::yield_context yield) -> void;
  /// Reads the rest of the body within `deadlines.body`, and calls `take` with
  /// each part.
  template <typename Take>
  auto ReadBody(const http_deadlines& deadlines, const Take& take,
                boost::asio::yield_context yield) -> void;
  /// Closes the connection and throws http_call_error.
  [[noreturn]] auto FailRead(http_call_error::stage failed_at,
                             const std::string& reason, bool timed_out = false)
      -> void;

  std::unique_ptr<impl> impl_;
};

struct http_answer {
  http_response_head head;
  std::string body;
};

/// Sends one request on a new connection and returns the complete answer.
/// Throws http_call_error. Simpler and slower than a connection pool; meant for
/// operator calls, ratings and orders.
auto HttpCall(boost::asio::io_context& context, const std::string& host,
              std::uint16_t port, const http_request& request,
              const http_deadlines& deadlines, boost::asio::yield_context yield,
              std::size_t max_body_bytes = kMaxAnswerBytes) -> http_answer;

/// Like HttpCall, but blocks the calling thread.
auto BlockingHttpCall(const std::string& host, std::uint16_t port,
                      const http_request& request,
                      const http_deadlines& deadlines,
                      std::size_t max_body_bytes = kMaxAnswerBytes)
    -> http_answer;

}  // namespace lovagedale
