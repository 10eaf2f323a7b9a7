#pragma once

#include <algorithm>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Rate limit with a burst. Pure: time is an argument.
class token_bucket {
 public:
  token_bucket(double rate_per_s, double burst, monotonic_ms now)
      : rate_per_s_(rate_per_s),
        burst_(burst),
        tokens_(burst),
        refilled_at_(now) {}

  /// Takes one token if there is one.
  auto TryTake(monotonic_ms now) -> bool {
    Refill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  /// Time until a token is there, in milliseconds; at least 1 if there is none.
  auto WaitMs(monotonic_ms now) -> monotonic_ms {
    Refill(now);
    if (tokens_ >= 1 || rate_per_s_ <= 0) return 0;
    return static_cast<monotonic_ms>((1 - tokens_) * kMsPerSecond /
                                     rate_per_s_) +
           1;
  }
  /// Changes the limit and keeps what was saved, up to the new burst.
  auto SetLimit(double rate_per_s, double burst, monotonic_ms now) -> void {
    Refill(now);
    rate_per_s_ = rate_per_s;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

 private:
  static constexpr double kMsPerSecond = 1'000;

  auto Refill(monotonic_ms now) -> void {
    if (now <= refilled_at_) return;
    const auto elapsed = static_cast<double>(now - refilled_at_);
    tokens_ = std::min(burst_, tokens_ + elapsed * rate_per_s_ / kMsPerSecond);
    refilled_at_ = now;
  }

  double rate_per_s_;
  double burst_;
  double tokens_;
  monotonic_ms refilled_at_;
};

/// Bounds retries to a share of the requests, so that a failing pool is not
/// loaded further by them.
class retry_budget {
 public:
  /// `share`: retries allowed per request; `reserve`: retries that an idle
  /// caller may make at once.
  retry_budget(double share, double reserve)
      : share_(share), reserve_(reserve), balance_(reserve) {}

  auto RecordRequest() -> void {
    balance_ = std::min(balance_ + share_, reserve_);
  }
  auto TryRetry() -> bool {
    if (balance_ < 1) return false;
    balance_ -= 1;
    return true;
  }

 private:
  double share_;
  double reserve_;
  double balance_;
};

}  // namespace lovagedale
