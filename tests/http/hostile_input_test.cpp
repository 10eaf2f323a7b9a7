// The HTTP and JSON readers against damaged and random input. The seed is
// rapidcheck's (RC_PARAMS="seed=N" repeats a run).

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <future>
#include <string>
#include <thread>

#include "lovagedale/common/bounded_json.h"
#include "lovagedale/http/server.h"

namespace lovagedale::testing {
namespace {

namespace asio = boost::asio;

/// Bytes of valid requests, with some replaced, removed or repeated.
auto DamagedText(const std::vector<std::string>& samples) -> std::string {
  auto text = *rc::gen::elementOf(samples);
  const auto changes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 20);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

}  // namespace

// Guards against input that ends or hangs the process, leaves memory in the
// account, or runs a request other than a whole one.
TEST_CASE("damaged requests leave nothing behind in the account") {
  asio::io_context context{1};
  const auto account = std::make_shared<connection_account>(
      account_limits{{50, 8UL << 20U}, {50, 8UL << 20U}});
  http_limits limits;
  limits.max_body_bytes = 1'000;
  limits.header_timeout = std::chrono::milliseconds(20);
  limits.body_timeout = std::chrono::milliseconds(20);
  limits.idle_timeout = std::chrono::milliseconds(20);
  http_server server(context, "127.0.0.1", 0, false, limits,
                     [](http_exchange& exchange) {
                       exchange.RespondJson(200, exchange.request().body);
                     },
                     {account, port_class::kGeneral});
  const auto port = server.port();
  std::thread thread([&] { context.run(); });
  const std::vector<std::string> samples = {
      "POST /a?b=c&d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n",
      "GET / HTTP/1.1\r\nA: b\r\n\r\nGET / HTTP/1.0\r\n\r\n",
      "PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"};
  const auto send = [&](const std::string& bytes) {
    asio::io_context client_context;
    asio::ip::tcp::socket socket(client_context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  };
  CHECK(rc::check([&] {
    const auto answer = send(DamagedText(samples));
    RC_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 "));
  }));
  CHECK(send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200"));
  std::promise<account_counts> counts;
  asio::post(context,
             [&] { counts.set_value(account->counts(port_class::kGeneral)); });
  const auto left = counts.get_future().get();
  CHECK(left.connections <= 1);
  CHECK(left.bytes <= connection_account::kConnectionBytes);
  context.stop();
  thread.join();
}

// Guards against a JSON text whose parsed form takes many times its size.
TEST_CASE("a parsed form is bounded, and equal to an unbounded one") {
  const std::vector<std::string> samples = {
      R"({"a":[1,2.5,"x",null,true],"b":{"c":"\u00e9"},"d":-7})",
      R"([[],[{}],[{"a":0},{"a":0}]])", R"("text")"};
  CHECK(rc::check([&] {
    const auto text = DamagedText(samples);
    boost::system::error_code expected_error;
    const auto expected = boost::json::parse(text, expected_error);
    boost::system::error_code error;
    const auto value = ParseBoundedJson(text, 1UL << 20U, error);
    RC_ASSERT(error.failed() == expected_error.failed());
    if (!error) RC_ASSERT(value == expected);
  }));
  std::string fields = "[";
  for (int i = 0; i < 100'000; ++i) fields += R"({"a":0},)";
  fields += "0]";
  boost::system::error_code error;
  CHECK_THROWS_AS(ParseBoundedJson(fields, 1UL << 20U, error), json_too_large);
  CHECK(ParseBoundedJson(fields, 64UL << 20U, error).as_array().size() ==
        100'001);
}

}  // namespace lovagedale::testing
