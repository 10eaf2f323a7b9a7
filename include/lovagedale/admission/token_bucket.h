#pragma once

#include <algorithm>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Token bucket: limits the rate and the burst. Time is passed in by the
/// caller.
class token_bucket {
 public:
  token_bucket(double rate_per_s, double burst, monotonic_ms now)
      : token_bucket(rate_per_s, burst, now, burst) {}
  /// With `tokens` at first, at most `burst`.
  token_bucket(double rate_per_s, double burst, monotonic_ms now, double tokens)
      : rate_per_s_(rate_per_s),
        burst_(burst),
        tokens_(std::min(tokens, burst)),
        refilled_at_(now) {}

  /// Takes one token if there is one; false if there is none.
  auto TryTake(monotonic_ms now) -> bool {
    Refill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  /// Milliseconds until a token is available; at least 1 if there is none, and
  /// 0 for a bucket without a rate.
  auto WaitMs(monotonic_ms now) -> monotonic_ms {
    Refill(now);
    if (tokens_ >= 1 || rate_per_s_ <= 0) return 0;
    return static_cast<monotonic_ms>((1 - tokens_) * kMsPerSecond /
                                     rate_per_s_) +
           1;
  }
  /// Changes the limit and keeps the saved tokens, up to the new burst.
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

/// Limits retries to a fraction of the requests, so that retries do not add to
/// the load of a failing pool.
class retry_token_bucket {
 public:
  /// `reserve`: largest number of unused retries that are saved, and the
  /// initial number.
  retry_token_bucket(double retries_per_request, double reserve)
      : retries_per_request_(retries_per_request),
        reserve_(reserve),
        balance_(reserve) {}

  auto RecordRequest() -> void {
    balance_ = std::min(balance_ + retries_per_request_, reserve_);
  }
  auto TryRetry() -> bool {
    if (balance_ < 1) return false;
    balance_ -= 1;
    return true;
  }

 private:
  double retries_per_request_;
  double reserve_;
  double balance_;
};

}  // namespace lovagedale
