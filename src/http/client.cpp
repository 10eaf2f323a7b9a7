#include "lovagedale/http/client.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "lovagedale/http/message_framing.h"
#include "lovagedale/rpc/connection.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using stage = http_call_error::stage;
using answer_parser = http::response_parser<http::buffer_body>;

constexpr std::size_t kReadBufferBytes = 16UL << 10U;
constexpr std::size_t kMaxParseBufferBytes = 64UL << 10U;
constexpr std::uint32_t kMaxHeadBytes = 16UL << 10U;
/// Interim responses before one answer; servers send one or two.
constexpr int kMaxInterimResponses = 32;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
/// As Beast numbers the versions.
constexpr unsigned kHttp11 = 11;

auto IsHopByHop(std::string_view name) -> bool {
  return beast::iequals(name, "Connection") ||
         beast::iequals(name, "Keep-Alive") ||
         beast::iequals(name, "Transfer-Encoding") ||
         beast::iequals(name, "Content-Length") ||
         beast::iequals(name, "Upgrade") || beast::iequals(name, "TE") ||
         beast::iequals(name, "Trailer") || beast::iequals(name, "Expect") ||
         beast::iequals(name, "Proxy-Authorization");
}

/// A request being written. The write handler shares it, since it may run after
/// the connection is destroyed.
struct pending_write {
  std::string head;
  std::string body;
  std::size_t written = 0;
  bool done = false;
  beast::error_code error;
};

auto SerializeHead(const http_request& request, const std::string& default_host)
    -> std::string {
  std::string text;
  text.reserve(1024);
  text += request.method;
  text += ' ';
  text += request.target;
  text += " HTTP/1.1\r\n";
  if (request.Header("Host").empty()) text += "Host: " + default_host + "\r\n";
  for (const auto& [name, value] : request.headers) {
    if (IsHopByHop(name)) continue;
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  const bool has_body = !request.body.empty() ||
                        (request.method != "GET" && request.method != "HEAD");
  if (has_body) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n";
  return text;
}

/// The `timeout` parameter of a Keep-Alive header; std::nullopt if absent.
auto ParseKeepAliveTimeout(std::string_view value)
    -> std::optional<std::chrono::seconds> {
  constexpr std::string_view kTimeout = "timeout=";
  const auto position = value.find(kTimeout);
  if (position == std::string_view::npos) return std::nullopt;
  int seconds = 0;
  const auto digits = value.substr(position + kTimeout.size());
  const auto result =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (result.ec != std::errc{}) return std::nullopt;
  return std::chrono::seconds(seconds);
}

/// Whether one of the complete lines of a head continues the one before it
/// (obs-fold in RFC 9112). The parser would append it to that field's value.
auto HasFoldedLine(std::string_view lines) -> bool {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

/// Reads the head of one answer, like http::async_read_header, but fails if it
/// has a folded line.
auto ReadUnfoldedHead(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                      answer_parser& parser, asio::yield_context yield,
                      beast::error_code& error) -> void {
  bool needs_bytes = buffer.size() == 0;
  while (!error && !parser.is_header_done()) {
    if (needs_bytes) {
      const auto size = beast::read_size(buffer, kReadBufferBytes);
      buffer.commit(stream.async_read_some(buffer.prepare(size), yield[error]));
      if (error) return;
    }
    const auto bytes = buffer.data();
    const auto parsed = parser.put(bytes, error);
    if (HasFoldedLine({static_cast<const char*>(bytes.data()), parsed})) {
      error = http::error::bad_field;
    }
    buffer.consume(parsed);
    needs_bytes = error == http::error::need_more;
    if (needs_bytes) error = {};
  }
}

auto IsInterim(unsigned status) -> bool {
  return status >= kFirstStatus && status < kFirstFinalStatus;
}

/// Why an answer with this head, interim or final, cannot be relied on; empty
/// if it can. The parser has checked the names, the values and the numbers.
auto FaultOf(const answer_parser& parser) -> std::string {
  const auto& head = parser.get();
  const auto status = head.result_int();
  if (status < kFirstStatus || status > kLastStatus ||
      head.result() == http::status::switching_protocols) {
    return "status " + std::to_string(status);
  }
  if (HasUnknownCoding(head)) return "an unknown transfer coding";
  if (parser.chunked() && head.version() < kHttp11) {
    return "chunks in HTTP/1.0";
  }
  const bool announces_body =
      parser.chunked() || parser.content_length().value_or(0) > 0;
  if (announces_body &&
      (IsInterim(status) || head.result() == http::status::no_content)) {
    return "a body with status " + std::to_string(status);
  }
  return {};
}

/// The fields of a head that are passed on.
auto CopyHead(const http::response_header<>& head) -> http_response_head {
  http_response_head result;
  result.status = head.result_int();
  result.content_type = std::string(head[http::field::content_type]);
  result.keep_alive_timeout =
      ParseKeepAliveTimeout(head[http::field::keep_alive]);
  for (const auto& field : head) {
    const auto name = field.name_string();
    if (!IsHopByHop(name) && field.name() != http::field::content_type) {
      result.headers.emplace_back(name, field.value());
    }
  }
  return result;
}

}  // namespace

auto http_response_head::Header(std::string_view name) const
    -> std::string_view {
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, name)) return value;
  }
  return {};
}

