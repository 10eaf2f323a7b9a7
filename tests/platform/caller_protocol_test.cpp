#include "caller_protocol.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {
namespace {

auto ValidRequest() -> http_request {
  http_request request;
  request.method = "POST";
  request.target = "/c/x?y=1";
  request.body = "text";
  request.headers = {{"Host", "h.example"},
                     {"X-Lovagedale-Request-Id", "r1"},
                     {"X-Lovagedale-Deadline-Ms", "8000"},
                     {"X-Lovagedale-Model", "*"},
                     {"X-Lovagedale-Token-Usage", "1460,80"},
                     {"X-Lovagedale-Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
                     {"Authorization", "Token secret"},
                     {"Session", "s1"},
                     {"X-Other", "kept"}};
  return request;
}

auto CountHeaders(const http_request& request, std::string_view name) -> int {
  int count = 0;
  for (const auto& header : request.headers) {
    if (header.first == name) ++count;
  }
  return count;
}

const platform::caller_protocol kProtocol;

}  // namespace

TEST_CASE("a caller's headers are parsed into a call") {
  const auto call = kProtocol.ReadCall(ValidRequest());
  CHECK(call.id == "r1");
  CHECK(call.key == "secret");
  CHECK(call.session == "s1");
  CHECK(call.time_limit_ms == 8'000);
  CHECK(call.prompt_tokens == 1'460);
  CHECK(call.max_output_tokens == 80);
  CHECK(call.parts ==
        std::vector<prompt_part>{{0x5c1e07a2, 800}, {0x91bd3f06, 410}});
  CHECK_FALSE(call.after_event);
}

TEST_CASE("repeated, malformed and missing protocol headers are refused") {
  const auto expect_malformed = [](const std::string& name,
                                   const std::string& value) {
    auto request = ValidRequest();
    std::erase_if(request.headers,
                  [&](const auto& header) { return header.first == name; });
    request.headers.emplace_back(name, value);
    CHECK_THROWS_AS(kProtocol.ReadCall(request), call_malformed);
  };
  expect_malformed("X-Lovagedale-Deadline-Ms", "soon");
  expect_malformed("X-Lovagedale-Deadline-Ms", "-1");
  expect_malformed("X-Lovagedale-Deadline-Ms", "nan");
  expect_malformed("X-Lovagedale-Token-Usage", "12");
  expect_malformed("X-Lovagedale-Prefix-Hash", "xyz:1");
  expect_malformed("X-Lovagedale-Request-Id", "");
  expect_malformed("Last-Event-Id", "x");
  auto repeated = ValidRequest();
  repeated.headers.emplace_back("x-lovagedale-deadline-ms", "9000");
  CHECK_THROWS_AS(kProtocol.ReadCall(repeated), call_malformed);
}

TEST_CASE(
    "a forwarded request has the remaining time, but not the caller's key or "
    "forged headers") {
  auto request = ValidRequest();
  request.headers.emplace_back("Connection", "keep-alive, X-Hop");
  request.headers.emplace_back("X-Hop", "mine");
  request.headers.emplace_back("X-Lovagedale-Tenant", "forged");
  request.headers.emplace_back("X-Lovagedale-Kv-Retention", "forged");
  request.headers.emplace_back("Kv-From", "forged");
  listed_server server;
  server.id = "i-1";
  call_dispatch dispatch;
  dispatch.server = &server;
  dispatch.customer = "carts";
  dispatch.remaining_ms = 500;
  dispatch.model = "small";
  dispatch.after_event = 12;
  const auto sent =
      kProtocol.ServerRequest(request, kProtocol.ReadCall(request), dispatch);
  CHECK(sent.method == "POST");
  CHECK(sent.target == "/c/x?y=1");
  CHECK(sent.body == "text");
  CHECK(sent.Header("Host") == "h.example");
  CHECK(sent.Header("X-Other") == "kept");
  CHECK(sent.Header("X-Lovagedale-Request-Id") == "r1");
  CHECK(sent.Header("X-Lovagedale-Deadline-Ms") == "500");
  CHECK(CountHeaders(sent, "X-Lovagedale-Deadline-Ms") == 1);
  CHECK(sent.Header("X-Lovagedale-Target-Replica") == "i-1");
  CHECK(sent.Header("X-Lovagedale-Tenant") == "carts");
  CHECK(CountHeaders(sent, "X-Lovagedale-Tenant") == 1);
  CHECK(sent.Header("X-Lovagedale-Model") == "small");
  CHECK(sent.Header("Last-Event-Id") == "12");
  CHECK(sent.Header("Authorization").empty());
  CHECK(sent.Header("X-Lovagedale-Kv-Retention").empty());
  CHECK(sent.Header("Kv-From").empty());
  CHECK(sent.Header("X-Hop").empty());
}

TEST_CASE("the caller's model is told from none and from a free choice") {
  auto request = ValidRequest();
  auto call = kProtocol.ReadCall(request);
  CHECK(call.leaves_model_choice);
  CHECK_FALSE(call.model);
  for (const std::string named : {"large", ""}) {
    for (auto& [name, value] : request.headers) {
      if (name == "X-Lovagedale-Model") value = named;
    }
    call = kProtocol.ReadCall(request);
    CHECK_FALSE(call.leaves_model_choice);
    CHECK(call.model == named);
  }
  std::erase_if(request.headers, [](const auto& header) {
    return header.first == "X-Lovagedale-Model";
  });
  call = kProtocol.ReadCall(request);
  CHECK_FALSE(call.leaves_model_choice);
  CHECK_FALSE(call.model);
}

TEST_CASE("a model named by the caller is not replaced") {
  auto request = ValidRequest();
  for (auto& [name, value] : request.headers) {
    if (name == "X-Lovagedale-Model") value = "large";
  }
  listed_server server;
  call_dispatch dispatch;
  dispatch.server = &server;
  dispatch.model = "small";
  const auto sent =
      kProtocol.ServerRequest(request, kProtocol.ReadCall(request), dispatch);
  CHECK(sent.Header("X-Lovagedale-Model") == "large");
  CHECK(CountHeaders(sent, "X-Lovagedale-Model") == 1);
}

TEST_CASE(
    "an answer's request id, limit, confidence and not-run status are parsed") {
  http_response_head head;
  head.status = 200;
  head.headers = {{"X-Lovagedale-Request-Id", "r1"},
                  {"X-Lovagedale-Confidence", "42"},
                  {"Server-Limit", "2.5"}};
  CHECK(kProtocol.ReadAnswer(head) ==
        server_answer_metadata{
            .request_id = "r1", .limit_per_s = 2.5, .confidence = 0.42});
  head.headers = {{"Server-Limit", "many"}};
  CHECK(kProtocol.ReadAnswer(head).is_limit_unreadable);
  head = {};
  head.status = 503;
  CHECK_FALSE(kProtocol.ReadAnswer(head).not_run);
  head.headers = {{"X-Lovagedale-Not-Executed", "1"}};
  CHECK(kProtocol.ReadAnswer(head).not_run);
  head = {};
  head.status = 421;
  CHECK(kProtocol.ReadAnswer(head).is_misdirected);
  CHECK(kProtocol.ReadAnswer(head).not_run);
}

TEST_CASE("a server's notices of its state are read, and bad ones are named") {
  http_response_head head;
  head.status = 503;
  head.headers = {
      {"Server-Leaving", "1"}, {"Server-Brittle", "4"}, {"Retry-After", "1.5"}};
  auto metadata = kProtocol.ReadAnswer(head);
  CHECK(metadata.is_leaving);
  CHECK(metadata.max_rejections_per_s == 4);
  CHECK(metadata.pause_s == 1.5);
  CHECK(metadata.unreadable_notices.empty());
  head.headers = {{"Server-Leaving", "soon"},
                  {"Server-Brittle", "0"},
                  {"Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT"}};
  metadata = kProtocol.ReadAnswer(head);
  CHECK_FALSE(metadata.is_leaving);
  CHECK_FALSE(metadata.max_rejections_per_s);
  CHECK_FALSE(metadata.pause_s);
  CHECK(metadata.unreadable_notices ==
        "Server-Leaving,Server-Brittle,Retry-After");
  // A failure of the request's own says nothing about the next one.
  head.status = 500;
  head.headers = {{"Retry-After", "1"}};
  CHECK_FALSE(kProtocol.ReadAnswer(head).pause_s);
}

}  // namespace lovagedale::testing
