#pragma once

#include <array>
#include <cstdint>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Limits retries to a fraction of the requests of a sliding window, so that
/// retries do not multiply the load on failing servers.
class retry_budget {
 public:
  /// Allows `ratio` times the requests of the last `window_ms`, plus `floor`.
  retry_budget(double ratio, monotonic_ms window_ms, double floor)
      : ratio_(ratio),
        slot_ms_(window_ms / static_cast<monotonic_ms>(kSlots)),
        floor_(floor) {}

  auto CountRequest(monotonic_ms now) -> void {
    Advance(now);
    ++requests_[Index(now)];
  }
  /// Whether one more retry is allowed; if so, it is counted.
  auto TryRetry(monotonic_ms now) -> bool {
    Advance(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (std::size_t i = 0; i < kSlots; ++i) {
      requests += requests_[i];
      retries += retries_[i];
    }
    if (static_cast<double>(retries) + 1 >
        ratio_ * static_cast<double>(requests) + floor_) {
      return false;
    }
    ++retries_[Index(now)];
    return true;
  }

 private:
  static constexpr std::size_t kSlots = 10;

  auto Index(monotonic_ms now) const -> std::size_t {
    return static_cast<std::size_t>(now / slot_ms_) % kSlots;
  }
  auto Advance(monotonic_ms now) -> void {
    const auto slot = now / slot_ms_;
    if (slot - slot_ >= static_cast<monotonic_ms>(kSlots)) {
      requests_.fill(0);
      retries_.fill(0);
    } else {
      for (auto at = slot_ + 1; at <= slot; ++at) {
        requests_[static_cast<std::size_t>(at) % kSlots] = 0;
        retries_[static_cast<std::size_t>(at) % kSlots] = 0;
      }
    }
    slot_ = slot;
  }

  double ratio_;
  monotonic_ms slot_ms_;
  double floor_;
  monotonic_ms slot_ = 0;
  std::array<std::uint64_t, kSlots> requests_{};
  std::array<std::uint64_t, kSlots> retries_{};
};

}  // namespace lovagedale
