#include "lovagedale/cascade/plan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace lovagedale::testing {
namespace {

/// Evidence of a version whose answers are good in proportion to the bin.
auto Known(version_id id, double price, double quality, std::uint64_t ratings,
           bool has_signal) -> version_knowledge {
  version_knowledge known;
  known.version = id;
  known.price = price;
  known.expected_quality = quality;
  const auto bins = has_signal ? std::size_t{kSignalBins} : std::size_t{1};
  for (std::size_t i = 0; i < bins; ++i) {
    auto& counts = known.bins[has_signal ? i : kSignalBins];
    const auto mean =
        has_signal
            ? std::min(1.0, quality * 2.0 * (static_cast<double>(i) + 0.5) /
                                kSignalBins)
            : quality;
    counts.requests = counts.ratings = ratings / bins;
    counts.rating_sum = mean * static_cast<double>(counts.ratings);
  }
  known.escalated = {ratings, 0, ratings,
                     quality * 0.95 * static_cast<double>(ratings), 0};
  return known;
}

}  // namespace

TEST_CASE("without evidence the safest version answers") {
  const auto plan = PlanCascade(
      {Known(0, 100, 0.6, 0, false), Known(1, 1'000, 0.9, 0, false)}, 0.85, {});
  REQUIRE(plan.first.steps.size() == 1);
  CHECK(plan.first.steps[0].version == 1);
}

TEST_CASE("a cheap version that meets the target answers alone") {
  const auto plan = PlanCascade(
      {Known(0, 100, 0.9, 1'000, false), Known(1, 1'000, 0.95, 1'000, false)},
      0.8, {});
  REQUIRE(plan.first.steps.size() == 1);
  CHECK(plan.first.steps[0].version == 0);
}

TEST_CASE("with an informative signal a cascade beats both versions alone") {
  const auto plan = PlanCascade(
      {Known(0, 100, 0.6, 4'000, true), Known(1, 1'000, 0.95, 4'000, false)},
      0.85, {});
  CHECK(plan.first.steps.size() == 2);
  CHECK(plan.first.expected_cost < 1'000);
}

TEST_CASE("the mixture meets the target whenever some plan does") {
  CHECK(rc::check([] {
    std::vector<version_knowledge> versions;
    const auto count = *rc::gen::inRange<version_id>(1, 6);
    for (version_id id = 0; id < count; ++id) {
      versions.push_back(Known(id, 100 * (id + 1),
                               *rc::gen::inRange(30, 99) / 100.0,
                               *rc::gen::inRange<std::uint64_t>(0, 2'000),
                               *rc::gen::arbitrary<bool>()));
    }
    const auto target = *rc::gen::inRange(30, 99) / 100.0;
    const auto plan = PlanCascade(versions, target, {});
    const auto bound = plan.first_share * plan.first.quality_bound +
                       (1 - plan.first_share) * plan.second.quality_bound;
    const auto cost = plan.first_share * plan.first.expected_cost +
                      (1 - plan.first_share) * plan.second.expected_cost;
    for (const auto& known : versions) {
      // Each version alone is a plan: none that meets the target is cheaper.
      const auto alone = PlanCascade({known}, 0, {}).first;
      if (alone.steps.size() != 1 || alone.quality_bound < target) continue;
      RC_ASSERT(bound >= target - 1e-9);
      RC_ASSERT(cost <= alone.expected_cost + 1e-6);
    }
  }));
}

TEST_CASE("an impatient customer pays for speed") {
  auto slow = Known(0, 100, 0.9, 1'000, false);
  auto fast = Known(1, 300, 0.9, 1'000, false);
  slow.expected_ms = 2'000;
  fast.expected_ms = 200;
  CHECK(PlanCascade({slow, fast}, 0.8, {}).first.steps[0].version == 0);
  CHECK(PlanCascade({slow, fast}, 0.8, {.cost_per_ms = 1})
            .first.steps[0]
            .version == 1);
}

}  // namespace lovagedale::testing
