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

/// One rung of a cascade: run the version and keep its answer if its signal
/// falls in bin `accept_from_bin` or higher.
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
  double quality_variance = 0;  ///< of that estimate
  double expected_ms = 0;       ///< time to the whole answer

  auto operator==(const cascade_plan&) const -> bool = default;
};

/// Two plans and the share of requests that follow the first. Mixing meets a
/// target between two plans' qualities at less cost than the better alone.
struct mixed_plan {
  cascade_plan first;
  cascade_plan second;
  double first_share = 1;

  auto operator==(const mixed_plan&) const -> bool = default;
  /// The plan for a request, by a number in [0, 1) drawn for it.
  auto Pick(double draw) const -> const cascade_plan& {
    return draw < first_share ? first : second;
  }
};

/// What is known of one version on one task class.
struct version_profile {
  version_id version = 0;
  double price = 0;             ///< micros per 1k tokens
  double expected_quality = 0;  ///< before evidence
  double expected_ms = 0;       ///< time to a whole answer
  /// Answers to first attempts by signal bin; the last one had no signal.
  std::array<evidence_counts, kSignalBins + 1> bins{};
  /// Answers given after another version's answer was not kept: by that
  /// version and the signal bin of its answer.
  std::map<version_id, std::array<evidence_counts, kSignalBins>> escalated{};
};

/// What is known of a customer's versions on one of its task classes.
struct class_profile {
  double weight = 1;  ///< share of the customer's requests
  /// By rising price.
  std::vector<version_profile> versions;
};

struct planning_options {
  /// Standard errors that the quality bound lies below the estimate.
  double confidence_z = 0.9;
  /// Weight of the configured quality, in ratings.
  double prior_weight = 12;
  /// Cost of one millisecond, in micros per 1k tokens.
  double cost_per_ms = 0;
  /// Longest cascade.
  std::size_t max_steps = 2;
};

/// Chooses a plan for each task class, so that the mean quality over all of
/// them meets the target at the least expected cost: quality is bought in the
/// class where it costs least. The estimate must exceed the target by
/// `confidence_z` standard errors. The safest plans if nothing meets it. Pure.
auto PlanPortfolio(const std::vector<class_profile>& classes,
                   double target_quality, const planning_options& options)
    -> std::vector<mixed_plan>;

/// PlanPortfolio for a single class.
auto PlanCascade(const std::vector<version_profile>& versions,
                 double target_quality, const planning_options& options)
    -> mixed_plan;

/// Collects what `evidence` says of a version on a task class.
auto BuildVersionProfile(const catalog& config, version_id version,
                         const std::string& task_class,
                         const evidence_table& evidence) -> version_profile;

/// Part of the task class of answers after an escalation.
inline constexpr std::string_view kEscalationMarker = "+after:";

/// Task class under which answers are counted that were given after `source`'s
/// answer was not kept.
auto EscalatedClass(const std::string& task_class, const std::string& source)
    -> std::string;

}  // namespace lovagedale
