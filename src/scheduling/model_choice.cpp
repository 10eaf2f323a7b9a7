#include "lovagedale/scheduling/model_choice.h"

#include <algorithm>
#include <cmath>

#include "lovagedale/relay/tier_choice.h"

namespace lovagedale {
namespace {

/// Part of the time to the first event that does not depend on the request's
/// size: the wait in the queue. A trial with 0.3 raised the share of requests
/// that were on time.
constexpr double kSizeIndependentFraction = 0.3;
/// Sizes beyond this are predicted no later or earlier: the mean is of few
/// answers.
constexpr double kMaxSizeRatio = 10;
/// The price begins to rise when another route's first events take this
/// fraction of its objective, by how many priorities the route is more urgent
/// (0, 1, 2 or more), and reaches 1 a third later. On a calm day the smallest
/// model's first events take about a fifth of the objective.
constexpr double kPriceBegins[] = {2.0 / 3, 1.0 / 2, 1.0 / 3};
constexpr double kPriceRange = 1.0 / 3;
/// Largest effect of the size on what is given up, either way.
constexpr double kMaxSizeEffect = 2;

auto IsUsable(double value) -> bool {
  return std::isfinite(value) && value >= 0;
}

}  // namespace

auto ToString(escalation_decision decision) -> const char* {
  switch (decision) {
    case escalation_decision::kEscalate:
      return "escalate";
    case escalation_decision::kConfident:
      return "confident";
    case escalation_decision::kLate:
      return "late";
    case escalation_decision::kYield:
      return "yield";
    case escalation_decision::kRunsOnce:
      return "runs_once";
    case escalation_decision::kNoAttempt:
      return "no_attempt";
  }
  return "unknown";
}

auto PredictedFirstEventMs(double expected_ms, double size_ratio) -> double {
  const auto ratio =
      IsUsable(size_ratio) ? std::min(size_ratio, kMaxSizeRatio) : 1;
  return expected_ms *
         (kSizeIndependentFraction + (1 - kSizeIndependentFraction) * ratio);
}

auto CapacityPrice(const escalation_input& input) -> double {
  double price = 0;
  for (const auto& other : input.other_routes) {
    if (other.objective_ms <= 0 || !IsUsable(other.expected_ms)) continue;
    const bool is_tighter = other.priority == input.priority &&
                            other.objective_ms < input.objective_ms;
    if (other.priority >= input.priority && !is_tighter) continue;
    const auto levels =
        std::min<std::uint32_t>(input.priority - other.priority, 2);
    const auto load = other.expected_ms / other.objective_ms;
    price = std::max(price, (load - kPriceBegins[levels]) / kPriceRange);
  }
  return std::min(price, 1.0);
}

auto DecideEscalation(const escalation_input& input) -> escalation_decision {
  if (input.confidence >= input.threshold) {
    return escalation_decision::kConfident;
  }
  // A call that is late already is not made later.
  const auto objective_ms =
      input.objective_ms > 0
          ? std::max(1.0, input.objective_ms - input.elapsed_ms)
          : 0;
  const auto min_confidence = ThresholdUnderLoad(
      input.threshold,
      PredictedFirstEventMs(input.expected_ms, input.size_ratio), objective_ms);
  if (input.confidence >= min_confidence) return escalation_decision::kLate;
  const auto size =
      IsUsable(input.size_ratio)
          ? std::clamp(input.size_ratio, 1 / kMaxSizeEffect, kMaxSizeEffect)
          : 1;
  // At a price of 1 nothing is escalated, whatever its size.
  const auto given_up = std::pow(CapacityPrice(input), 1 / size);
  if (input.confidence >= min_confidence * (1 - given_up)) {
    return escalation_decision::kYield;
  }
  return input.may_run_again ? escalation_decision::kEscalate
                             : escalation_decision::kRunsOnce;
}

auto StartsOnLargerModel(escalation_input input) -> bool {
  input.confidence = 0;
  input.may_run_again = true;
  return DecideEscalation(input) == escalation_decision::kEscalate;
}

}  // namespace lovagedale