struct http_connection::impl {
  impl(asio::io_context& context, std::string to_host, std::uint16_t to_port,
       std::chrono::milliseconds ack_timeout_of_peer)
      : stream(context),
        host(std::move(to_host)),
        port(to_port),
        ack_timeout(ack_timeout_of_peer) {}

  beast::tcp_stream stream;
  std::string host;
  std::uint16_t port;
  std::chrono::milliseconds ack_timeout;
  std::shared_ptr<pending_write> write;
  bool is_head_request = false;
  beast::flat_buffer buffer{kMaxParseBufferBytes};
  std::optional<answer_parser> parser;
  bool has_begun_body = false;
  std::array<char, kReadBufferBytes> read_buffer{};
  bool failed = false;

  /// Lets the parser take the next bytes of the body, or the end of it.
  auto ParseSome(asio::yield_context yield) -> beast::error_code {
    beast::error_code error;
    if (parser->chunked() && !std::exchange(has_begun_body, true)) {
      ReadMinChunkedBody(stream, buffer, yield, error);
    }
    if (!error) http::async_read_some(stream, buffer, *parser, yield[error]);
    if (error == http::error::need_buffer) error = {};
    const bool ends_with_connection = parser->need_eof() && parser->is_done();
    return !error && ends_with_connection ? CloseAtEnd(yield) : error;
  }

  /// Closes the connection, of which a read has seen an orderly end. Returns an
  /// error if it was none: the system reports a failure to one operation only,
  /// and if that is the write, the read sees an orderly end.
  auto CloseAtEnd(asio::yield_context yield) -> beast::error_code {
    // Completes the write, if it is still pending, so that it has a result.
    stream.close();
    while (!write->done) asio::post(stream.get_executor(), yield);
    const auto& result = write->error;
    const bool is_ended_by_close =
        result == asio::error::operation_aborted ||
        result == asio::error::bad_descriptor;  // between two of its parts
    // A failure after an orderly end.
    const bool is_late = result == asio::error::broken_pipe;
    return is_ended_by_close || is_late ? beast::error_code() : result;
  }
};

http_connection::http_connection(asio::io_context& context, std::string host,
                                 std::uint16_t port,
                                 std::chrono::milliseconds ack_timeout)
    : impl_(std::make_unique<impl>(context, std::move(host), port,
                                   ack_timeout)) {}

http_connection::~http_connection() = default;

