#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/configuration/fleet_view.h"
#include "lovagedale/quality/evidence.h"

namespace lovagedale {

struct guard_options {
  /// Probability of withdrawing a version that is as good as its baseline, per
  /// roll-out and over all of its tests.
  double false_alarm_rate = 0.01;
  /// Drop of the mean rating (0 to 1) below the baseline that is tolerated.
  double quality_tolerance = 0.02;
  /// Rise of the error rate above the baseline that is tolerated.
  double error_tolerance = 0.005;
  /// Baseline error rate when there is no evidence.
  double expected_error_rate = 0.005;
  /// Maximum number of task classes with a test of their own. Half of the
  /// false-alarm rate is divided among these tests, the other half is for the
  /// test of the version's total, in which all classes count.
  std::size_t max_classes = 8;
  /// Requests that the version must have run in a stage before it advances.
  std::uint64_t min_requests_per_stage = 50;
  /// To advance, the evidence must also show that the version's quality is
  /// less than `unacceptable_quality_drop` below its baseline, in total and for
  /// each class with at least `min_class_share` of its requests, and that its
  /// error rate is below `unacceptable_error_rate`.
  double min_class_share = 0.05;
  double unacceptable_quality_drop = 0.2;
  double unacceptable_error_rate = 0.05;
  /// Probability of advancing a version that fails one of these conditions.
  double false_advance_rate = 0.05;
};

enum class guard_verdict {
  kContinue,  ///< not enough evidence
  kAdvance,   ///< shown to be acceptable at this stage
  kWithdraw,  ///< worse than its baseline
};

struct guard_decision {
  guard_verdict verdict = guard_verdict::kContinue;
  std::string reason;

  auto operator==(const guard_decision&) const -> bool = default;
};

/// One number for each alternative hypothesis of a test.
using alternative_values = std::array<double, 4>;
/// Changes of a mean (drops or rises) that a test uses as alternatives. The
/// average of their likelihood ratios is a valid test statistic whatever the
/// true change is; it grows fastest if one of the alternatives is close to it.
inline constexpr alternative_values kQualityEffectSizes = {0.05, 0.1, 0.2,
                                                           0.35};
inline constexpr alternative_values kSuccessEffectSizes = {0.02, 0.045, 0.1,
                                                           0.3};

/// Natural logarithm of an e-value against the null hypothesis "the mean is at
/// least `null_mean`", in favour of a lower mean, from `count` values between
/// 0 and 1 whose sum is `sum`. Under the null hypothesis the expectation of an
/// e-value is at most 1 at any stopping time. So rejecting it once the e-value
/// reaches 1/a is wrong with probability at most a, however often it is tested.
auto LogEvidenceOfDrop(double sum, double count, double null_mean,
                       const alternative_values& drops) -> double;

/// The same for "the mean is at most `null_mean`", in favour of a higher one.
auto LogEvidenceOfRise(double sum, double count, double null_mean,
                       const alternative_values& rises) -> double;

/// Evidence of a version and of the versions that it would replace.
struct guard_input {
  evidence_table candidate;
  evidence_table baseline;
  double expected_quality = 0.5;  ///< of the baseline, as configured
  std::uint32_t stage = 0;
  std::uint64_t requests_at_stage_start = 0;
};

/// Decides on a version under roll-out. A pure function of the totals: the
/// order in which the evidence arrived does not matter.
auto JudgeRollout(const guard_input& input, const guard_options& options)
    -> guard_decision;

/// Selects the evidence of a version's baseline: the other steady versions of
/// its model. `total` is the evidence of all versions.
auto BaselineEvidence(const catalog& config, const fleet_view& view,
                      const std::string& version, const evidence_table& total)
    -> evidence_table;

/// Version that takes over the sessions of `version` when it is withdrawn: its
/// configured successor, else the steady version of its model with the highest
/// expected quality; empty if there is none.
auto DefaultSuccessor(const catalog& config, const fleet_view& view,
                      const std::string& version) -> std::string;

}  // namespace lovagedale
