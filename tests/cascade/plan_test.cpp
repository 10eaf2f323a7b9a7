#include "lovagedale/cascade/plan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>

namespace lovagedale::testing {
namespace {

/// Profile of a version with `ratings` ratings. With a signal, the mean rating
/// is proportional to the signal bin.
auto MakeProfile(version_id id, double price, double quality,
                 std::uint64_t ratings, bool has_signal) -> version_profile {
  version_profile profile;
  profile.version = id;
  profile.price = price;
  profile.expected_quality = quality;
  const auto bins = has_signal ? std::size_t{kSignalBins} : std::size_t{1};
  for (std::size_t i = 0; i < bins; ++i) {
    auto& counts = profile.bins[has_signal ? i : kSignalBins];
    const auto mean =
        has_signal
            ? std::min(1.0, quality * 2.0 * (static_cast<double>(i) + 0.5) /
                                kSignalBins)
            : quality;
    counts.requests = counts.ratings = ratings / bins;
    counts.rating_sum = mean * static_cast<double>(counts.ratings);
  }
  for (std::size_t i = 0; i < kSignalBins; ++i) {
    const auto count = ratings / kSignalBins;
    for (version_id source = 0; source < id; ++source) {
      profile.escalated[source][i] = {
          count, 0, count, quality * 0.95 * static_cast<double>(count), 0};
    }
  }
  return profile;
}

}  // namespace

TEST_CASE(
    "without evidence the version with the best expected quality answers") {
  const auto plan = PlanCascade({MakeProfile(0, 100, 0.6, 0, false),
                                 MakeProfile(1, 1'000, 0.9, 0, false)},
                                0.85, {});
  REQUIRE(plan.first.steps.size() == 1);
  CHECK(plan.first.steps[0].version == 1);
}

TEST_CASE("a cheap version that meets the target answers alone") {
  const auto plan = PlanCascade({MakeProfile(0, 100, 0.9, 1'000, false),
                                 MakeProfile(1, 1'000, 0.95, 1'000, false)},
                                0.8, {});
  REQUIRE(plan.first.steps.size() == 1);
  CHECK(plan.first.steps[0].version == 0);
}

TEST_CASE("with an informative signal a cascade beats both versions alone") {
  const auto plan = PlanCascade({MakeProfile(0, 100, 0.6, 4'000, true),
                                 MakeProfile(1, 1'000, 0.95, 4'000, false)},
                                0.85, {});
  CHECK(plan.first.steps.size() == 2);
  CHECK(plan.first.expected_cost < 1'000);
}

TEST_CASE("the plans cost no more than any one version that meets the target") {
  CHECK(rc::check([] {
    const planning_options options;
    std::vector<class_profile> classes(*rc::gen::inRange<std::size_t>(1, 4));
    const auto count = *rc::gen::inRange<version_id>(1, 6);
    for (auto& item : classes) {
      item.weight = *rc::gen::inRange(1, 5);
      for (version_id id = 0; id < count; ++id) {
        item.versions.push_back(
            MakeProfile(id, 100 * (id + 1), *rc::gen::inRange(30, 99) / 100.0,
                        *rc::gen::inRange<std::uint64_t>(0, 2'000),
                        *rc::gen::arbitrary<bool>()));
      }
    }
    const auto target = *rc::gen::inRange(30, 99) / 100.0;
    const auto plans = PlanPortfolio(classes, target, options);
    RC_ASSERT(plans.size() == classes.size());
    double weight = 0;
    double cost = 0;
    for (std::size_t i = 0; i < plans.size(); ++i) {
      weight += classes[i].weight;
      cost += classes[i].weight *
              (plans[i].first_share * plans[i].first.expected_cost +
               (1 - plans[i].first_share) * plans[i].second.expected_cost);
    }
    // Each version alone is a portfolio too. None that meets the target with
    // twice the margin may be cheaper.
    for (version_id id = 0; id < count; ++id) {
      double alone = 0;
      double variance = 0;
      for (const auto& item : classes) {
        const auto plan = PlanCascade({item.versions[id]}, 0, options).first;
        const auto share = item.weight / weight;
        alone += share * plan.expected_quality;
        variance += share * share * plan.quality_variance;
      }
      if (alone - 2 * options.confidence_z * std::sqrt(variance) < target) {
        continue;
      }
      RC_ASSERT(cost / weight <= 100 * (id + 1) + 1e-6);
    }
  }));
}

TEST_CASE("quality is raised in the class where that costs least") {
  // The expensive version gains almost nothing in the second class.
  const std::vector<class_profile> classes = {
      {1,
       {MakeProfile(0, 100, 0.5, 4'000, false),
        MakeProfile(1, 1'000, 0.95, 4'000, false)}},
      {1,
       {MakeProfile(0, 100, 0.8, 4'000, false),
        MakeProfile(1, 1'000, 0.81, 4'000, false)}}};
  const auto plans = PlanPortfolio(classes, 0.8, {});
  CHECK(plans[0].Pick(0.5).steps[0].version == 1);
  CHECK(plans[1].Pick(0.5).steps[0].version == 0);
}

TEST_CASE(
    "with a cost of latency, a faster and more expensive version is chosen") {
  auto slow = MakeProfile(0, 100, 0.9, 1'000, false);
  auto fast = MakeProfile(1, 300, 0.9, 1'000, false);
  slow.expected_ms = 2'000;
  fast.expected_ms = 200;
  CHECK(PlanCascade({slow, fast}, 0.8, {}).first.steps[0].version == 0);
  CHECK(PlanCascade({slow, fast}, 0.8, {.cost_per_ms = 1})
            .first.steps[0]
            .version == 1);
}

}  // namespace lovagedale::testing
