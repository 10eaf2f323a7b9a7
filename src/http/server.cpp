#include "lovagedale/http/server.h"

#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <list>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/http/message_framing.h"
#include "lovagedale/relay/log_budget.h"
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
/// Of a read buffer; part of connection_account::kConnectionBytes.
constexpr std::size_t kFirstReadBytes = 4'096;
/// Memory of a header field beside its text: the parser's and the request's
/// objects, and what the allocator adds to them.
constexpr std::size_t kFieldBytes = 200;
/// The body of a request that is relayed, and the copy that is being sent.
constexpr std::size_t kCopiesOfBody = 2;
/// Answers above this size are counted while they are sent.
constexpr std::size_t kCountedAnswerBytes = 4'096;
/// How often a connection asks again for memory that others have been told to
/// free; they need one turn of the event loop.
constexpr int kReserveTries = 100;
constexpr std::chrono::milliseconds kReservePause{1};
/// Of the backlog in one turn of the event loop. One a turn leaves an ordinary
/// caller behind a crowd that opens its connections again and again.
constexpr int kAcceptedAtOnce = 64;
/// For connections and small requests of a server without a shared account.
constexpr std::size_t kSmallRequestsBytes = 1UL << 20U;
constexpr monotonic_ms kClosedLogPeriodMs = 1'000;
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
  shared_state(const http_limits& initial_limits, port_account port)
      : limits(initial_limits),
        account(std::move(port.account)),
        ports(port.ports) {
    if (account) return;
    // Connections and small requests have their part beside the bodies.
    const port_limits own{std::numeric_limits<std::size_t>::max(),
                          initial_limits.max_held_body_bytes +
                              std::max(initial_limits.max_held_body_bytes / 7,
                                       kSmallRequestsBytes)};
    account = std::make_shared<connection_account>(account_limits{own, own});
  }

  /// Writes a line about connections that were closed for others, or refused,
  /// at most one a second.
  auto LogClosed() -> void {
    const auto& counts = account->counts(ports);
    const auto sum = counts.closed_for_connections + counts.closed_for_bytes +
                     counts.closed_for_descriptors + counts.refused_connections;
    const auto now = system_monotonic_clock{}.Now();
    if (sum == logged_closed || now - logged_at_ms < kClosedLogPeriodMs) return;
    logged_at_ms = now;
    logged_closed = sum;
    log_line(log_level::kWarning, "connections_closed")
        .With("ports", ports == port_class::kGeneral ? "general" : "reserved")
        .With("open", counts.connections)
        .With("held_bytes", counts.bytes)
        .With("for_connections_total", counts.closed_for_connections)
        .With("for_memory_total", counts.closed_for_bytes)
        .With("for_descriptors_total", counts.closed_for_descriptors)
        .With("refused_total", counts.refused_connections);
  }

  http_limits limits;
  std::shared_ptr<connection_account> account;
  port_class ports;
  log_budget log;
  std::uint64_t logged_closed = 0;
  monotonic_ms logged_at_ms = -kClosedLogPeriodMs;
  http_handler handler;
  bool draining = false;
  std::size_t active_requests = 0;
  std::list<caller_stream*> idle_streams;
};

namespace {

auto Now() -> monotonic_ms { return system_monotonic_clock{}.Now(); }

auto PeerOf(const tcp::socket& socket) -> std::string {
  beast::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  return error ? std::string() : endpoint.address().to_string();
}

/// A caller's connection and its place in the account.
struct caller_connection {
  caller_connection(tcp::socket socket,
                    const std::shared_ptr<connection_account>& account,
                    port_class ports)
      : stream(std::move(socket)),
        entry(account, ports, PeerOf(stream.socket()), Now(),
              [this] { stream.close(); }) {}

  caller_stream stream;
  accounted_connection entry;
};

/// The body of a request that is read: kept, or dropped when there is no memory
/// for it. Unlike http::string_body, it takes no memory on its own.
struct held_body {
  struct value_type {
    std::string text;
    bool is_kept = true;

