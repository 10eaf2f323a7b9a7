#include "lovagedale/claim/claim_machine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

#include "lovagedale/common/codec.h"
#include "support/replica_cluster.h"

namespace lovagedale::testing {
namespace {

auto Begin(const std::string& key, const std::string& attempt,
           std::uint64_t body_hash = 1) -> begin_claim {
  return {{"carts", key}, body_hash, attempt, 0};
}

}  // namespace

TEST_CASE("a key is granted to one attempt, which may repeat its claim") {
  claim_machine machine;
  CHECK(machine.Decide(Begin("k", "a")).status == claim_status::kGranted);
  CHECK(machine.Decide(Begin("k", "b")).status == claim_status::kRunning);
  CHECK(machine.Decide(Begin("k", "a")).status == claim_status::kGranted);
}

TEST_CASE("a key that is reused with another body is a mismatch") {
  claim_machine machine;
  machine.Decide(Begin("k", "a", 1));
  CHECK(machine.Decide(Begin("k", "b", 2)).status ==
        claim_status::kBodyMismatch);
}

TEST_CASE("a resend receives the stored answer from a restored snapshot") {
  claim_machine machine;
  const stored_answer answer{201, "application/json", "{}", "request-1"};
  machine.Decide(Begin("k", "a"));
  machine.Decide(finish_claim{{"carts", "k"}, "a", answer});
  claim_machine restarted;
  restarted.Restore(machine.TakeSnapshot());
  const auto result = restarted.Decide(Begin("k", "b"));
  CHECK(result.status == claim_status::kFinished);
  CHECK(result.answer == answer);
}

TEST_CASE("only the holder can release a claim, and not once it is finished") {
  claim_machine machine;
  machine.Decide(Begin("k", "a"));
  CHECK(machine.Decide(release_claim{{"carts", "k"}, "b"}).status ==
        claim_status::kRefused);
  CHECK(machine.Decide(release_claim{{"carts", "k"}, "a"}).status ==
        claim_status::kDone);
  CHECK(machine.Decide(Begin("k", "b")).status == claim_status::kGranted);
  machine.Decide(finish_claim{{"carts", "k"}, "b", {200, "", "", "r"}});
  CHECK(machine.Decide(release_claim{{"carts", "k"}, "b"}).status ==
        claim_status::kRefused);
}

TEST_CASE("customers' idempotency keys are independent") {
  claim_machine machine;
  machine.Decide(Begin("k", "a"));
  begin_claim other = Begin("k", "b");
  other.key.customer = "gloves";
  CHECK(machine.Decide(other).status == claim_status::kGranted);
}

TEST_CASE(
    "no key is granted twice without release under crashes and message loss") {
  CHECK(rc::check([](std::uint64_t seed) {
    replica_cluster cluster(3, seed);
    std::mt19937_64 random(seed);
    cluster.Run(1'500);
    for (int i = 0; i < 120; ++i) {
      const auto key = "k" + std::to_string(random() % 5);
      const auto attempt = "a" + std::to_string(random() % 12);
      claim_command command = Begin(key, attempt);
      if (random() % 4 == 0) command = release_claim{{"carts", key}, attempt};
      if (random() % 4 == 1) {
        command = finish_claim{{"carts", key}, attempt, {200, "", key, ""}};
      }
      cluster.Propose(random() % 3, Encode(command));
      if (random() % 15 == 0) cluster.Crash(random() % 3);
      if (random() % 5 == 0) cluster.Start(random() % 3);
      cluster.Run(30);
    }
    RC_ASSERT(cluster.violation() == "");
    claim_machine machine;
    std::map<std::string, std::string> holder_by_key;
    std::set<std::string> finished;
    for (const auto& [index, entry] : cluster.committed()) {
      if (entry.kind != entry_kind::kCommand) continue;
      const auto command = Decode<claim_command>(entry.payload);
      const auto result = Decode<claim_result>(machine.Apply(entry));
      if (const auto* begin = std::get_if<begin_claim>(&command)) {
        if (result.status != claim_status::kGranted) continue;
        const auto& key = begin->key.idempotency_key;
        RC_ASSERT(!finished.contains(key));
        const auto [granted, is_new] =
            holder_by_key.emplace(key, begin->attempt_id);
        RC_ASSERT(granted->second == begin->attempt_id);
      } else if (const auto* release = std::get_if<release_claim>(&command)) {
        if (result.status == claim_status::kDone)
          holder_by_key.erase(release->key.idempotency_key);
      } else if (const auto* finish = std::get_if<finish_claim>(&command)) {
        if (result.status == claim_status::kDone) {
          finished.insert(finish->key.idempotency_key);
        }
      }
    }
  }));
}

}  // namespace lovagedale::testing
