#include "scheduling/admission_model.h"

#include <doctest/doctest.h>

#include <cstdio>

namespace lovagedale::testing {
namespace {

auto Run(model_policy policy, const model_load& load, bool uses_mean = false)
    -> model_result {
  return admission_model(policy, load, uses_mean).Run();
}

/// Seconds from the burst's end until at least nine of ten requests are on time
/// in every later second.
auto RecoveryS(const model_result& result, const model_load& load)
    -> monotonic_ms {
  const auto burst_end_s = load.burst_until_ms / 1'000;
  auto recovered_s = burst_end_s;
  for (const auto& [second, counts] : result.seconds) {
    if (second >= burst_end_s && counts.OnTime() < 0.9) {
      recovered_s = second + 1;
    }
  }
  return recovered_s - burst_end_s;
}

/// On-time fraction, in the burst, of the requests of customers that do not
/// flood.
auto OnTimeOfOthers(const model_result& result) -> double {
  model_counts sum;
  for (std::size_t i = 1; i < result.customers.size(); ++i) {
    sum.requests += result.customers[i].requests;
    sum.on_time += result.customers[i].on_time;
  }
  return sum.OnTime();
}

/// A row of the table in docs/design/admission.md: means of three seeds.
auto PrintRow(const char* name, const char* policy_name, model_policy policy,
              model_load load, bool uses_mean = false) -> void {
  constexpr int kSeeds = 3;
  std::array<double, 9> sums{};
  for (int seed = 1; seed <= kSeeds; ++seed) {
    load.seed = static_cast<std::uint64_t>(seed);
    const auto result = Run(policy, load, uses_mean);
    int refused = 0;
    int requests = 0;
    for (const auto& kind : result.kinds) {
      refused += kind.refused;
      requests += kind.requests;
    }
    const std::array<double, 9> values = {
        result.worth,
        result.kinds[0].OnTime(),
        result.kinds[1].OnTime(),
        result.kinds[2].OnTime(),
        OnTimeOfOthers(result),
        static_cast<double>(refused) / requests,
        static_cast<double>(result.refused_after_waiting) / requests,
        static_cast<double>(RecoveryS(result, load)),
        static_cast<double>(result.most_released_at_once)};
    for (std::size_t i = 0; i < sums.size(); ++i) sums[i] += values[i] / kSeeds;
  }
  std::printf("| %s | %s", name, policy_name);
  for (std::size_t i = 0; i < sums.size(); ++i) {
    std::printf(i < 7 ? " | %.2f" : " | %.0f", sums[i]);
  }
  std::printf(" |\n");
}

}  // namespace

// Guards against admission that costs something while there is room for all.
TEST_CASE("with room for all nothing is late or refused") {
  model_load calm;
  calm.burst_factor = 1;
  for (const auto policy : {model_policy::kAdmission, model_policy::kStrict}) {
    const auto result = Run(policy, calm);
    CHECK(result.worth > 0.99);
    CHECK(result.most_waiting <= 3);
  }
}

// Guards against a burst after which retries and stale predictions keep the
// entries from returning to normal.
TEST_CASE("entries return to normal after a burst of any size") {
  for (const double factor : {2.4, 6.0, 12.0}) {
    model_load load;
    load.burst_factor = factor;
    const auto without = Run(model_policy::kAcceptAll, load);
    for (const auto policy :
         {model_policy::kAdmission, model_policy::kStrict}) {
      const auto result = Run(policy, load);
      CAPTURE(factor);
      // Not longer than the longest time limit, in which all of the burst ends.
      CHECK(RecoveryS(result, load) <= 25);
      CHECK(RecoveryS(result, load) <= RecoveryS(without, load));
      CHECK(result.worth >= without.worth);
    }
    const auto strict = Run(model_policy::kStrict, load);
    CHECK(strict.worth > without.worth + 0.1);
    // No kind is served worse than a less urgent one.
    CHECK(strict.kinds[0].OnTime() >= strict.kinds[1].OnTime());
    CHECK(strict.kinds[1].OnTime() >= strict.kinds[2].OnTime());
  }
}

// Guards against one customer's flood that makes other customers' requests
// late.
TEST_CASE("a flood is kept from other customers' requests") {
  model_load load;
  load.burst_factor = 1;
  load.flood_factor = 16;
  CHECK(OnTimeOfOthers(Run(model_policy::kStrict, load)) >
        OnTimeOfOthers(Run(model_policy::kAcceptAll, load)) + 0.04);
}

TEST_CASE("print the model's table" * doctest::skip()) {
  model_load burst;
  model_load flood;
  flood.burst_factor = 1;
  flood.flood_factor = 16;
  model_load steady;
  steady.utilization = 1.3;
  steady.burst_factor = 1;
  model_load calm;
  calm.burst_factor = 1;
  model_load large;
  large.burst_factor = 6;
  const std::pair<const char*, model_load> loads[] = {{"calm", calm},
                                                      {"burst 2.4", burst},
                                                      {"burst 6", large},
                                                      {"flood", flood},
                                                      {"steady 1.3", steady}};
  for (const auto& [name, load] : loads) {
    PrintRow(name, "accept all", model_policy::kAcceptAll, load);
    PrintRow(name, "queue length", model_policy::kQueueLength, load);
    PrintRow(name, "same, mean queue", model_policy::kQueueLength, load, true);
    PrintRow(name, "priority only", model_policy::kPriorityOnly, load);
    PrintRow(name, "same, mean queue", model_policy::kPriorityOnly, load, true);
    PrintRow(name, "admission", model_policy::kAdmission, load);
    PrintRow(name, "strict", model_policy::kStrict, load);
  }
}

}  // namespace lovagedale::testing
