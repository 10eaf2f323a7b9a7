#include "lovagedale/relay/relay.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <set>
#include <thread>

#include "lovagedale/route_entry/route_entry.h"
#include "support/free_port.h"
#include "support/plain_protocol.h"
#include "support/raw_server.h"
#include "support/silent_port.h"

namespace lovagedale::testing {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A server whose script maps a request's head to the raw bytes of the answer;
/// empty closes the connection at once. `rest` follows after `pause`. If
/// `down_after_empty` is set, the server refuses connections for that time
/// after an empty answer.
class scripted_server {
 public:
  using script = std::function<std::string(const std::string& request)>;

  explicit scripted_server(
      script answers,
      std::chrono::milliseconds pause = std::chrono::milliseconds(0),
      std::string rest = "", std::chrono::milliseconds down_after_empty = {})
      : answers_(std::move(answers)),
        pause_(pause),
        rest_(std::move(rest)),
        down_after_empty_(down_after_empty),
        acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        endpoint_(acceptor_.local_endpoint()),
        thread_([this] { Run(); }) {}
  ~scripted_server() {
    stopped_ = true;
    boost::system::error_code ignored;
    tcp::socket wake(context_);
    wake.connect(endpoint_, ignored);
    thread_.join();
  }
  scripted_server(const scripted_server&) = delete;
  auto operator=(const scripted_server&) -> scripted_server& = delete;

  auto port() const -> std::uint16_t { return endpoint_.port(); }
  auto requests() const -> int { return requests_; }

 private:
  auto Run() -> void {
    while (!stopped_) {
      tcp::socket socket(context_);
      boost::system::error_code error;
      acceptor_.accept(socket, error);
      if (error || stopped_) return;
      Serve(socket);
    }
  }
  /// One connection at a time, and one request of each.
  auto Serve(tcp::socket& socket) -> void {
    std::string request;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    if (error) return;
    ++requests_;
    const auto answer = answers_(request);
    if (answer.empty() && down_after_empty_.count() > 0) {
      acceptor_.close();
      socket.close();
      std::this_thread::sleep_for(down_after_empty_);
      acceptor_ = tcp::acceptor(context_, endpoint_);
      return;
    }
    asio::write(socket, asio::buffer(answer), error);
    if (rest_.empty()) return;
    std::this_thread::sleep_for(pause_);
    asio::write(socket, asio::buffer(rest_), error);
  }

