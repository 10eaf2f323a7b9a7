#include "lovagedale/http/server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>
#include <vector>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/http/client.h"

namespace lovagedale::testing {
namespace {

namespace asio = boost::asio;

/// A server on a free port with an event loop on its own thread.
class running_server {
 public:
  running_server(http_limits limits, http_handler handler)
      : server_(context_, "127.0.0.1", 0, false, limits, std::move(handler)),
        thread_([this] { context_.run(); }) {}
  ~running_server() {
    context_.stop();
    thread_.join();
  }
  running_server(const running_server&) = delete;
  auto operator=(const running_server&) -> running_server& = delete;

  auto port() const -> std::uint16_t { return server_.port(); }
  auto Drain() -> void {
    asio::post(context_, [this] {
      server_.BeginDrain();
      server_.CloseIdle();
    });
  }

 private:
  asio::io_context context_{1};
  http_server server_;
  std::thread thread_;
};

/// Sends raw bytes, each part by itself, and returns all data until the server
/// closes the connection.
auto Exchange(std::uint16_t port, const std::vector<std::string>& parts)
    -> std::string {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), port});
  socket.set_option(asio::ip::tcp::no_delay(true));
  boost::system::error_code error;
  for (const auto& part : parts) {
    if (&part != &parts.front()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    asio::write(socket, asio::buffer(part), error);
  }
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

auto Exchange(std::uint16_t port, const std::string& bytes) -> std::string {
  return Exchange(port, std::vector<std::string>{bytes});
}

auto Echo(http_exchange& exchange) -> void {
  exchange.RespondJson(200, exchange.request().body);
}

constexpr const char* kClose = "Connection: close\r\n";

}  // namespace

TEST_CASE("malformed, oversized and slow requests get 400, 413 and 408") {
  http_limits limits;
  limits.max_body_bytes = 100;
  limits.header_timeout = std::chrono::milliseconds(50);
  limits.body_timeout = std::chrono::milliseconds(50);
  running_server server(limits, Echo);
  CHECK(
      Exchange(server.port(), "nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(
      Exchange(server.port(), "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" +
                                  std::string(101, 'x'))
          .starts_with("HTTP/1.1 413"));
  CHECK(Exchange(server.port(), "POST / HTTP/1.1\r\nContent-Le")
            .starts_with("HTTP/1.1 408"));
  CHECK(Exchange(server.port(),
                 "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nabc")
            .starts_with("HTTP/1.1 408"));
  const auto refused = Exchange(server.port(), "nonsense\r\n\r\n");
  CHECK(refused.find("Lovagedale-Ran: no") != std::string::npos);
}

TEST_CASE("a request whose length is given twice or in two ways gets 400") {
  int handled = 0;
  const running_server server({}, [&](http_exchange& exchange) {
    ++handled;
    Echo(exchange);
  });
  const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
  for (const auto* framing :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    const auto answer =
        Exchange(server.port(), head + framing + "\r\n0\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 400"));
  }
  CHECK(handled == 0);
}

// Guards against the end of the process by a caller whose last chunk arrives in
// pieces.
TEST_CASE("a chunked body is read in any pieces") {
  const running_server server({}, Echo);
  const std::string head = std::string("POST / HTTP/1.1\r\n") + kClose +
                           "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string body : {"0\r\n\r\n", "2\r\nok\r\n0\r\nA: b\r\n\r\n"}) {
    std::vector<std::string> parts = {head};
    for (const char byte : body) parts.emplace_back(1, byte);
    const auto answer = Exchange(server.port(), parts);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with(body.starts_with('0') ? "\r\n\r\n" : "ok"));
  }
}

TEST_CASE("a handler's exception gets 500 and the server keeps serving") {
  running_server server({}, [](http_exchange& exchange) {
    if (exchange.request().target == "/fail") throw std::runtime_error("x");
    Echo(exchange);
  });
  CHECK(Exchange(server.port(),
                 std::string("GET /fail HTTP/1.1\r\n") + kClose + "\r\n")
            .starts_with("HTTP/1.1 500"));
  CHECK(Exchange(server.port(),
                 std::string("GET /ok HTTP/1.1\r\n") + kClose + "\r\n")
            .starts_with("HTTP/1.1 200"));
}

