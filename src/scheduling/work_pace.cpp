#include "lovagedale/scheduling/work_pace.h"

#include <algorithm>
#include <cmath>

namespace lovagedale {

auto work_pace::Record(double ms, double work, monotonic_ms now) -> void {
  if (!(work > 0) || !(ms >= 0) || !std::isfinite(ms)) return;
  const auto ratio = ms / work;
  samples_[count_ % samples_.size()] = {ratio, now};
  ++count_;
  if (count_ < kMinAnswers) return;
  if (count_ == kMinAnswers) {
    std::array<double, kMinAnswers> first{};
    std::transform(samples_.begin(), samples_.begin() + kMinAnswers,
                   first.begin(), [](const auto& item) { return item.ratio; });
    std::nth_element(first.begin(), first.begin() + kMinAnswers / 2,
                     first.end());
    prior_ = first[kMinAnswers / 2];
    return;
  }
  const auto bounded = std::clamp(ratio, prior_ / kMaxPriorRatio,
                                  std::max(prior_ * kMaxPriorRatio, 1e-9));
  prior_ += (bounded - prior_) * kPriorWeight;
}

auto work_pace::MsPerWork(monotonic_ms now) const -> std::optional<double> {
  if (count_ < kMinAnswers) return std::nullopt;
  std::array<double, std::tuple_size_v<decltype(samples_)>> recent{};
  std::size_t found = 0;
  for (std::size_t i = 0; i < std::min(count_, samples_.size()); ++i) {
    if (now - samples_[i].at <= kRecentMs) recent[found++] = samples_[i].ratio;
  }
  if (found == 0) return prior_;
  const auto middle = recent.begin() + static_cast<std::ptrdiff_t>(found / 2);
  std::nth_element(recent.begin(), middle,
                   recent.begin() + static_cast<std::ptrdiff_t>(found));
  const auto weight = std::min(
      1.0, static_cast<double>(found) / static_cast<double>(kMinRecent));
  return *middle * weight + prior_ * (1 - weight);
}

}  // namespace lovagedale
