#include "lovagedale/relay/relay.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "support/plain_protocol.h"

namespace lovagedale::testing {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A server whose script maps a request's head to the raw bytes of the answer;
/// empty closes the connection at once. If `down_after_empty` is set, it then
/// refuses connections for that time.
class scripted_server {
 public:
  using script = std::function<std::string(const std::string& request)>;

  explicit scripted_server(script answers,
                           std::chrono::milliseconds down_after_empty = {})
      : answers_(std::move(answers)),
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
  }

  script answers_;
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

/// An entry's relay on a thread of its own.
class running_relay {
 public:
  running_relay(route item, const std::vector<std::uint16_t>& ports)
      : state_(context_, Settings()),
        relay_(state_, {}),
        server_(context_, "127.0.0.1", 0, false, http_limits{},
                [this](http_exchange& exchange) { relay_.Handle(exchange); }) {
    fleet_view view;
    view.revision = 1;
    view.routes.version = 1;
    item.name = "route";
    item.host = "h";
    item.prefix = "/";
    item.services = {{"engines", 1}};
    view.routes.routes = {item};
    view.routes.services = {{"engines", 10, {}}};
    state_.view = std::make_shared<const routing_view>(view);
    server_list list{1, {}};
    for (const auto port : ports) {
      list.servers.push_back({"s" + std::to_string(port), "engines",
                              "127.0.0.1", port, "", "v1", 4, false, 0});
    }
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
  auto Call(const header_list& headers = {},
            const std::string& body = "body") const -> http_answer {
    http_request request;
    request.method = "POST";
    request.target = "/x?y";
    request.headers = {{"Host", "h"}, {"Id", "r1"}, {"Limit", "2000"}};
    for (const auto& header : headers) request.headers.push_back(header);
    request.body = body;
    return BlockingHttpCall("127.0.0.1", server_.port(), request, {});
  }

 private:
  /// Enough retries for a single call.
  static auto Settings() -> relay_settings {
    relay_settings settings;
    settings.retry_floor = 10;
    return settings;
  }

  asio::io_context context_{1};
  relay_state state_;
  relay<plain_protocol> relay_;
  http_server server_;
  std::thread thread_;
};

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

TEST_CASE("an answer without a length ends with its connection") {
  scripted_server unframed([](const std::string&) {
    return std::string("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nall of it");
  });
  const running_relay relay(MakeRoute(route_kind::kOnce), {unframed.port()});
  CHECK(relay.Call().body == "all of it");
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
        script, std::chrono::milliseconds(1'200)));
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

}  // namespace lovagedale::testing
