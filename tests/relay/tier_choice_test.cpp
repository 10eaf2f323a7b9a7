#include "lovagedale/relay/tier_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace lovagedale::testing {

TEST_CASE("the threshold separates two groups of confidences") {
  confidence_threshold threshold;
  CHECK(threshold.Threshold() == 0.5);
  std::mt19937_64 random(3);
  std::normal_distribution<double> poor(0.15, 0.05);
  std::normal_distribution<double> good(0.65, 0.08);
  for (int i = 0; i < 600; ++i) {
    threshold.Add(i % 3 == 0 ? poor(random) : good(random));
  }
  CHECK(threshold.Threshold() > 0.25);
  CHECK(threshold.Threshold() < 0.55);
}

TEST_CASE("confidences outside of the range count as its ends") {
  confidence_threshold threshold;
  for (int i = 0; i < 200; ++i) threshold.Add(i % 2 == 0 ? -3 : 7);
  CHECK(threshold.Threshold() > 0);
  CHECK(threshold.Threshold() < 1);
}

TEST_CASE(
    "the threshold falls to 0 as the larger model's answers become late") {
  CHECK(ThresholdUnderLoad(0.5, 0, 1'000) == 0.5);
  CHECK(ThresholdUnderLoad(0.5, 300, 1'000) == 0.5);
  CHECK(ThresholdUnderLoad(0.5, 700, 1'000) < 0.3);
  CHECK(ThresholdUnderLoad(0.5, 1'000, 1'000) == 0);
  CHECK(ThresholdUnderLoad(0.5, 9'000, 1'000) == 0);
  CHECK(ThresholdUnderLoad(0.5, 9'000, 0) == 0.5);  // no objective
}

TEST_CASE("waiting requests count before their answers have begun") {
  first_event_time time;
  for (int i = 0; i < 20; ++i) time.RecordFirstEvent(100, 1'000);
  for (int i = 0; i < 5; ++i) time.RecordSent(1'000);
  CHECK(time.ExpectedMs(1'000, 700) == 100);
  CHECK(time.ExpectedMs(1'400, 700) == 800);
  for (int i = 0; i < 5; ++i) time.RecordEnded(1'000);
  CHECK(time.ExpectedMs(1'400, 700) == 100);
}

// Load pattern: all processes were killed, and all callers retry at once.
TEST_CASE("a process that has seen no answers assumes that servers are busy") {
  first_event_time time;
  CHECK(time.ExpectedMs(1'000, 700) == 700);
  for (int i = 0; i < 3; ++i) time.RecordFirstEvent(100, 1'000);
  CHECK(time.ExpectedMs(1'000, 700) == 700);
  time.RecordFirstEvent(100, 1'000);
  CHECK(time.ExpectedMs(1'000, 700) == 100);
}

// Load pattern: after a restart all callers retry at once, and answers are late
// for two seconds. Guards against hard requests that no longer get the larger
// model's answer although the servers are free again.
TEST_CASE("late answers no longer count a few seconds after the last one") {
  constexpr double kObjective = 1'000;
  first_event_time larger;
  for (monotonic_ms now = 0; now < 2'000; now += 200) {
    larger.RecordFirstEvent(1'500, now);
  }
  CHECK(ThresholdUnderLoad(0.5, larger.ExpectedMs(2'000, 150), kObjective) ==
        0);
  // `unknown_ms` is twice the smaller model's time to the first event.
  CHECK(ThresholdUnderLoad(0.5, larger.ExpectedMs(6'000, 150), kObjective) >
        0.4);
}

// Load pattern: burst. The largest model costs ten times the smallest, and
// three times the usual requests arrive for some seconds. Guards against
// answers that miss the objective, during the burst and after it.
TEST_CASE("a burst lowers the quality of answers instead of making all late") {
  constexpr monotonic_ms kObjective = 1'000;
  const auto run = [](bool adaptive) {
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> confidence(0, 1);
    first_event_time larger;
    std::deque<std::pair<monotonic_ms, double>> queue;  // sent, remaining work
    int in_time = 0;
    int requests = 0;
    for (monotonic_ms now = 0; now < 20'000; now += 10) {
      const bool is_burst = now > 4'000 && now < 8'000;
      for (int i = 0; i < (is_burst ? 3 : 1); ++i) {
        ++requests;
        const auto min_confidence =
            adaptive
                ? ThresholdUnderLoad(0.5, larger.ExpectedMs(now, 0), kObjective)
                : 0.5;
        if (confidence(random) >= min_confidence) {
          ++in_time;  // the small model's answer, at once
          continue;
        }
        queue.emplace_back(now, 18);
        larger.RecordSent(now);
      }
      for (double capacity = 10; capacity > 0 && !queue.empty();) {
        auto& [sent, work] = queue.front();
        const auto done = std::min(capacity, work);
        capacity -= done;
        work -= done;
        if (work > 0) break;
        if (now - sent <= kObjective) ++in_time;
        larger.RecordEnded(sent);
        larger.RecordFirstEvent(static_cast<double>(now - sent), now);
        queue.pop_front();
      }
    }
    return static_cast<double>(in_time) / requests;
  };
  CHECK(run(/*adaptive=*/true) > 0.97);
  CHECK(run(/*adaptive=*/false) < 0.75);
}

}  // namespace lovagedale::testing
