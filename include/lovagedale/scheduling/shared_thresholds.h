#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

inline constexpr std::size_t kConfidenceBins = 20;
/// Answers by the confidence that the model reported, in bins of equal width.
using confidence_counts = std::array<std::uint8_t, kConfidenceBins>;

/// Identifies a model of a route in frequent messages.
auto ThresholdKey(const std::string& route, const std::string& model)
    -> std::uint32_t;

/// An entry's answers of one model on one route since its last report.
struct confidence_report {
  std::uint32_t key = 0;  ///< ThresholdKey
  confidence_counts counts{};

  auto operator==(const confidence_report&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(key);
    for (auto& count : counts) archive(count);
  }
};

/// The threshold that separates the fleet's confidences of a model on a route.
struct fleet_threshold {
  std::uint32_t key = 0;  ///< ThresholdKey
  std::uint8_t bin = 0;   ///< the first one above the threshold

  auto Value() const -> double {
    return static_cast<double>(bin) / kConfidenceBins;
  }
  auto operator==(const fleet_threshold&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(key, bin);
  }
};

/// How often an entry reports its confidences, and models in a report: 14 bytes
/// a second, so that they fit into what control may cost an entry.
inline constexpr monotonic_ms kConfidenceReportPeriodMs = 30'000;
inline constexpr std::size_t kMaxConfidenceReports = 12;

/// Control's sums of the confidences that entries report. One of 78 entries
/// sees too few answers in a day to learn a threshold alone.
class shared_thresholds {
 public:
  auto Report(const std::vector<confidence_report>& reports) -> void;
  /// Of the reported models of which enough answers are known.
  auto Thresholds(const std::vector<confidence_report>& reports) const
      -> std::vector<fleet_threshold>;

 private:
  /// With fewer answers the threshold depends on chance.
  static constexpr std::uint64_t kMinAnswers = 120;
  /// With more answers the counts are halved: another version of a model may
  /// report other confidences.
  static constexpr std::uint64_t kMaxAnswers = 8'000;
  /// A deployment has a few dozen models of routes; the bound is for a faulty
  /// sender.
  static constexpr std::size_t kMaxKeys = 512;

  using sums = std::array<std::uint64_t, kConfidenceBins>;
  std::map<std::uint32_t, sums> sums_;
};

}  // namespace lovagedale