auto http_connection::Connect(const http_deadlines& deadlines,
                              asio::yield_context yield) -> void {
  beast::error_code error;
  const auto ip = asio::ip::make_address(impl_->host, error);
  if (!error) {
    impl_->stream.expires_after(deadlines.connect);
    impl_->stream.async_connect(tcp::endpoint(ip, impl_->port), yield[error]);
  }
  if (error) {
    impl_->failed = true;
    throw http_call_error(stage::kNotSent,
                          "cannot connect to " + impl_->host + ":" +
                              std::to_string(impl_->port) + ": " +
                              error.message(),
                          error == beast::error::timeout,
                          error == asio::error::connection_refused ||
                              error == asio::error::connection_reset);
  }
  ConfigureSocket(impl_->stream.socket(),
                  static_cast<int>(impl_->ack_timeout.count()));
}

auto http_connection::Send(http_request request,
                           const http_deadlines& deadlines,
                           asio::yield_context yield) -> http_response_head {
  const auto write = std::make_shared<pending_write>();
  write->head =
      SerializeHead(request, impl_->host + ":" + std::to_string(impl_->port));
  write->body = std::move(request.body);
  impl_->write = write;
  impl_->stream.expires_after(deadlines.first_byte);
  // Not awaited: a server may answer before it has read the full body.
  const std::array buffers{asio::buffer(write->head),
                           asio::buffer(write->body)};
  asio::async_write(impl_->stream.socket(), buffers,
                    [write](beast::error_code failure, std::size_t bytes) {
                      // The connection may be kept long after the request.
                      write->body = {};
                      write->done = true;
                      write->error = failure;
                      write->written = bytes;
                    });
  impl_->is_head_request = request.method == "HEAD";
  return ReadNextHead(yield);
}

auto http_connection::ReadHead(const http_deadlines& deadlines,
                               asio::yield_context yield)
    -> http_response_head {
  impl_->stream.expires_after(deadlines.first_byte);
  return ReadNextHead(yield);
}

auto http_connection::ReadNextHead(asio::yield_context yield)
    -> http_response_head {
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    ReadOneHead(yield);
    const auto& head = impl_->parser->get();
    if (IsInterim(head.result_int())) continue;
    return CopyHead(head);
  }
  FailRead(stage::kSent, "no answer: only interim responses");
}

auto http_connection::ReadOneHead(asio::yield_context yield) -> void {
  const auto write = impl_->write;
  beast::error_code error;
  impl_->parser.emplace();
  impl_->has_begun_body = false;
  impl_->parser->header_limit(kMaxHeadBytes);
  // Limits on the body are those of the methods that read it.
  impl_->parser->body_limit(boost::none);
  if (impl_->is_head_request) impl_->parser->skip(true);
  // The time limit was set by the caller and is not extended here.
  ReadUnfoldedHead(impl_->stream, impl_->buffer, *impl_->parser, yield, error);
  const auto fault = error ? error.message() : FaultOf(*impl_->parser);
  if (!fault.empty()) {
    const bool is_unsent = write->done && write->error && write->written == 0;
    FailRead(is_unsent ? stage::kNotSent : stage::kSent, "no answer: " + fault,
             error == beast::error::timeout);
  }
}

auto http_connection::ReadSome(const http_deadlines& deadlines,
                               asio::yield_context yield) -> std::string_view {
  auto& parser = *impl_->parser;
  // Set once: reads that bring no part of the body do not extend it.
  impl_->stream.expires_after(deadlines.between_reads);
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = impl_->read_buffer.data();
    body.size = impl_->read_buffer.size();
    const auto error = impl_->ParseSome(yield);
    if (error) {
      FailRead(stage::kAnswerBroken, "answer broke off: " + error.message(),
               error == beast::error::timeout);
    }
    const auto bytes = impl_->read_buffer.size() - parser.get().body().size;
    if (bytes > 0) return {impl_->read_buffer.data(), bytes};
  }
  return {};
}

