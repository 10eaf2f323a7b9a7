#pragma once

#include <cstdint>
#include <map>

namespace lovagedale {

/// Durations counted in bins whose bounds grow by a constant factor. Only bins
/// with a count are stored and encoded.
class duration_counts {
 public:
  /// Ratio of the bounds of a bin, and the number of bins: from 1 ms to a
  /// minute. Longer durations count in the last bin.
  static constexpr double kBinRatio = 1.25;
  static constexpr int kBins = 50;

  auto Add(double ms) -> void;
  auto Count() const -> std::uint64_t;
  auto operator+=(const duration_counts& other) -> duration_counts&;
  auto operator==(const duration_counts&) const -> bool = default;
  auto bins() const -> const std::map<std::uint8_t, std::uint32_t>& {
    return bins_;
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(bins_);
  }

 private:
  std::map<std::uint8_t, std::uint32_t> bins_;
};

/// Sum over the durations of `durations`, each divided by kBinRatio to the
/// power of `bins_shorter`, of its rank in `reference`: the fraction of the
/// reference that is shorter, where those in the same bin count half. 0 without
/// a reference.
auto RankSum(const duration_counts& durations, const duration_counts& reference,
             int bins_shorter) -> double;

}  // namespace lovagedale
