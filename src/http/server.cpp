#include "lovagedale/http/server.h"

#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>

#include "lovagedale/common/byte_budget.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/rpc/connection.h"
#include "lovagedale/rpc/server.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr int kCallerAckTimeoutMs = 30'000;
constexpr std::size_t kMaxReadBufferBytes = 64UL << 10U;
constexpr unsigned kStatusBusy = 503;
/// Bodies up to this size pass while large ones hold all of the memory.
constexpr std::size_t kSmallBodyBytes = 16UL << 10U;
/// The body of a request that is relayed, and the copy that is being sent.
constexpr std::size_t kCopiesOfBody = 2;
/// When a caller may retry whose body did not fit in the memory: about the time
/// of a large request.
constexpr const char* kBodyMemoryRetrySeconds = "0.5";

using caller_stream = beast::tcp_stream;

}  // namespace

auto http_request::Header(std::string_view name) const -> std::string_view {
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, name)) return value;
  }
  return {};
}

auto http_request::Path() const -> std::string_view {
  return std::string_view(target).substr(0, target.find('?'));
}

auto http_request::Query(std::string_view name) const -> std::string_view {
  const std::string_view text(target);
  auto position = text.find('?');
  while (position != std::string_view::npos) {
    const auto start = position + 1;
    position = text.find('&', start);
    const auto pair = text.substr(start, position == std::string_view::npos
                                             ? position
                                             : position - start);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return pair.substr(equals + 1);
    }
  }
  return {};
}

struct http_server::shared_state {
  explicit shared_state(const http_limits& initial_limits)
      : limits(initial_limits),
        body_memory(initial_limits.max_held_body_bytes, kSmallBodyBytes) {}

  http_limits limits;
  byte_budget body_memory;
  http_handler handler;
  bool draining = false;
  std::size_t active_requests = 0;
  std::list<caller_stream*> idle_streams;
};

namespace {

/// Detects that a caller disconnects while its request is in progress.
class disconnect_watcher {
 public:
  explicit disconnect_watcher(caller_stream& stream)
      : state_(std::make_shared<state>(stream)) {}
  disconnect_watcher(const disconnect_watcher&) = delete;
  auto operator=(const disconnect_watcher&) -> disconnect_watcher& = delete;
  ~disconnect_watcher() {
    state_->stream = nullptr;
    state_->on_disconnect = nullptr;
  }

  auto Watch(std::function<void()> on_disconnect) -> void {
    state_->on_disconnect = std::move(on_disconnect);
    if (!state_->is_waiting) Wait(state_);
  }
  auto StopWatching() -> void { state_->on_disconnect = nullptr; }

 private:
  struct state {
    explicit state(caller_stream& watched_stream) : stream(&watched_stream) {}
    caller_stream* stream;
    std::function<void()> on_disconnect;
    bool is_waiting = false;
  };

  static auto Wait(const std::shared_ptr<state>& shared) -> void {
    shared->is_waiting = true;
    shared->stream->socket().async_wait(
        tcp::socket::wait_read, [shared](beast::error_code error) {
          shared->is_waiting = false;
          if (error || shared->stream == nullptr || !shared->on_disconnect) {
            return;
          }
          char byte = 0;
          const auto got = ::recv(shared->stream->socket().native_handle(),
                                  &byte, 1, MSG_PEEK | MSG_DONTWAIT);
          const bool is_open =
              got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
          if (is_open) return;
          // Moved out first: the callback may end the exchange.
          const auto on_disconnect = std::move(shared->on_disconnect);
          shared->on_disconnect = nullptr;
          on_disconnect();
        });
  }

  std::shared_ptr<state> state_;
};

/// Answers one request on a caller's connection.
class beast_exchange : public http_exchange {
 public:
  beast_exchange(caller_stream& stream, asio::yield_context& yield,
                 const http_limits& limits, http_request request,
                 bool keep_alive, disconnect_watcher& watcher)
      : stream_(stream),
        yield_(yield),
        limits_(limits),
        request_(std::move(request)),
        keep_alive_(keep_alive),
        disconnect_watcher_(watcher) {}
  ~beast_exchange() override { disconnect_watcher_.StopWatching(); }
  beast_exchange(const beast_exchange&) = delete;
  auto operator=(const beast_exchange&) -> beast_exchange& = delete;

