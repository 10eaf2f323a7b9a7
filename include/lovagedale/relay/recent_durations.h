#pragma once

#include <algorithm>
#include <array>
#include <optional>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Durations of the latest completed calls of a route.
class recent_durations {
 public:
  auto Add(monotonic_ms duration, monotonic_ms now) -> void {
    if (count_ == 0) first_at_ = now;
    latest_[count_++ % latest_.size()] = duration;
  }
  /// The longest of the latest calls, in milliseconds. Nothing until calls have
  /// been recorded for a multiple of that time: longer ones may still be
  /// running.
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

/// What is known at a call's start of when it will end.
struct call_bounds {
  monotonic_ms started_ms = 0;
  monotonic_ms deadline_ms = 0;
  bool is_stream = false;
  /// The longest recent call of its route; nothing if not known.
  std::optional<monotonic_ms> longest_ms;

  auto operator==(const call_bounds&) const -> bool = default;
};

/// Whether a process that stops at `stop_ms` may start the call. For a stream
/// the deadline must be earlier: lengths of streams vary so much that the
/// longest of many does not predict the next one, and a stream that has started
/// cannot end with an error status. Other calls usually end long before their
/// deadline; a multiple of the longest recent one must fit.
inline auto EndsBefore(const call_bounds& call, monotonic_ms stop_ms) -> bool {
  constexpr monotonic_ms kSafetyFactor = 2;
  if (call.deadline_ms <= stop_ms) return true;
  if (call.is_stream || !call.longest_ms) return false;
  return call.started_ms + *call.longest_ms * kSafetyFactor < stop_ms;
}

}  // namespace lovagedale
