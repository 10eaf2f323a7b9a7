#include "lovagedale/cascade/signal_curve.h"

#include <algorithm>
#include <cmath>

namespace lovagedale {
namespace {

constexpr int kNewtonSteps = 12;
constexpr double kMinProbability = 0.005;
/// Largest change of a parameter in one Newton step, to keep it from
/// overshooting.
constexpr double kMaxStep = 2.0;
/// Weight of the curve against a bin's own ratings, in ratings.
constexpr double kCurveWeight = 60;

auto Logistic(double log_odds) -> double {
  return 1 / (1 + std::exp(-log_odds));
}

/// The centre of a bin, relative to the middle of the signal's range.
auto BinCentre(std::size_t bin) -> double {
  return (static_cast<double>(bin) + 0.5) / kSignalBins - 0.5;
}

}  // namespace

auto LogOdds(double probability) -> double {
  const auto clamped =
      std::clamp(probability, kMinProbability, 1 - kMinProbability);
  return std::log(clamped / (1 - clamped));
}

signal_curve::signal_curve(const std::array<evidence_counts, kSignalBins>& bins,
                           const curve_prior& prior)
    : intercept_(prior.intercept), slope_(prior.slope) {
  const auto intercept_precision =
      1 / (prior.intercept_deviation * prior.intercept_deviation);
  const auto slope_precision =
      1 / (prior.slope_deviation * prior.slope_deviation);
  for (int step = 0; step < kNewtonSteps; ++step) {
    // Gradient and negative curvature of the log posterior in the intercept (a)
    // and the slope (b).
    auto gradient_a = -(intercept_ - prior.intercept) * intercept_precision;
    auto gradient_b = -(slope_ - prior.slope) * slope_precision;
    auto curvature_aa = intercept_precision;
    auto curvature_ab = 0.0;
    auto curvature_bb = slope_precision;
    for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
      const auto n = static_cast<double>(bins[bin].ratings);
      if (n <= 0) continue;
      const auto x = BinCentre(bin);
      const auto p = CurveProbability(bin);
      const auto residual = bins[bin].rating_sum - n * p;
      const auto weight = n * p * (1 - p);
      gradient_a += residual;
      gradient_b += residual * x;
      curvature_aa += weight;
      curvature_ab += weight * x;
      curvature_bb += weight * x * x;
    }
    const auto determinant =
        curvature_aa * curvature_bb - curvature_ab * curvature_ab;
    intercept_variance_ = curvature_bb / determinant;
    slope_variance_ = curvature_aa / determinant;
    covariance_ = -curvature_ab / determinant;
    const auto step_a =
        intercept_variance_ * gradient_a + covariance_ * gradient_b;
    const auto step_b = covariance_ * gradient_a + slope_variance_ * gradient_b;
    intercept_ += std::clamp(step_a, -kMaxStep, kMaxStep);
    slope_ += std::clamp(step_b, -kMaxStep, kMaxStep);
  }
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    const auto n = static_cast<double>(bins[bin].ratings);
    probabilities_[bin] =
        (bins[bin].rating_sum + kCurveWeight * CurveProbability(bin)) /
        (n + kCurveWeight);
  }
}

auto signal_curve::CurveProbability(std::size_t bin) const -> double {
  return Logistic(intercept_ + slope_ * BinCentre(bin));
}

auto signal_curve::Sum(const bin_weights& weights) const -> quality_estimate {
  quality_estimate sum;
  // Derivatives of the mean; its variance follows by linear error propagation.
  double intercept_derivative = 0;
  double slope_derivative = 0;
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    const auto p = ProbabilityAt(bin);
    sum.mean += weights[bin] * p;
    intercept_derivative += weights[bin] * p * (1 - p);
    slope_derivative += weights[bin] * p * (1 - p) * BinCentre(bin);
  }
  sum.variance =
      intercept_derivative * intercept_derivative * intercept_variance_ +
      2 * intercept_derivative * slope_derivative * covariance_ +
      slope_derivative * slope_derivative * slope_variance_;
  return sum;
}

}  // namespace lovagedale
