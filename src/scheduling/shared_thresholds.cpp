#include "lovagedale/scheduling/shared_thresholds.h"

#include <cmath>
#include <numeric>

#include "lovagedale/common/hash.h"
#include "lovagedale/relay/tier_choice.h"

namespace lovagedale {

auto ThresholdKey(const std::string& route, const std::string& model)
    -> std::uint32_t {
  return ServerKey(HashFields(route, model));
}

auto shared_thresholds::Report(const std::vector<confidence_report>& reports)
    -> void {
  for (const auto& report : reports) {
    if (!sums_.contains(report.key) && sums_.size() >= kMaxKeys) continue;
    auto& sums = sums_[report.key];
    for (std::size_t i = 0; i < kConfidenceBins; ++i) {
      sums[i] += report.counts[i];
    }
    if (std::accumulate(sums.begin(), sums.end(), std::uint64_t{0}) >
        kMaxAnswers) {
      for (auto& count : sums) count /= 2;
    }
  }
}

auto shared_thresholds::Thresholds(
    const std::vector<confidence_report>& reports) const
    -> std::vector<fleet_threshold> {
  std::vector<fleet_threshold> thresholds;
  for (const auto& report : reports) {
    const auto found = sums_.find(report.key);
    if (found == sums_.end()) continue;
    const auto& sums = found->second;
    if (std::accumulate(sums.begin(), sums.end(), std::uint64_t{0}) <
        kMinAnswers) {
      continue;
    }
    if (const auto threshold = SeparatingThreshold(sums)) {
      thresholds.push_back({report.key, static_cast<std::uint8_t>(std::lround(
                                            *threshold * kConfidenceBins))});
    }
  }
  return thresholds;
}

}  // namespace lovagedale
