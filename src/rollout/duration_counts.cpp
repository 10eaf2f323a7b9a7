#include "lovagedale/rollout/duration_counts.h"

#include <algorithm>
#include <cmath>

namespace lovagedale {

auto duration_counts::Add(double ms) -> void {
  const auto bin = std::log(std::max(1.0, ms)) / std::log(kBinRatio);
  ++bins_[static_cast<std::uint8_t>(
      std::min(bin, static_cast<double>(kBins - 1)))];
}

auto duration_counts::Count() const -> std::uint64_t {
  std::uint64_t count = 0;
  for (const auto& [bin, in_bin] : bins_) count += in_bin;
  return count;
}

auto duration_counts::operator+=(const duration_counts& other)
    -> duration_counts& {
  for (const auto& [bin, count] : other.bins_) bins_[bin] += count;
  return *this;
}

auto RankSum(const duration_counts& durations, const duration_counts& reference,
             int bins_shorter) -> double {
  const auto reference_count = static_cast<double>(reference.Count());
  if (reference_count == 0) return 0;
  double sum = 0;
  for (const auto& [bin, count] : durations.bins()) {
    const auto compared_bin = static_cast<int>(bin) - bins_shorter;
    double shorter = 0;
    for (const auto& [reference_bin, in_bin] : reference.bins()) {
      const auto position = static_cast<int>(reference_bin);
      if (position < compared_bin) shorter += in_bin;
      if (position == compared_bin) shorter += 0.5 * in_bin;
    }
    sum += shorter / reference_count * count;
  }
  return sum;
}

}  // namespace lovagedale