TEST_CASE("a draining server completes an active stream, then closes") {
  std::atomic<bool> started{false};
  running_server server({}, [&](http_exchange& exchange) {
    exchange.StartStream(200, "text/event-stream", {});
    started = true;
    for (int i = 0; i < 20; ++i) {
      exchange.Write("data: x\n\n");
      asio::steady_timer timer(exchange.yield().get_executor(),
                               std::chrono::milliseconds(5));
      timer.async_wait(exchange.yield());
    }
    exchange.EndStream();
  });
  std::thread drain([&] {
    while (!started) std::this_thread::yield();
    server.Drain();
  });
  const auto answer = Exchange(
      server.port(), std::string("GET / HTTP/1.1\r\n") + kClose + "\r\n");
  drain.join();
  CHECK(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("a truncated answer is reported as kAnswerBroken") {
  running_server server({}, [](http_exchange& exchange) {
    exchange.StartStream(200, "text/plain", {});
    exchange.Write("part");
    throw caller_disconnected_error("the test truncates the stream");
  });
  try {
    BlockingHttpCall("127.0.0.1", server.port(), {"GET", "/", {}, ""}, {});
    FAIL("a truncated answer was accepted as complete");
  } catch (const http_call_error& error) {
    CHECK(error.failure_stage() == http_call_error::stage::kAnswerBroken);
  }
}

TEST_CASE("a refused connection is reported as kNotSent") {
  std::uint16_t port = 0;
  { port = running_server({}, Echo).port(); }
  try {
    BlockingHttpCall("127.0.0.1", port, {"GET", "/", {}, ""}, {});
    FAIL("a call to a closed port succeeded");
  } catch (const http_call_error& error) {
    CHECK(error.failure_stage() == http_call_error::stage::kNotSent);
  }
}

// Guards against a process that runs out of memory because the bodies of its
// requests are bounded one by one and not in sum.
TEST_CASE("the bodies of requests in progress share a limit of memory") {
  http_limits limits;
  limits.max_held_body_bytes = 1UL << 20U;
  std::atomic<std::size_t> held = 0;
  std::atomic<std::size_t> most_held = 0;
  const running_server server(limits, [&](http_exchange& exchange) {
    const auto bytes = exchange.request().body.size();
    most_held = std::max<std::size_t>(most_held, held += bytes);
    Pause(exchange.yield().get_executor(), std::chrono::milliseconds(300),
          exchange.yield());
    held -= bytes;
    exchange.RespondJson(200, "{}");
  });
  const std::string large(200UL << 10U, 'x');
  const auto post = [&](bool is_chunked, const std::string& body) {
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    return Exchange(
        server.port(),
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
            (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" + (size + body) +
                              "\r\n0\r\n\r\n"
                        : "Content-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body));
  };
  for (const bool is_chunked : {false, true}) {
    CAPTURE(is_chunked);
    most_held = 0;
    std::vector<std::future<std::string>> answers;
    for (int i = 0; i < 8; ++i) {
      answers.push_back(std::async(std::launch::async,
                                   [&] { return post(is_chunked, large); }));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    // Small requests are served beside them.
    CHECK(post(is_chunked, "{}").starts_with("HTTP/1.1 200"));
    int served = 0;
    for (auto& item : answers) {
      const auto answer = item.get();
      if (answer.starts_with("HTTP/1.1 200")) {
        ++served;
      } else {
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
      }
    }
    // Each counts twice: it is held, and sent on.
    CHECK(served >= 1);
    CHECK(2 * most_held <= limits.max_held_body_bytes + (1UL << 16U));
    // The memory is free again.
    CHECK(post(is_chunked, large).starts_with("HTTP/1.1 200"));
  }
}

}  // namespace lovagedale::testing
