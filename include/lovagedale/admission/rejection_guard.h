#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Parses a number of rejections a second; nothing if it is not a whole number
/// of 1 or more.
auto ParseMaxRejections(std::string_view text) -> std::optional<std::uint32_t>;

/// Keeps a server from rejecting many requests. A brittle server names in its
/// answers how many requests a second it can reject, of all entries together,
/// before it falls over. Each entry then has no more requests in flight there
/// than its even part of the server's slots, and after a rejection sends
/// nothing until the others may have been rejected too. Pure; not thread-safe.
class rejection_guard {
 public:
  /// `max_per_s`: as named by an answer, if it names it.
  auto RecordAnswer(std::optional<std::uint32_t> max_per_s, monotonic_ms now)
      -> void {
    if (!max_per_s) return;
    max_per_s_ = *max_per_s;
    brittle_until_ms_ = now + kBrittleMs;
  }
  /// The server had no room for a request.
  auto RecordRejection(std::size_t entries, monotonic_ms now) -> void {
    if (!IsBrittle(now)) return;
    const auto share_ms =
        kSecondMs *
        static_cast<monotonic_ms>(std::max<std::size_t>(1, entries)) /
        static_cast<monotonic_ms>(max_per_s_);
    closed_until_ms_ = now + std::clamp(2 * share_ms, kSecondMs, kMaxClosedMs);
  }
  auto IsBrittle(monotonic_ms now) const -> bool {
    return now < brittle_until_ms_;
  }
  /// Whether one more request may go to the server. `entries`: that share it.
  auto MaySend(std::uint32_t in_flight, std::uint32_t slots,
               std::size_t entries, monotonic_ms now) const -> bool {
    if (!IsBrittle(now)) return true;
    const auto share =
        static_cast<std::uint32_t>(slots / std::max<std::size_t>(1, entries));
    return now >= closed_until_ms_ && in_flight < std::max(1U, share);
  }
  /// When a request that may not be sent now is worth another try.
  auto RetryAtMs(monotonic_ms now) const -> monotonic_ms {
    return std::max(closed_until_ms_, now + kSlotMs);
  }

 private:
  static constexpr monotonic_ms kSecondMs = 1'000;
  /// Every answer names it while it lasts.
  static constexpr monotonic_ms kBrittleMs = 5'000;
  static constexpr monotonic_ms kMaxClosedMs = 5'000;
  /// About the duration of one request of a plain service.
  static constexpr monotonic_ms kSlotMs = 100;

  std::uint32_t max_per_s_ = 1;
  monotonic_ms brittle_until_ms_ = 0;
  monotonic_ms closed_until_ms_ = 0;
};

}  // namespace lovagedale