    auto operator==(const value_type&) const -> bool = default;
  };
  class reader {
   public:
    template <bool is_request, class Fields>
    reader(http::header<is_request, Fields>& /*head*/, value_type& body)
        : body_(body) {}
    auto init(const boost::optional<std::uint64_t>& /*length*/,
              beast::error_code& error) -> void {
      error = {};
    }
    template <class Buffers>
    auto put(const Buffers& buffers, beast::error_code& error) -> std::size_t {
      error = {};
      if (body_.is_kept) {
        for (const auto part : beast::buffers_range_ref(buffers)) {
          body_.text.append(static_cast<const char*>(part.data()), part.size());
        }
      }
      return beast::buffer_bytes(buffers);
    }
    auto finish(beast::error_code& error) -> void { error = {}; }

   private:
    value_type& body_;
  };
};

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
  beast_exchange(caller_connection& connection, asio::yield_context& yield,
                 const http_limits& limits, http_request request,
                 bool keep_alive, disconnect_watcher& watcher)
      : stream_(connection.stream),
        entry_(connection.entry),
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
    const auto held = entry_.held_bytes();
    const bool is_counted = body.size() > kCountedAnswerBytes;
    if (is_counted) entry_.Charge(held + body.size(), Now());
    http::response_serializer<http::span_body<const char>> serializer(response);
    const auto error = SendInParts(
        [&](beast::error_code& failure) {
          return http::async_write_some(stream_, serializer, yield_[failure]);
        },
        [&] { return serializer.is_done(); });
    if (is_counted) entry_.Charge(held, Now());
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
    serializer.split(true);
    ThrowIfDisconnected(SendInParts(
        [&](beast::error_code& failure) {
          return http::async_write_some(stream_, serializer, yield_[failure]);
        },
        [&] { return serializer.is_header_done(); }));
  }

  auto Write(std::string_view bytes) -> void override {
    if (bytes.empty()) return;
    SendBuffers(
        http::make_chunk(asio::const_buffer(bytes.data(), bytes.size())));
  }

  auto EndStream() -> void override {
    SendBuffers(http::make_chunk_last());
    complete_ = true;
  }

 private:
  /// Calls `send_some` until `is_done`, and ends a peer that has stalled.
  template <typename SendSome, typename IsDone>
  auto SendInParts(const SendSome& send_some, const IsDone& is_done)
      -> beast::error_code {
    beast::error_code error;
    entry_.SetPhase(connection_phase::kAnswering, Now());
    while (!error && !is_done()) {
      const auto now = Now();
      const auto due = entry_.pace().DueAt(limits_.write_timeout.count());
      stream_.expires_after(
          std::chrono::milliseconds(std::max<monotonic_ms>(0, due - now)));
      const auto bytes = send_some(error);
      entry_.AddProgress(bytes, Now());
    }
    stream_.expires_never();
    entry_.SetPhase(connection_phase::kRunning, Now());
    return error;
  }
  template <typename Buffers>
  auto SendBuffers(const Buffers& buffers) -> void {
    beast::buffers_suffix<Buffers> rest(buffers);
    ThrowIfDisconnected(SendInParts(
        [&](beast::error_code& failure) {
          const auto bytes = stream_.async_write_some(rest, yield_[failure]);
          rest.consume(bytes);
          return bytes;
        },
        [&] { return beast::buffer_bytes(rest) == 0; }));
  }

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
  accounted_connection& entry_;
  asio::yield_context& yield_;
  const http_limits& limits_;
  http_request request_;
  bool keep_alive_;
  disconnect_watcher& disconnect_watcher_;
  bool started_ = false;
  bool complete_ = false;
};

/// Whether a request gives its length twice or in two ways, or has an unknown
/// transfer coding. A backend server could then see another end of the request
/// than this server does (request smuggling).
template <typename Fields>
auto HasAmbiguousLength(const Fields& fields) -> bool {
  const auto lengths = fields.count(http::field::content_length);
  const auto codings = fields.count(http::field::transfer_encoding);
  return lengths + codings > 1 || HasUnknownCoding(fields);
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
      return R"({"error":{"type":"busy","message":"the requests in progress hold all memory for requests"}})";
    case 408:
      return R"({"error":{"type":"timeout","message":"request did not arrive within the time limit"}})";
    default:
      return R"({"error":{"type":"malformed","message":"request is not valid HTTP/1.1"}})";
  }
}

