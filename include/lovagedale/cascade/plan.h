#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/quality/evidence.h"

namespace lovagedale {

/// One step of a cascade: run the version and keep its answer if the answer's
/// confidence signal falls in bin `accept_from_bin` or higher.
struct cascade_step {
  version_id version = 0;
  std::uint8_t accept_from_bin = 0;  ///< 0 keeps every answer

  auto operator==(const cascade_step&) const -> bool = default;
};

/// Versions to try in turn; the last step keeps every answer.
struct cascade_plan {
  std::vector<cascade_step> steps;
  double expected_cost = 0;     ///< micros per 1k answer tokens
  double expected_quality = 0;  ///< mean rating, 0 to 1
  double quality_variance = 0;  ///< of the estimate `expected_quality`
  double expected_ms = 0;       ///< time to the complete answer

  auto operator==(const cascade_plan&) const -> bool = default;
};

/// Two plans and the share of requests that follow the first. If the target
/// quality lies between those of two plans, a mixture meets it at a lower cost
/// than the better plan alone.
struct mixed_plan {
  cascade_plan first;
  cascade_plan second;
  double first_share = 1;

  auto operator==(const mixed_plan&) const -> bool = default;
  /// The plan for a request; `draw` is a random number in [0, 1).
  auto Pick(double draw) const -> const cascade_plan& {
    return draw < first_share ? first : second;
  }
};

/// Price, latency and rated quality of one version on one task class.
struct version_profile {
  version_id version = 0;
  double price = 0;             ///< micros per 1k tokens
  double expected_quality = 0;  ///< as configured, before evidence
  double expected_ms = 0;       ///< time to a complete answer
  /// Answers of first attempts by signal bin; the last element counts answers
  /// without a signal.
  std::array<evidence_counts, kSignalBins + 1> bins{};
  /// Answers after an escalation, by the version whose answer was not kept and
  /// the signal bin of that answer.
  std::map<version_id, std::array<evidence_counts, kSignalBins>> escalated{};
};

/// The versions that a customer may use, as measured on one task class.
struct class_profile {
  double weight = 1;  ///< share of the customer's requests
  /// Sorted by rising price.
  std::vector<version_profile> versions;
};

struct planning_options {
  /// Number of standard errors by which the estimated quality must exceed the
  /// target.
  double confidence_z = 0.9;
  /// Weight of the configured quality against the evidence, in ratings.
  double prior_weight = 12;
  /// Cost of one millisecond of latency, in micros per 1k tokens.
  double cost_per_ms = 0;
  /// Largest number of steps in a cascade.
  std::size_t max_steps = 2;
};

/// Chooses a plan for each task class, so that the weighted mean quality of the
/// classes meets the target at the least expected cost. The quality is raised
/// in the classes where this costs least. The estimated mean must exceed the
/// target by `confidence_z` standard errors; if no choice of plans achieves
/// that, each class gets the plan with the highest lower bound of its quality.
/// Returns an empty list if a class has no versions. A pure function.
auto PlanPortfolio(const std::vector<class_profile>& classes,
                   double target_quality, const planning_options& options)
    -> std::vector<mixed_plan>;

/// PlanPortfolio for a single class.
auto PlanCascade(const std::vector<version_profile>& versions,
                 double target_quality, const planning_options& options)
    -> mixed_plan;

/// Builds the profile of a version on a task class from its configuration and
/// `evidence`.
auto BuildVersionProfile(const catalog& config, version_id version,
                         const std::string& task_class,
                         const evidence_table& evidence) -> version_profile;

/// Separates the task class and the source version in an EscalatedClass.
inline constexpr std::string_view kEscalationMarker = "+after:";

/// Task class under which the evidence counts answers that replaced an answer
/// of version `source`.
auto EscalatedClass(const std::string& task_class, const std::string& source)
    -> std::string;

}  // namespace lovagedale
