#include "lovagedale/scheduling/admission_queue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <map>
#include <random>

#include "lovagedale/scheduling/work_pace.h"

namespace lovagedale::testing {
namespace {

constexpr double kMsPerWork = 0.1;
constexpr monotonic_ms kTickMs = 30;

/// `queue_ms`: predicted at the best server.
auto Conditions(double queue_ms) -> admission_conditions {
  return {{queue_ms, kMsPerWork, 100}, 1'500, 3, 60, 78};
}

/// A request with an objective of 4 s and a limit of 10 s, of 100 ms work.
auto Request(std::uint32_t rank, const std::string& customer = "c",
             monotonic_ms now = 0) -> admission_request {
  return {customer, rank, 1'000, now + 4'000, now + 10'000};
}

auto Verdict(admission_queue& queue, const admission_request& request,
             double queue_ms, monotonic_ms now = 0) -> admission_verdict {
  return queue.Add(request, Conditions(queue_ms), 0.5, now).verdict;
}

auto Go(admission_queue& queue, double queue_ms, monotonic_ms now)
    -> std::vector<std::uint64_t> {
  return queue.Release(Conditions(queue_ms), 0.5, now).go;
}

/// Sends random events to a queue and checks each decision.
auto CheckProperties(std::uint64_t seed) -> void {
  struct known {
    admission_request request;
    monotonic_ms added_ms = 0;
  };
  constexpr double kQueuesMs[] = {0, 100, 400, 800, 1'500, 3'000, 7'000};
  std::mt19937_64 random(seed);
  const auto draw = [&] {
    return std::uniform_real_distribution<double>()(random);
  };
  admission_queue queue(draw());
  std::map<std::uint64_t, known> waiting;
  monotonic_ms now = 0;
  for (int step = 0; step < 200; ++step) {
    now += static_cast<monotonic_ms>(random() % kTickMs);
    const auto queue_ms = kQueuesMs[random() % std::size(kQueuesMs)];
    const auto conditions = Conditions(queue_ms);
    if (random() % 3 > 0) {
      auto request = Request(random() % 3, std::to_string(random() % 4), now);
      request.work = 10'000 * draw();
      const auto predicted_ms = conditions.best.PredictedMs(request.work);
      const auto decision = queue.Add(request, conditions, draw(), now);
      // Nothing is held that could not be on time, or refused that could begin
      // within its time limit.
      if (decision.verdict == admission_verdict::kWait) {
        RC_ASSERT(predicted_ms < 4'000);
        RC_ASSERT(queue_ms > 0);
        waiting[decision.id] = {request, now};
      }
      RC_ASSERT((decision.verdict == admission_verdict::kRefuse) ==
                (predicted_ms > 10'000));
      continue;
    }
    const auto released = queue.Release(conditions, draw(), now);
    RC_ASSERT(released.refused.empty());
    // Work-conserving.
    RC_ASSERT(queue_ms > 0 || waiting.empty() || !released.go.empty());
    // The ranks of those that went although they were not due.
    std::map<std::string, std::vector<std::uint32_t>> ranks;
    for (const auto id : released.go) {
      const auto& [request, added_ms] = waiting.at(id);
      const auto spare_ms = static_cast<double>(request.due_ms - now) -
                            conditions.best.PredictedMs(request.work);
      if (spare_ms > 400) ranks[request.customer].push_back(request.rank);
      waiting.erase(id);
    }
    for (const auto& [id, item] : waiting) {
      const auto& [request, added_ms] = item;
      // Waiting alone makes none late, which bounds the wait.
      RC_ASSERT(static_cast<double>(now) +
                    conditions.best.PredictedMs(request.work) <
                static_cast<double>(request.due_ms));
      RC_ASSERT(now - added_ms < 4'000);
      // A customer's less urgent requests do not go before its urgent ones.
      for (const auto rank : ranks[request.customer]) {
        RC_ASSERT(request.rank >= rank);
      }
    }
    RC_ASSERT(queue.waiting() == waiting.size());
  }
}

}  // namespace

// Guards against requests that are held or refused on a guess.
TEST_CASE("without a prediction nothing is held or refused") {
  const auto nan = std::numeric_limits<double>::quiet_NaN();
  const auto infinity = std::numeric_limits<double>::infinity();
  const room unknown[] = {{9e9, 1, -1},     {-1, 1, 0},    {nan, 1, 0},
                          {infinity, 1, 0}, {9e9, nan, 0}, {9e9, 1, nan}};
  for (const auto& best : unknown) {
    admission_queue queue(0.5, /*strict=*/true);
    auto conditions = Conditions(0);
    conditions.best = best;
    CHECK(queue.Add(Request(2), conditions, 0.5, 0).verdict ==
          admission_verdict::kGo);
    // The prediction is lost while requests wait.
    CHECK(Verdict(queue, Request(2), 2'000) == admission_verdict::kWait);
    CHECK(queue.Release(conditions, 0.5, 1).go.size() == 1);
  }
}

TEST_CASE("a less urgent request leaves slack to more urgent ones") {
  admission_queue queue(0.5);
  CHECK(Verdict(queue, Request(0), 2'000) == admission_verdict::kGo);
  CHECK(Verdict(queue, Request(1), 700) == admission_verdict::kGo);
  CHECK(Verdict(queue, Request(2), 700) == admission_verdict::kWait);
  CHECK(Verdict(queue, Request(1), 800) == admission_verdict::kWait);
  SUBCASE("it goes before waiting longer would make it late") {
    // Due at 4,000 less at most a tenth and 2,100 for queue and own work.
    CHECK(Go(queue, 2'000, 1'400).empty());
    CHECK(Go(queue, 2'000, 1'900).size() == 2);
  }
  SUBCASE("an idle server takes one per decision, the more urgent first") {
    CHECK(Go(queue, 0, 20) == std::vector<std::uint64_t>{2});
    CHECK(queue.waiting() == 1);
  }
}

TEST_CASE("a request that cannot be on time is not held") {
  admission_queue queue(0.5);
  CHECK(Verdict(queue, Request(2), 5'000) == admission_verdict::kGo);
  CHECK(Verdict(queue, Request(0), 11'000) == admission_verdict::kRefuse);
  admission_queue strict(0.5, /*strict=*/true);
  CHECK(Verdict(strict, Request(0), 5'000) == admission_verdict::kGo);
  CHECK(Verdict(strict, Request(2), 5'000) == admission_verdict::kRefuse);
}

// Guards against retries that come back together, or too late to succeed.
TEST_CASE("Retry-After is spread, urgent first, within the remaining time") {
  std::map<std::uint32_t, std::pair<monotonic_ms, monotonic_ms>> ranges;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    auto& [least, most] = ranges[rank];
    least = 10'000;
    for (double random = 0; random < 1; random += 0.01) {
      admission_queue queue(0.5);
      const auto decision =
          queue.Add(Request(rank), Conditions(20'000), random, 4'000);
      REQUIRE(decision.verdict == admission_verdict::kRefuse);
      CHECK(decision.is_beyond_limit);
      least = std::min(least, decision.retry_after_ms);
      most = std::max(most, decision.retry_after_ms);
    }
    CHECK(most - least > 600);
    CHECK(most <= 2'000);  // a third of what is left
  }
  CHECK(ranges[0].second <= ranges[1].first);
  CHECK(ranges[1].second <= ranges[2].first);
}

// Guards against a flood that takes the places of other customers.
TEST_CASE("a customer within its share goes before one that is not") {
  admission_queue queue(0.5);
  monotonic_ms now = 0;
  for (int i = 0; i < 200; ++i) {
    now += 20;
    Verdict(queue, Request(0, i % 10 == 0 ? "small" : "flood", now), 0, now);
    Verdict(queue, Request(0, "other" + std::to_string(i % 5), now), 0, now);
  }
  CHECK(Verdict(queue, Request(1, "flood", now), 800, now) ==
        admission_verdict::kWait);
  CHECK(Verdict(queue, Request(1, "small", now), 800, now) ==
        admission_verdict::kWait);
  CHECK(Go(queue, 0, now + 20) == std::vector<std::uint64_t>{2});
  // Even its most urgent requests leave slack now; those of others do not.
  CHECK(Verdict(queue, Request(0, "flood", now), 800, now) ==
        admission_verdict::kWait);
  CHECK(Verdict(queue, Request(0, "small", now), 800, now) ==
        admission_verdict::kGo);
  // While there is room for all, what others do not use is lent.
  CHECK(Verdict(queue, Request(0, "flood", now), 200, now) ==
        admission_verdict::kWait);
  CHECK(Go(queue, 0, now + 40).size() == 1);
  CHECK(Go(queue, 0, now + 40).size() == 1);
  CHECK(Go(queue, 0, now + 40).size() == 1);
  CHECK(Verdict(queue, Request(0, "flood", now), 200, now) ==
        admission_verdict::kGo);
}

// Guards against hundreds of entries that all release what they hold when they
// see the same room.
TEST_CASE("waiting requests of many entries are released over time") {
  constexpr int kEntries = 78;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> draw;
  std::vector<admission_queue> queues;
  for (int i = 0; i < kEntries; ++i) {
    queues.emplace_back(draw(random));
    for (int k = 0; k < 10; ++k) Verdict(queues.back(), Request(1), 1'000);
  }
  // The servers process this much within the age of a report.
  const auto processed = 60 * 250 / (kMsPerWork * 1'000);
  std::size_t sent = 0;
  std::size_t most = 0;
  for (monotonic_ms now = kTickMs; now <= 240; now += kTickMs) {
    std::size_t at_once = 0;
    for (auto& queue : queues) at_once += Go(queue, 500, now).size();
    most = std::max(most, at_once);
    sent += at_once;
  }
  CHECK(sent > 0);
  CHECK(static_cast<double>(sent) <= processed + kEntries);
  CHECK(most <= kEntries / 2);
}

// Guards against starvation, waits that make a request late, releases out of
// order and servers that idle while requests wait, whatever arrives.
TEST_CASE("properties of the queue under any events") {
  CHECK(rc::check([](std::uint64_t seed) { CheckProperties(seed); }));
}

TEST_CASE("the queue is bounded") {
  admission_queue queue(0.5);
  for (std::size_t i = 0; i < admission_queue::kMaxWaiting + 50; ++i) {
    Verdict(queue, Request(2), 1'000);
  }
  Go(queue, 1'000, 1);
  CHECK(queue.waiting() <= admission_queue::kMaxWaiting);
}

// Guards against an estimate that one slow answer moves, or that stays high
// while no requests are sent.
TEST_CASE("the pace follows the median and returns to the long-run value") {
  work_pace pace;
  for (int i = 0; i < 15; ++i) pace.Record(100, 1'000, i);
  CHECK_FALSE(pace.MsPerWork(15));
  for (int i = 15; i < 40; ++i) pace.Record(100, 1'000, i);
  CHECK(*pace.MsPerWork(40) == doctest::Approx(0.1));
  pace.Record(60'000, 1'000, 41);
  CHECK(*pace.MsPerWork(41) == doctest::Approx(0.1));
  for (int i = 0; i < 40; ++i) pace.Record(1'000, 1'000, 50 + i);
  CHECK(*pace.MsPerWork(100) == doctest::Approx(1));
  CHECK(*pace.MsPerWork(10'000) < 0.6);
}

}  // namespace lovagedale::testing
