#pragma once

#include <array>
#include <cstdint>
#include <string>
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
  double quality_bound = 0;     ///< lower confidence bound of it
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
struct version_knowledge {
  version_id version = 0;
  double price = 0;             ///< micros per 1k tokens
  double expected_quality = 0;  ///< before evidence
  double expected_ms = 0;       ///< time to a whole answer
  /// Answers to first attempts by signal bin; the last one had no signal.
  std::array<evidence_counts, kSignalBins + 1> bins{};
  /// Answers given after another version's answer was not kept.
  evidence_counts escalated{};
};

struct planning_options {
  /// Standard errors that the quality bound lies below the estimate.
  double confidence_z = 1.3;
  /// Weight of the configured quality, in ratings.
  double prior_weight = 12;
  /// Weight of a version's mean in each of its bins, in ratings.
  double bin_prior_weight = 6;
  /// Cost of one millisecond, in micros per 1k tokens.
  double cost_per_ms = 0;
  /// Longest cascade.
  std::size_t max_steps = 2;
};

/// Chooses the plans with the least expected cost whose quality bound meets
/// the target; the best expected quality if none does. `versions` are sorted
/// by price. Pure.
auto PlanCascade(const std::vector<version_knowledge>& versions,
                 double target_quality, const planning_options& options)
    -> mixed_plan;

/// Collects what `evidence` says of a version on a task class.
auto KnowledgeOf(const catalog& config, version_id version,
                 const std::string& task_class, const evidence_table& evidence)
    -> version_knowledge;

/// Task class under which answers after an escalation are counted.
auto EscalatedClass(const std::string& task_class) -> std::string;

}  // namespace lovagedale
