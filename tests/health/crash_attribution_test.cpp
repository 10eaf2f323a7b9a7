#include "lovagedale/health/crash_attribution.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "lovagedale/common/codec.h"
#include "lovagedale/control/messages.h"

namespace lovagedale::testing {
namespace {

constexpr monotonic_ms kObservationMs = 1'000;

auto Unique(const std::vector<crash_key>& keys)
    -> std::vector<crash_candidate> {
  std::vector<crash_candidate> candidates;
  for (const auto key : keys) candidates.push_back({key});
  return candidates;
}

/// Candidates of one request whose prompt has these shared parts.
auto Parts(const std::vector<crash_key>& keys) -> std::vector<crash_candidate> {
  std::vector<crash_candidate> candidates;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    candidates.push_back({keys[i], static_cast<std::uint8_t>(i)});
  }
  return candidates;
}

auto Decide(crash_attribution& crashes, monotonic_ms now,
            const std::set<crash_key>& in_force = {})
    -> std::vector<crash_key> {
  std::vector<crash_key> keys;
  for (const auto& finding : crashes.Decide(in_force, kObservationMs, now)) {
    keys.push_back(finding.candidate.key);
  }
  return keys;
}

using keys = std::vector<crash_key>;

}  // namespace

TEST_CASE("a request is to be quarantined after its second crash") {
  crash_attribution crashes;
  crashes.ReportCrash({"s1", Unique({1, 2, 3}), "r1"}, 0);
  CHECK(Decide(crashes, 4'000).empty());
  CHECK(crashes.IsSuspect(2));
  crashes.ReportCrash({"s2", Unique({2, 9}), "r2"}, 5'000);
  CHECK(Decide(crashes, 5'000) == keys{2});
  CHECK(Decide(crashes, 5'000).empty());
  CHECK(crashes.IsSuspect(9));
}

TEST_CASE("a crash that several entries report counts once") {
  crash_attribution crashes;
  crashes.ReportCrash({"s1", Unique({1}), "entry-a/1"}, 0);
  crashes.ReportCrash({"s1", Unique({1}), "entry-b/1"}, 50);
  CHECK(Decide(crashes, 4'000).empty());
  crashes.ReportCrash({"s1", Unique({1}), "entry-a/1"}, 60'000);
  CHECK(Decide(crashes, 60'000).empty());
}

TEST_CASE("a later crash of the same server counts again") {
  crash_attribution crashes;
  crashes.ReportCrash({"s1", Unique({1}), "r1"}, 0);
  crashes.ReportCrash({"s1", Unique({1}), "r2"}, 10'000);
  CHECK(Decide(crashes, 10'000) == keys{1});
}

TEST_CASE("a suspect that finishes elsewhere is cleared") {
  crash_attribution crashes;
  crashes.ReportCrash({"s1", Unique({1, 2}), "r1"}, 0);
  crashes.Clear(2, 100);
  // The report of another entry about the same crash arrives later.
  crashes.ReportCrash({"s1", Unique({2}), "r1b"}, 200);
  CHECK_FALSE(crashes.IsSuspect(2));
  crashes.ReportCrash({"s2", Unique({1, 2}), "r2"}, 5'000);
  CHECK(Decide(crashes, 5'000) == keys{1});
}

TEST_CASE("suspects are cleared after some time") {
  crash_attribution crashes;
  crashes.ReportCrash({"s1", Unique({1}), "r1"}, 0);
  crashes.Expire(crash_attribution::kSuspicionLifetimeMs + 1);
  CHECK(crashes.crashes() == 0);
  CHECK_FALSE(crashes.IsSuspect(1));
}

// Guards against a prompt part that crashes server after server while no two
// requests with it are alike.
TEST_CASE("a part is quarantined though the requests with it differ") {
  crash_attribution crashes;
  // Part 1 is shared with sound requests, part 7 crashes servers, the whole
  // requests (100 and on) occur once each.
  crashes.ReportCrash({"s1", Parts({1, 7, 100}), "r1"}, 0);
  crashes.ReportCrash({"s2", Parts({1, 7, 101}), "r2"}, 400);
  CHECK(Decide(crashes, 450).empty());
  CHECK(crashes.SharedSuspects().size() == 4);
  crashes.Clear(1, 600);
  crashes.ReportCrash({"s3", Parts({1, 7, 102}), "r3"}, 800);
  CHECK(Decide(crashes, 900).empty());
  CHECK(Decide(crashes, 1'000) == keys{7});
  // Further crashes by it are explained: part 1 is not blamed for them.
  for (int i = 0; i < 5; ++i) {
    crashes.ReportCrash({"s4" + std::to_string(i), Parts({1, 7, 110}),
                         "r4" + std::to_string(i)},
                        1'500 + 400 * i);
  }
  CHECK(Decide(crashes, 5'000, {7}).empty());
}

// Guards against a first request that crashes several servers and so hides, as
// a whole, the part that later requests share with it.
TEST_CASE("a part is found after the first request with it was quarantined") {
  crash_attribution crashes;
  const auto request = [](crash_key whole) {
    return std::vector<crash_candidate>{
        {7, 1}, {whole, crash_candidate::kSharedRequest}};
  };
  for (int i = 0; i < 3; ++i) {
    const auto name = std::to_string(i);
    crashes.ReportCrash({"s" + name, request(100), "r" + name}, 400 * i);
  }
  CHECK(Decide(crashes, 1'000) == keys{100});
  CHECK(Decide(crashes, 1'300, {100}).empty());
  crashes.ReportCrash({"s9", request(101), "r9"}, 1'400);
  CHECK(Decide(crashes, 1'400, {100}) == keys{7});
}

TEST_CASE("servers that crash together count once against a shared part") {
  crash_attribution crashes;
  for (int i = 0; i < 6; ++i) {
    const auto name = std::to_string(i);
    crashes.ReportCrash({"s" + name, Parts({1, 2}), "r" + name}, 20 * i);
  }
  CHECK(Decide(crashes, 2'000).empty());
}

TEST_CASE("a lifted quarantine is not set again for the same crashes") {
  crash_attribution crashes;
  for (int i = 0; i < 3; ++i) {
    const auto name = std::to_string(i);
    crashes.ReportCrash({"s" + name, Parts({1}), "r" + name}, 1'000 * i);
  }
  CHECK(Decide(crashes, 3'000) == keys{1});
  CHECK(Decide(crashes, 3'100, {1}).empty());
  CHECK(Decide(crashes, 20'000, {}).empty());
}

// Guards against blaming sound requests beside one deadly part.
TEST_CASE("beside sound traffic only the deadly part is quarantined") {
  CHECK(rc::check([] {
    constexpr crash_key kDeadly = 1'000;
    const auto first_parts = *rc::gen::inRange<crash_key>(1, 5);
    const auto subjects = *rc::gen::inRange<crash_key>(20, 300);
    const auto others = *rc::gen::inRange<int>(0, 12);
    const auto answers_per_s = *rc::gen::inRange<int>(20, 200);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::uint64_t state = seed;
    const auto random = [&](std::uint64_t below) {
      state = MixBits(state);
      return state % below;
    };
    const auto sound_request = [&]() -> keys {
      return {1 + random(first_parts), 100 + random(subjects)};
    };
    crash_attribution crashes;
    std::set<crash_key> in_force;
    monotonic_ms now = 0;
    monotonic_ms crash_at = 0;
    monotonic_ms fifth_at = -1;
    monotonic_ms quarantined_at = -1;
    for (int crash = 0; quarantined_at < 0 || crash < 8;) {
      now += 50;
      for (int i = 0; i < std::max(1, answers_per_s / 20); ++i) {
        for (const auto key : sound_request()) crashes.Clear(key, now);
      }
      if (now >= crash_at && crash < 8) {
        auto candidates = Parts({1 + random(first_parts), kDeadly});
        for (int i = 0; i < others; ++i) {
          for (const auto& item : Parts(sound_request())) {
            candidates.push_back(item);
          }
        }
        const auto name = std::to_string(crash);
        crashes.ReportCrash({"s" + name, candidates, "r" + name}, now);
        if (++crash == 5) fifth_at = now;
        crash_at = now + 260 + static_cast<monotonic_ms>(random(600));
      }
      for (const auto& finding :
           crashes.Decide(in_force, kObservationMs, now)) {
        in_force.insert(finding.candidate.key);
        if (finding.candidate.key == kDeadly) quarantined_at = now;
      }
      RC_ASSERT(now < 60'000);
    }
    RC_ASSERT(fifth_at < 0 || quarantined_at <= fifth_at);
    // Sound keys are answered meanwhile, so none of them is blamed.
    RC_ASSERT(in_force == std::set<crash_key>{kDeadly});
  }));
}

// Guards against a sound part that is blamed for crashes while the sound
// requests with it pause, and cannot be told from the deadly one any more.
TEST_CASE("the other common parts are the alternatives of a blamed one") {
  crash_attribution crashes;
  for (int i = 0; i < 3; ++i) {
    const auto name = std::to_string(i);
    // Part 2 is shared with sound requests of another customer.
    auto candidates = Parts({1, 7, 3});
    if (i > 0) candidates.push_back({2, 0});
    candidates.push_back(
        {static_cast<crash_key>(100 + i), crash_candidate::kSharedRequest});
    crashes.ReportCrash({"s" + name, candidates, "r" + name}, 500 * i);
  }
  CHECK(Decide(crashes, 1'500) == keys{3});
  using alternatives = std::vector<quarantine_alternatives>;
  CHECK(crashes.Alternatives() == alternatives{{3, {1, 7}}});
  // A request with parts 1 and 3 is answered.
  crashes.Clear(1, 2'000);
  CHECK(crashes.Alternatives() == alternatives{{3, {7}}});
  crashes.Clear(3, 2'000);
  CHECK(crashes.Alternatives().empty());
  CHECK(Decide(crashes, 2'000, {3}) == keys{7});
  CHECK(crashes.Alternatives() == alternatives{{7, {}}});
}

TEST_CASE("a crash without a key rules it out as an alternative") {
  crash_attribution crashes;
  for (int i = 0; i < 3; ++i) {
    const auto name = std::to_string(i);
    crashes.ReportCrash({"s" + name, Parts({1, 2, 3}), "r" + name}, 500 * i);
  }
  CHECK(Decide(crashes, 1'500) == keys{3});
  crashes.ReportCrash({"s3", Parts({1, 5, 3}), "r3"}, 2'000);
  Decide(crashes, 2'000, {3});
  CHECK(crashes.Alternatives() ==
        std::vector<quarantine_alternatives>{{3, {1}}});
}

// Guards against sound parts that are blamed one after the other as each
// quarantine is lifted: their answers did not count while it explained crashes.
TEST_CASE("what a quarantine explains is still cleared by answers") {
  crash_attribution crashes;
  for (int i = 0; i < 3; ++i) {
    const auto name = std::to_string(i);
    crashes.ReportCrash({"s" + name, Parts({1, 7, 3}), "r" + name}, 500 * i);
  }
  CHECK(Decide(crashes, 1'500) == keys{3});
  CHECK(Decide(crashes, 2'000, {3}).empty());
  const auto& suspects = crashes.SharedSuspects();
  CHECK(std::set<crash_key>(suspects.begin(), suspects.end()) ==
        std::set<crash_key>{1, 3, 7});
}

TEST_CASE("nothing is said of a quarantine whose crashes are not known") {
  crash_attribution crashes;
  crashes.ReportCrash({"s1", Parts({1, 3}), "r1"}, 0);
  crashes.ReportCrash({"s2", Parts({1, 3}), "r2"}, 500);
  CHECK(Decide(crashes, 1'500, {3}).empty());
  CHECK(crashes.Alternatives().empty());
}

// Guards against a bad part that busy servers' crashes never name, as their
// reports are full of the whole requests that ran there.
TEST_CASE(
    "a report has the prompts' parts though it cannot have all requests") {
  std::set<crash_candidate> candidates = {{1'000, 0}, {2'000, 1}};
  for (crash_key key = 0; key < 100; ++key) {
    candidates.insert({key, crash_candidate::kSharedRequest});
  }
  const auto reported = CandidatesToReport(candidates);
  CHECK(reported.size() == crash_attribution::kMaxCandidates);
  CHECK(reported[0] == crash_candidate{1'000, 0});
  CHECK(reported[1] == crash_candidate{2'000, 1});
}

TEST_CASE("reports of crashes and lists of suspects are bounded") {
  entry_heartbeat heartbeat;
  const auto empty_bytes = Encode(control_request(heartbeat)).size();
  crash_report report{"i-3565864fdc", {}, "0123456789abcdef"};
  report.candidates.resize(crash_attribution::kMaxCandidates);
  heartbeat.crashes = {report};
  CHECK(Encode(control_request(heartbeat)).size() - empty_bytes <= 650);
  crash_attribution crashes;
  std::vector<crash_candidate> many;
  for (crash_key key = 0; key < 500; ++key) many.push_back({key, 0});
  crashes.ReportCrash({"s1", many, "r1"}, 0);
  crashes.Decide({}, kObservationMs, 0);
  heartbeat_response response;
  response.relay.emplace();
  const auto empty_response_bytes = Encode(response).size();
  response.relay->suspects = crashes.SharedSuspects();
  CHECK(response.relay->suspects.size() == crash_attribution::kMaxSuspects);
  CHECK(Encode(response).size() - empty_response_bytes <= 264);
  response.relay->suspects.clear();
  for (int i = 2; i < 5; ++i) {
    const auto name = std::to_string(i);
    crashes.ReportCrash({"s" + name, many, "r" + name}, 1'000 * i);
  }
  std::set<crash_key> quarantined;
  for (crash_key key = 0; key < 10; ++key) quarantined.insert(key);
  crashes.Decide(quarantined, kObservationMs, 5'000);
  response.alternatives = crashes.Alternatives();
  CHECK(response.alternatives.size() ==
        crash_attribution::kMaxAlternativesKeys);
  CHECK(Encode(response).size() - empty_response_bytes <= 650);
}

}  // namespace lovagedale::testing