  auto request() const -> const http_request& override { return request_; }
  auto yield() -> asio::yield_context& override { return yield_; }
  auto HasStarted() const -> bool override { return started_; }
  auto IsComplete() const -> bool { return complete_; }
  auto KeepAlive() const -> bool { return keep_alive_ && complete_; }
  auto CloseAfterResponse() -> void override { keep_alive_ = false; }
  auto OnCallerDisconnect(std::function<void()> on_disconnect)
      -> void override {
    disconnect_watcher_.Watch(std::move(on_disconnect));
  }

  auto Respond(unsigned status, std::string_view content_type,
               std::string_view body, const header_list& headers)
      -> void override {
    started_ = true;
    http::response<http::span_body<const char>> response;
    FillHeader(response, status, content_type, headers);
    response.body() = {body.data(), body.size()};
    if (request_.method == "HEAD") {
      response.content_length(body.size());
      response.body() = {};
    } else {
      response.prepare_payload();
    }
    beast::error_code error;
    stream_.expires_after(limits_.write_timeout);
    http::async_write(stream_, response, yield_[error]);
    ThrowIfDisconnected(error);
    complete_ = true;
  }

  auto StartStream(unsigned status, std::string_view content_type,
                   const header_list& headers) -> void override {
    started_ = true;
    http::response<http::empty_body> response;
    FillHeader(response, status, content_type, headers);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    beast::error_code error;
    stream_.expires_after(limits_.write_timeout);
    http::async_write_header(stream_, serializer, yield_[error]);
    ThrowIfDisconnected(error);
  }

  auto Write(std::string_view bytes) -> void override {
    if (bytes.empty()) return;
    beast::error_code error;
    stream_.expires_after(limits_.write_timeout);
    asio::async_write(
        stream_,
        http::make_chunk(asio::const_buffer(bytes.data(), bytes.size())),
        yield_[error]);
    ThrowIfDisconnected(error);
  }

  auto EndStream() -> void override {
    beast::error_code error;
    stream_.expires_after(limits_.write_timeout);
    asio::async_write(stream_, http::make_chunk_last(), yield_[error]);
    ThrowIfDisconnected(error);
    complete_ = true;
  }

 private:
  template <typename Response>
  auto FillHeader(Response& response, unsigned status,
                  std::string_view content_type, const header_list& headers)
      -> void {
    response.version(11);
    response.result(status);
    if (!content_type.empty()) {
      response.set(http::field::content_type, content_type);
    }
    for (const auto& [name, value] : headers) response.insert(name, value);
    response.keep_alive(keep_alive_);
  }

  auto ThrowIfDisconnected(const beast::error_code& error) -> void {
    if (!error) return;
    keep_alive_ = false;
    throw caller_disconnected_error("caller's connection failed: " +
                                    error.message());
  }

  caller_stream& stream_;
  asio::yield_context& yield_;
  const http_limits& limits_;
  http_request request_;
  bool keep_alive_;
  disconnect_watcher& disconnect_watcher_;
  bool started_ = false;
  bool complete_ = false;
};

/// Whether a request gives its length twice or in two ways, or uses a transfer
/// coding other than chunked. A backend server could then see another end of
/// the request than this server does (request smuggling).
template <typename Fields>
auto HasAmbiguousLength(const Fields& fields) -> bool {
  const auto lengths = fields.count(http::field::content_length);
  const auto codings = fields.count(http::field::transfer_encoding);
  if (lengths + codings > 1) return true;
  return codings == 1 &&
         !beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

auto RefusalStatus(const beast::error_code& error) -> unsigned {
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return 413;
  }
  if (error == beast::error::timeout) return 408;
  return 400;
}

auto RefusalBody(unsigned status, const http_limits& limits) -> std::string {
  switch (status) {
    case 413:
      return R"({"error":{"type":"too_large","message":"request exceeds the limit: header )" +
             std::to_string(limits.max_header_bytes) + " bytes, body " +
             std::to_string(limits.max_body_bytes) + R"( bytes"}})";
    case kStatusBusy:
      return R"({"error":{"type":"busy","message":"the requests in progress hold all memory for bodies"}})";
    case 408:
      return R"({"error":{"type":"timeout","message":"request did not arrive within the time limit"}})";
    default:
      return R"({"error":{"type":"malformed","message":"request is not valid HTTP/1.1"}})";
  }
}

template <typename Parser>
auto ReleaseRequest(Parser& parser) -> http_request {
  auto message = parser.release();
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.emplace_back(field.name_string(), field.value());
  }
  request.body = std::move(message.body());
  return request;
}

