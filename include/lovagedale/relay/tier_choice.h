#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace lovagedale {

/// Learns, from the confidences that a model reports, which of its answers to
/// keep and which to ask of a larger model. Nothing rates the answers: the
/// confidences of answers that suffice and of those that do not form two
/// groups, and the threshold is where these are told apart best (Otsu, 1979).
class confidence_threshold {
 public:
  /// `confidence` is 0 to 1.
  auto Add(double confidence) -> void;
  /// Answers below it are asked of a larger model.
  auto Threshold() const -> double { return threshold_; }

 private:
  static constexpr std::size_t kBins = 50;
  /// Before that many, the middle of the range.
  static constexpr std::uint64_t kMinAnswers = 60;
  static constexpr std::uint64_t kRecomputeEvery = 20;

  auto Recompute() -> void;

  std::array<std::uint64_t, kBins> counts_{};
  std::uint64_t total_ = 0;
  double threshold_ = 0.5;
};

/// The thresholds of each route's models.
using tier_thresholds =
    std::map<std::pair<std::string, std::string>, confidence_threshold>;

}  // namespace lovagedale
