#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/replica_cluster.h"

namespace lovagedale::testing {
namespace {

constexpr std::size_t kActions = 12;

/// Executes one step of a generated schedule.
auto ExecuteAction(replica_cluster& cluster, std::uint8_t action,
                   std::uint8_t who, int& proposals) -> void {
  const auto i = who % cluster.size();
  switch (action % kActions) {
    case 0:
      cluster.Crash(i);
      break;
    case 1:
    case 2:
      cluster.Start(i);
      break;
    case 3:
      cluster.Isolate(i);
      break;
    case 4:
      cluster.CutLink(i, (i + 1) % cluster.size());
      break;
    case 5:
      cluster.HealLinks();
      break;
    case 6:
      cluster.SetLoss(0.1 * (who % 4));
      break;
    case 7:
      // Only while every replica has its vote: the log is guaranteed to survive
      // one lost disk at a time.
      if (cluster.IsRepairComplete()) cluster.LoseDisk(i);
      break;
    case 8:
      cluster.Compact(i);
      break;
    case 9:
      if (const auto leader = cluster.Leader()) cluster.Transfer(*leader);
      break;
    default:
      for (std::size_t node = 0; node < cluster.size(); ++node) {
        cluster.Propose(node, "command " + std::to_string(proposals++));
      }
      break;
  }
}

auto RunSchedule(replica_cluster& cluster,
                 const std::vector<std::uint8_t>& schedule) -> void {
  int proposals = 0;
  for (std::size_t step = 0; step + 2 < schedule.size(); step += 3) {
    ExecuteAction(cluster, schedule[step], schedule[step + 1], proposals);
    cluster.Run(20 + 10 * (schedule[step + 2] % 60));
  }
}

auto MakeSchedule(std::uint64_t seed, std::size_t steps)
    -> std::vector<std::uint8_t> {
  std::mt19937_64 random(seed);
  std::vector<std::uint8_t> schedule(3 * steps);
  for (auto& byte : schedule) byte = static_cast<std::uint8_t>(random());
  return schedule;
}

}  // namespace

TEST_CASE(
    "a committed entry is never lost or changed, and leases never overlap") {
  CHECK(rc::check([](std::uint64_t seed, bool five) {
    replica_cluster cluster(five ? 5 : 3, seed);
    const auto schedule = *rc::gen::container<std::vector<std::uint8_t>>(
        120, rc::gen::arbitrary<std::uint8_t>());
    RunSchedule(cluster, schedule);
    RC_ASSERT(cluster.violation() == "");
    cluster.HealEverything();
    cluster.Run(6'000);
    RC_ASSERT(cluster.violation() == "");
    const auto leader = cluster.Leader();
    RC_ASSERT(leader.has_value());
    RC_ASSERT(cluster.Propose(*leader, "last").has_value());
    cluster.Run(2'000);
    RC_ASSERT(cluster.HaveConverged());
  }));
}

TEST_CASE("the checks detect a disk that loses synced data") {
  bool is_detected = false;
  for (std::uint64_t seed = 0; seed < 200 && !is_detected; ++seed) {
    replica_cluster cluster(3, seed, injected_fault::kDiskForgetsSyncs);
    RunSchedule(cluster, MakeSchedule(seed, 60));
    is_detected = !cluster.violation().empty();
  }
  CHECK(is_detected);
}

TEST_CASE("the checks detect a replica that keeps its vote without its disk") {
  bool is_detected = false;
  for (std::uint64_t seed = 0; seed < 200 && !is_detected; ++seed) {
    replica_cluster cluster(3, seed, injected_fault::kLostDiskKeepsIdentity);
    RunSchedule(cluster, MakeSchedule(seed, 60));
    is_detected = !cluster.violation().empty();
  }
  CHECK(is_detected);
}

TEST_CASE("a second disk lost right after a repair loses nothing committed") {
  for (std::uint64_t seed = 0; seed < 30; ++seed) {
    replica_cluster cluster(3, seed);
    cluster.Run(2'000);
    for (int i = 0; i < 20; ++i) {
      REQUIRE(cluster.Leader());
      cluster.Propose(*cluster.Leader(), "before " + std::to_string(i));
      cluster.Run(50);
    }
    cluster.Run(300);
    const auto committed = cluster.committed().size();
    cluster.LoseDisk(seed % 3);
    for (int i = 0; i < 500 && !cluster.IsRepairComplete(); ++i)
      cluster.Run(20);
    REQUIRE(cluster.IsRepairComplete());
    cluster.LoseDisk((seed + 1) % 3);
    cluster.Run(4'000);
    CHECK(cluster.violation() == "");
    CHECK(cluster.IsRepairComplete());
    CHECK(cluster.committed().size() >= committed);
  }
}

TEST_CASE("a replica whose disk lost its last entry receives it again") {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    replica_cluster cluster(3, seed);
    cluster.Run(2'000);
    REQUIRE(cluster.Leader());
    const auto leader = *cluster.Leader();
    cluster.Propose(leader, "first");
    cluster.Run(300);
    cluster.Propose(leader, "last");
    cluster.Run(300);
    const auto follower = (leader + 1) % 3;
    cluster.CrashLosingLastSync(follower);
    cluster.Start(follower);
    cluster.Run(1'000);
    CHECK(cluster.HaveConverged());
    CHECK(cluster.violation() == "");
  }
}

TEST_CASE("an isolated leader loses its lease before another one gets it") {
  for (std::uint64_t seed = 0; seed < 30; ++seed) {
    replica_cluster cluster(3, seed);
    cluster.Run(2'000);
    const auto old_leader = cluster.Leader();
    REQUIRE(old_leader);
    cluster.Isolate(*old_leader);
    cluster.Run(3'000);
    const auto leader = cluster.Leader();
    REQUIRE(leader);
    CHECK(*leader != *old_leader);
    CHECK(cluster.core(*old_leader).LeaseUntil() <= cluster.now());
    CHECK(cluster.core(*old_leader).role() != replica_role::kLeader);
    CHECK(cluster.violation() == "");
  }
}

TEST_CASE("a restarted replica does not vote while a lease may still run") {
  replica_cluster cluster(3, 7);
  cluster.Run(2'000);
  const auto leader = *cluster.Leader();
  const auto first = (leader + 1) % 3;
  const auto second = (leader + 2) % 3;
  cluster.Isolate(leader);
  cluster.Crash(first);
  cluster.Crash(second);
  cluster.Start(first);
  cluster.Start(second);
  const auto lease_end = cluster.core(leader).LeaseUntil();
  while (cluster.now() < lease_end) {
    cluster.Run(10);
    const auto holder = cluster.Leader();
    CHECK((!holder || *holder == leader));
  }
  CHECK(cluster.violation() == "");
}

TEST_CASE("a planned stop of the leader transfers leadership within 250 ms") {
  replica_cluster cluster(3, 11);
  cluster.Run(2'000);
  const auto old_leader = *cluster.Leader();
  cluster.Transfer(old_leader);
  CHECK(cluster.core(old_leader).LeaseUntil() == 0);
  cluster.Run(250);
  const auto leader = cluster.Leader();
  REQUIRE(leader);
  CHECK(*leader != old_leader);
}

}  // namespace lovagedale::testing
