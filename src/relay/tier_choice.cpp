#include "lovagedale/relay/tier_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagedale {

auto confidence_threshold::Add(double confidence) -> void {
  const auto clamped = std::clamp(confidence, 0.0, 1.0);
  const auto bin =
      std::min(kBins - 1,
               static_cast<std::size_t>(clamped * static_cast<double>(kBins)));
  ++counts_[bin];
  ++total_;
  if (total_ >= kMinAnswers && total_ % kRecomputeEvery == 0) Recompute();
  auto& unreported = unreported_counts_[std::min(
      kConfidenceBins - 1,
      static_cast<std::size_t>(clamped * kConfidenceBins))];
  if (unreported == std::numeric_limits<std::uint8_t>::max()) return;
  ++unreported;
  ++unreported_;
}

auto confidence_threshold::TakeUnreported() -> confidence_counts {
  unreported_ = 0;
  return std::exchange(unreported_counts_, {});
}

auto confidence_threshold::Recompute() -> void {
  threshold_ = SeparatingThreshold(counts_).value_or(threshold_);
}

auto SeparatingThreshold(std::span<const std::uint64_t> counts)
    -> std::optional<double> {
  const auto bins = counts.size();
  double total = 0;
  double sum_all = 0;
  for (std::size_t i = 0; i < bins; ++i) {
    total += static_cast<double>(counts[i]);
    sum_all += static_cast<double>(i) * static_cast<double>(counts[i]);
  }
  // Otsu's method: the best threshold has the largest variance between groups.
  double count_below = 0;
  double sum_below = 0;
  double best = -1;
  std::optional<double> threshold;
  for (std::size_t i = 0; i + 1 < bins; ++i) {
    count_below += static_cast<double>(counts[i]);
    sum_below += static_cast<double>(i) * static_cast<double>(counts[i]);
    const auto count_above = total - count_below;
    if (count_below == 0 || count_above == 0) continue;
    const auto mean_distance =
        sum_below / count_below - (sum_all - sum_below) / count_above;
    const auto between_variance =
        count_below * count_above * mean_distance * mean_distance;
    if (between_variance > best) {
      best = between_variance;
      threshold = static_cast<double>(i + 1) / static_cast<double>(bins);
    }
  }
  return threshold;
}

auto TakeConfidenceReports(tier_table& tiers)
    -> std::vector<confidence_report> {
  std::vector<tier_table::iterator> due;
  for (auto item = tiers.begin(); item != tiers.end(); ++item) {
    if (item->second.threshold.unreported() > 0) due.push_back(item);
  }
  std::stable_sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
    return a->second.threshold.unreported() > b->second.threshold.unreported();
  });
  if (due.size() > kMaxConfidenceReports) due.resize(kMaxConfidenceReports);
  std::vector<confidence_report> reports;
  reports.reserve(due.size());
  for (const auto& item : due) {
    reports.push_back({ThresholdKey(item->first.first, item->first.second),
                       item->second.threshold.TakeUnreported()});
  }
  return reports;
}

auto AdoptThresholds(tier_table& tiers,
                     const std::vector<fleet_threshold>& thresholds) -> void {
  if (thresholds.empty()) return;
  for (auto& [names, tier] : tiers) {
    const auto key = ThresholdKey(names.first, names.second);
    for (const auto& item : thresholds) {
      if (item.key == key) tier.threshold.AdoptFleet(item.Value());
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