template <typename Fields>
auto CountFields(const Fields& fields) -> std::size_t {
  return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

template <typename Parser>
auto ReleaseRequest(Parser& parser) -> http_request {
  auto message = parser.release();
  http_request request;
  request.headers.reserve(CountFields(message));
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.emplace_back(field.name_string(), field.value());
  }
  request.body = std::move(message.body().text);
  return request;
}

/// Cancels a stream's read when a deadline passes and records that it did. The
/// stream's own timeout would close the socket before an error answer is sent.
class read_deadline {
 public:
  read_deadline(caller_stream& stream, std::chrono::milliseconds timeout)
      : state_(std::make_shared<state>(stream)) {
    state_->due = std::chrono::steady_clock::now() + timeout;
    Wait(state_);
  }
  read_deadline(const read_deadline&) = delete;
  auto operator=(const read_deadline&) -> read_deadline& = delete;
  ~read_deadline() {
    state_->stream = nullptr;
    state_->timer.cancel();
  }
  auto HasPassed() const -> bool { return state_->passed; }
  /// Only later than before: the running timer looks at it when it ends.
  auto Postpone(std::chrono::milliseconds timeout) -> void {
    state_->due =
        std::max(state_->due, std::chrono::steady_clock::now() + timeout);
  }

 private:
  struct state {
    explicit state(caller_stream& read_stream)
        : timer(read_stream.get_executor()), stream(&read_stream) {}
    asio::steady_timer timer;
    caller_stream* stream;
    std::chrono::steady_clock::time_point due;
    bool passed = false;
  };

  static auto Wait(const std::shared_ptr<state>& shared) -> void {
    shared->timer.expires_at(shared->due);
    shared->timer.async_wait([shared](beast::error_code cancelled) {
      if (cancelled || shared->stream == nullptr) return;
      if (std::chrono::steady_clock::now() < shared->due) {
        Wait(shared);
        return;
      }
      shared->passed = true;
      beast::error_code ignored;  // it may have given way to another one
      shared->stream->socket().cancel(ignored);
    });
  }

  std::shared_ptr<state> state_;
};

