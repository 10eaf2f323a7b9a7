#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/scheduling/shared_thresholds.h"

namespace lovagedale {

/// The value that best separates two groups of values between 0 and 1, counted
/// in bins of equal width (Otsu, 1979); nothing if all are in one bin.
auto SeparatingThreshold(std::span<const std::uint64_t> counts)
    -> std::optional<double>;

/// Learns, from the confidences that a model reports, which of its answers to
/// keep and which requests to send to a larger model. Answers are not rated:
/// the confidences of sufficient and of insufficient answers form two groups,
/// and the threshold is the one that separates them best. The fleet's threshold
/// is used if control has sent one, as an entry of many sees few answers.
class confidence_threshold {
 public:
  /// `confidence` is 0 to 1.
  auto Add(double confidence) -> void;
  /// Requests whose answers are below it are sent to a larger model.
  auto Threshold() const -> double {
    return fleet_threshold_.value_or(threshold_);
  }
  auto AdoptFleet(double threshold) -> void { fleet_threshold_ = threshold; }
  auto HasFleetThreshold() const -> bool {
    return fleet_threshold_.has_value();
  }
  /// Answers that TakeUnreported has not returned yet.
  auto unreported() const -> std::uint64_t { return unreported_; }
  auto TakeUnreported() -> confidence_counts;

 private:
  static constexpr std::size_t kBins = 50;
  /// With fewer answers the threshold is the middle of the range.
  static constexpr std::uint64_t kMinAnswers = 60;
  static constexpr std::uint64_t kRecomputeEvery = 20;

  auto Recompute() -> void;

  std::array<std::uint64_t, kBins> counts_{};
  std::uint64_t total_ = 0;
  double threshold_ = 0.5;
  std::optional<double> fleet_threshold_;
  confidence_counts unreported_counts_{};
  std::uint64_t unreported_ = 0;
};

/// Estimates the time to the first event of a model's answers.
class first_event_time {
 public:
  auto RecordSent(monotonic_ms now) -> void {
    ++waiting_;
    waiting_sent_sum_ms_ += now;
  }
  /// A request sent at `sent` has had its first event, or has ended.
  auto RecordEnded(monotonic_ms sent) -> void {
    --waiting_;
    waiting_sent_sum_ms_ -= sent;
  }
  /// An answer's first event arrived `ms` milliseconds after its request, whose
  /// prompt had `tokens`; 0 if unknown.
  auto RecordFirstEvent(double ms, monotonic_ms now, double tokens = 0)
      -> void {
    const auto decay = AgeDecay(now) * kDecayPerAnswer;
    weight_ = weight_ * decay + 1;
    mean_ms_ += (ms - mean_ms_) / weight_;
    mean_tokens_ += (tokens - mean_tokens_) / weight_;
    latest_at_ = now;
  }
  /// A prompt's tokens in proportion to the mean of the latest answers; 1 if
  /// either is unknown, or few answers are recent.
  auto SizeRatio(double tokens, monotonic_ms now) const -> double {
    const bool is_known =
        tokens > 0 && mean_tokens_ > 0 && weight_ * AgeDecay(now) >= kMinWeight;
    return is_known ? tokens / mean_tokens_ : 1;
  }
  /// Expected time of the next answer: the mean of the latest ones, or twice
  /// the mean age of the requests that wait now, if that is longer: on average
  /// these have half of their wait behind them. With few recent answers it is
  /// at least `unknown_ms`, and their mean is reduced as they age: otherwise a
  /// model that gets fewer requests because its answers were late would not be
  /// seen to recover.
  auto ExpectedMs(monotonic_ms now, double unknown_ms) const -> double {
    const auto weight = weight_ * AgeDecay(now);
    const auto seen_ms =
        weight < kMinWeight
            ? std::max(unknown_ms, mean_ms_ * weight / kMinWeight)
            : mean_ms_;
    if (waiting_ < kMinWaiting) return seen_ms;
    const auto waiting_age_ms =
        static_cast<double>(now) - static_cast<double>(waiting_sent_sum_ms_) /
                                       static_cast<double>(waiting_);
    return std::max(seen_ms, 2 * waiting_age_ms);
  }

 private:
  static constexpr std::int64_t kMinWaiting = 3;
  /// The weight of four answers that have just begun; older ones weigh less.
  static constexpr double kMinWeight = 3.5;
  /// At a high rate about the last fifteen answers count.
  static constexpr double kDecayPerAnswer = 0.93;
  /// An answer of this age weighs half: queues at servers build up and drain
  /// within a second or two.
  static constexpr double kHalfLifeMs = 1'500;

  auto AgeDecay(monotonic_ms now) const -> double {
    return std::exp2(-static_cast<double>(now - latest_at_) / kHalfLifeMs);
  }

  double mean_ms_ = 0;
  double mean_tokens_ = 0;
  double weight_ = 0;  ///< of the answers in the mean, as of latest_at_
  monotonic_ms latest_at_ = 0;
  std::int64_t waiting_ = 0;
  monotonic_ms waiting_sent_sum_ms_ = 0;  ///< sum of their send times
};

/// Lowers the threshold while servers are busy. A larger model's answer costs a
/// multiple of a small one's; when the larger models' answers begin to be late,
/// more of them make every answer late. If the larger model's time to the first
/// event exceeds a third of the objective, fewer answers are dropped, and none
/// if it would be late.
auto ThresholdUnderLoad(double threshold, double first_event_ms,
                        double objective_ms) -> double;

/// Learned state of one model on one route.
struct tier_state {
  confidence_threshold threshold;
  first_event_time first_event;
};

/// By route and model.
using tier_table = std::map<std::pair<std::string, std::string>, tier_state>;

/// Takes this entry's report to control: the models with the most unreported
/// answers.
auto TakeConfidenceReports(tier_table& tiers) -> std::vector<confidence_report>;
/// Adopts control's answer; models that it does not name keep their threshold.
auto AdoptThresholds(tier_table& tiers,
                     const std::vector<fleet_threshold>& thresholds) -> void;

}  // namespace lovagedale
