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
  /// Probability that a version as good as its baseline is ever stopped in one
  /// roll-out, over all its tests together.
  double false_alarm_rate = 0.01;
  /// A version this much below its baseline still counts as good.
  double quality_tolerance = 0.02;
  double error_tolerance = 0.005;
  /// Baseline error rate when there is no evidence.
  double expected_error_rate = 0.005;
  /// Task classes that share the false-alarm rate; further ones are judged
  /// with the whole version only.
  std::size_t max_classes = 8;
  /// Before a stage ends its version must have run this many requests there.
  std::uint64_t min_requests_per_stage = 50;
  /// And be shown, as a whole and on each class that makes up `min_class_share`
  /// of its requests, not to be worse than its baseline by this much.
  double min_class_share = 0.05;
  double unacceptable_quality_drop = 0.2;
  double unacceptable_error_rate = 0.05;
  /// Probability of advancing a version that is worse by that much.
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

/// Drops of a mean that a test looks for. The average of their likelihood
/// ratios is evidence too, whatever the true drop is; the nearer one of them
/// is to it, the sooner it shows.
using drop_list = std::array<double, 4>;
inline constexpr drop_list kQualityDrops = {0.05, 0.1, 0.2, 0.35};
inline constexpr drop_list kSuccessDrops = {0.02, 0.045, 0.1, 0.3};

/// Evidence against "the mean is at least `null_mean`" in favour of a lower
/// mean, from `count` values between 0 and 1 whose sum is `sum`. Its
/// expectation is at most 1 while the mean is at least `null_mean`, at any
/// stopping time; so stopping once it reaches 1/a errs with probability at
/// most a, however often it is looked at. Returns the natural logarithm.
auto LogEvidenceOfDrop(double sum, double count, double null_mean,
                       const drop_list& drops) -> double;

/// The same for "the mean is at most `null_mean`", in favour of a higher one.
auto LogEvidenceOfRise(double sum, double count, double null_mean,
                       const drop_list& rises) -> double;

/// A version's evidence beside that of the versions it would replace.
struct guard_input {
  evidence_table candidate;
  evidence_table baseline;
  double expected_quality = 0.5;  ///< of the baseline, before evidence
  std::uint32_t stage = 0;
  std::uint64_t requests_at_stage_start = 0;
};

/// Judges a version under roll-out. Pure; the order in which the evidence
/// came in does not matter.
auto JudgeRollout(const guard_input& input, const guard_options& options)
    -> guard_decision;

/// Sums the evidence of a version's baseline: the other versions of its model
/// that are steady.
auto BaselineEvidence(const catalog& config, const fleet_view& view,
                      const std::string& version, const evidence_table& total)
    -> evidence_table;

/// Where the sessions of a version go when it is withdrawn: the successor its
/// configuration names, else the best expected steady version of its model;
/// empty if there is none.
auto DefaultSuccessor(const catalog& config, const fleet_view& view,
                      const std::string& version) -> std::string;

}  // namespace lovagedale