/// Cancels a stream's read when a deadline passes and records that it did. The
/// stream's own timeout would close the socket before an error answer is sent.
class read_deadline {
 public:
  read_deadline(caller_stream& stream, std::chrono::milliseconds timeout)
      : state_(std::make_shared<state>(stream)) {
    state_->timer.expires_after(timeout);
    state_->timer.async_wait([shared = state_](beast::error_code cancelled) {
      if (cancelled || shared->stream == nullptr) return;
      shared->passed = true;
      shared->stream->socket().cancel();
    });
  }
  read_deadline(const read_deadline&) = delete;
  auto operator=(const read_deadline&) -> read_deadline& = delete;
  ~read_deadline() {
    state_->stream = nullptr;
    state_->timer.cancel();
  }
  auto HasPassed() const -> bool { return state_->passed; }

 private:
  struct state {
    explicit state(caller_stream& read_stream)
        : timer(read_stream.get_executor()), stream(&read_stream) {}
    asio::steady_timer timer;
    caller_stream* stream;
    bool passed = false;
  };
  std::shared_ptr<state> state_;
};

/// Reads and answers the requests of one connection, one after the other.
template <typename State>
class caller_session {
 public:
  caller_session(tcp::socket socket, std::shared_ptr<State> state,
                 asio::yield_context yield)
      : stream_(std::move(socket)), state_(std::move(state)), yield_(yield) {}

  auto Run() -> void {
    ConfigureSocket(stream_.socket(), kCallerAckTimeoutMs);
    while (ServeRequest()) {
    }
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

 private:
  auto ServeRequest() -> bool {
    if (!WaitForRequest()) return false;
    http::request_parser<http::string_body> parser;
    parser.header_limit(
        static_cast<std::uint32_t>(state_->limits.max_header_bytes));
    parser.body_limit(state_->limits.max_body_bytes);
    beast::error_code error;
    byte_reservation memory(state_->body_memory);
    const bool fits = ReadRequest(parser, memory, error);
    if (error || !fits) {
      if (error) {
        RefuseUnreadable(error);
      } else {
        Refuse(kStatusBusy, "bodies exceed their memory",
               {{"Retry-After", kBodyMemoryRetrySeconds}});
      }
      return false;
    }
    const bool keep_alive = parser.keep_alive();
    return HandleRequest(ReleaseRequest(parser), keep_alive);
  }

  /// False if the body does not fit in the memory for bodies: it is read to its
  /// end, so that the caller gets the answer, and not kept.
  template <typename Parser>
  auto ReadRequest(Parser& parser, byte_reservation& memory,
                   beast::error_code& error) -> bool {
    stream_.expires_never();
    {
      const read_deadline deadline(stream_, state_->limits.header_timeout);
      http::async_read_header(stream_, buffer_, parser, yield_[error]);
      if (deadline.HasPassed()) error = beast::error::timeout;
    }
    if (!error && HasAmbiguousLength(parser.get())) {
      error = http::error::bad_transfer_encoding;
    }
    if (error || parser.is_done()) return true;
    AnswerExpectContinue(parser, error);
    if (error) return true;
    const read_deadline deadline(stream_, state_->limits.body_timeout);
    const bool fits = ReadBody(parser, memory, error);
    if (deadline.HasPassed()) error = beast::error::timeout;
    return fits;
  }

  template <typename Parser>
  auto ReadBody(Parser& parser, byte_reservation& memory,
                beast::error_code& error) -> bool {
    // All of it at once if the length is known: otherwise many bodies that grow
    // at the same time would all end as too large.
    const auto announced = parser.content_length_remaining();
    bool fits = !announced || memory.Resize(kCopiesOfBody * *announced);
    while (!error && !parser.is_done()) {
      http::async_read_some(stream_, buffer_, parser, yield_[error]);
      auto& body = parser.get().body();
      if (!announced) fits = fits && memory.Resize(kCopiesOfBody * body.size());
      if (fits) continue;
      // Its part of the memory lets others go on that grow beside it.
      body.clear();
      memory.Resize(0);
    }
    return fits;
  }

  /// Waits for data on an idle connection; false if the connection is closed,
  /// timed out or cancelled by CloseIdle.
  auto WaitForRequest() -> bool {
    if (buffer_.size() > 0) return true;
    const auto idle_position =
        state_->idle_streams.insert(state_->idle_streams.end(), &stream_);
    beast::error_code error;
    stream_.expires_after(state_->limits.idle_timeout);
    const auto bytes =
        stream_.async_read_some(buffer_.prepare(4096), yield_[error]);
    state_->idle_streams.erase(idle_position);
    buffer_.commit(bytes);
    return !error;
  }

  template <typename Parser>
  auto AnswerExpectContinue(Parser& parser, beast::error_code& error) -> void {
    if (!beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      return;
    }
    http::response<http::empty_body> continue_response;
    continue_response.version(11);
    continue_response.result(http::status::continue_);
    http::async_write(stream_, continue_response, yield_[error]);
  }

  auto RefuseUnreadable(const beast::error_code& error) -> void {
    if (error == http::error::end_of_stream ||
        error == asio::error::connection_reset) {
      return;
    }
    Refuse(RefusalStatus(error), error.message(), {});
  }

  auto Refuse(unsigned status, const std::string& reason, header_list headers)
      -> void {
    log_line(log_level::kInfo, "request_refused")
        .With("status", status)
        .With("reason", reason);
    headers.emplace_back("Lovagedale-Ran", "no");
    beast_exchange exchange(stream_, yield_, state_->limits, {}, false,
                            disconnect_watcher_);
    try {
      exchange.RespondJson(status, RefusalBody(status, state_->limits),
                           headers);
    } catch (const caller_disconnected_error&) {
      // The caller cannot be answered any more.
    }
  }

  auto HandleRequest(http_request request, bool keep_alive) -> bool {
    beast_exchange exchange(stream_, yield_, state_->limits, std::move(request),
                            keep_alive && !state_->draining,
                            disconnect_watcher_);
    ++state_->active_requests;
    bool failed = false;
    try {
      state_->handler(exchange);
    } catch (const caller_disconnected_error&) {
      // The handler has already recorded the outcome.
    } catch (const std::exception& error) {
      log_line(log_level::kError, "handler_failed")
          .With("reason", error.what());
      failed = true;
    }
    // Outside the catch block: a fiber must not suspend inside one.
    if (failed) TryRespondInternalError(exchange);
    --state_->active_requests;
    return exchange.KeepAlive() && !state_->draining;
  }

  auto TryRespondInternalError(beast_exchange& exchange) -> void {
    if (exchange.HasStarted()) return;
    try {
      exchange.RespondJson(
          500, R"({"error":{"type":"internal","message":"internal error"}})",
          {{"Lovagedale-Ran", "maybe"}});
    } catch (const caller_disconnected_error&) {
      // The caller cannot be answered any more.
    }
  }

  caller_stream stream_;
  std::shared_ptr<State> state_;
  asio::yield_context yield_;
  disconnect_watcher disconnect_watcher_{stream_};
  beast::flat_buffer buffer_{kMaxReadBufferBytes};
};

}  // namespace

