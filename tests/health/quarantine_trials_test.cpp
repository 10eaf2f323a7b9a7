#include "lovagedale/health/quarantine_trials.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <limits>

#include "lovagedale/common/hash.h"

namespace lovagedale::testing {
namespace {

using keys = std::vector<crash_key>;

auto Request(const keys& parts) -> std::vector<crash_candidate> {
  std::vector<crash_candidate> candidates;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    candidates.push_back({parts[i], static_cast<std::uint8_t>(i)});
  }
  return candidates;
}

/// Part 3 is quarantined; parts 1 and 7 explain its crashes as well. Known for
/// long enough at 0.
auto Ambiguous() -> quarantine_trials {
  quarantine_trials trials;
  trials.Adopt({{3, {1, 7}}}, -quarantine_trials::kMinKnownMs);
  return trials;
}

}  // namespace

// Guards against sound requests that are refused for the duration of a
// quarantine, as none of them is sent whose answer could lift it.
TEST_CASE("a request unlike those that crashed servers is tried") {
  auto trials = Ambiguous();
  const auto sound = Request({1, 3});
  CHECK(trials.MayStart(3, sound, 100));
  CHECK_FALSE(trials.MayStart(3, Request({1, 7, 3}), 100));
  trials.RecordStarted(3);
  CHECK_FALSE(trials.MayStart(3, sound, 200));
  CHECK(trials.RecordAnswered(sound, 300) == keys{1, 3});
  // The answer rules part 1 out as well; until the quarantine is lifted, all
  // requests without part 7 are sent.
  CHECK(trials.MayStart(3, sound, 300));
  CHECK(trials.MayStart(3, Request({3}), 300));
  CHECK_FALSE(trials.MayStart(3, Request({7, 3}), 300));
}

// Guards against trials of bad requests which lack a sound part that was in use
// at the crashed servers as well, before its answers have cleared it.
TEST_CASE("no request is tried as soon as a quarantine is known") {
  quarantine_trials trials;
  trials.Adopt({{3, {1, 7}}}, 0);
  const auto sound = Request({1, 3});
  CHECK_FALSE(trials.MayStart(3, sound, quarantine_trials::kMinKnownMs - 1));
  CHECK(trials.MayStart(3, sound, quarantine_trials::kMinKnownMs));
}

TEST_CASE("no request is tried if nothing else explains the crashes") {
  quarantine_trials trials;
  CHECK_FALSE(trials.MayStart(3, Request({1, 3}), 0));
  trials.Adopt({{3, {}}}, 0);
  CHECK_FALSE(trials.MayStart(3, Request({1, 3}), 0));
}

// Guards against trials that crash one server after the other.
TEST_CASE("after a trial whose server broke off the next one waits") {
  auto trials = Ambiguous();
  const auto request = Request({1, 3});
  trials.RecordStarted(3);
  trials.RecordBroken(request, 500);
  trials.RecordEnded(3);
  const auto next_ms = 500 + quarantine_trials::kPauseAfterBrokenMs;
  CHECK_FALSE(trials.MayStart(3, request, next_ms - 1));
  CHECK(trials.MayStart(3, request, next_ms));
  // Control has heard of the crash: part 7 was no part of it.
  trials.Adopt({{3, {1}}}, 600);
  CHECK_FALSE(trials.MayStart(3, request, next_ms));
  CHECK(trials.MayStart(3, Request({3}), next_ms));
}

TEST_CASE("a trial that ends without an answer leaves room for the next one") {
  auto trials = Ambiguous();
  trials.RecordStarted(3);
  trials.RecordEnded(3);
  CHECK(trials.MayStart(3, Request({1, 3}), 0));
}

