#include "lovagedale/route/route_table.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {
namespace {

auto MakeRoute(std::string name, std::string prefix) -> route {
  route item;
  item.name = std::move(name);
  item.host = "shop.example";
  item.prefix = std::move(prefix);
  item.timeout_ms = 1'000;
  item.services = {{"engines", 1}};
  return item;
}

auto MakeConfig() -> route_config {
  route_config config;
  config.version = 3;
  config.routes = {MakeRoute("wide", "/a/"), MakeRoute("narrow", "/a/b/")};
  config.services = {{"engines", 10, {}}};
  config.customers = {{"carts", {"key1", "key2"}, 0}, {"gloves", {"key3"}, {}}};
  return config;
}

}  // namespace

TEST_CASE("the route of the host with the longest matching prefix is chosen") {
  const route_table table(MakeConfig());
  CHECK(table.Match("shop.example", "/a/b/c", "key1").matched_route->name ==
        "narrow");
  CHECK(table.Match("SHOP.example:80", "/a/x", "key1").matched_route->name ==
        "wide");
  CHECK(table.Match("shop.example", "/ab/", "key1").verdict ==
        route_verdict::kNoRoute);
  CHECK(table.Match("other.example", "/a/", "key1").verdict ==
        route_verdict::kNoRoute);
}

TEST_CASE("a route needs a customer's key unless it is open") {
  auto config = MakeConfig();
  config.routes[1].open = true;
  const route_table table(config);
  CHECK(table.Match("shop.example", "/a/", "").verdict ==
        route_verdict::kUnknownKey);
  CHECK(table.Match("shop.example", "/a/", "key9").verdict ==
        route_verdict::kUnknownKey);
  CHECK(table.Match("shop.example", "/a/", "key2").customer->name == "carts");
  CHECK(table.Match("shop.example", "/a/b/", "").verdict ==
        route_verdict::kAllowed);
}

// Guards against callers without a key who pass for a customer whose key is
// empty.
TEST_CASE("an empty key belongs to no customer") {
  auto config = MakeConfig();
  config.customers.front().keys = {"", "key1"};
  const route_table table(config);
  CHECK(table.Match("shop.example", "/a/", "").verdict ==
        route_verdict::kUnknownKey);
  CHECK(table.Match("shop.example", "/a/", "key1").customer->name == "carts");
}

TEST_CASE("a customer's priority overrides its route's") {
  auto config = MakeConfig();
  config.routes[0].priority = 2;
  const route_table table(config);
  CHECK(table.Match("shop.example", "/a/", "key1").Priority() == 0);
  CHECK(table.Match("shop.example", "/a/", "key3").Priority() == 2);
}

TEST_CASE("requests are divided among services by weight") {
  route item;
  item.services = {{"old", 9}, {"new", 1}, {"none", 0}};
  int new_count = 0;
  for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
    const auto& service = ChooseService(item, hash);
    CHECK(service != "none");
    if (service == "new") ++new_count;
  }
  CHECK(new_count == 100);
}

TEST_CASE(
    "an invalid configuration is refused with the field and allowed values") {
  CHECK_FALSE(FindConfigProblem(MakeConfig()));

  auto unknown = MakeConfig();
  unknown.routes[0].services = {{"nobody", 1}};
  CHECK(FindConfigProblem(unknown)->find("a service of this configuration") !=
        std::string::npos);

  auto duplicate_prefix = MakeConfig();
  duplicate_prefix.routes[1].prefix = "/a/";
  CHECK(FindConfigProblem(duplicate_prefix));

  auto zero_weight = MakeConfig();
  zero_weight.routes[0].services = {{"engines", 0}};
  CHECK(FindConfigProblem(zero_weight));

  auto zero_timeout = MakeConfig();
  zero_timeout.routes[0].timeout_ms = 0;
  CHECK(FindConfigProblem(zero_timeout)->find("more than 0") !=
        std::string::npos);

  auto shared_key = MakeConfig();
  shared_key.customers[1].keys = {"key2"};
  CHECK(FindConfigProblem(shared_key));

  auto own_key_twice = MakeConfig();
  own_key_twice.customers[0].keys = {"key1", "key1"};
  CHECK_FALSE(FindConfigProblem(own_key_twice));
}

}  // namespace lovagedale::testing
