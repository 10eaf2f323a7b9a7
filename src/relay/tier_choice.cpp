#include "lovagedale/relay/tier_choice.h"

#include <algorithm>

namespace lovagedale {

auto confidence_threshold::Add(double confidence) -> void {
  const auto clamped = std::clamp(confidence, 0.0, 1.0);
  const auto bin =
      std::min(kBins - 1,
               static_cast<std::size_t>(clamped * static_cast<double>(kBins)));
  ++counts_[bin];
  ++total_;
  if (total_ >= kMinAnswers && total_ % kRecomputeEvery == 0) Recompute();
}

auto confidence_threshold::Recompute() -> void {
  double sum_all = 0;
  for (std::size_t i = 0; i < kBins; ++i) {
    sum_all += static_cast<double>(i) * static_cast<double>(counts_[i]);
  }
  // Otsu's method: the best threshold has the largest variance between groups.
  const auto total = static_cast<double>(total_);
  double count_below = 0;
  double sum_below = 0;
  double best = -1;
  for (std::size_t i = 0; i + 1 < kBins; ++i) {
    count_below += static_cast<double>(counts_[i]);
    sum_below += static_cast<double>(i) * static_cast<double>(counts_[i]);
    const auto count_above = total - count_below;
    if (count_below == 0 || count_above == 0) continue;
    const auto mean_distance =
        sum_below / count_below - (sum_all - sum_below) / count_above;
    const auto between_variance =
        count_below * count_above * mean_distance * mean_distance;
    if (between_variance > best) {
      best = between_variance;
      threshold_ = static_cast<double>(i + 1) / static_cast<double>(kBins);
    }
  }
}

auto ThresholdUnderLoad(double threshold, double first_event_ms,
                        double objective_ms) -> double {
  constexpr double kMaxUnaffectedLoad = 1.0 / 3;
  constexpr double kMinFullLoad = 1.0;
  if (objective_ms <= 0) return threshold;
  const auto load = first_event_ms / objective_ms;
  return threshold *
         std::clamp((kMinFullLoad - load) / (kMinFullLoad - kMaxUnaffectedLoad),
                    0.0, 1.0);
}

}  // namespace lovagedale
