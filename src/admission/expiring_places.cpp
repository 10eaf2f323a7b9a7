#include "lovagedale/admission/expiring_places.h"

#include <algorithm>
#include <cmath>

namespace lovagedale {
namespace {

constexpr double kMsPerSecond = 1'000;

}  // namespace

expiring_places::expiring_places(double phase, double per_s,
                                 monotonic_ms first_lasts_ms, monotonic_ms now)
    : per_s_(per_s),
      made_(1 + phase),
      updated_at_(now),
      newest_at_(now -
                 static_cast<monotonic_ms>(phase / per_s * kMsPerSecond)) {
  if (now - newest_at_ > first_lasts_ms) taken_ = 1;
}

auto expiring_places::Update(double per_s, monotonic_ms now) -> void {
  if (now > updated_at_) {
    const auto before = std::floor(made_);
    made_ += per_s_ * static_cast<double>(now - updated_at_) / kMsPerSecond;
    updated_at_ = now;
    if (const auto newest = std::floor(made_); newest > before) {
      const auto age_ms = (made_ - newest) / per_s_ * kMsPerSecond;
      newest_at_ = now - static_cast<monotonic_ms>(age_ms);
    }
  }
  per_s_ = per_s;
}

auto expiring_places::TryTake(monotonic_ms newest_lasts_ms, monotonic_ms now)
    -> bool {
  const auto newest = std::floor(made_);
  auto ended = std::floor(made_ - per_s_ * kLifetimeMs / kMsPerSecond);
  if (now - newest_at_ <= newest_lasts_ms) ended = std::min(ended, newest - 1);
  taken_ = std::max(taken_, ended);
  if (taken_ >= newest) return false;
  taken_ += 1;
  return true;
}

auto expiring_places::NextInMs() const -> monotonic_ms {
  const auto missing = std::floor(made_) + 1 - made_;
  return static_cast<monotonic_ms>(missing / per_s_ * kMsPerSecond) + 1;
}

}  // namespace lovagedale
