#pragma once

#include <algorithm>
#include <cstdint>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Health of one server by the results of requests, whatever its own health
/// check says. A failing server is ejected for a growing time, then tried
/// again.
class server_health {
 public:
  auto RecordSuccess(monotonic_ms now) -> void {
    failure_fraction_ *= 1 - kAnswerWeight;
    consecutive_failures_ = 0;
    if (now >= ejected_until_ms_ + kEjectionResetMs) ejections_ = 0;
  }
  /// The server was reached, but its answer failed or did not arrive.
  auto RecordFailure(monotonic_ms now) -> void {
    failure_fraction_ += kAnswerWeight * (1 - failure_fraction_);
    ++consecutive_failures_;
    if (consecutive_failures_ >= kMaxConsecutiveFailures ||
        failure_fraction_ > kMaxFailureFraction) {
      Eject(now);
    }
  }
  /// A connection to the server failed; it counts as unreachable until one
  /// succeeds.
  auto MarkUnreachable(monotonic_ms now) -> void {
    failure_fraction_ += kAnswerWeight * (1 - failure_fraction_);
    is_unreachable_ = true;
    Eject(now);
  }
  /// A connection was made. Ends the ejection of an unreachable server, but
  /// keeps its failure fraction.
  auto MarkReachable() -> void {
    if (!is_unreachable_) return;
    is_unreachable_ = false;
    ejected_until_ms_ = 0;
  }
  auto IsUnreachable() const -> bool { return is_unreachable_; }
  auto IsEjected(monotonic_ms now) const -> bool {
    return now < ejected_until_ms_;
  }
  /// Moving average of failed answers, 0 to 1; recent answers weigh most.
  auto failure_fraction() const -> double { return failure_fraction_; }

 private:
  /// Weight of one answer in the average: about the last six count.
  static constexpr double kAnswerWeight = 0.15;
  /// Services may fail a tenth of their requests in normal operation, not half.
  static constexpr double kMaxFailureFraction = 0.5;
  static constexpr std::uint32_t kMaxConsecutiveFailures = 3;
  static constexpr monotonic_ms kFirstEjectionMs = 600;
  static constexpr monotonic_ms kMaxEjectionMs = 5'000;
  /// A success this long after an ejection makes the next one short again.
  static constexpr monotonic_ms kEjectionResetMs = 3'000;
  static constexpr unsigned kMaxEjectionDoublings = 4;

  auto Eject(monotonic_ms now) -> void {
    if (now < ejected_until_ms_) return;
    ejected_until_ms_ =
        now + std::min(kFirstEjectionMs << ejections_, kMaxEjectionMs);
    ejections_ = std::min(ejections_ + 1, kMaxEjectionDoublings);
    // Answers after this ejection decide about the next one, not those before.
    failure_fraction_ = kMaxFailureFraction / 2;
    consecutive_failures_ = 0;
  }

  double failure_fraction_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  unsigned ejections_ = 0;
  monotonic_ms ejected_until_ms_ = 0;
  bool is_unreachable_ = false;
};

}  // namespace lovagedale
