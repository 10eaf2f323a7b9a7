#include "lovagedale/relay/first_event_prediction.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <random>

namespace lovagedale::testing {

TEST_CASE("a prompt waits for the queued work, longer at a slow server") {
  const server_queue idle{0, 0.0, 1, 100};
  const auto at_idle = PredictFirstEvent(idle, 1'000, 0.026);
  REQUIRE(at_idle);
  CHECK(at_idle->ms > 26);
  CHECK(at_idle->ms < 40);
  CHECK(at_idle->age_ms == 100);
  const auto at_busy =
      PredictFirstEvent({2'000, 8'000.0, 1, 100}, 1'000, 0.026);
  CHECK(at_busy->ms > 3 * at_idle->ms);
  const auto at_slow =
      PredictFirstEvent({2'000, 8'000.0, 3, 100}, 1'000, 0.026);
  CHECK(at_slow->ms == doctest::Approx(3 * at_busy->ms).epsilon(0.1));
}

// Guards against an entry without control that takes servers for idle.
TEST_CASE("without reports the own work stands for that of other entries") {
  const auto local = PredictFirstEvent({4'000, {}, 1, -1}, 1'000, 0.026);
  const auto alone = PredictFirstEvent({4'000, 0.0, 1, 100}, 1'000, 0.026);
  CHECK(local->ms > alone->ms);
  CHECK(local->age_ms < 0);
}

// Guards against requests that are refused because of a damaged input.
TEST_CASE("a prediction is a finite, positive number or missing") {
  const auto nan = std::nan("");
  const auto infinite = std::numeric_limits<double>::infinity();
  CHECK_FALSE(PredictFirstEvent({nan, 0.0, 1, 0}, 1, 1));
  CHECK_FALSE(PredictFirstEvent({0, infinite, 1, 0}, 1, 1));
  CHECK_FALSE(PredictFirstEvent({0, 0.0, nan, 0}, 1, 1));
  CHECK_FALSE(PredictFirstEvent({0, 0.0, 1, 0}, 1'000, -1));
}

// Guards against predictions that stay wrong for a model whose servers are not
// as fast as the prior says, and against outliers that change them for long.
TEST_CASE("the time per work is learned and withstands outliers") {
  const bool holds = rc::check([](std::uint32_t seed) {
    std::mt19937 random(seed);
    std::lognormal_distribution<double> scatter(0, 0.4);
    const auto actual =
        std::exp(std::uniform_real_distribution<double>(-6, -1)(random));
    work_time time;
    const auto answer = [&](double factor) {
      const auto work = 700.0 + random() % 20'000;
      time.Record(6 + work * actual * factor * scatter(random), work);
    };
    for (int i = 0; i < 200; ++i) answer(1);
    RC_ASSERT(time.ms_per_work() > actual / 1.4);
    RC_ASSERT(time.ms_per_work() < actual * 1.4);
    const auto before = time.ms_per_work();
    time.Record(1e9, 1'000);
    RC_ASSERT(time.ms_per_work() < before * 1.05);
    // A tenth of the answers come from servers that are eight times slower.
    for (int i = 0; i < 200; ++i) answer(i % 10 == 0 ? 8 : 1);
    RC_ASSERT(time.ms_per_work() < actual * 1.7);
    time.Record(std::nan(""), 1'000);
    time.Record(100, 0);
    RC_ASSERT(std::isfinite(time.ms_per_work()));
  });
  CHECK(holds);
}

}  // namespace lovagedale::testing
