#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "lovagedale/common/codec.h"
#include "lovagedale/route/route_changes.h"

namespace lovagedale::testing {
namespace {

/// Names from a small set, so that two lists share items, in another order and
/// with duplicates too.
auto AnyName() -> std::string {
  return "n" + std::to_string(*rc::gen::inRange(0, 12));
}

auto AnyConfig() -> route_config {
  route_config config;
  config.version = *rc::gen::inRange<route_config_version>(0, 100);
  config.limits.body_bytes = *rc::gen::inRange<std::uint64_t>(1, 4);
  const auto route_count = *rc::gen::inRange(0, 16);
  for (int i = 0; i < route_count; ++i) {
    route item;
    item.name = AnyName();
    item.timeout_ms = *rc::gen::inRange(0, 3);
    item.services = {{AnyName(), 1}};
    config.routes.push_back(item);
  }
  const auto service_count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < service_count; ++i) {
    config.services.push_back({AnyName(), 1, {}});
  }
  const auto customer_count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < customer_count; ++i) {
    config.customers.push_back({AnyName(), {AnyName()}, std::nullopt});
  }
  return config;
}

auto ConfigOfRoutes(std::size_t count) -> route_config {
  route_config config;
  for (std::size_t i = 0; i < count; ++i) {
    route item;
    item.name = "route-" + std::to_string(i);
    item.host = "shop.example";
    item.prefix = "/" + item.name + "/";
    item.services = {{"engines", 1}};
    config.routes.push_back(item);
  }
  return config;
}

}  // namespace

TEST_CASE("changes applied to the configuration before give the one after") {
  CHECK(rc::check([] {
    const auto before = AnyConfig();
    const auto after = AnyConfig();
    const auto changes =
        Decode<route_changes>(Encode(FindRouteChanges(before, after)));
    RC_ASSERT(ApplyRouteChanges(changes, before) == after);
  }));
}

TEST_CASE("changes never read outside the configuration they are applied to") {
  CHECK(rc::check([] {
    const auto changes = FindRouteChanges(AnyConfig(), AnyConfig());
    const auto other = AnyConfig();
    // Either refused or some configuration; its hash tells whether it is right.
    (void)ApplyRouteChanges(changes, other);
  }));
  route_changes changes;
  changes.routes = {{0xffffffff, 0xffffffff, {}}};
  CHECK_FALSE(ApplyRouteChanges(changes, ConfigOfRoutes(3)).has_value());
  changes.routes = {{2, 2, {}}};
  CHECK_FALSE(ApplyRouteChanges(changes, ConfigOfRoutes(3)).has_value());
}

TEST_CASE("the size of changes follows from what changed") {
  const auto before = ConfigOfRoutes(1'500);
  auto after = before;
  after.version = 7;
  after.routes.erase(after.routes.begin() + 700);
  after.routes[20].timeout_ms = 5;
  after.routes.insert(after.routes.begin() + 90,
                      ConfigOfRoutes(2'000).routes[1'999]);
  const auto size = Encode(FindRouteChanges(before, after)).size();
  CHECK(size < 1'000);
  CHECK(Encode(before).size() > 100 * size);
}

}  // namespace lovagedale::testing