template <typename Take>
auto http_connection::ReadBody(const http_deadlines& deadlines,
                               const Take& take, asio::yield_context yield)
    -> void {
  const auto deadline = std::chrono::steady_clock::now() + deadlines.body;
  auto read_deadlines = deadlines;
  for (;;) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    if (remaining <= std::chrono::milliseconds(0)) {
      FailRead(stage::kAnswerBroken, "answer did not end in time",
               /*timed_out=*/true);
    }
    read_deadlines.between_reads = std::min(deadlines.between_reads, remaining);
    const auto part = ReadSome(read_deadlines, yield);
    if (part.empty()) return;
    take(part);
  }
}

auto http_connection::ReadAll(const http_deadlines& deadlines,
                              asio::yield_context yield, std::size_t max_bytes,
                              byte_reservation* memory) -> std::string {
  std::string body;
  const auto fail = [this](std::size_t bytes, const char* limit) {
    FailRead(stage::kAnswerBroken, "answer of " + std::to_string(bytes) +
                                       " bytes or more exceeds " + limit);
  };
  const auto rest = impl_->parser->content_length_remaining();
  if (rest && *rest > max_bytes) fail(*rest, "the limit of an answer");
  ReadBody(
      deadlines,
      [&](std::string_view part) {
        const auto bytes = body.size() + part.size();
        if (bytes > max_bytes) fail(bytes, "the limit of an answer");
        if (memory != nullptr && !memory->Resize(bytes)) {
          fail(bytes, "the memory for answers");
        }
        body += part;
      },
      yield);
  return body;
}

auto http_connection::SkipRest(const http_deadlines& deadlines,
                               std::size_t max_bytes, asio::yield_context yield)
    -> bool {
  std::size_t bytes = 0;
  const auto rest = impl_->parser->content_length_remaining();
  if (rest && *rest > max_bytes) {
    Close();
    return false;
  }
  try {
    ReadBody(
        deadlines,
        [&](std::string_view part) {
          bytes += part.size();
          if (bytes > max_bytes) {
            FailRead(stage::kAnswerBroken, "skipped answer is too long");
          }
        },
        yield);
  } catch (const http_call_error&) {
    // The caller is told by the result.
    Close();
    return false;
  }
  return true;
}

auto http_connection::FailRead(stage failed_at, const std::string& reason,
                               bool timed_out) -> void {
  Close();
  throw http_call_error(failed_at, reason, timed_out);
}

auto http_connection::EndsWithConnection() const -> bool {
  return impl_->parser && impl_->parser->need_eof();
}

auto http_connection::IsReusable() const -> bool {
  return !impl_->failed && impl_->write && impl_->write->done &&
         !impl_->write->error && impl_->parser && impl_->parser->is_done() &&
         impl_->parser->keep_alive() && impl_->buffer.size() == 0;
}

auto http_connection::IsStale() -> bool {
  auto& socket = impl_->stream.socket();
  if (!socket.is_open()) return true;
  char byte = 0;
  const auto result =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // An idle connection has nothing to read: data or end of file make it stale.
  return !(result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

auto http_connection::Close() -> void {
  impl_->failed = true;
  impl_->stream.close();
}

auto HttpCall(asio::io_context& context, const std::string& host,
              std::uint16_t port, const http_request& request,
              const http_deadlines& deadlines, asio::yield_context yield,
              std::size_t max_body_bytes) -> http_answer {
  http_connection connection(context, host, port);
  connection.Connect(deadlines, yield);
  http_answer answer;
  answer.head = connection.Send(request, deadlines, yield);
  answer.body = connection.ReadAll(deadlines, yield, max_body_bytes);
  return answer;
}

auto BlockingHttpCall(const std::string& host, std::uint16_t port,
                      const http_request& request,
                      const http_deadlines& deadlines,
                      std::size_t max_body_bytes) -> http_answer {
  asio::io_context context(1);
  std::optional<http_answer> answer;
  std::exception_ptr failure;
  asio::spawn(
      context,
      [&](asio::yield_context yield) {
        answer = HttpCall(context, host, port, request, deadlines, yield,
                          max_body_bytes);
      },
      [&](std::exception_ptr error) { failure = error; });
  context.run();
  if (failure) std::rethrow_exception(failure);
  return std::move(*answer);
}

}  // namespace lovagedale
