#include "config_document.h"

#include <doctest/doctest.h>

#include "lovagedale/route/route_table.h"

namespace lovagedale::testing {
namespace {

using platform::document_invalid;
using platform::ParseConfigDocument;

constexpr const char* kValidDocument = R"({
  "version": 7, "new_field": [1],
  "routes": [
    {"name": "chat", "host": "h.example", "path_prefix": "/c/",
     "route_type": "streaming", "timeout_ms": 5000.0, "target_latency_ms": 1000,
     "priority": 1, "model_tiers": ["small", "large"],
     "traffic_split": [{"backend": "engines", "weight": 90},
                       {"backend": "shop", "weight": 10}],
     "max_attempts": 3, "public": true, "session_affinity": true,
     "stream_resume": true, "itl_target_ms": 800},
    {"name": "order", "host": "h.example", "path_prefix": "/o/",
     "route_type": "non_idempotent", "timeout_ms": 1500, "backend": "shop",
     "max_attempts": 1}],
  "backends": [
    {"name": "engines", "max_connections": 360,
     "runtime": {"models": [{"name": "small", "cost": 0.02}]}},
    {"name": "shop", "max_connections": 96}],
  "limits": {"max_header_bytes": 1000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "carts", "api_keys": ["k1", "k2"], "priority": 1}]})";

auto Replaced(std::string text, const std::string& from, const std::string& to)
    -> std::string {
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

TEST_CASE("the operator's document is parsed into a route configuration") {
  const auto config = ParseConfigDocument(kValidDocument);
  CHECK(config.version == 7);
  REQUIRE(config.routes.size() == 2);
  const auto& chat = config.routes[0];
  CHECK(chat.kind == route_kind::kStream);
  CHECK(chat.resumable);
  CHECK(chat.open);
  CHECK(chat.prompts);
  CHECK(chat.timeout_ms == 5'000);
  CHECK(chat.objective_ms == 1'000);
  CHECK(chat.pause_ms == 800);
  CHECK(chat.max_attempts == 3);
  CHECK(chat.services ==
        std::vector<weighted_service>{{"engines", 90}, {"shop", 10}});
  CHECK(chat.models == std::vector<std::string>{"small", "large"});
  CHECK(config.routes[1].kind == route_kind::kOnce);
  CHECK_FALSE(config.routes[1].open);
  CHECK(config.services[0].models[0].cost == doctest::Approx(0.02));
  CHECK(config.limits.header_bytes == 1'000);
  CHECK(config.limits.idle_timeout_ms == 15'000);
  CHECK(config.customers[0].keys.size() == 2);
  CHECK(config.customers[0].priority == 1U);
}

// Guards against a document that takes away the last customer, and with it lets
// every caller in.
TEST_CASE("an empty list of customers admits nobody") {
  const auto table_of = [](const std::string& list) {
    return route_table(ParseConfigDocument(Replaced(kValidDocument,
                                                    R"(,
  "tenants": [{"name": "carts", "api_keys": ["k1", "k2"], "priority": 1}])",
                                                    list)));
  };
  for (const std::string list : {"[]", "null", R"([{"name": "carts"}])",
                                 R"([{"name": "carts", "api_keys": []}])"}) {
    CAPTURE(list);
    const auto table = table_of(R"(, "tenants": )" + list);
    for (const auto* key : {"", "k1", "k9"}) {
      CHECK(table.Match("h.example", "/o/", key).verdict ==
            route_verdict::kUnknownKey);
      CHECK(table.Match("h.example", "/c/", key).verdict ==
            route_verdict::kAllowed);
    }
  }
  CHECK(table_of("").Match("h.example", "/o/", "").verdict ==
        route_verdict::kAllowed);
}

TEST_CASE("truncated and invalid documents are refused") {
  const std::string document = kValidDocument;
  for (std::size_t length = 0; length < document.size(); length += 7) {
    CHECK_THROWS_AS(ParseConfigDocument(document.substr(0, length)),
                    document_invalid);
  }
  CHECK_THROWS_AS(ParseConfigDocument(Replaced(document, R"("version": 7)",
                                               R"("version": "7")")),
                  document_invalid);
  CHECK_THROWS_AS(ParseConfigDocument(
                      Replaced(document, R"("weight": 90)", R"("weight": -1)")),
                  document_invalid);
  CHECK_THROWS_AS(
      ParseConfigDocument(Replaced(document, "non_idempotent", "sometimes")),
      document_invalid);
  CHECK_THROWS_AS(ParseConfigDocument(Replaced(
                      document, R"("timeout_ms": 1500)", R"("timeout_ms": 0)")),
                  document_invalid);
}

// Guards against an unusable limit that makes the whole document invalid, or
// stops all requests to a service.
TEST_CASE("limits for cold servers are read, and left out if not valid") {
  const auto limits_of = [](const std::string& fields) {
    return platform::ParseColdLimits(R"({"backends":[{"name":"other"},)"
                                     R"({"name":"engines")" +
                                     fields + "}]}");
  };
  CHECK(limits_of(R"(,"cold_start_s":3,"cold_per_s":11)") ==
        std::vector<service_cold_limit>{{"engines", 11, 3'000}});
  CHECK(limits_of(R"(,"cold_start_s":-1,"cold_per_s":0.5)") ==
        std::vector<service_cold_limit>{{"engines", 0.5, 0}});
  CHECK(limits_of("").empty());
  for (const auto* value : {"null", "0", "-2", "\"11\"", "1e400", "[11]"}) {
    CAPTURE(value);
    CHECK(limits_of(R"(,"cold_start_s":3,"cold_per_s":)" + std::string(value))
              .empty());
  }
  CHECK(platform::ParseColdLimits("").empty());
  CHECK(platform::ParseColdLimits(kValidDocument).empty());
}

}  // namespace lovagedale::testing
