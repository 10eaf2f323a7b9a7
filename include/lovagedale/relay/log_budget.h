#pragma once

#include <cstdint>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Limits the rate of an entry's log lines about calls. Failed calls and
/// attempts have the larger limit; of successful calls one in
/// kSuccessSampleInterval is logged. Suppressed lines are counted.
class log_budget {
 public:
  /// Whether a line about a failed call or attempt may be written.
  auto AllowFailure(monotonic_ms now) -> bool {
    return Take(failures_, kFailuresPerSecond, now);
  }
  /// The same for a successful call. Sampling by `id_hash` selects the same
  /// calls at every entry.
  auto AllowSuccess(std::uint64_t id_hash, monotonic_ms now) -> bool {
    if (id_hash % kSuccessSampleInterval != 0) {
      ++suppressed_;
      return false;
    }
    return Take(successes_, kSuccessesPerSecond, now);
  }
  auto suppressed() const -> std::uint64_t { return suppressed_; }

 private:
  /// Both limits together are about 20 KB a second, a hundredth of an entry
  /// host's link.
  static constexpr std::uint64_t kFailuresPerSecond = 80;
  static constexpr std::uint64_t kSuccessesPerSecond = 20;
  static constexpr std::uint64_t kSuccessSampleInterval = 16;
  static constexpr monotonic_ms kWindowMs = 1'000;

  struct window {
    monotonic_ms number = -1;
    std::uint64_t lines = 0;
  };

  auto Take(window& current, std::uint64_t max_lines, monotonic_ms now)
      -> bool {
    if (current.number != now / kWindowMs) current = {now / kWindowMs, 0};
    if (current.lines >= max_lines) {
      ++suppressed_;
      return false;
    }
    ++current.lines;
    return true;
  }

  window failures_;
  window successes_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace lovagedale
