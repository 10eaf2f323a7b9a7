#include "lovagedale/rollout/guard.h"

#include <doctest/doctest.h>

#include <random>

#include "support/fixtures.h"

namespace lovagedale::testing {
namespace {

/// Distribution of a version's answers, which are drawn one by one with a
/// decision after each.
struct rollout_trial {
  double quality = 0.8;
  double error_rate = 0.005;
  std::size_t classes = 1;
  std::size_t bad_class = 99;  ///< class with 0.3 less quality
};

/// Requests until the guard withdraws the version; 0 if it never does.
auto RequestsUntilWithdrawn(const rollout_trial& trial, std::uint64_t seed,
                            std::size_t limit) -> std::size_t {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> chance(0, 1);
  guard_input input;
  input.expected_quality = 0.8;
  for (std::size_t c = 0; c < trial.classes; ++c) {
    input.baseline[{"old", "class" + std::to_string(c)}] = {10'000, 50, 10'000,
                                                            8'000, 8'000};
  }
  for (std::size_t i = 1; i <= limit; ++i) {
    const auto c = random() % trial.classes;
    auto& counts = input.candidate[{"new", "class" + std::to_string(c)}];
    ++counts.requests;
    if (chance(random) < trial.error_rate) ++counts.errors;
    const auto quality = trial.quality - (c == trial.bad_class ? 0.3 : 0);
    const double score = chance(random) < quality ? 1 : 0;
    ++counts.ratings;
    counts.rating_sum += score;
    counts.rating_square_sum += score;
    if (JudgeRollout(input, {}).verdict == guard_verdict::kWithdraw) return i;
  }
  return 0;
}

}  // namespace

TEST_CASE(
    "a version as good as its baseline is withdrawn in 1% of roll-outs or "
    "less") {
  constexpr int kRollouts = 1'000;
  int alarms = 0;
  for (std::uint64_t seed = 0; seed < kRollouts; ++seed) {
    if (RequestsUntilWithdrawn({}, seed, 400) > 0) ++alarms;
  }
  CHECK(alarms <= kRollouts / 100);
}

TEST_CASE("a version with a 0.2 lower mean rating is withdrawn") {
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const auto requests = RequestsUntilWithdrawn({.quality = 0.6}, seed, 2'000);
    CHECK(requests > 0);
  }
}

TEST_CASE("a version with 5% errors is withdrawn") {
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    CHECK(RequestsUntilWithdrawn({.error_rate = 0.05}, seed, 4'000) > 0);
  }
}

TEST_CASE("a version bad for one task class only is withdrawn") {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    CHECK(RequestsUntilWithdrawn({.classes = 4, .bad_class = 2}, seed, 6'000) >
          0);
  }
}

TEST_CASE("a good version advances once the evidence suffices") {
  guard_input input;
  input.expected_quality = 0.8;
  input.candidate[{"new", "general"}] = {200, 0, 60, 50, 50};
  CHECK(JudgeRollout(input, {}).verdict == guard_verdict::kAdvance);
  input.requests_at_stage_start = 170;
  CHECK(JudgeRollout(input, {}).verdict == guard_verdict::kContinue);
}

TEST_CASE("a version without evidence neither advances nor is withdrawn") {
  CHECK(JudgeRollout({}, {}).verdict == guard_verdict::kContinue);
}

TEST_CASE("the default successor is the steady version of the same model") {
  const auto config = ParseCatalog(SmallDocument());
  fleet_view view;
  CHECK(DefaultSuccessor(config, view, "scholar@2") == "scholar@1");
  view.versions = {
      {"scholar@1", version_phase::kWithdrawn, 0, {}, false, "", ""}};
  CHECK(DefaultSuccessor(config, view, "scholar@2").empty());
}

}  // namespace lovagedale::testing
