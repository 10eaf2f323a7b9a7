#pragma once

#include <cstdint>
#include <vector>

namespace lovagedale {

/// How late the first events of a route come, on its smallest model: that of
/// the queues, as its own prompts take little.
struct route_lateness {
  std::uint32_t priority = 0;  ///< 0 is the most urgent
  double objective_ms = 0;     ///< for the first event; 0: none
  double expected_ms = 0;      ///< for the first event; 0 if unknown

  auto operator==(const route_lateness&) const -> bool = default;
};

/// What the decision about a larger model for one request depends on.
struct escalation_input {
  double confidence = 0;       ///< of the smaller model's answer, 0 to 1
  double threshold = 0;        ///< learned, without regard to the load
  std::uint32_t priority = 0;  ///< of the request
  double objective_ms = 0;     ///< for the first event; 0: none
  double elapsed_ms = 0;       ///< since the call began
  /// Mean time to the first event of the larger model's recent answers.
  double expected_ms = 0;
  /// The request's prompt tokens in proportion to the mean of those answers; 1
  /// if unknown.
  double size_ratio = 1;
  bool may_run_again = true;  ///< false: the call must not be repeated
  std::vector<route_lateness> other_routes;  ///< of the same service

  auto operator==(const escalation_input&) const -> bool = default;
};

enum class escalation_decision : std::uint8_t {
  kEscalate,
  kConfident,  ///< the answer is kept as it is good enough
  kLate,       ///< the larger model's answer would come late
  kYield,      ///< the capacity is left to more urgent or tighter routes
  kRunsOnce,   ///< the call must not run again
  kNoAttempt,  ///< the call, or its service's retry budget, has none left
};

/// For metrics; the reason why the larger model is not asked.
auto ToString(escalation_decision decision) -> const char*;

/// Predicted time to the first event of a request of this size. Not finite or
/// negative ratios count as unknown.
auto PredictedFirstEventMs(double expected_ms, double size_ratio) -> double;

/// Price of capacity for a request, 0 to 1: 0 while the service's more urgent
/// routes, and those of its priority with a shorter objective, answer well
/// within their objectives. The less urgent the request, the earlier it rises.
auto CapacityPrice(const escalation_input& input) -> double;

/// Whether a request whose answer has a low confidence goes to the larger
/// model. Under load, long prompts on a large model are late themselves and
/// delay others, so escalations are given up: those that would be late, and
/// those for which the price is too high, the least urgent first, then those
/// with the highest confidence, then the largest. Never kNoAttempt.
auto DecideEscalation(const escalation_input& input) -> escalation_decision;

/// Whether a request that may run once starts on a larger model than the
/// smallest: no second run can replace a weak answer. It does unless an
/// escalation to that model would be given up whatever the confidence.
/// `confidence` and `may_run_again` are ignored.
auto StartsOnLargerModel(escalation_input input) -> bool;

}  // namespace lovagedale