  script answers_;
  std::chrono::milliseconds pause_;
  std::string rest_;
  std::chrono::milliseconds down_after_empty_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  const tcp::endpoint endpoint_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

auto Answer(const std::string& status, const std::string& headers,
            const std::string& body) -> std::string {
  return "HTTP/1.1 " + status + "\r\nId: r1\r\nConnection: close\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

auto Chunk(const std::string& text) -> std::string {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

auto Event(int number) -> std::string {
  return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n";

/// Enough retries for a single call.
constexpr double kSomeRetries = 10;

/// An entry's relay on a thread of its own.
class running_relay {
 public:
  running_relay(route item, const std::vector<std::uint16_t>& ports,
                double retries = kSomeRetries)
      : running_relay(std::move(item), ports, {}, Settings(retries)) {}
  /// The servers at `ledger_ports` form a second service, under /ledger/.
  running_relay(route item, const std::vector<std::uint16_t>& ports,
                const std::vector<std::uint16_t>& ledger_ports,
                relay_settings settings)
      : state_(context_, std::move(settings)),
        relay_(state_, {}),
        server_(context_, "127.0.0.1", 0, false, http_limits{},
                [this](http_exchange& exchange) {
                  relay_.Handle(exchange, call_origin::kCaller);
                }) {
    fleet_view view;
    view.revision = 1;
    view.routes.version = 1;
    item.name = "route";
    item.host = "h";
    item.prefix = "/";
    item.services = {{"engines", 1}};
    auto ledger = item;
    ledger.name = "ledger";
    ledger.prefix = "/ledger/";
    ledger.services = {{"ledger", 1}};
    view.routes.routes = {item, ledger};
    if (item.prompts) {
      auto urgent = item;
      urgent.name = "urgent";
      urgent.prefix = "/urgent/";
      urgent.priority = 0;
      view.routes.routes.push_back(urgent);
    }
    view.routes.services = {{"engines", 10, {}}, {"ledger", 10, {}}};
    state_.view = std::make_shared<const routing_view>(view);
    server_list list{1, {}};
    const auto add_servers = [&](const std::string& service,
                                 const std::vector<std::uint16_t>& of_service) {
      for (const auto port : of_service) {
        list.servers.push_back({"s" + std::to_string(port), service,
                                "127.0.0.1", port, "", "v1", 4, false, 0});
      }
    };
    add_servers("engines", ports);
    add_servers("ledger", ledger_ports);
    state_.servers.Update(list);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~running_relay() {
    context_.stop();
    thread_.join();
  }
  running_relay(const running_relay&) = delete;
  auto operator=(const running_relay&) -> running_relay& = delete;

  auto port() const -> std::uint16_t { return server_.port(); }
  auto Call(const header_list& headers = {}, const std::string& body = "body",
            const std::string& target = "/x?y") const -> http_answer {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", "h"}, {"Id", "r1"}, {"Limit", "2000"}};
    for (const auto& header : headers) request.headers.push_back(header);
    request.body = body;
    return BlockingHttpCall("127.0.0.1", server_.port(), request, {});
  }
  /// Entries that take the calls while no server can be reached.
  auto SetHelpers(const std::vector<std::uint16_t>& ports) -> void {
    std::vector<std::string> addresses;
    for (const auto port : ports) {
      addresses.push_back("127.0.0.1:" + std::to_string(port));
    }
    OnItsThread([&] {
      state_.helpers.Set(addresses);
      return true;
    });
  }
  /// Puts changed routes into force, as a new configuration does.
  auto ChangeRoutes(const std::function<void(route_config&)>& change) -> void {
    OnItsThread([&] {
      AdoptRoutes(change);
      return true;
    });
  }
  /// The same as soon as a call waits.
  auto ChangeRoutesDuringCall(std::function<void(route_config&)> change)
      -> void {
    asio::post(context_, [this, change = std::move(change)] {
      if (state_.active_calls == 0) {
        ChangeRoutesDuringCall(change);
      } else {
        AdoptRoutes(change);
      }
    });
  }
  /// Largest model's recent answers: their time to the first event and size.
  auto SetLargestModelAnswers(double first_event_ms, double tokens) -> void {
    OnItsThread([&] {
      auto& tier = state_.tiers[{
          "route", state_.view->routes.config().routes[0].models.back()}];
      const auto now = system_monotonic_clock{}.Now();
      for (int i = 0; i < 100; ++i) {
        tier.first_event.RecordFirstEvent(first_event_ms, now, tokens);
      }
      return true;
    });
  }
  /// As control tells it for the service of the route.
  auto SetHeavyShare(double share) -> void {
    OnItsThread([&] {
      state_.groups["engines"].AdoptShare(share);
      return true;
    });
  }
  /// Ports of the servers that heavy requests prefer.
  auto HeavyServers() -> std::set<std::uint16_t> {
    return OnItsThread([this] {
      std::set<std::uint16_t> ports;
      const auto groups = state_.groups["engines"].groups();
      for (const auto& server : state_.servers.Servers("engines")) {
        if (groups && groups->Prefers(true, server->id_hash)) {
          ports.insert(server->listed.port);
        }
      }
      return ports;
    });
  }
  auto Metrics() -> std::string {
    return OnItsThread([this] { return FormatRelayMetrics(state_); });
  }
  /// As if the servers had work of other entries, for `queue_ms`, and answers
  /// had shown how long requests wait for it.
  auto ReportQueue(double queue_ms) -> void {
    OnItsThread([this, queue_ms] {
      const auto now = system_monotonic_clock{}.Now();
      std::vector<server_load> loads;
      for (const auto& server : state_.servers.Servers("engines")) {
        loads.push_back(
            {ServerKey(server->id_hash),
             static_cast<std::uint32_t>(queue_ms / ReportFraction(0))});
      }
      state_.servers.UpdateLoads(loads, now);
      for (int i = 0; i < 40; ++i) {
        state_.admission.RecordFirstEvent("engines", 100, 100);
      }
      return true;
    });
  }
  auto CountWaiting() -> std::size_t {
    return OnItsThread([this] { return state_.admission.waiting(); });
  }
  auto EndCalls() -> void {
    OnItsThread([this] {
      state_.EndCalls();
      return true;
    });
  }
  /// Cancels the attempts that can be repeated, as when their zone is lost.
  auto CancelAttempts() -> cancelled_attempts {
    return OnItsThread([this] { return state_.servers.CancelAttempts(""); });
  }
  /// Paces of answers that have not been reported.
  auto TakePaces() -> std::vector<server_speed> {
    return OnItsThread([this] {
      return state_.servers.TakePaces(system_monotonic_clock{}.Now());
    });
  }
  auto CountUnreachableServers() -> std::ptrdiff_t {
    return OnItsThread([this] {
      const auto& servers = state_.servers.Servers("engines");
      return std::count_if(
          servers.begin(), servers.end(),
          [](const auto& server) { return server->health.IsUnreachable(); });
    });
  }

 private:
  template <typename Function>
  auto OnItsThread(Function function) -> decltype(function()) {
    std::promise<decltype(function())> result;
    asio::post(context_, [&] { result.set_value(function()); });
    return result.get_future().get();
  }

  auto AdoptRoutes(const std::function<void(route_config&)>& change) -> void {
    fleet_view view;
    view.revision = state_.view->revision + 1;
    view.routes = state_.view->routes.config();
    ++view.routes.version;
    change(view.routes);
    state_.view = std::make_shared<const routing_view>(view);
  }

  static auto Settings(double retries) -> relay_settings {
    relay_settings settings;
    settings.retry_ratio = 0;
    settings.retry_floor = retries;
    return settings;
  }

  asio::io_context context_{1};
  relay_state state_;
  relay<plain_protocol> relay_;
  http_server server_;
  std::thread thread_;
};

/// The end of a call whose caller waits for `limit_ms`.
struct call_end {
  std::optional<http_answer> answer;  ///< nothing if it broke off
  monotonic_ms took_ms = 0;
};

auto CallWithin(const running_relay& relay, int limit_ms) -> call_end {
  http_request request;
  request.method = "GET";
  request.target = "/";
  request.headers = {
      {"Host", "h"}, {"Id", "r1"}, {"Limit", std::to_string(limit_ms)}};
  const system_monotonic_clock clock;
  const auto started_ms = clock.Now();
  call_end end;
  try {
    end.answer = BlockingHttpCall("127.0.0.1", relay.port(), request, {});
  } catch (const http_call_error& error) {
    CHECK_FALSE(error.timed_out());
  }
  end.took_ms = clock.Now() - started_ms;
  return end;
}

/// All bytes of the answer to a call, until the connection ends.
auto ReadRawAnswer(const running_relay& relay) -> std::string {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), relay.port()});
  asio::write(socket, asio::buffer(std::string(
                          "GET / HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
                          "Limit: 1000\r\nConnection: close\r\n\r\n")));
  std::string bytes;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(bytes), error);
  return bytes;
}

/// How late a call may end after its time limit.
constexpr monotonic_ms kMaxLateMs = 500;

auto MakeRoute(route_kind kind, bool resumable = false) -> route {
  route item;
  item.kind = kind;
  item.resumable = resumable;
  item.timeout_ms = 3'000;
  item.objective_ms = 500;
  item.pause_ms = 100;
  item.max_attempts = 3;
  return item;
}

}  // namespace

// Guards against many requests to one service that allow as many retries to
// another, whose servers are full.
TEST_CASE("requests to one service allow no retries to another") {
  constexpr int kLedgerCalls = 10;
  constexpr double kRetryRatio = 0.5;
  const auto refuse = [](const std::string&) {
    return Answer("503 Service Unavailable", "Not-Run: 1\r\n", "");
  };
  scripted_server engine(
      [](const std::string&) { return Answer("200 OK", "", "x"); });
  scripted_server full_a(refuse);
  scripted_server full_b(refuse);
  relay_settings settings;
  settings.retry_ratio = kRetryRatio;
  settings.retry_floor = 0;
  const running_relay relay(MakeRoute(route_kind::kRepeatable), {engine.port()},
                            {full_a.port(), full_b.port()}, settings);
  for (int i = 0; i < 5 * kLedgerCalls; ++i) {
    CHECK(relay.Call().head.status == 200);
  }
  for (int i = 0; i < kLedgerCalls; ++i) {
    CHECK(relay.Call({}, "body", "/ledger/x").head.status == 503);
  }
  CHECK(full_a.requests() + full_b.requests() <=
        kLedgerCalls * (1 + kRetryRatio));
}

TEST_CASE("a server's answer is returned unchanged") {
  scripted_server server([](const std::string& request) {
    CHECK(request.starts_with("POST /x?y HTTP/1.1\r\n"));
    return Answer("201 Created", "Mark: a\r\nMark: b\r\n", "the bytes");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {server.port()});
  const auto answer = relay.Call();
  CHECK(answer.head.status == 201);
  CHECK(answer.body == "the bytes");
  CHECK(std::count(answer.head.headers.begin(), answer.head.headers.end(),
                   std::pair<std::string, std::string>("Mark", "b")) == 1);
}

TEST_CASE(
    "a request that must not run twice is not retried after it may have run") {
  scripted_server broken([](const std::string&) { return std::string(); });
  scripted_server other([](const std::string&) { return std::string(); });
  const running_relay relay(MakeRoute(route_kind::kOnce),
                            {broken.port(), other.port()});
  CHECK(relay.Call().head.status == 502);
  CHECK(broken.requests() + other.requests() == 1);
}

TEST_CASE("a request that a server refused to run goes to another one") {
  scripted_server full([](const std::string&) {
    return Answer("503 Full", "Not-Run: 1\r\n", "");
  });
  scripted_server good(
      [](const std::string&) { return Answer("200 OK", "", "done"); });
  const running_relay relay(MakeRoute(route_kind::kOnce),
                            {full.port(), good.port()});
  for (int i = 0; i < 4; ++i) CHECK(relay.Call().body == "done");
}

TEST_CASE("a refusal by all servers states a retry delay, as nothing has run") {
  scripted_server full([](const std::string&) {
    return Answer("503 Full", "Not-Run: 1\r\n", "");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {full.port()});
  const auto answer = relay.Call();
  CHECK(answer.head.status == 503);
  CHECK_FALSE(answer.head.Header("Retry-After").empty());
}

// Load pattern: every server of a small service is full for a moment.
TEST_CASE("full servers are asked again after a pause, not at once") {
  std::atomic<int> calls = 0;
  const auto started = std::chrono::steady_clock::now();
  const auto script = [&](const std::string&) {
    ++calls;
    const auto past = std::chrono::steady_clock::now() - started;
    return past < std::chrono::milliseconds(100)
               ? Answer("503 Full", "Not-Run: 1\r\n", "")
               : Answer("200 OK", "", "done");
  };
  scripted_server a(script);
  scripted_server b(script);
  const running_relay relay(MakeRoute(route_kind::kOnce), {a.port(), b.port()});
  CHECK(relay.Call().body == "done");
  CHECK(calls <= 6);
}

TEST_CASE("a repeatable request is retried after a truncated answer") {
  std::atomic<int> calls = 0;
  const auto script = [&](const std::string&) {
    if (calls++ > 0) return Answer("200 OK", "", "whole");
    return std::string(
               "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\n") +
           "half";
  };
  scripted_server a(script);
  scripted_server b(script);
  const running_relay relay(MakeRoute(route_kind::kRepeatable),
                            {a.port(), b.port()});
  CHECK(relay.Call().body == "whole");
}

TEST_CASE("a server's failure is returned with that server's headers") {
  scripted_server failing([](const std::string&) {
    return Answer("500 Error", "Mark: mine\r\n", "failed");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {failing.port()});
  const auto answer = relay.Call();
  CHECK(answer.head.status == 500);
  CHECK(answer.head.Header("Mark") == "mine");
  CHECK(answer.body == "failed");
}

TEST_CASE("an answer to another request is skipped") {
  scripted_server confused([](const std::string&) {
    return "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 5\r\n\r\nother" +
           Answer("200 OK", "", "mine");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {confused.port()});
  CHECK(relay.Call().body == "mine");
}

// Guards against a request that runs twice, or whose caller is told that it did
// not run: the server writes an earlier refusal of it once more, and runs it.
TEST_CASE(
    "an earlier refusal is not taken for the answer to a second attempt") {
  std::atomic<int> connections = 0;
  std::atomic<int> runs = 0;
  const auto refusal =
      "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  raw_server server([&](raw_server::peer& client, const std::string&) {
    if (++connections > 1) {
      ++runs;
      client.Send(Answer("200 OK", "", "done"));
      return;
    }
    client.Send(refusal);
    if (client.ReadRequest().empty()) return;
    ++runs;
    client.Send(refusal);
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {server.port()});
  CHECK(relay.Call().body == "done");
  CHECK(runs == 1);
}

// The same by a server whose refusals name no request.
TEST_CASE("a refusal without an id on a used connection promises nothing") {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\nx";
  const std::string refusal =
      "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  raw_server server([&](raw_server::peer& client, const std::string&) {
    client.Send(answer);
    if (!client.ReadRequest().empty()) client.Send(refusal);
    client.AwaitClose();
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {server.port()});
  CHECK(relay.Call().head.status == 200);
  CHECK(relay.Call().head.status == 502);
}

// Guards against an error's text, or its whole head, in the middle of a stream,
// and against a stream that then looks complete.
TEST_CASE("an error of the next server does not become part of a stream") {
  const std::string errors[] = {
      Answer("500 Internal Server Error", "Content-Type: text/plain\r\n",
             "oops: failed\n\n"),
      Answer("404 Not Found", "", "oops: failed\n\n"),
      Answer("200 OK", "Content-Type: application/json\r\n",
             "{\"error\": \"oops\"}\n\n"),
      kStreamHead + "\r\n" +
          Chunk("HTTP/1.1 503 Full\r\nReason: oops\r\n\r\noops\n\n") +
          "0\r\n\r\n",
      kStreamHead + "\r\n" + Chunk("{\"error\": \"oops\"}\n\n") + "0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n",
  };
  for (const auto& error : errors) {
    CAPTURE(error);
    const auto script = [&](const std::string& request) {
      return request.find("After: 2") == std::string::npos
                 ? kStreamHead + "\r\n" + Chunk(Event(1) + Event(2) + "id: 3")
                 : error;
    };
    scripted_server a(script);
    scripted_server b(script);
    const running_relay relay(MakeRoute(route_kind::kStream, true),
                              {a.port(), b.port()});
    const auto bytes = ReadRawAnswer(relay);
    CHECK(bytes.find(Event(1) + Event(2)) != std::string::npos);
    CHECK(bytes.find("oops") == std::string::npos);
    CHECK(bytes.find("\r\n0\r\n\r\n") == std::string::npos);
  }
}

TEST_CASE("a stream resumes at another server after a broken connection") {
  const auto script = [](const std::string& request) {
    if (request.find("After: 2") == std::string::npos) {
      return kStreamHead + "\r\n" + Chunk(Event(1) + Event(2) + "id: 3\nda");
    }
    return kStreamHead + "\r\n" + Chunk(Event(3) + Event(4)) + "0\r\n\r\n";
  };
  scripted_server a(script);
  scripted_server b(script);
  const running_relay relay(MakeRoute(route_kind::kStream, true),
                            {a.port(), b.port()});
  CHECK(relay.Call().body == Event(1) + Event(2) + Event(3) + Event(4));
}

TEST_CASE("a stream that cannot be resumed does not look complete") {
  scripted_server broken([](const std::string&) {
    return kStreamHead + "\r\n" + Chunk(Event(1) + "id: 2\nda");
  });
  const running_relay relay(MakeRoute(route_kind::kStream, false),
                            {broken.port()});
  CHECK_THROWS_AS(relay.Call(), http_call_error);
}

// Guards against streams that were cut because their server was silent for a
// while and no retry was left: they must go on until the time limit.
TEST_CASE("a stream whose server pauses goes on if no retry is left") {
  const auto script = [](const std::string&) {
    return kStreamHead + "\r\n" + Chunk(Event(1));
  };
  const std::string rest = Chunk(Event(2)) + "0\r\n\r\n";
  const std::chrono::milliseconds pause(kMinStallMs + 200);
  scripted_server a(script, pause, rest);
  scripted_server b(script, pause, rest);
  const running_relay relay(MakeRoute(route_kind::kStream, true),
                            {a.port(), b.port()}, /*retries=*/0);
  CHECK(relay.Call().body == Event(1) + Event(2));
}

// Guards against answers given up for a slow first byte although nothing could
// replace the attempt.
TEST_CASE("a slow first byte is awaited if no retry is left") {
  scripted_server slow([](const std::string&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    return Answer("200 OK", "", "late");
  });
  auto item = MakeRoute(route_kind::kRepeatable);
  item.objective_ms = 100;
  SUBCASE("the retry budget is spent") {
    scripted_server same([](const std::string&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      return Answer("200 OK", "", "late");
    });
    const running_relay relay(item, {slow.port(), same.port()}, /*retries=*/0);
    CHECK(relay.Call().body == "late");
  }
  SUBCASE("there is no other server") {
    const running_relay relay(item, {slow.port()});
    CHECK(relay.Call().body == "late");
    CHECK(slow.requests() == 1);
  }
}

// Guards against the loss of a zone ending streams that nothing can replace.
TEST_CASE("the loss of a zone ends only attempts that can be replaced") {
  const auto script = [](const std::string& request) {
    if (request.find("After: 1") != std::string::npos) {
      return kStreamHead + "\r\n" + Chunk(Event(2) + Event(3)) + "0\r\n\r\n";
    }
    return kStreamHead + "\r\n" + Chunk(Event(1));
  };
  const std::string rest = Chunk(Event(2)) + "0\r\n\r\n";
  const std::chrono::milliseconds pause(500);
  scripted_server a(script, pause, rest);
  scripted_server b(script, pause, rest);
  double retries = 0;
  SUBCASE("no retry is left") { retries = 0; }
  SUBCASE("a retry is left") { retries = kSomeRetries; }
  running_relay relay(MakeRoute(route_kind::kStream, true),
                      {a.port(), b.port()}, retries);
  auto call = std::async([&] { return relay.Call().body; });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const auto attempts = relay.CancelAttempts();
  CHECK(attempts ==
        (retries > 0 ? cancelled_attempts{1, 0} : cancelled_attempts{0, 1}));
  CHECK(call.get() ==
        (retries > 0 ? Event(1) + Event(2) + Event(3) : Event(1) + Event(2)));
}

// Guards against the loss of a zone that marks its servers as unreachable by
// cancelling connections to them, and so feeds itself.
TEST_CASE("a cancelled connection is no evidence against its server") {
  const silent_port silent;
  scripted_server good(
      [](const std::string&) { return Answer("200 OK", "", "done"); });
  running_relay relay(MakeRoute(route_kind::kRepeatable),
                      {silent.port(), good.port()});
  std::size_t cancelled = 0;
  for (int i = 0; i < 20; ++i) {
    auto call = std::async([&] { return relay.Call().body; });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cancelled += relay.CancelAttempts().cancelled;
    CHECK(call.get() == "done");
    CHECK(relay.CountUnreachableServers() == 0);
  }
  CHECK(cancelled > 0);
}

TEST_CASE("an answer without a length ends with its connection") {
  scripted_server unframed([](const std::string&) {
    return std::string("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nall of it");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {unframed.port()});
  CHECK(relay.Call().body == "all of it");
}

// The four tests below guard against a server's endless bytes holding a call
// beyond its time limit, or being passed on.
TEST_CASE("a plain answer without end fails its call by the time limit") {
  const std::pair<std::string, std::string> answers[] = {
      {"HTTP/1.1 200 OK\r\nId: r1\r\n", "A: b\r\n"},
      {"HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", "x"},
      {"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9999999\r\n\r\n", "x"},
      {"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
       "1\r\nx\r\n"},
      // A failure, which would be kept for the caller.
      {"HTTP/1.1 500 Error\r\nId: r1\r\n\r\n", "x"},
      // Answers to another request, one without an end and many whole ones.
      {"HTTP/1.1 200 OK\r\nId: r0\r\n\r\n", "x"},
      {"", "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 1\r\n\r\nx"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
  for (const auto& [start, repeated] : answers) {
    CAPTURE(start);
    CAPTURE(repeated);
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send(start);
      client.SendForever(repeated, std::chrono::milliseconds(20));
    });
    const running_relay relay(MakeRoute(route_kind::kOnce), {server.port()});
    const auto end = CallWithin(relay, 500);
    REQUIRE(end.answer);
    const auto status = end.answer->head.status;
    CHECK((status == 502 || status == 504));
    CHECK(end.answer->body.find("error") != std::string::npos);
    CHECK(end.took_ms < 500 + kMaxLateMs);
    CHECK(server.AreScriptsEnded());
  }
}

TEST_CASE("a flood of bytes fails its call at once, or is retried elsewhere") {
  const auto block = std::string(1 << 20, 'x');
  const std::pair<std::string, std::string> answers[] = {
      {"", block},
      {"HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", block},
      {"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 99999999999\r\n\r\n",
       block},
      {"HTTP/1.1 500 Error\r\nId: r1\r\n\r\n", block},
      {"HTTP/1.1 200 OK\r\nId: r0\r\n\r\n", block},
  };
  for (const auto& [start, repeated] : answers) {
    CAPTURE(start);
    std::atomic<int> calls = 0;
    const auto script = [&](raw_server::peer& client, const std::string&) {
      if (calls++ > 0) {
        client.Send(Answer("200 OK", "", "whole"));
        return;
      }
      client.Send(start);
      client.SendForever(repeated);
    };
    raw_server a(script);
    raw_server b(script);
    {
      const running_relay relay(MakeRoute(route_kind::kOnce), {a.port()});
      const auto end = CallWithin(relay, 20'000);
      REQUIRE(end.answer);
      CHECK(end.answer->head.status == 502);
      CHECK(end.took_ms < 2'000);
      CHECK(a.AreScriptsEnded());
    }
    calls = 0;
    const running_relay relay(MakeRoute(route_kind::kRepeatable),
                              {a.port(), b.port()});
    const auto end = CallWithin(relay, 20'000);
    REQUIRE(end.answer);
    CHECK(end.answer->body == "whole");
    CHECK(end.took_ms < 2'000);
  }
}

TEST_CASE("a body that trickles leaves time for another server") {
  std::atomic<int> calls = 0;
  const auto script = [&](raw_server::peer& client, const std::string&) {
    if (calls++ > 0) {
      client.Send(Answer("200 OK", "", "whole"));
      return;
    }
    client.Send("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n");
    client.SendForever("x", std::chrono::milliseconds(20));
  };
  raw_server a(script);
  raw_server b(script);
  const running_relay relay(MakeRoute(route_kind::kRepeatable),
                            {a.port(), b.port()});
  const auto end = CallWithin(relay, 1'000);
  REQUIRE(end.answer);
  CHECK(end.answer->body == "whole");
}

TEST_CASE("a refusal stands, and costs little time, if its body has no end") {
  for (const auto& repeated : {std::string("x"), std::string(1 << 20, 'x')}) {
    for (const auto* framing : {"", "Content-Length: 99999999\r\n"}) {
      raw_server full([&](raw_server::peer& client, const std::string&) {
        client.Send("HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\n" +
                    std::string(framing) + "\r\n");
        client.SendForever(repeated, std::chrono::milliseconds(20));
      });
      scripted_server good(
          [](const std::string&) { return Answer("200 OK", "", "done"); });
      const running_relay relay(MakeRoute(route_kind::kOnce),
                                {full.port(), good.port()});
      // The server is chosen at random, so four calls may all miss the full
      // one.
      for (int i = 0; i < 4 || (full.requests() == 0 && i < 100); ++i) {
        const auto end = CallWithin(relay, 2'000);
        REQUIRE(end.answer);
        CHECK(end.answer->body == "done");
        CHECK(end.took_ms < 1'000);
      }
      CHECK(full.requests() > 0);
      CHECK(full.AreScriptsEnded());
    }
  }
}

// Guards against large answers at the same time exhausting the memory, and
// against their failing the calls that have small answers.
TEST_CASE("large answers share a limit of memory, small ones are let through") {
  constexpr int kCalls = 8;
  constexpr std::size_t kLargeBytes = 12UL << 20U;
  const auto script = [](raw_server::peer& client, const std::string&) {
    client.Send("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n" +
                std::string(kLargeBytes, 'x'));
    client.AwaitClose();
  };
  raw_server large(script);
  const running_relay relay(MakeRoute(route_kind::kOnce), {large.port()});
  std::atomic<int> failed_at_once = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCalls; ++i) {
    callers.emplace_back([&] {
      const auto end = CallWithin(relay, 2'500);
      if (end.answer && end.answer->head.status == 502) ++failed_at_once;
    });
  }
  for (auto& caller : callers) caller.join();
  // Of 96 MB, at most 32 MB are held.
  CHECK(failed_at_once >= 5);
  CHECK(failed_at_once < kCalls);
}

// Guards against an event that is never complete growing without a limit.
TEST_CASE("an event without end cuts a stream, or it resumes elsewhere") {
  for (const auto& repeated : {std::string("x"), std::string(1 << 20, 'x'),
                               std::string("data: x\n")}) {
    const std::chrono::milliseconds pause(repeated.size() > 100 ? 0 : 20);
    const auto script = [&](raw_server::peer& client,
                            const std::string& request) {
      if (request.find("After: 1") != std::string::npos) {
        client.Send(kStreamHead + "\r\n" + Chunk(Event(2)) + "0\r\n\r\n");
        return;
      }
      client.Send(kStreamHead + "\r\n" + Chunk(Event(1) + "id: 2\ndata: "));
      client.SendForever(Chunk(repeated), pause);
    };
    raw_server a(script);
    raw_server b(script);
    CAPTURE(repeated.size());
    {
      const running_relay relay(MakeRoute(route_kind::kStream, false),
                                {a.port()});
      const auto end = CallWithin(relay, 1'000);
      CHECK_FALSE(end.answer);
      CHECK(end.took_ms < 1'000 + kMaxLateMs);
      CHECK(a.AreScriptsEnded());
    }
    const running_relay relay(MakeRoute(route_kind::kStream, true),
                              {a.port(), b.port()});
    const auto end = CallWithin(relay, 2'900);
    REQUIRE(end.answer);
    CHECK(end.answer->body == Event(1) + Event(2));
    CHECK(a.AreScriptsEnded());
    CHECK(b.AreScriptsEnded());
  }
}

// Guards against a stream that goes on after its caller's time limit.
TEST_CASE("well-formed events without end are cut at the time limit") {
  for (const auto pause :
       {std::chrono::milliseconds(0), std::chrono::milliseconds(5)}) {
    for (const bool is_numbered : {false, true}) {
      raw_server server([&](raw_server::peer& client, const std::string&) {
        client.Send(kStreamHead + "\r\n");
        // Numbered alike: all but the first are dropped as duplicates.
        client.SendForever(Chunk(is_numbered ? Event(1) : "data: x\n\n"),
                           pause);
      });
      CAPTURE(pause.count());
      CAPTURE(is_numbered);
      const running_relay relay(MakeRoute(route_kind::kStream, true),
                                {server.port()});
      const auto end = CallWithin(relay, 600);
      CHECK_FALSE(end.answer);
      CHECK(end.took_ms < 600 + kMaxLateMs);
      CHECK(server.AreScriptsEnded());
    }
  }
}

// Guards against a stream without a length or chunks looking complete although
// it was reset or ended inside an event.
TEST_CASE("a stream that ends with its connection is complete after an event") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n";
  struct stream_end {
    std::string events;
    bool is_reset;
    bool is_complete;
  };
  const stream_end ends[] = {{Event(1) + Event(2), false, true},
                             {Event(1) + Event(2), true, false},
                             {Event(1) + "id: 2\ndata: x\n", false, false},
                             {Event(1) + "i", false, false}};
  for (const auto& item : ends) {
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send(head + item.events);
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      if (item.is_reset) client.Reset();
    });
    CAPTURE(item.events);
    CAPTURE(item.is_reset);
    const running_relay relay(MakeRoute(route_kind::kStream, false),
                              {server.port()});
    const auto end = CallWithin(relay, 1'000);
    CHECK(end.answer.has_value() == item.is_complete);
    if (end.answer) CHECK(end.answer->body == item.events);
  }
}

TEST_CASE("a plain answer without a length is incomplete if it is reset") {
  raw_server server([](raw_server::peer& client, const std::string&) {
    client.Send("HTTP/1.1 200 OK\r\nId: r1\r\n\r\npart of it");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    client.Reset();
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {server.port()});
  const auto end = CallWithin(relay, 1'000);
  REQUIRE(end.answer);
  CHECK(end.answer->head.status == 502);
}

// Guards against a broken answer reaching a caller, against a second run of a
// call that may run only once, and against "not run" of a call that may have.
TEST_CASE("a broken answer is a failed attempt") {
  const std::string ok = "HTTP/1.1 200 OK\r\nId: r1\r\n";
  const std::string length = "Content-Length: 2\r\n\r\nno";
  const std::string answers[] = {
      "HTTP/1.1 000 X\r\nId: r1\r\n" + length,
      "HTTP/1.1 600 X\r\nId: r1\r\n" + length,
      "HTTP/1.1 000 X\r\nId: r1\r\nNot-Run: 1\r\n" + length,
      ok + "Bad Name: 1\r\n" + length,
      ok + "Bad\x01: 1\r\n" + length,
      ok + "Other: 1\r\n Folded: 1\r\n" + length,
      ok + "Not-Run: 1\r\nBad\t: 1\r\n" + length,
      ok + "Transfer-Encoding: gzip\r\n" + length,
  };
  for (const auto& answer : answers) {
    CAPTURE(answer);
    std::atomic<int> requests = 0;
    const auto sound = kStreamHead + "\r\n" + Chunk(Event(1)) + "0\r\n\r\n";
    const auto script = [&](raw_server::peer& client, const std::string&) {
      client.Send(++requests == 1 ? answer : sound);
      client.AwaitClose();
    };
    raw_server a(script);
    raw_server b(script);
    const std::vector<std::uint16_t> ports = {a.port(), b.port()};
    CHECK(
        running_relay(MakeRoute(route_kind::kOnce), ports).Call().head.status ==
        502);
    CHECK(requests == 1);
    for (const auto kind : {route_kind::kRepeatable, route_kind::kStream}) {
      requests = 0;
      CHECK(running_relay(MakeRoute(kind, true), ports).Call().body ==
            Event(1));
      CHECK(requests == 2);
    }
  }
}

// Guards against part of an answer being passed on as all of it: the server
// resets the connection while the upload is still being written.
TEST_CASE("an answer that is reset during the upload is a failed attempt") {
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\n";
  const std::string stream_type = "Content-Type: text/event-stream\r\n";
  for (const std::size_t upload_bytes : {300'000, 3'900'000}) {
    for (const bool is_reset : {false, true}) {
      CAPTURE(upload_bytes);
      CAPTURE(is_reset);
      const std::string upload(upload_bytes, 'x');
      std::atomic<int> requests = 0;
      bool is_stream = false;
      const auto script = [&](raw_server::peer& client, const std::string&) {
        if (++requests > 1) {
          client.Send(is_stream
                          ? kStreamHead + "\r\n" + Chunk(Event(2)) + "0\r\n\r\n"
                          : Answer("200 OK", "", "right"));
          client.AwaitClose();
          return;
        }
        client.Send(is_stream ? head + stream_type + "\r\n" + Event(1)
                              : head + "\r\npart");
        // Otherwise the connection is closed with bytes that are not read.
        if (is_reset) client.Reset();
      };
      raw_server a(script);
      raw_server b(script);
      const std::vector<std::uint16_t> ports = {a.port(), b.port()};
      CHECK(running_relay(MakeRoute(route_kind::kOnce), ports)
                .Call({}, upload)
                .head.status == 502);
      CHECK(requests == 1);
      requests = 0;
      running_relay forwarding(MakeRoute(route_kind::kOnce), {FreePort()});
      forwarding.SetHelpers(ports);
      CHECK(forwarding.Call({}, upload).head.status == 502);
      CHECK(requests == 1);
      requests = 0;
      CHECK(running_relay(MakeRoute(route_kind::kRepeatable), ports)
                .Call({}, upload)
                .body == "right");
      is_stream = true;
      requests = 0;
      CHECK(running_relay(MakeRoute(route_kind::kStream, true), ports)
                .Call({}, upload)
                .body == Event(1) + Event(2));
      requests = 0;
      const running_relay relay(MakeRoute(route_kind::kStream, false), ports);
      CHECK_THROWS_AS(relay.Call({}, upload), http_call_error);
      CHECK(requests == 1);
    }
  }
}

TEST_CASE("a sound answer that ends before the upload is returned unchanged") {
  raw_server server([](raw_server::peer& client, const std::string&) {
    client.Send(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 Too Large\r\nId: r1\r\n"
        "Value: caf\xe9\r\nEmpty:\r\n\r\nall of it");
    client.EndSending();
    client.AwaitClose();
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {server.port()});
  const auto answer = relay.Call({}, std::string(3'900'000, 'x'));
  CHECK(answer.head.status == 413);
  CHECK(answer.head.Header("Value") == "caf\xe9");
  CHECK(answer.body == "all of it");
  CHECK(server.requests() == 1);
}

TEST_CASE("an uncertain answer is dropped for the largest model's") {
  const auto script = [](const std::string& request) {
    const bool is_large = request.find("Model: large") != std::string::npos;
    return kStreamHead +
           (is_large ? "Confidence: 0.9\r\n\r\n" : "Confidence: 0.1\r\n\r\n") +
           Chunk(Event(is_large ? 2 : 1)) + "0\r\n\r\n";
  };
  scripted_server a(script);
  scripted_server b(script);
  auto item = MakeRoute(route_kind::kStream, true);
  item.models = {"small", "medium", "large"};
  const running_relay relay(item, {a.port(), b.port()});
  CHECK(relay.Call().body == Event(2));
}

// Guards against calls that must not be repeated but run again on the largest
// model, as their first answer has a low confidence.
TEST_CASE("an uncertain answer to a call that may run once is returned") {
  for (const bool is_stream : {false, true}) {
    CAPTURE(is_stream);
    scripted_server server([is_stream](const std::string&) {
      return is_stream ? kStreamHead + "Confidence: 0.1\r\n\r\n" +
                             Chunk(Event(1)) + "0\r\n\r\n"
                       : Answer("200 OK", "Confidence: 0.1\r\n", "done");
    });
    auto item = MakeRoute(is_stream ? route_kind::kStream : route_kind::kOnce);
    item.models = {"small", "large"};
    const running_relay relay(item, {server.port()});
    CHECK(relay.Call().body == (is_stream ? Event(1) : "done"));
    CHECK(server.requests() == 1);
  }
}

// Guards against weak answers to calls that may run once: no second run can
// replace them.
TEST_CASE("a call that may run once starts on the largest model in time") {
  scripted_server server([](const std::string& request) {
    const bool is_large = request.find("Model: large") != std::string::npos;
    return Answer("200 OK", "Confidence: 0.1\r\n",
                  is_large ? "large" : "small");
  });
  auto item = MakeRoute(route_kind::kOnce);
  item.models = {"small", "large"};
  running_relay relay(item, {server.port()});
  CHECK(relay.Call().body == "large");
  // Later than the objective of the route.
  relay.SetLargestModelAnswers(/*first_event_ms=*/600, /*tokens=*/0);
  CHECK(relay.Call().body == "small");
  CHECK(relay.Metrics().find(
            "lovagedale_escalations_given_up_total{customer=\"\",model="
            "\"large\",reason=\"late\"} 1") != std::string::npos);
  CHECK(server.requests() == 2);
}

// Guards against the smallest model's answer where a larger one than that is in
// time, though the largest is not.
TEST_CASE(
    "a call that may run once starts on the largest model in time of many") {
  scripted_server server([](const std::string& request) {
    const auto at = request.find("Model: ") + 7;
    return Answer("200 OK", "",
                  request.substr(at, request.find('\r', at) - at));
  });
  auto item = MakeRoute(route_kind::kOnce);
  item.models = {"small", "medium", "large"};
  running_relay relay(item, {server.port()});
  CHECK(relay.Call().body == "large");
  relay.SetLargestModelAnswers(/*first_event_ms=*/600, /*tokens=*/0);
  CHECK(relay.Call().body == "medium");
}

// Guards against an entry of an older build that escalates a forwarded call
// which must not be repeated: it goes by the attempts that are left.
TEST_CASE("a forwarded call that may run once has one attempt left") {
  scripted_server helper([](const std::string& request) {
    CHECK(request.find("Lovagedale-Attempts-Left: 1") != std::string::npos);
    return Answer("200 OK", "", "done");
  });
  running_relay relay(MakeRoute(route_kind::kOnce), {FreePort()});
  relay.SetHelpers({helper.port()});
  CHECK(relay.Call().head.status == 200);
  CHECK(helper.requests() == 1);
}

TEST_CASE("a request gets status 504 when its time limit has passed") {
  scripted_server slow([](const std::string&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    return Answer("200 OK", "", "late");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {slow.port()});
  const auto started = std::chrono::steady_clock::now();
  http_request request;
  request.method = "GET";
  request.target = "/";
  request.headers = {{"Host", "h"}, {"Id", "r1"}, {"Limit", "200"}};
  const auto answer = BlockingHttpCall("127.0.0.1", relay.port(), request, {});
  CHECK(answer.head.status == 504);
  CHECK(std::chrono::steady_clock::now() - started <
        std::chrono::milliseconds(700));
}

TEST_CASE("the last attempt may use all of the remaining time") {
  std::atomic<int> calls = 0;
  const auto script = [&](const std::string&) {
    // Longer than the timeout of an attempt that is not the last one.
    if (calls++ == 1) {
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
    }
    return calls == 1 ? std::string() : Answer("200 OK", "", "late");
  };
  scripted_server a(script);
  scripted_server b(script);
  auto item = MakeRoute(route_kind::kRepeatable);
  item.max_attempts = 2;
  item.objective_ms = 100;
  const running_relay relay(item, {a.port(), b.port()});
  CHECK(relay.Call().body == "late");
}

TEST_CASE("requests without an id or a route get status 400 or 404") {
  const running_relay relay(MakeRoute(route_kind::kOnce), {});
  http_request request;
  request.method = "GET";
  request.target = "/";
  request.headers = {{"Host", "h"}};
  CHECK(BlockingHttpCall("127.0.0.1", relay.port(), request, {}).head.status ==
        400);
  request.headers = {{"Host", "other"}, {"Id", "r1"}};
  CHECK(BlockingHttpCall("127.0.0.1", relay.port(), request, {}).head.status ==
        404);
}

// Guards against calls that end the process, or that the former routes refuse
// or run, when the routes change while they wait for a server.
TEST_CASE("a call that waits for a server follows a change of the routes") {
  scripted_server ledger(
      [](const std::string&) { return Answer("200 OK", "", "ledger"); });
  auto item = MakeRoute(route_kind::kOnce);
  item.models = {"small", "large"};
  running_relay relay(item, {}, {ledger.port()}, relay_settings{});
  relay.ChangeRoutes([](route_config& routes) {
    routes.customers = {{"carts", {"k1"}, {}}, {"gloves", {"k2"}, {}}};
  });
  struct change_case {
    const char* name;
    std::string model;  ///< that the caller names; `*` leaves the choice
    std::function<void(route_config&)> change;
    unsigned status;
    const char* body;  ///< or a part of it
  };
  const change_case cases[] = {
      {"the route is removed", "*",
       [](route_config& routes) { routes.routes.erase(routes.routes.begin()); },
       404, "no_route"},
      {"all routes are removed", "",
       [](route_config& routes) { routes.routes.clear(); }, 404, "no_route"},
      {"the key is withdrawn", "*",
       [](route_config& routes) { routes.customers.front().keys.clear(); }, 401,
       "unknown_key"},
      {"the model is withdrawn", "large",
       [](route_config& routes) { routes.routes[0].models = {"small"}; }, 421,
       "unknown_model"},
      {"the route moves to a service that has a server", "*",
       [](route_config& routes) {
         routes.routes[0].services = {{"ledger", 1}};
         routes.routes[0].models.clear();
       },
       200, "ledger"},
  };
  for (const auto& tried : cases) {
    SUBCASE(tried.name) {
      relay.ChangeRoutesDuringCall(tried.change);
      header_list headers = {{"Key", "k1"}};
      if (!tried.model.empty()) {
        headers.emplace_back("Model", tried.model);
      }
      const auto answer = relay.Call(headers);
      CHECK(answer.head.status == tried.status);
      CHECK(answer.body.find(tried.body) != std::string::npos);
    }
  }
}

TEST_CASE("the connection to the server closes when the caller disconnects") {
  std::atomic<bool> is_closed = false;
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  std::thread server([&] {
    tcp::socket socket(context);
    acceptor.accept(socket);
    std::string bytes;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", error);
    char more = 0;
    // Returns when the relay closes its connection.
    while (!error) socket.read_some(asio::buffer(&more, 1), error);
    is_closed = true;
  });
  const running_relay relay(MakeRoute(route_kind::kStream, true),
                            {acceptor.local_endpoint().port()});
  {
    tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), relay.port()});
    asio::write(caller, asio::buffer(std::string(
                            "GET / HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK_FALSE(is_closed);
  }
  // The users require this within half a second.
  for (int i = 0; i < 50 && !is_closed; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(is_closed);
  server.join();
}

// Guards against a prompt part that crashes one server after the other, in
// requests of which no two are alike.
TEST_CASE(
    "a prompt part that crashes servers is refused, other parts are not") {
  std::atomic<int> deadly_requests = 0;
  const auto script = [&](const std::string& request) -> std::string {
    if (request.find("Parts: 17") == std::string::npos) {
      return Answer("200 OK", "", "done");
    }
    ++deadly_requests;
    return "";
  };
  std::vector<std::unique_ptr<scripted_server>> servers;
  std::vector<std::uint16_t> ports;
  for (int i = 0; i < 8; ++i) {
    servers.push_back(std::make_unique<scripted_server>(
        script, std::chrono::milliseconds(0), "",
        std::chrono::milliseconds(1'200)));
    ports.push_back(servers.back()->port());
  }
  const running_relay relay(MakeRoute(route_kind::kRepeatable), ports);
  http_answer deadly;
  http_answer sound;
  // Part 1 is shared, part 7 crashes servers, the last part belongs to the
  // request.
  for (int i = 0; i < 12; ++i) {
    const auto body = "request " + std::to_string(i);
    deadly = relay.Call({{"Parts", "179"}}, body);
    sound = relay.Call({{"Parts", "129"}}, body);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  CHECK(deadly.head.status == 503);
  CHECK(deadly.body.find("quarantined") != std::string::npos);
  CHECK(sound.body == "done");
  // At most five crashes, and three requests more.
  CHECK(deadly_requests <= 8);
}

// Guards against a server whose slowness nobody learns, and against answers of
// other kinds that count as its pace.
TEST_CASE("the pace of each first event of a prompt is recorded") {
  scripted_server server([](const std::string&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    return kStreamHead + "\r\n" + Chunk(Event(1)) + Chunk("");
  });
  auto item = MakeRoute(route_kind::kStream);
  item.prompts = true;
  running_relay relay(item, {server.port()});
  CHECK(relay.Call().head.status == 200);
  CHECK(relay.TakePaces().empty());  // It has no prompt.
  for (int i = 0; i < 3; ++i) {
    CHECK(relay.Call({{"Parts", "179"}}).head.status == 200);
  }
  // A prompt of two tokens takes far less than 60 ms by the prior.
  const auto paces = relay.TakePaces();
  REQUIRE(paces.size() == 3);
  CHECK(paces.front().pace > 2);
  const auto metrics = relay.Metrics();
  CHECK(metrics.find("lovagedale_first_event_error_ms_count{route=\"route\","
                     "model=\"\",actual=\"later\"} 3") != std::string::npos);
}

// Guards against a server that names a limit and gets requests as before.
TEST_CASE("what a server's limit does not allow goes to another server") {
  scripted_server limited([](const std::string&) {
    return Answer("200 OK", "Server-Limit: 0.1\r\n", "limited");
  });
  scripted_server other(
      [](const std::string&) { return Answer("200 OK", "", "other"); });
  const running_relay relay(MakeRoute(route_kind::kOnce),
                            {limited.port(), other.port()});
  constexpr int kCalls = 40;
  for (int i = 0; i < kCalls; ++i) CHECK(relay.Call().head.status == 200);
  // The first answer names the limit, after which none passes for seconds.
  CHECK(limited.requests() == 1);
  CHECK(other.requests() == kCalls - 1);
}

TEST_CASE("a call that no server's limit allows is refused at once") {
  scripted_server limited([](const std::string&) {
    return Answer("200 OK", "Server-Limit: 0.1\r\n", "limited");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {limited.port()});
  CHECK(relay.Call().head.status == 200);
  const auto refused = CallWithin(relay, 2'000);
  REQUIRE(refused.answer.has_value());
  CHECK(refused.answer->head.status == 503);
  CHECK(refused.took_ms < kMaxLateMs);
  // Longer than a part of the caller's time: it would not pass before.
  CHECK(std::stod(std::string(refused.answer->head.Header("Retry-After"))) > 1);
  CHECK(limited.requests() == 1);
}

// Guards against callers that are told "not run" by another entry's refusal,
// although this entry's attempt may have run.
TEST_CASE("a refusal by another entry promises nothing after an attempt ran") {
  scripted_server server([](const std::string&) { return std::string(); },
                         std::chrono::milliseconds(0), "",
                         std::chrono::milliseconds(1'500));
  scripted_server helper([](const std::string& request) {
    CHECK(request.find("Lovagedale-Attempts-Left: 2") != std::string::npos);
    return Answer("503 Service Unavailable", "Lovagedale-Refused-By: fleet\r\n",
                  "");
  });
  running_relay relay(MakeRoute(route_kind::kRepeatable), {server.port()});
  relay.SetHelpers({helper.port()});
  CHECK(relay.Call().head.status == 502);
  CHECK(server.requests() == 1);
  CHECK(helper.requests() == 1);
  // The server is still down, so nothing of this call has run.
  CHECK(relay.CountUnreachableServers() == 1);
}

// Guards against repeatable calls that fail because the other entry, through
// which they go, stops.
TEST_CASE("a call that another entry ended is repeated if it may be") {
  scripted_server stopping([](const std::string&) {
    return Answer("502 Bad Gateway",
                  "Lovagedale-Refused-By: entry\r\nLovagedale-Attempts: 1\r\n",
                  "");
  });
  scripted_server helper(
      [](const std::string&) { return Answer("200 OK", "", "done"); });
  {
    running_relay relay(MakeRoute(route_kind::kRepeatable), {FreePort()});
    relay.SetHelpers({stopping.port(), helper.port()});
    for (int i = 0; i < 8; ++i) CHECK(relay.Call().head.status == 200);
  }
  const auto asked_before = stopping.requests();
  running_relay relay(MakeRoute(route_kind::kOnce), {FreePort()});
  relay.SetHelpers({stopping.port()});
  CHECK(relay.Call().head.status == 502);
  CHECK(stopping.requests() == asked_before + 1);
}

// Guards against calls that are cut, or told that they may have run, if the
// process ends while they wait for a server.
TEST_CASE("a call that was not sent when the process ends was not run") {
  silent_port silent;
  running_relay relay(MakeRoute(route_kind::kOnce), {silent.port()});
  auto end =
      std::async(std::launch::async, [&] { return CallWithin(relay, 2'000); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  relay.EndCalls();
  const auto refused = end.get();
  REQUIRE(refused.answer.has_value());
  CHECK(refused.answer->head.status == 503);
  CHECK(refused.took_ms < 100 + kMaxLateMs);
}

// Guards against calls that wait for their turn after their caller has left or
// the process has no time left, and against urgent ones that wait.
TEST_CASE("a call that waits for its turn leaves the queue at its end") {
  scripted_server server(
      [](const std::string&) { return Answer("200 OK", "", "x"); });
  auto item = MakeRoute(route_kind::kRepeatable);
  item.prompts = true;
  item.priority = 1;
  item.objective_ms = 1'500;
  relay_settings settings;
  settings.admission = true;
  running_relay relay(item, {server.port()}, {}, settings);
  // An objective of 1,500 ms leaves slack for 750.
  relay.ReportQueue(400);
  CHECK(relay.Call({{"Parts", "12"}}).body == "x");
  relay.ReportQueue(1'000);
  CHECK(relay.Call({{"Parts", "12"}}, "", "/urgent/").body == "x");
  SUBCASE("the process stops") {
    auto call = std::async(std::launch::async, [&] {
      return relay.Call({{"Parts", "12"}});
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(relay.CountWaiting() == 1);
    relay.EndCalls();
    CHECK(call.get().head.status == 503);
  }
  SUBCASE("the caller disconnects") {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), relay.port()});
    asio::write(socket, asio::buffer(std::string(
                            "GET / HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
                            "Parts: 12\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(relay.CountWaiting() == 1);
    socket.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(relay.CountWaiting() == 0);
  CHECK(server.requests() == 2);
}

// Guards against calls that may run once and are refused for the work of a
// model that this process has chosen for them, although there is room for a
// smaller.
TEST_CASE(
    "a call that may run once goes to the model for which there is room") {
  scripted_server server([](const std::string& request) {
    const bool is_large = request.find("Model: large") != std::string::npos;
    return Answer("200 OK", "", is_large ? "large" : "small");
  });
  auto item = MakeRoute(route_kind::kOnce);
  item.prompts = true;
  item.priority = 1;
  item.objective_ms = 1'500;
  item.models = {"small", "large"};
  relay_settings settings;
  settings.admission = true;
  running_relay relay(item, {server.port()}, {}, settings);
  const auto set_cost = [&](double cost) {
    relay.ChangeRoutes([&](route_config& routes) {
      routes.services[0].models = {{"small", 1}, {"large", cost}};
    });
  };
  set_cost(2);
  relay.ReportQueue(10);
  CHECK(relay.Call({{"Parts", "12"}}).body == "large");
  // Its work alone takes longer than the caller's limit.
  set_cost(5'000);
  relay.ReportQueue(10);
  CHECK(relay.Call({{"Parts", "12"}}).body == "small");
}

// Guards against calls that wait in deployments that do not ask for it.
TEST_CASE("no call waits for its turn unless admission is switched on") {
  scripted_server server(
      [](const std::string&) { return Answer("200 OK", "", "x"); });
  auto item = MakeRoute(route_kind::kRepeatable);
  item.prompts = true;
  item.priority = 1;
  item.objective_ms = 1'500;
  running_relay relay(item, {server.port()});
  relay.ReportQueue(1'000'000);
  CHECK(relay.Call({{"Parts", "12"}}).body == "x");
}

// Guards against requests to a server that has said that it shuts down, while
// the list does not show it yet.
TEST_CASE("a server that announces its end gets no more requests") {
  scripted_server leaving([](const std::string&) {
    return Answer("200 OK", "Leaving: 1\r\n", "last");
  });
  scripted_server other(
      [](const std::string&) { return Answer("200 OK", "", "other"); });
  const running_relay relay(MakeRoute(route_kind::kOnce),
                            {leaving.port(), other.port()});
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) CHECK(relay.Call().head.status == 200);
  CHECK(leaving.requests() == 1);
  CHECK(other.requests() == kCalls - 1);
}

// Guards against callers who are told to come back late, as in a partition,
// though other servers of a service that is replaced are about to be listed.
TEST_CASE("callers come back soon if all servers are leaving") {
  scripted_server leaving([](const std::string&) {
    return Answer("200 OK", "Leaving: 1\r\n", "last");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {leaving.port()});
  CHECK(relay.Call().body == "last");
  const auto refused = relay.Call();
  CHECK(refused.head.status == 503);
  CHECK(std::stod(std::string(refused.head.Header("Retry-After"))) < 0.5);
  CHECK(leaving.requests() == 1);
}

// Guards against requests to a server that wants none for a while.
TEST_CASE("a server that asks for a pause gets no requests until it ends") {
  std::atomic<bool> is_paused = true;
  scripted_server server([&](const std::string&) {
    return is_paused ? Answer("503 Service Unavailable",
                              "Not-Run: 1\r\nPause: 0.6\r\n", "")
                     : Answer("200 OK", "", "x");
  });
  const running_relay relay(MakeRoute(route_kind::kRepeatable),
                            {server.port()});
  for (int i = 0; i < 10; ++i) {
    const auto refused = CallWithin(relay, 2'000);
    REQUIRE(refused.answer.has_value());
    CHECK(refused.answer->head.status == 503);
    CHECK(refused.took_ms < 200);
    const auto after_s =
        std::stod(std::string(refused.answer->head.Header("Retry-After")));
    CHECK(after_s > 0);
    CHECK(after_s <= 0.6);
  }
  CHECK(server.requests() == 1);
  is_paused = false;
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  CHECK(relay.Call().head.status == 200);
}

// Guards against a brittle server that falls over as one entry repeats what it
// rejects for want of room.
TEST_CASE("a brittle server that rejects a request gets no more for a while") {
  scripted_server full([](const std::string&) {
    return Answer("503 Full", "Not-Run: 1\r\nMax-Rejections: 2\r\n", "");
  });
  scripted_server good(
      [](const std::string&) { return Answer("200 OK", "", "done"); });
  const running_relay relay(MakeRoute(route_kind::kOnce),
                            {full.port(), good.port()}, /*retries=*/100);
  for (int i = 0; i < 20; ++i) CHECK(relay.Call().body == "done");
  CHECK(full.requests() <= 1);
}

// Guards against limits that end with the next failure and begin again with the
// next answer.
TEST_CASE("a refusal that names no limit does not end one") {
  int answered = 0;
  scripted_server limited([&](const std::string&) {
    return ++answered == 1
               ? Answer("503 Service Unavailable",
                        "Not-Run: 1\r\nServer-Limit: 0.1\r\n", "")
               : Answer("503 Service Unavailable", "Not-Run: 1\r\n", "");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {limited.port()});
  for (int i = 0; i < 3; ++i) CHECK(relay.Call().head.status == 503);
  CHECK(limited.requests() == 1);
}

// Guards against one caller who names a model that no server has, after which
// no server gets requests of any caller (CONFIG).
TEST_CASE("a call for a model that its route does not have is refused") {
  scripted_server server(
      [](const std::string&) { return Answer("200 OK", "", "done"); });
  auto item = MakeRoute(route_kind::kOnce);
  item.models = {"small", "large"};
  const running_relay relay(item, {server.port()});
  for (const std::string model : {"medium", "", "small,large"}) {
    CAPTURE(model);
    CHECK(relay.Call({{"Model", model}}).head.status == 421);
  }
  CHECK(server.requests() == 0);
  CHECK(relay.Call({{"Model", "large"}}).head.status == 200);
  CHECK(relay.Call({{"Model", "*"}}).head.status == 200);
}

// Guards against the same where the entry does not know the models.
TEST_CASE("a refusal for the caller's model is not held against the server") {
  const auto script = [](const std::string& request) {
    const bool has_model = request.find("Model: medium") == std::string::npos;
    return has_model ? Answer("200 OK", "", "done")
                     : Answer("421 Misdirected Request", "", "");
  };
  scripted_server a(script);
  scripted_server b(script);
  scripted_server c(script);
  const running_relay relay(MakeRoute(route_kind::kOnce),
                            {a.port(), b.port(), c.port()}, /*retries=*/100);
  for (int i = 0; i < 5; ++i) {
    const auto asked_before = a.requests() + b.requests() + c.requests();
    CHECK(relay.Call({{"Model", "medium"}}).head.status == 421);
    CHECK(a.requests() + b.requests() + c.requests() <= asked_before + 2);
    CHECK(relay.Call().head.status == 200);
    CHECK(relay.Call({{"Model", "large"}}).head.status == 200);
  }
}

// Guards against the same for a model that the routes name and no server has.
TEST_CASE("servers without one of a route's models serve the other ones") {
  std::atomic<int> served = 0;
  const auto script = [&](const std::string& request) {
    if (request.find("Model: absent") != std::string::npos) {
      return Answer("421 Misdirected Request", "", "");
    }
    ++served;
    return Answer("200 OK", "", "done");
  };
  scripted_server server(script);
  auto item = MakeRoute(route_kind::kRepeatable);
  item.models = {"absent", "large"};
  const running_relay relay(item, {server.port()}, /*retries=*/100);
  CHECK(relay.Call({{"Model", "*"}}).head.status == 503);
  CHECK(relay.Call({{"Model", "large"}}).head.status == 200);
  CHECK(relay.Call({{"Model", "*"}}).head.status == 503);
  CHECK(relay.Call({{"Model", "large"}}).head.status == 200);
  CHECK(served == 2);
}

// Guards against calls that may run once and are refused although the smallest
// model could answer them: they start on the largest one.
TEST_CASE("a call that may run once needs only one of its route's models") {
  std::atomic<int> served = 0;
  scripted_server server([&](const std::string& request) {
    if (request.find("Model: absent") != std::string::npos) {
      return Answer("421 Misdirected Request", "", "");
    }
    ++served;
    return Answer("200 OK", "Confidence: 0.1\r\n", "done");
  });
  auto item = MakeRoute(route_kind::kOnce);
  item.models = {"small", "absent"};
  const running_relay relay(item, {server.port()}, /*retries=*/100);
  CHECK(relay.Call({{"Model", "*"}}).head.status == 200);
  CHECK(relay.Call({{"Model", "small"}}).head.status == 200);
  CHECK(relay.Call({{"Model", "*"}}).head.status == 200);
  CHECK(served == 3);
}

// Guards against a server that stays out of use for good after another one had
// its address for a while.
TEST_CASE("a server at a reassigned address is asked again after a while") {
  std::atomic<bool> is_reassigned = true;
  scripted_server reassigned([&](const std::string&) {
    return is_reassigned ? Answer("421 Misdirected Request", "", "")
                         : Answer("200 OK", "", "back");
  });
  scripted_server other(
      [](const std::string&) { return Answer("200 OK", "", "other"); });
  const running_relay relay(MakeRoute(route_kind::kOnce),
                            {reassigned.port(), other.port()},
                            /*retries=*/100);
  for (int i = 0; i < 20; ++i) CHECK(relay.Call().body == "other");
  CHECK(reassigned.requests() == 1);
  is_reassigned = false;
  std::this_thread::sleep_for(std::chrono::milliseconds(2'100));
  int answered_by_it = 0;
  for (int i = 0; i < 20; ++i) {
    answered_by_it += relay.Call().body == "back" ? 1 : 0;
  }
  CHECK(answered_by_it > 0);
}

// Guards against sound calls that are refused as long as they come, after
// another part of prompts has crashed servers while they paused: the entry has
// blamed a part that they share.
TEST_CASE("a call without the bad part ends the quarantine of a sound one") {
  std::vector<std::unique_ptr<scripted_server>> servers;
  std::vector<std::uint16_t> ports;
  for (int i = 0; i < 5; ++i) {
    servers.push_back(std::make_unique<scripted_server>(
        [](const std::string& request) {
          const bool is_bad = request.find("Parts: 17") != std::string::npos;
          return is_bad ? "" : Answer("200 OK", "", "done");
        },
        std::chrono::milliseconds(0), "", std::chrono::milliseconds(1'200)));
    ports.push_back(servers.back()->port());
  }
  auto item = MakeRoute(route_kind::kRepeatable);
  item.max_attempts = 1;
  const running_relay relay(item, ports);
  int number = 0;
  // Parts 1 and 3 are shared, 7 is the bad one, the last part is the call's
  // own.
  const auto call = [&](const std::string& shared) {
    ++number;
    return relay.Call({{"Parts", shared + "9"}}, std::to_string(number));
  };
  const auto is_refused = [&](const std::string& shared) {
    return call(shared).body.find("quarantined") != std::string::npos;
  };
  const auto wait_for = [](const auto& condition) {
    for (int i = 0; i < 100; ++i) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  };
  REQUIRE(wait_for([&] { return is_refused("173"); }));
  CHECK(wait_for([&] { return call("13").head.status == 200; }));
  CHECK(wait_for([&] { return call("13").head.status == 200; }));
  // The bad part is blamed at once.
  CHECK(is_refused("173"));
  CHECK(is_refused("17"));
  CHECK(call("13").head.status == 200);
}

// Guards against light prompts at servers whose streams heavy ones may delay
// anyway, although their own group is idle.
TEST_CASE("light prompts go to the servers of their group") {
  std::vector<std::unique_ptr<scripted_server>> servers;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < service_groups::kMinServers; ++i) {
    servers.push_back(std::make_unique<scripted_server>(
        [](const auto&) { return Answer("200 OK", "", "x"); }));
    ports.push_back(servers.back()->port());
  }
  route item;
  item.open = true;
  item.prompts = true;
  item.pause_ms = 1'200;
  item.timeout_ms = 2'000;
  item.objective_ms = 500;
  running_relay relay(item, ports);
  relay.SetHeavyShare(0.5);
  for (char part = '0'; part <= '9'; ++part) {
    CHECK(relay.Call({{"Parts", std::string(1, part) + "0"}}).head.status ==
          200);
  }
  const auto heavy = relay.HeavyServers();
  CHECK(heavy.size() == 3);
  for (const auto& server : servers) {
    if (heavy.contains(server->port())) CHECK(server->requests() == 0);
  }
}

// Guards against long prompts that are asked again of the largest model, where
// they are late, because its mean time to the first event is short enough.
TEST_CASE("an escalation that its size would make late is given up") {
  scripted_server server([](const auto&) {
    return Answer("200 OK", "Confidence: 0.01\r\n", "x");
  });
  route item;
  item.open = true;
  item.timeout_ms = 2'000;
  item.objective_ms = 10'000;
  item.max_attempts = 2;
  item.models = {"small", "large"};
  running_relay relay(item, {server.port()});
  relay.SetLargestModelAnswers(/*first_event_ms=*/3'000, /*tokens=*/100);
  CHECK(relay.Call({{"Tokens", "1000"}}).head.status == 200);
  CHECK(server.requests() == 1);
  CHECK(relay.Metrics().find(
            "lovagedale_escalations_given_up_total{customer=\"\",model="
            "\"large\",reason=\"late\"} 1") != std::string::npos);
  relay.SetLargestModelAnswers(3'000, 100);
  CHECK(relay.Call({{"Tokens", "100"}}).head.status == 200);
  CHECK(server.requests() == 3);
}

}  // namespace lovagedale::testing
