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
    if (count_ < kMinCalls || now - first_at_ < kMinObservedFactor * longest) {
      return std::nullopt;
    }
    return longest;
  }

 private:
  static constexpr std::size_t kMinCalls = 50;
  static constexpr monotonic_ms kMinObservedFactor = 4;

  /// Enough that a call longer than all of them is rare.
  std::array<monotonic_ms, 200> latest_{};
  std::size_t count_ = 0;
  monotonic_ms first_at_ = 0;
};

/// When a call ends, as far as can be told at its start.
struct call_bounds {
  monotonic_ms started_ms = 0;
  monotonic_ms deadline_ms = 0;
  bool is_stream = false;
  /// The longest recent call of its route; nothing if not known.
  std::optional<monotonic_ms> longest_ms;

  auto operator==(const call_bounds&) const -> bool = default;
};

/// Whether a process that stops at `stop_ms` may begin the call. A stream must
/// be over by its deadline: lengths of streams are so uneven that the longest
/// of many tells little of the next one, and once begun a stream cannot end
/// with an error status. Other calls usually end after much less time.
inline auto EndsBefore(const call_bounds& call, monotonic_ms stop_ms) -> bool {
  constexpr monotonic_ms kSafetyFactor = 2;
  if (call.deadline_ms <= stop_ms) return true;
  if (call.is_stream || !call.longest_ms) return false;
  return call.started_ms + *call.longest_ms * kSafetyFactor < stop_ms;
}

}  // namespace lovagedale
