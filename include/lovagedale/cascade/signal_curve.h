#pragma once

#include <array>

#include "lovagedale/quality/evidence.h"

namespace lovagedale {

/// An estimated mean and the variance of the estimate.
struct quality_estimate {
  double mean = 0;
  double variance = 0;

  auto operator==(const quality_estimate&) const -> bool = default;
};

/// Normal prior of a curve's intercept and slope.
struct curve_prior {
  double intercept = 0;
  double slope = 0;
  double intercept_deviation = 1;
  double slope_deviation = 4;
};

/// One number per signal bin, such as the share of answers in it.
using bin_weights = std::array<double, kSignalBins>;

/// Probability of a good answer as a logistic function of the answer's signal.
/// With two parameters instead of one per bin a few dozen ratings suffice, and
/// noise does not make a higher signal mean a lower quality. The estimate of a
/// bin with many ratings follows these rather than the curve.
class signal_curve {
 public:
  /// Fits the curve of maximum posterior probability to the bins' ratings.
  signal_curve(const std::array<evidence_counts, kSignalBins>& bins,
               const curve_prior& prior);

  /// Probability of a good answer in a bin.
  auto ProbabilityAt(std::size_t bin) const -> double {
    return probabilities_[bin];
  }
  /// Weighted sum of the bins' probabilities, with the variance that results
  /// from the uncertainty of the two parameters.
  auto Sum(const bin_weights& weights) const -> quality_estimate;

 private:
  auto CurveProbability(std::size_t bin) const -> double;

  double intercept_;
  double slope_;
  bin_weights probabilities_{};
  // Posterior covariance matrix of intercept and slope.
  double intercept_variance_ = 0;
  double slope_variance_ = 0;
  double covariance_ = 0;
};

/// Inverse of the logistic function. The probability is clamped away from 0 and
/// 1 to keep the result finite.
auto LogOdds(double probability) -> double;

}  // namespace lovagedale