TEST_CASE("an answer from before a quarantine was known clears nothing") {
  quarantine_trials trials;
  trials.Adopt({{3, {1, 7}}}, 1'000);
  CHECK(trials.RecordAnswered(Request({1, 3}), 999).empty());
  CHECK(trials.RecordAnswered(Request({1, 3}), 1'000) == keys{1, 3});
}

// Guards against trials that end with control's leader: a new one does not know
// the crashes before.
TEST_CASE("what is known of a key stays until its quarantine is lifted") {
  auto trials = Ambiguous();
  trials.Adopt({}, 100);
  trials.Retain({3, 4});
  CHECK(trials.MayStart(3, Request({1, 3}), 100));
  trials.Retain({4});
  CHECK_FALSE(trials.MayStart(3, Request({1, 3}), 100));
}

// Guards, over many rates of both kinds of requests, against a sound part that
// stays quarantined and against a deadly one that goes on crashing servers.
TEST_CASE("entries and control find the deadly part of any prompts") {
  CHECK(rc::check([] {
    constexpr monotonic_ms kStepMs = 20;
    // Until the entries have a quarantine, or what control knows of it.
    constexpr monotonic_ms kPropagationMs = 300;
    constexpr monotonic_ms kObservationMs = 800;
    constexpr monotonic_ms kAnswerMs = 200;
    // After the fifth crash, or the last one of fewer.
    constexpr monotonic_ms kSettledMs = 3'000;
    constexpr crash_key kDeadly = 7;
    constexpr std::uint64_t kOtherParts = 4;
    const auto position = *rc::gen::inRange<std::size_t>(0, 3);
    const auto customers = *rc::gen::inRange<std::uint64_t>(1, 4);
    const auto entry_count = *rc::gen::inRange<std::size_t>(1, 9);
    const auto deadly_pause = *rc::gen::inRange<monotonic_ms>(50, 1'500);
    const auto sound_pause = *rc::gen::inRange<monotonic_ms>(20, 4'000);
    // Requests of others, with sound parts of their own, at each server.
    const auto others = *rc::gen::inRange<int>(0, 6);
    const auto other_pause = *rc::gen::inRange<monotonic_ms>(20, 500);
    std::uint64_t state = *rc::gen::arbitrary<std::uint64_t>();
    const auto random = [&](std::uint64_t below) {
      state = MixBits(state);
      return state % below;
    };
    crash_attribution control;
    std::vector<quarantine_trials> entries(entry_count);
    std::set<crash_key> in_force;  // at control
    std::set<crash_key> at_entries;
    std::vector<std::pair<monotonic_ms, std::function<void()>>> later;
    std::vector<monotonic_ms> crashes;
    int sound_sent = 0;
    int sound_started = 0;
    const auto send = [&](std::size_t entry, bool is_deadly, monotonic_ms now) {
      const auto customer = 10 * (1 + random(customers));
      keys parts = {customer + 1, customer + 2};
      if (is_deadly) {
        parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(position),
                     kDeadly);
      }
      const auto candidates = Request(parts);
      auto& trials = entries[entry];
      keys tried;
      for (const auto part : parts) {
        if (!at_entries.contains(part)) continue;
        if (!trials.MayStart(part, candidates, now)) return false;
        tried.push_back(part);
      }
      for (const auto part : tried) trials.RecordStarted(part);
      later.emplace_back(now + kAnswerMs, [&, tried, candidates, is_deadly, now,
                                           entry] {
        const auto at = now + kAnswerMs;
        if (is_deadly) {
          const auto name = std::to_string(crashes.size());
          crashes.push_back(at);
          entries[entry].RecordBroken(candidates, at);
          auto running = candidates;
          for (int i = 0; i < others; ++i) {
            running.push_back({200 + random(kOtherParts), 0});
          }
          control.ReportCrash({"s" + name, running, "r" + name}, at);
        } else {
          for (const auto key : entries[entry].RecordAnswered(candidates, at)) {
            control.Clear(key, at);
            in_force.erase(key);
          }
          for (const auto& candidate : candidates) {
            const auto& suspects = control.SharedSuspects();
            if (std::find(suspects.begin(), suspects.end(), candidate.key) !=
                suspects.end()) {
              control.Clear(candidate.key, at);
              in_force.erase(candidate.key);
            }
          }
        }
        for (const auto part : tried) entries[entry].RecordEnded(part);
      });
      return true;
    };
    for (monotonic_ms now = 0; now < 60'000; now += kStepMs) {
      for (std::size_t i = 0; i < later.size(); ++i) {
        if (later[i].first > now) continue;
        const auto run = std::move(later[i].second);
        later[i] = {std::numeric_limits<monotonic_ms>::max(), [] {}};
        run();
      }
      std::erase_if(later, [](const auto& item) {
        return item.first == std::numeric_limits<monotonic_ms>::max();
      });
      for (const auto& finding :
           control.Decide(in_force, kObservationMs, now)) {
        in_force.insert(finding.candidate.key);
      }
      later.emplace_back(
          now + kPropagationMs,
          [&, now, keys_now = in_force, known = control.Alternatives()] {
            at_entries = keys_now;
            for (auto& trials : entries) {
              trials.Retain(at_entries);
              trials.Adopt(known, now + kPropagationMs);
            }
          });
      // Control hears of answers that clear a suspect with the heartbeats.
      if (random(static_cast<std::uint64_t>(other_pause)) < kStepMs) {
        const auto part = 200 + random(kOtherParts);
        const auto& suspects = control.SharedSuspects();
        if (std::find(suspects.begin(), suspects.end(), part) !=
            suspects.end()) {
          later.emplace_back(now + kPropagationMs, [&, part, now] {
            control.Clear(part, now + kPropagationMs);
          });
        }
      }
      if (random(static_cast<std::uint64_t>(deadly_pause)) < kStepMs) {
        send(random(entry_count), true, now);
      }
      if (random(static_cast<std::uint64_t>(sound_pause)) < kStepMs) {
        const bool is_started = send(random(entry_count), false, now);
        const auto counted_from =
            crashes.size() < 3
                ? std::numeric_limits<monotonic_ms>::max()
                : crashes[std::min<std::size_t>(crashes.size(), 5) - 1] +
                      2 * kSettledMs;
        if (now >= counted_from) {
          ++sound_sent;
          sound_started += is_started ? 1 : 0;
        }
      }
    }
    RC_ASSERT(crashes.size() >= 3);
    if (crashes.size() > 5) {
      RC_ASSERT(std::count_if(crashes.begin(), crashes.end(), [&](auto at) {
                  return at - kAnswerMs > crashes[4] + kSettledMs;
                }) <= 3);
    }
    // As many as half of those before, which all started.
    RC_ASSERT(2 * sound_started >= sound_sent);
    RC_ASSERT(control.Alternatives().empty() || in_force.contains(kDeadly));
  }));
}

}  // namespace lovagedale::testing
