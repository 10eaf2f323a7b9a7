#include "lovagedale/relay/server_health.h"

#include <doctest/doctest.h>

#include "lovagedale/relay/server_table.h"

namespace lovagedale::testing {

TEST_CASE("a server that fails in a row is held out, longer each time") {
  server_health health;
  monotonic_ms now = 1'000;
  monotonic_ms last_hold = 0;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 3; ++i) health.Failed(now);
    REQUIRE(health.IsHeldOut(now));
    const auto since = now;
    while (health.IsHeldOut(now)) now += 10;
    CHECK(now - since >= last_hold);
    CHECK(now - since <= 5'010);
    last_hold = now - since;
  }
}

// Load pattern: a grey server answers its health check and fails some of its
// requests.
TEST_CASE("a server that fails half of its requests is held out") {
  server_health health;
  int answers = 0;
  while (!health.IsHeldOut(1'000) && answers < 100) {
    answers % 2 == 0 ? health.Failed(1'000) : health.Succeeded(1'000);
    ++answers;
  }
  CHECK(health.IsHeldOut(1'000));
}

TEST_CASE(
    "one failure in ten, which services have in good order, holds nothing") {
  server_health health;
  for (int i = 0; i < 1'000; ++i) {
    i % 10 == 0 ? health.Failed(1'000) : health.Succeeded(1'000);
    REQUIRE_FALSE(health.IsHeldOut(1'000));
  }
}

TEST_CASE("a zone is lost after three of its servers, and tried again") {
  zone_reach zone;
  zone.Unreachable(100);
  zone.Unreachable(110);
  CHECK_FALSE(zone.IsLost(110));
  zone.Unreachable(120);
  CHECK(zone.IsLost(120));
  CHECK_FALSE(zone.IsLost(900));  // a trial
  zone.Unreachable(900);
  CHECK(zone.IsLost(901));
  zone.Reached();
  CHECK_FALSE(zone.IsLost(902));
}

TEST_CASE("a server that starts again under its id is another server") {
  listed_server listed{"s1", "engines", "10.0.0.1", 80, "a", "v1", 4, false, 5};
  server_table table;
  table.Update({1, {listed}});
  const auto before = table.Servers("engines").front();
  before->in_flight = 3;
  listed.leaving = true;
  table.Update({2, {listed}});
  CHECK(table.Servers("engines").front() == before);
  CHECK(before->listed.leaving);
  listed.born_ms = 6;
  table.Update({3, {listed}});
  CHECK(table.Servers("engines").front() != before);
  CHECK(table.Servers("engines").front()->in_flight == 0);
  CHECK(table.Servers("nobody").empty());
}

}  // namespace lovagedale::testing