http_server::http_server(asio::io_context& context, const std::string& host,
                         std::uint16_t port, bool share_port,
                         http_limits limits, http_handler handler)
    : acceptor_(Listen(context, host, port, share_port)),
      state_(std::make_shared<shared_state>(limits)) {
  state_->handler = std::move(handler);
  SpawnTask(context, [this](asio::yield_context yield) { AcceptLoop(yield); });
}

http_server::~http_server() {
  beast::error_code ignored;
  acceptor_.close(ignored);
}

auto http_server::port() const -> std::uint16_t {
  return acceptor_.local_endpoint().port();
}

auto http_server::ActiveRequests() const -> std::size_t {
  return state_->active_requests;
}

auto http_server::SetLimits(const http_limits& limits) -> void {
  state_->limits = limits;
}

auto http_server::BeginDrain() -> void { state_->draining = true; }

auto http_server::CloseIdle() -> void {
  for (auto* stream : state_->idle_streams) stream->cancel();
}

auto http_server::StopAccepting() -> void {
  // Closing the socket resets connections in the backlog, so accept them first.
  beast::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) StartSession(std::move(socket));
  }
  acceptor_.close(error);
}

auto http_server::AcceptLoop(asio::yield_context yield) -> void {
  for (;;) {
    beast::error_code error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.async_accept(socket, yield[error]);
    if (error == asio::error::operation_aborted) return;
    if (error) {
      // For example no free file descriptors: wait instead of retrying at once.
      asio::steady_timer retry_timer(acceptor_.get_executor(),
                                     std::chrono::milliseconds(10));
      retry_timer.async_wait(yield[error]);
      continue;
    }
    StartSession(std::move(socket));
  }
}

auto http_server::StartSession(tcp::socket socket) -> void {
  asio::spawn(
      acceptor_.get_executor(),
      [state = state_,
       socket = std::move(socket)](asio::yield_context yield) mutable {
        caller_session<shared_state> session(std::move(socket), state, yield);
        session.Run();
      },
      asio::detached);
}

}  // namespace lovagedale
