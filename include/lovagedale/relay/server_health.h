#pragma once

#include <algorithm>
#include <cstdint>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// What requests have shown of one server, whatever it says of itself. A
/// server that fails is held out for a growing time, then tried again.
class server_health {
 public:
  auto Succeeded(monotonic_ms now) -> void {
    failure_share_ *= 1 - kWeight;
    consecutive_ = 0;
    if (now >= held_until_ + kForgiveMs) strikes_ = 0;
  }
  /// An answer that failed, or none, though the server was reached.
  auto Failed(monotonic_ms now) -> void {
    failure_share_ += kWeight * (1 - failure_share_);
    ++consecutive_;
    if (consecutive_ >= kConsecutive || failure_share_ > kFailureShare) {
      HoldOut(now);
    }
  }
  /// No connection to the server could be made, until one is.
  auto Unreachable(monotonic_ms now) -> void {
    failure_share_ += kWeight * (1 - failure_share_);
    is_unreachable_ = true;
    HoldOut(now);
  }
  /// A connection was made. What held the server out before is forgotten, but
  /// not its failures.
  auto Reached() -> void {
    if (!is_unreachable_) return;
    is_unreachable_ = false;
    held_until_ = 0;
  }
  auto IsUnreachable() const -> bool { return is_unreachable_; }
  auto IsHeldOut(monotonic_ms now) const -> bool { return now < held_until_; }
  /// 0 to 1, recent answers counting most.
  auto failure_share() const -> double { return failure_share_; }

 private:
  /// Weight of one answer: about the last six count.
  static constexpr double kWeight = 0.15;
  /// Services may fail a tenth of their requests in good order; half is not.
  static constexpr double kFailureShare = 0.5;
  static constexpr std::uint32_t kConsecutive = 3;
  static constexpr monotonic_ms kFirstHoldMs = 600;
  static constexpr monotonic_ms kLongestHoldMs = 5'000;
  static constexpr monotonic_ms kForgiveMs = 3'000;
  static constexpr unsigned kMaxStrikes = 4;

  auto HoldOut(monotonic_ms now) -> void {
    if (now < held_until_) return;
    held_until_ = now + std::min(kFirstHoldMs << strikes_, kLongestHoldMs);
    strikes_ = std::min(strikes_ + 1, kMaxStrikes);
    // The next answers decide, not those from before.
    failure_share_ = kFailureShare / 2;
    consecutive_ = 0;
  }

  double failure_share_ = 0;
  std::uint32_t consecutive_ = 0;
  unsigned strikes_ = 0;
  monotonic_ms held_until_ = 0;
  bool is_unreachable_ = false;
};

}  // namespace lovagedale