/// Reads and answers the requests of one connection, one after the other.
template <typename State>
class caller_session {
 public:
  caller_session(caller_connection& connection, std::shared_ptr<State> state,
                 asio::yield_context yield)
      : connection_(connection),
        stream_(connection.stream),
        entry_(connection.entry),
        state_(std::move(state)),
        yield_(yield) {}

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
    http::request_parser<held_body> parser;
    parser.header_limit(
        static_cast<std::uint32_t>(state_->limits.max_header_bytes));
    parser.body_limit(state_->limits.max_body_bytes);
    beast::error_code error;
    const bool fits = ReadRequest(parser, error);
    if (entry_.IsClosing()) return false;
    if (error || !fits) {
      if (error) {
        RefuseUnreadable(error);
      } else {
        entry_.CountRefusedRequest();
        Refuse(kStatusBusy, "requests exceed their memory",
               {{"Retry-After", kBodyMemoryRetrySeconds}});
      }
      return false;
    }
    const bool keep_alive = parser.keep_alive();
    return HandleRequest(ReleaseRequest(parser), keep_alive);
  }

  /// False if the request does not fit in the memory: its body is read to its
  /// end, so that the caller gets the answer, and not kept.
  template <typename Parser>
  auto ReadRequest(Parser& parser, beast::error_code& error) -> bool {
    stream_.expires_never();
    ReadHead(parser, error);
    if (!error && HasAmbiguousLength(parser.get())) {
      error = http::error::bad_transfer_encoding;
    }
    if (error) return true;
    const auto head_bytes = HeadBytes(parser.get());
    if (!ReserveSoon(head_bytes)) return false;
    if (parser.is_done()) return true;
    AnswerExpectContinue(parser, error);
    if (error) return true;
    return ReadBody(parser, head_bytes, error);
  }

  template <typename Parser>
  auto ReadHead(Parser& parser, beast::error_code& error) -> void {
    const read_deadline deadline(stream_, state_->limits.header_timeout);
    while (!error && !parser.is_header_done()) {
      const auto bytes =
          http::async_read_some(stream_, buffer_, parser, yield_[error]);
      entry_.AddProgress(bytes, Now());
    }
    if (deadline.HasPassed()) error = beast::error::timeout;
  }

  /// Memory of a request's head beyond that of the connection.
  template <typename Head>
  auto HeadBytes(const Head& head) const -> std::size_t {
    std::size_t bytes = buffer_.capacity() + 2 * head.target().size();
    for (const auto& field : head) {
      bytes +=
          kFieldBytes + 2 * (field.name_string().size() + field.value().size());
    }
    return bytes - std::min(bytes, kFirstReadBytes);
  }

  /// Waits for others to free memory, if they have been told to; false if there
  /// is none.
  auto ReserveSoon(std::size_t bytes) -> bool {
    for (int tries = 0; tries < kReserveTries; ++tries) {
      const auto result = entry_.Reserve(bytes, Now());
      if (result != reserve_result::kWait) {
        return result == reserve_result::kGranted;
      }
      state_->LogClosed();
      Pause(stream_.get_executor(), kReservePause, yield_);
    }
    return false;
  }

  /// Takes memory for a body of `capacity` bytes. If there is none, the body is
  /// dropped, so that its part of the memory lets others go on.
  auto GrowBody(held_body::value_type& body, std::size_t capacity,
                std::size_t head_bytes) -> void {
    if (ReserveSoon(head_bytes + kCopiesOfBody * capacity)) {
      body.text.reserve(capacity);
      return;
    }
    DropBody(body);
    entry_.Charge(head_bytes, Now());
  }
  auto DropBody(held_body::value_type& body) -> void {
    body.is_kept = false;
    // clear() would keep the memory.
    std::string().swap(body.text);
    entry_.SetPhase(connection_phase::kRefused, Now());
  }

  template <typename Parser>
  auto ReadBody(Parser& parser, std::size_t head_bytes,
                beast::error_code& error) -> bool {
    auto& body = parser.get().body();
    // All of it at once if the length is known: otherwise many bodies that grow
    // at the same time would all end as too large.
    const auto announced = parser.content_length_remaining();
    // No request at a reserved port has a use for a body: it is served without.
    const bool is_reserved = state_->ports == port_class::kReserved;
    if (is_reserved) DropBody(body);
    if (announced && !is_reserved) GrowBody(body, *announced, head_bytes);
    transfer_pace pace(Now());
    const auto timeout = state_->limits.body_timeout;
    read_deadline deadline(stream_, timeout);
    if (parser.chunked()) {
      const auto bytes = ReadMinChunkedBody(stream_, buffer_, yield_, error);
      entry_.AddProgress(bytes, Now());
      pace.Add(bytes, Now());
    }
    while (!error && !parser.is_done()) {
      const auto free_bytes = body.text.capacity() - body.text.size();
      if (!announced && body.is_kept && free_bytes < buffer_.capacity()) {
        GrowBody(body,
                 std::max(body.text.size() + buffer_.capacity(),
                          body.text.size() + body.text.size() / 2),
                 head_bytes);
      }
      const auto bytes =
          http::async_read_some(stream_, buffer_, parser, yield_[error]);
      const auto now = Now();
      entry_.AddProgress(bytes, now);
      pace.Add(bytes, now);
      deadline.Postpone(
          std::chrono::milliseconds(pace.DueAt(timeout.count()) - now));
    }
    if (deadline.HasPassed()) error = beast::error::timeout;
    return body.is_kept || is_reserved;
  }

  /// Waits for data on an idle connection; false if the connection is closed,
  /// timed out or cancelled by CloseIdle.
  auto WaitForRequest() -> bool {
    entry_.Charge(0, Now());
    if (buffer_.size() > 0) {
      // Requests sent ahead keep a connection busy without a pause, so that it
      // would never be idle enough to give way.
      entry_.SetPhase(connection_phase::kRefused, Now());
      return true;
    }
    if (buffer_.capacity() > kFirstReadBytes) buffer_.shrink_to_fit();
    if (has_answered_) entry_.SetPhase(connection_phase::kKept, Now());
    const auto idle_position =
        state_->idle_streams.insert(state_->idle_streams.end(), &stream_);
    beast::error_code error;
    stream_.expires_after(state_->limits.idle_timeout);
    const auto bytes = stream_.async_read_some(buffer_.prepare(kFirstReadBytes),
                                               yield_[error]);
    state_->idle_streams.erase(idle_position);
    buffer_.commit(bytes);
    if (!error) {
      entry_.SetPhase(connection_phase::kReading, Now());
      entry_.AddProgress(bytes, Now());
    }
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
    if (state_->log.AllowFailure(Now())) {
      log_line(log_level::kInfo, "request_refused")
          .With("status", status)
          .With("reason", reason)
          .With("lines_left_out", state_->log.suppressed());
    }
    headers.emplace_back("Lovagedale-Ran", "no");
    beast_exchange exchange(connection_, yield_, state_->limits, {}, false,
                            disconnect_watcher_);
    try {
      exchange.RespondJson(status, RefusalBody(status, state_->limits),
                           headers);
    } catch (const caller_disconnected_error&) {
      // The caller cannot be answered any more.
    }
  }

  auto HandleRequest(http_request request, bool keep_alive) -> bool {
    beast_exchange exchange(connection_, yield_, state_->limits,
                            std::move(request), keep_alive && !state_->draining,
                            disconnect_watcher_);
    entry_.SetPhase(connection_phase::kRunning, Now());
    has_answered_ = true;
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

  caller_connection& connection_;
  caller_stream& stream_;
  accounted_connection& entry_;
  std::shared_ptr<State> state_;
  asio::yield_context yield_;
  bool has_answered_ = false;
  disconnect_watcher disconnect_watcher_{stream_};
  beast::flat_buffer buffer_{kMaxReadBufferBytes};
};

}  // namespace

