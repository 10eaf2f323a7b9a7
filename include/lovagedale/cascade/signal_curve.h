#pragma once

#include <array>

#include "lovagedale/quality/evidence.h"

namespace lovagedale {

/// A mean with the variance of its estimate.
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

/// Weights of the signal bins, such as the share of answers in each.
using bin_weights = std::array<double, kSignalBins>;

/// Chance of a good answer as a logistic function of the answer's signal. Two
/// parameters instead of one per bin: a few dozen ratings suffice, and more
/// signal never means less quality by chance alone. A bin with many ratings of
/// its own departs from the curve as they tell.
class signal_curve {
 public:
  /// Most probable curve for the ratings in each bin.
  signal_curve(const std::array<evidence_counts, kSignalBins>& bins,
               const curve_prior& prior);

  /// Chance of a good answer in a bin.
  auto ProbabilityAt(std::size_t bin) const -> double {
    return probabilities_[bin];
  }
  /// Weighted sum over the bins, with the variance that the uncertainty of
  /// the two parameters gives it.
  auto Sum(const bin_weights& weights) const -> quality_estimate;

 private:
  auto CurveProbability(std::size_t bin) const -> double;

  double intercept_;
  double slope_;
  bin_weights probabilities_{};
  // Covariance of intercept and slope.
  double intercept_variance_ = 0;
  double slope_variance_ = 0;
  double covariance_ = 0;
};

/// Inverse of the logistic function; the chance is kept off 0 and 1.
auto LogOdds(double probability) -> double;

}  // namespace lovagedale
