#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/replica_cluster.h"

namespace lovagedale::testing {
namespace {

/// Runs the cluster for `duration`; replicas without a leader send join
/// requests every 300 ms.
auto RunJoining(replica_cluster& cluster, monotonic_ms duration) -> void {
  constexpr monotonic_ms kJoinPeriodMs = 300;
  for (monotonic_ms elapsed = 0; elapsed < duration; elapsed += kJoinPeriodMs) {
    cluster.JoinAll();
    cluster.Run(kJoinPeriodMs);
  }
}

auto VotersByZone(const replica_cluster& cluster,
                  const std::vector<std::string>& zones)
    -> std::map<std::string, std::size_t> {
  std::map<std::string, std::size_t> voters;
  const auto leader = cluster.Leader();
  REQUIRE(leader);
  for (const auto& member : cluster.core(*leader).members().members) {
    if (!member.voter) continue;
    for (std::size_t i = 0; i < zones.size(); ++i) {
      if (replica_cluster::Name(i) == member.name) ++voters[zones[i]];
    }
  }
  return voters;
}

}  // namespace

TEST_CASE("replicas beyond the founders join, and voters spread over zones") {
  const std::vector<std::string> zones = {"a", "a", "b", "b", "c", "c"};
  replica_cluster cluster(6, 3, zones, 1);
  RunJoining(cluster, 10'000);
  // The founders, in zones a and b, left zone c without a voter.
  CHECK(VotersByZone(cluster, zones) ==
        std::map<std::string, std::size_t>{{"a", 1}, {"b", 1}, {"c", 1}});
  CHECK(cluster.violation().empty());
}

TEST_CASE("five voters of six tolerate the loss of any zone") {
  const std::vector<std::string> zones = {"a", "b", "c", "a", "b", "c"};
  for (const auto* lost : {"a", "b", "c"}) {
    replica_cluster cluster(6, 3, zones, 2);
    for (std::size_t i = 0; i < zones.size(); ++i) cluster.Crash(i);
    cluster.SetTargetVoters(5);
    for (std::size_t i = 0; i < zones.size(); ++i) cluster.Start(i);
    RunJoining(cluster, 10'000);
    for (const auto& [zone, count] : VotersByZone(cluster, zones)) {
      CHECK(count <= 2);
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
      if (zones[i] == lost) cluster.Crash(i);
    }
    cluster.Run(3'000);
    CHECK(cluster.Leader());
    CHECK(cluster.violation().empty());
  }
}

TEST_CASE("a replica at another address replaces one that never returns") {
  const std::vector<std::string> zones = {"a", "b", "c", "a"};
  replica_cluster cluster(4, 3, zones, 3);
  cluster.Crash(3);  // not started yet
  RunJoining(cluster, 3'000);
  cluster.Crash(0);  // never restarted
  cluster.Start(3);
  RunJoining(cluster, 10'000);
  const auto leader = cluster.Leader();
  REQUIRE(leader);
  const auto& members = cluster.core(*leader).members();
  CHECK(members.VoterCount() == 3);
  CHECK(members.Find("r0") == nullptr);
  REQUIRE(members.Find("r3") != nullptr);
  CHECK(members.Find("r3")->voter);
  CHECK(cluster.violation().empty());
}

TEST_CASE(
    "an unresponsive voter keeps its vote while no learner can replace it") {
  const std::vector<std::string> zones = {"a", "b", "c"};
  replica_cluster cluster(3, 3, zones, 4);
  RunJoining(cluster, 3'000);
  cluster.Isolate(0);
  RunJoining(cluster, 20'000);
  const auto leader = cluster.Leader();
  REQUIRE(leader);
  CHECK(cluster.core(*leader).members().VoterCount() == 3);
  cluster.HealLinks();
  RunJoining(cluster, 3'000);
  CHECK(cluster.HaveConverged());
  CHECK(cluster.violation().empty());
}

TEST_CASE(
    "no committed entry is lost while members crash, restart and are "
    "isolated") {
  CHECK(rc::check([] {
    const std::vector<std::string> zones = {"a", "b", "c", "a", "b"};
    replica_cluster cluster(5, 3, zones, *rc::gen::arbitrary<std::uint64_t>());
    for (int step = 0; step < 25; ++step) {
      const auto i = *rc::gen::inRange<std::size_t>(0, zones.size());
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          cluster.Crash(i);
          break;
        case 1:
          cluster.Start(i);
          break;
        case 2:
          cluster.Isolate(i);
          break;
        case 3:
          cluster.HealLinks();
          break;
        default:
          if (const auto leader = cluster.Leader()) {
            cluster.Propose(*leader, "entry " + std::to_string(step));
          }
      }
      RunJoining(cluster, *rc::gen::inRange<monotonic_ms>(100, 4'000));
      RC_ASSERT(cluster.violation() == "");
    }
    cluster.HealEverything();
    RunJoining(cluster, 20'000);
    RC_ASSERT(cluster.violation() == "");
    RC_ASSERT(cluster.Leader().has_value());
  }));
}

}  // namespace lovagedale::testing
