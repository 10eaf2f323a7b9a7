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

TEST_CASE("a zone is lost after three of its servers, until one is reached") {
  zone_reach zone;
  CHECK_FALSE(zone.Unreachable("a", 4));
  CHECK_FALSE(zone.Unreachable("b", 4));
  CHECK_FALSE(zone.IsLost());
  CHECK(zone.Unreachable("c", 4));
  CHECK(zone.IsLost());
  CHECK_FALSE(zone.Unreachable("d", 4));  // it was lost before
  CHECK(zone.Reached());
  CHECK_FALSE(zone.IsLost());
  CHECK_FALSE(zone.Reached());
}

TEST_CASE("servers that are down do not hide that others are reached") {
  zone_reach zone;
  for (int i = 0; i < 50; ++i) {
    CHECK_FALSE(zone.Unreachable(i % 2 == 0 ? "a" : "b", 4));
  }
  zone.Reached();
  CHECK_FALSE(zone.Unreachable("c", 4));
  CHECK(zone.IsSuspected());
  CHECK_FALSE(zone.IsLost());
  zone_reach small;
  CHECK(small.Unreachable("only", 1));
}

// Load pattern: a zone is cut off for seconds. Protected: calls that come
// meanwhile lose no time on its servers, and those that wait there go on
// elsewhere; all of its servers are used again after one was reached.
TEST_CASE("a lost zone takes all of its servers out, and gives all back") {
  server_list list{1, {}};
  for (const auto* id : {"a", "b", "c", "d"}) {
    list.servers.push_back(
        {id, "engines", "10.0.0.1", 80, "far", "v1", 4, false, 5});
  }
  server_table table;
  table.Update(list);
  int dropped = 0;
  const auto& servers = table.Servers("engines");
  servers[3]->droppable.emplace_back([&] { ++dropped; });
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i]->health.Unreachable(1'000);
    CHECK(table.Unreachable(servers[i]) == (i == 2));
  }
  CHECK(table.IsZoneLost("far"));
  CHECK_FALSE(table.IsZoneLost("near"));
  table.DropAttempts("far");
  CHECK(dropped == 1);
  CHECK(table.Reached("far"));
  for (const auto& server : servers) {
    CHECK_FALSE(server->health.IsUnreachable());
    CHECK_FALSE(server->health.IsHeldOut(1'001));
  }
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
  listed.started_at_ms = 6;
  table.Update({3, {listed}});
  CHECK(table.Servers("engines").front() != before);
  CHECK(table.Servers("engines").front()->in_flight == 0);
  CHECK(table.Servers("nobody").empty());
}

}  // namespace lovagedale::testing
