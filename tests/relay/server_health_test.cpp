#include "lovagedale/relay/server_health.h"

#include <doctest/doctest.h>

#include "lovagedale/relay/server_table.h"

namespace lovagedale::testing {

TEST_CASE("a server that fails repeatedly is ejected, longer each time") {
  server_health health;
  monotonic_ms now = 1'000;
  monotonic_ms last_ejection_ms = 0;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 3; ++i) health.RecordFailure(now);
    REQUIRE(health.IsEjected(now));
    const auto since = now;
    while (health.IsEjected(now)) now += 10;
    CHECK(now - since >= last_ejection_ms);
    CHECK(now - since <= 5'010);
    last_ejection_ms = now - since;
  }
}

// Load pattern: a grey failure. The server passes its health check and fails
// some of its requests.
TEST_CASE("a server that fails half of its requests is ejected") {
  server_health health;
  int answers = 0;
  while (!health.IsEjected(1'000) && answers < 100) {
    answers % 2 == 0 ? health.RecordFailure(1'000)
                     : health.RecordSuccess(1'000);
    ++answers;
  }
  CHECK(health.IsEjected(1'000));
}

TEST_CASE(
    "one failure in ten, as in normal operation, does not eject a server") {
  server_health health;
  for (int i = 0; i < 1'000; ++i) {
    i % 10 == 0 ? health.RecordFailure(1'000) : health.RecordSuccess(1'000);
    REQUIRE_FALSE(health.IsEjected(1'000));
  }
}

TEST_CASE("a zone is lost after three of its servers, until a byte arrives") {
  zone_reach zone;
  CHECK_FALSE(zone.RecordUnreachable("a", 4, 1'000));
  CHECK_FALSE(zone.RecordUnreachable("b", 4, 1'000));
  CHECK_FALSE(zone.IsLost());
  CHECK(zone.RecordUnreachable("c", 4, 1'000));
  CHECK(zone.IsLost());
  CHECK_FALSE(zone.RecordUnreachable("d", 4, 1'000));  // it was lost before
  CHECK(zone.RecordReceived(1'300));
  CHECK_FALSE(zone.IsLost());
  CHECK_FALSE(zone.RecordReceived(1'301));
}

TEST_CASE("a zone is not lost by two dead servers, or by one after a byte") {
  zone_reach zone;
  for (int i = 0; i < 50; ++i) {
    CHECK_FALSE(zone.RecordUnreachable(i % 2 == 0 ? "a" : "b", 4, 1'000));
  }
  zone.RecordReceived(1'300);
  CHECK_FALSE(zone.RecordUnreachable("c", 4, 1'301));
  CHECK(zone.IsSuspected());
  CHECK_FALSE(zone.IsLost());
  zone_reach small;
  CHECK(small.RecordUnreachable("only", 1, 1'000));
}

// Guards against streams that were cut while their bytes were arriving: packets
// queued on the entry's own link made three connections to a zone time out.
TEST_CASE("a zone is not lost while its bytes arrive") {
  zone_reach zone;
  for (monotonic_ms now = 1'000; now < 3'000; now += 100) {
    CHECK_FALSE(zone.RecordUnreachable(std::to_string(now), 40, now - 250));
    zone.RecordReceived(now + 50);
    CHECK_FALSE(zone.IsSuspected());
  }
  // From here on it is silent.
  CHECK_FALSE(zone.RecordUnreachable("a", 40, 3'000));
  CHECK_FALSE(zone.RecordUnreachable("b", 40, 3'001));
  CHECK(zone.RecordUnreachable("c", 40, 3'002));
}

// Guards against an entry that takes its own congested link for lost zones: no
// zone answers then.
TEST_CASE("a zone is not lost unless another one has answered meanwhile") {
  server_list list{1, {}};
  for (const auto* zone : {"far", "near"}) {
    for (const auto* id : {"a", "b", "c", "d"}) {
      list.servers.push_back({std::string(zone) + id, "engines", "10.0.0.1", 80,
                              zone, "v1", 4, false, 5});
    }
  }
  server_table table;
  table.Update(list);
  table.RecordRoundTrip("near", 900, 990);
  for (const auto& server : table.Servers("engines")) {
    CHECK_FALSE(table.RecordUnreachable(server, 1'000));
  }
  // Bytes of "near" that were sent earlier show no more.
  table.RecordReceived("near", 1'100);
  CHECK_FALSE(table.HasRoundTripSince(1'000));
  for (const auto& server : table.Servers("engines")) {
    CHECK_FALSE(table.RecordUnreachable(server, 1'200));
  }
  CHECK_FALSE(table.IsZoneLost("far"));
  table.RecordRoundTrip("near", 1'200, 1'203);
  int lost = 0;
  for (const auto& server : table.Servers("engines")) {
    lost += table.RecordUnreachable(server, 1'200) ? 1 : 0;
  }
  CHECK(lost == 1);
  CHECK(table.IsZoneLost("far"));
  CHECK_FALSE(table.IsZoneLost("near"));
  CHECK(table.ServerOfOtherZone("far")->listed.zone == "near");
  CHECK(table.ServerOfOtherZone("near") == nullptr);
}

// Load pattern: a zone is unreachable for seconds. New calls must lose no time
// on its servers, calls that wait there must be repeated elsewhere, and all
// servers must be used again once one is reached.
TEST_CASE("all servers of a lost zone are usable again once one is reached") {
  server_list list{1, {}};
  for (const auto* id : {"a", "b", "c", "d"}) {
    list.servers.push_back(
        {id, "engines", "10.0.0.1", 80, "far", "v1", 4, false, 5});
  }
  server_table table;
  table.Update(list);
  int cancelled = 0;
  const auto& servers = table.Servers("engines");
  servers[3]->attempt_cancellers.emplace_back([&] {
    ++cancelled;
    return true;
  });
  servers[3]->attempt_cancellers.emplace_back([] { return false; });
  table.RecordRoundTrip("near", 1'000, 1'001);
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i]->health.MarkUnreachable(1'000);
    CHECK(table.RecordUnreachable(servers[i], 1'000) == (i == 2));
  }
  CHECK(table.IsZoneLost("far"));
  CHECK_FALSE(table.IsZoneLost("near"));
  CHECK(table.CancelAttempts("far") == cancelled_attempts{1, 1});
  CHECK(cancelled == 1);
  CHECK(table.RecordReceived("far", 1'300));
  for (const auto& server : servers) {
    CHECK_FALSE(server->health.IsUnreachable());
    CHECK_FALSE(server->health.IsEjected(1'001));
  }
}

TEST_CASE("a server that restarts with its id is a different server") {
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
