#pragma once

#include <algorithm>
#include <array>
#include <optional>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// How long a route's calls take, from those that have ended.
class recent_durations {
 public:
  auto Add(monotonic_ms duration, monotonic_ms now) -> void {
    if (count_ == 0) first_at_ = now;
    latest_[count_++ % latest_.size()] = duration;
  }
  /// The longest of the latest calls. Nothing while calls have not ended for a
  /// multiple of that time: the longest ones may still be running.
  auto Longest(monotonic_ms now) const -> std::optional<monotonic_ms> {
    const auto longest = *std::max_element(latest_.begin(), latest_.end());
    if (count_ < kFewest || now - first_at_ < kSpans * longest) {
      return std::nullopt;
    }
    return longest;
  }

 private:
  static constexpr std::size_t kFewest = 50;
  static constexpr monotonic_ms kSpans = 4;

  /// Enough that a call longer than all of them is rare.
  std::array<monotonic_ms, 200> latest_{};
  std::size_t count_ = 0;
  monotonic_ms first_at_ = 0;
};

}  // namespace lovagedale
