#pragma once

#include <algorithm>
#include <cstddef>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// How far one direction of a connection has come since a request or an answer
/// began. Distinguishes a peer that has stopped, or trickles a few bytes so
/// that a connection stays open, from one on a slow link.
class transfer_pace {
 public:
  /// A slow but ordinary peer: 512 kbit/s. A body of 4 MiB takes 64 s then.
  static constexpr monotonic_ms kOrdinaryBytesPerMs = 64;

  explicit transfer_pace(monotonic_ms now) : start_(now), last_(now) {}

  auto Add(std::size_t bytes, monotonic_ms now) -> void {
    if (bytes == 0) return;
    bytes_ += bytes;
    last_ = std::max(last_, now);
  }
  /// How long nothing has moved, or the time beyond what an ordinary peer needs
  /// for the bytes so far if that is more; in ms, 0 or more. Both count: a body
  /// that arrives fast and stops short of its end is ahead of any pace.
  auto BehindMs(monotonic_ms now) const -> monotonic_ms {
    return std::max<monotonic_ms>(0, now - OnTimeUntil());
  }
  /// When the transfer counts as stalled: it is `timeout_ms` behind.
  auto DueAt(monotonic_ms timeout_ms) const -> monotonic_ms {
    return OnTimeUntil() + timeout_ms;
  }

 private:
  auto OnTimeUntil() const -> monotonic_ms {
    return std::min(last_, start_ + static_cast<monotonic_ms>(bytes_) /
                                        kOrdinaryBytesPerMs);
  }

  monotonic_ms start_;
  monotonic_ms last_;
  std::size_t bytes_ = 0;
};

}  // namespace lovagedale
