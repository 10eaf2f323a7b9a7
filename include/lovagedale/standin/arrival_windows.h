#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Counts requests from some time on, and the most of them in any window of
/// some length that ends after that time.
class arrival_windows {
 public:
  static constexpr monotonic_ms kWindowMs = 4'000;

  explicit arrival_windows(monotonic_ms window_ms = kWindowMs)
      : window_ms_(window_ms) {}

  /// Starts over; the requests of the last window still count in the next ones.
  auto CountFrom(monotonic_ms since) -> void {
    since_ = since;
    total_ = 0;
    most_ = 0;
  }
  auto Add(monotonic_ms now) -> void {
    window_.push_back(now);
    while (now - window_.front() >= window_ms_) window_.pop_front();
    if (now < since_) return;
    ++total_;
    most_ = std::max(most_, window_.size());
  }
  auto total() const -> std::int64_t { return total_; }
  auto most() const -> std::size_t { return most_; }

 private:
  monotonic_ms window_ms_;
  monotonic_ms since_ = 0;
  std::deque<monotonic_ms> window_;
  std::int64_t total_ = 0;
  std::size_t most_ = 0;
};

}  // namespace lovagedale
