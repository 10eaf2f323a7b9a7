#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Learns, from the confidences that a model reports, which of its answers to
/// keep and which to ask of a larger model. Nothing rates the answers: the
/// confidences of answers that suffice and of those that do not form two
/// groups, and the threshold is where these are told apart best (Otsu, 1979).
class confidence_threshold {
 public:
  /// `confidence` is 0 to 1.
  auto Add(double confidence) -> void;
  /// Answers below it are asked of a larger model.
  auto Threshold() const -> double { return threshold_; }

 private:
  static constexpr std::size_t kBins = 50;
  /// Before that many, the middle of the range.
  static constexpr std::uint64_t kMinAnswers = 60;
  static constexpr std::uint64_t kRecomputeEvery = 20;

  auto Recompute() -> void;

  std::array<std::uint64_t, kBins> counts_{};
  std::uint64_t total_ = 0;
  double threshold_ = 0.5;
};

/// How long a model's answers take to begin, of late and at present.
class first_event_time {
 public:
  auto RecordSent(monotonic_ms now) -> void {
    ++waiting_;
    waiting_sent_sum_ms_ += now;
  }
  /// A request sent at `sent` waits no longer.
  auto RecordEnded(monotonic_ms sent) -> void {
    --waiting_;
    waiting_sent_sum_ms_ -= sent;
  }
  /// An answer began `ms` after it was asked for.
  auto RecordFirstEvent(double ms, monotonic_ms now) -> void {
    const auto decay = AgeDecay(now) * kDecayPerAnswer;
    weight_ = weight_ * decay + 1;
    mean_ms_ += (ms - mean_ms_) / weight_;
    latest_at_ = now;
  }
  /// What the next answer may take: as long as the latest ones, or as those
  /// that wait now, which have half of their time behind them. With few recent
  /// ones it is `unknown_ms`, or what is left of their time as they age: a
  /// model that is asked less often for its late answers would not be seen to
  /// become fast again.
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
  /// Four answers that have just begun; older ones count less.
  static constexpr double kMinWeight = 3.5;
  /// At a high rate about the last fifteen answers count.
  static constexpr double kDecayPerAnswer = 0.93;
  /// An answer of this age counts half: queues at servers grow and end within
  /// a second or two.
  static constexpr double kHalfLifeMs = 1'500;

  auto AgeDecay(monotonic_ms now) const -> double {
    return std::exp2(-static_cast<double>(now - latest_at_) / kHalfLifeMs);
  }

  double mean_ms_ = 0;
  double weight_ = 0;  ///< of the answers in the mean, as of latest_at_
  monotonic_ms latest_at_ = 0;
  std::int64_t waiting_ = 0;
  monotonic_ms waiting_sent_sum_ms_ = 0;  ///< sum of when they were sent
};

/// The threshold while servers are busy. A larger model's answer costs a
/// multiple of a small one's; when these begin to come late, more of them make
/// every answer late. From a third of the objective on, fewer answers are
/// dropped, and none where the larger model's would come late.
auto ThresholdUnderLoad(double threshold, double first_event_ms,
                        double objective_ms) -> double;

/// What is known of one model on one route.
struct tier_state {
  confidence_threshold threshold;
  first_event_time first_event;
};

/// By route and model.
using tier_table = std::map<std::pair<std::string, std::string>, tier_state>;

}  // namespace lovagedale