http_server::http_server(asio::io_context& context, const std::string& host,
                         std::uint16_t port, bool share_port,
                         http_limits limits, http_handler handler,
                         port_account account)
    : acceptor_(Listen(context, host, port, share_port)),
      state_(std::make_shared<shared_state>(limits, std::move(account))) {
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
      HandleAcceptError(error);
      // Waits instead of retrying at once: the descriptors may all be in use.
      asio::steady_timer retry_timer(acceptor_.get_executor(),
                                     std::chrono::milliseconds(10));
      retry_timer.async_wait(yield[error]);
      continue;
    }
    StartSession(std::move(socket));
    AcceptWaiting();
  }
}

auto http_server::AcceptWaiting() -> void {
  beast::error_code error;
  acceptor_.non_blocking(true, error);
  for (int i = 0; i < kAcceptedAtOnce && !error; ++i) {
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) StartSession(std::move(socket));
  }
}

auto http_server::HandleAcceptError(const boost::system::error_code& error)
    -> void {
  if (error != asio::error::no_descriptors &&
      error != boost::system::errc::too_many_files_open_in_system) {
    return;
  }
  state_->account->FreeDescriptor(Now());
  state_->LogClosed();
}

auto http_server::StartSession(tcp::socket socket) -> void {
  auto connection = std::make_unique<caller_connection>(
      std::move(socket), state_->account, state_->ports);
  state_->LogClosed();
  if (!connection->entry.IsAccepted()) return;
  asio::spawn(
      acceptor_.get_executor(),
      [state = state_,
       connection = std::move(connection)](asio::yield_context yield) {
        caller_session<shared_state> session(*connection, state, yield);
        session.Run();
      },
      asio::detached);
}

}  // namespace lovagedale
