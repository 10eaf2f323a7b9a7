#pragma once

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Places for requests that come into being at a rate and end after a while, so
/// that many holders of small rates together save few of them. Time is passed
/// in by the caller.
class expiring_places {
 public:
  /// Begins with one place, if it is not older than `first_lasts_ms`. `phase`:
  /// in [0, 1), its age as a part of the time between two places.
  expiring_places(double phase, double per_s, monotonic_ms first_lasts_ms,
                  monotonic_ms now);

  /// Makes places at the former rate until now, and at `per_s` from now on.
  auto Update(double per_s, monotonic_ms now) -> void;
  /// Takes a place if one is left. The newest one lasts for `newest_lasts_ms`
  /// at least, each one for kLifetimeMs.
  auto TryTake(monotonic_ms newest_lasts_ms, monotonic_ms now) -> bool;
  /// Milliseconds from the last update until the next place comes into being;
  /// at least 1. The rate must be positive.
  auto NextInMs() const -> monotonic_ms;

 private:
  static constexpr double kLifetimeMs = 2'000;

  double per_s_;
  double made_;       ///< places so far, with the part of the next one
  double taken_ = 0;  ///< places so far that were taken or have ended
  monotonic_ms updated_at_;
  monotonic_ms newest_at_;  ///< when the newest place came into being
};

}  // namespace lovagedale
