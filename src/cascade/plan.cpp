#include "lovagedale/cascade/plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "lovagedale/cascade/signal_curve.h"

namespace lovagedale {
namespace {

constexpr std::size_t kNoSignalBin = kSignalBins;
/// Answer length for which a version's expected time is computed, in tokens.
constexpr double kTypicalTokens = 100;
/// Priors of the signal curves, in log odds. A slope is the change over the
/// signal's range. The first three are for answers to first attempts, the other
/// three (kEscalated...) for answers after an escalation.
constexpr double kExpectedSlope = 3;
constexpr double kInterceptDeviation = 1;
constexpr double kSlopeDeviation = 4;
constexpr double kEscalatedSlope = 1;
constexpr double kEscalatedInterceptDeviation = 0.7;
constexpr double kEscalatedSlopeDeviation = 1;
/// Lower bound of the variance of one rating, for means close to 0 or 1.
constexpr double kMinRatingVariance = 0.01;
/// Avoids a division by 0 for plans of equal price.
constexpr double kMinPriceStep = 1e-9;
/// Allows for rounding errors in the comparison with the target.
constexpr double kQualityTolerance = 1e-9;
/// The safety margin depends on the chosen plans and they on the margin: this
/// many iterations suffice for a fixed point.
constexpr int kMarginRounds = 4;

/// Shrinkage estimate of the mean rating, with a prior of the given weight in
/// ratings.
auto Shrink(const evidence_counts& counts, double prior_mean,
            double prior_weight) -> quality_estimate {
  const auto total = static_cast<double>(counts.ratings) + prior_weight;
  const auto mean = (counts.rating_sum + prior_mean * prior_weight) / total;
  const auto rating_variance = std::max(mean * (1 - mean), kMinRatingVariance);
  return {mean, rating_variance / total};
}

/// Quality estimates of a version on one task class.
struct version_estimates {
  const version_profile* profile = nullptr;
  quality_estimate overall;
  std::optional<signal_curve> curve;  ///< if its answers carry signals
  bin_weights bin_share{};
};

auto BinsOf(const version_profile& profile)
    -> std::array<evidence_counts, kSignalBins> {
  std::array<evidence_counts, kSignalBins> bins;
  std::copy_n(profile.bins.begin(), kSignalBins, bins.begin());
  return bins;
}

auto EstimateVersion(const version_profile& profile,
                     const planning_options& options) -> version_estimates {
  version_estimates estimates;
  estimates.profile = &profile;
  double signalled = 0;
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    signalled += static_cast<double>(profile.bins[bin].requests);
  }
  const auto& unsignalled = profile.bins[kNoSignalBin];
  if (signalled <= static_cast<double>(unsignalled.requests)) {
    estimates.overall =
        Shrink(unsignalled, profile.expected_quality, options.prior_weight);
    return estimates;
  }
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    estimates.bin_share[bin] =
        static_cast<double>(profile.bins[bin].requests) / signalled;
  }
  estimates.curve.emplace(
      BinsOf(profile),
      curve_prior{LogOdds(profile.expected_quality), kExpectedSlope,
                  kInterceptDeviation, kSlopeDeviation});
  // The distribution of ratings over the bins differs from that of answers, so
  // the mean is weighted by the answers.
  estimates.overall = estimates.curve->Sum(estimates.bin_share);
  return estimates;
}

/// The plan that runs one version and keeps its answer.
auto DirectPlan(const version_estimates& estimates) -> cascade_plan {
  cascade_plan plan;
  plan.steps = {{estimates.profile->version, 0}};
  plan.expected_cost = estimates.profile->price;
  plan.expected_quality = estimates.overall.mean;
  plan.quality_variance = estimates.overall.variance;
  plan.expected_ms = estimates.profile->expected_ms;
  return plan;
}

/// Quality of `high` by the signal bin of `low`'s answer. The prior assumes
/// that a request that is hard for one version is harder than most for another.
auto EscalatedCurve(const version_estimates& low, const version_estimates& high)
    -> signal_curve {
  const auto found = high.profile->escalated.find(low.profile->version);
  const auto bins = found == high.profile->escalated.end()
                        ? std::array<evidence_counts, kSignalBins>{}
                        : found->second;
  return signal_curve(bins,
                      {LogOdds(high.overall.mean), kEscalatedSlope,
                       kEscalatedInterceptDeviation, kEscalatedSlopeDeviation});
}

/// The plan that runs `low` and escalates to `high` if the signal of `low`'s
/// answer is in a bin below `accept_from`.
auto TwoStepPlan(const version_estimates& low, const version_estimates& high,
                 const signal_curve& escalated, std::uint8_t accept_from)
    -> cascade_plan {
  bin_weights kept_bins{};
  bin_weights escalated_bins{};
  double escalated_share = 0;
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    const auto share = low.bin_share[bin];
    (bin < accept_from ? escalated_bins : kept_bins)[bin] = share;
    if (bin < accept_from) escalated_share += share;
  }
  const auto kept_quality = low.curve->Sum(kept_bins);
  const auto escalated_quality = escalated.Sum(escalated_bins);
  cascade_plan plan;
  plan.steps = {{low.profile->version, accept_from},
                {high.profile->version, 0}};
  plan.expected_quality = kept_quality.mean + escalated_quality.mean;
  plan.quality_variance = kept_quality.variance + escalated_quality.variance;
  plan.expected_cost =
      low.profile->price + escalated_share * high.profile->price;
  plan.expected_ms =
      low.profile->expected_ms + escalated_share * high.profile->expected_ms;
  return plan;
}

auto ListPlans(const std::vector<version_profile>& versions,
               const planning_options& options) -> std::vector<cascade_plan> {
  std::vector<version_estimates> estimates;
  estimates.reserve(versions.size());
  for (const auto& profile : versions) {
    estimates.push_back(EstimateVersion(profile, options));
  }
  std::vector<cascade_plan> plans;
  for (std::size_t low = 0; low < estimates.size(); ++low) {
    plans.push_back(DirectPlan(estimates[low]));
    if (options.max_steps < 2 || !estimates[low].curve) continue;
    for (std::size_t high = low + 1; high < estimates.size(); ++high) {
      const auto escalated = EscalatedCurve(estimates[low], estimates[high]);
      for (std::uint8_t bin = 1; bin < kSignalBins; ++bin) {
        plans.push_back(
            TwoStepPlan(estimates[low], estimates[high], escalated, bin));
      }
    }
  }
  return plans;
}

auto Price(const cascade_plan& plan, const planning_options& options)
    -> double {
  return plan.expected_cost + options.cost_per_ms * plan.expected_ms;
}

/// Quality gained per additional price from one plan to a more expensive one.
auto QualityPerPrice(const cascade_plan& from, const cascade_plan& to,
                     const planning_options& options) -> double {
  return (to.expected_quality - from.expected_quality) /
         std::max(Price(to, options) - Price(from, options), kMinPriceStep);
}

/// Plans on the upper convex hull of quality over price, by rising price. One
/// of them, or a mixture of two, is at least as good as any other plan.
auto UpperHull(std::vector<cascade_plan> plans, const planning_options& options)
    -> std::vector<cascade_plan> {
  std::sort(plans.begin(), plans.end(),
            [&](const cascade_plan& left, const cascade_plan& right) {
              return std::pair(Price(left, options), -left.expected_quality) <
                     std::pair(Price(right, options), -right.expected_quality);
            });
  std::vector<cascade_plan> hull;
  for (auto& plan : plans) {
    if (!hull.empty() &&
        plan.expected_quality <= hull.back().expected_quality) {
      continue;
    }
    while (hull.size() >= 2 &&
           QualityPerPrice(hull[hull.size() - 2], hull.back(), options) <=
               QualityPerPrice(hull.back(), plan, options)) {
      hull.pop_back();
    }
    hull.push_back(std::move(plan));
  }
  return hull;
}

/// A task class's hull and the position on it that is chosen so far.
struct class_choice {
  double weight = 1;
  std::vector<cascade_plan> hull;
  std::size_t position = 0;
  double upper_share = 0;  ///< of the plan after `position`

  auto Quality() const -> double {
    const auto low = hull[position].expected_quality;
    if (upper_share <= 0) return low;
    return low + upper_share * (hull[position + 1].expected_quality - low);
  }
  auto Variance() const -> double {
    const auto low = hull[position].quality_variance;
    if (upper_share <= 0) return low;
    const auto high = hull[position + 1].quality_variance;
    // Neighbouring plans share most of their evidence, so their errors are
    // taken as fully correlated.
    const auto deviation =
        (1 - upper_share) * std::sqrt(low) + upper_share * std::sqrt(high);
    return deviation * deviation;
  }
  auto Mixture() const -> mixed_plan {
    if (upper_share <= 0) return {hull[position], hull[position], 1};
    return {hull[position + 1], hull[position], upper_share};
  }
};

auto MeanQuality(const std::vector<class_choice>& choices) -> double {
  double quality = 0;
  for (const auto& choice : choices) {
    quality += choice.weight * choice.Quality();
  }
  return quality;
}

auto StandardError(const std::vector<class_choice>& choices) -> double {
  double variance = 0;
  for (const auto& choice : choices) {
    variance += choice.weight * choice.weight * choice.Variance();
  }
  return std::sqrt(variance);
}

/// Starts from the cheapest plan of each class and moves up the hulls, each
/// time on the one with the most quality per price, until the mean quality
/// reaches `wanted` or all hulls are at their ends.
auto RaiseQualityTo(std::vector<class_choice>& choices, double wanted,
                    const planning_options& options) -> void {
  for (auto& choice : choices) choice.position = 0, choice.upper_share = 0;
  auto quality = MeanQuality(choices);
  while (quality < wanted) {
    class_choice* best = nullptr;
    double best_slope = 0;
    for (auto& choice : choices) {
      if (choice.position + 1 >= choice.hull.size()) continue;
      const auto slope =
          QualityPerPrice(choice.hull[choice.position],
                          choice.hull[choice.position + 1], options);
      if (best != nullptr && slope <= best_slope) continue;
      best = &choice;
      best_slope = slope;
    }
    if (best == nullptr) return;
    const auto gain =
        best->weight * (best->hull[best->position + 1].expected_quality -
                        best->hull[best->position].expected_quality);
    if (quality + gain > wanted) {
      best->upper_share = (wanted - quality) / gain;
      return;
    }
    ++best->position;
    quality += gain;
  }
}

/// The plan with the highest lower bound of quality, for a target that cannot
/// be met.
auto SafestPlan(const std::vector<version_profile>& versions,
                const planning_options& options) -> mixed_plan {
  const auto plans = ListPlans(versions, options);
  const auto bound = [&](const cascade_plan& plan) {
    return plan.expected_quality -
           options.confidence_z * std::sqrt(plan.quality_variance);
  };
  const auto safest = std::max_element(
      plans.begin(), plans.end(),
      [&](const auto& a, const auto& b) { return bound(a) < bound(b); });
  return {*safest, *safest, 1};
}

}  // namespace

auto EscalatedClass(const std::string& task_class, const std::string& source)
    -> std::string {
  return task_class + std::string(kEscalationMarker) + source;
}

auto PlanPortfolio(const std::vector<class_profile>& classes,
                   double target_quality, const planning_options& options)
    -> std::vector<mixed_plan> {
  std::vector<class_choice> choices;
  double total_weight = 0;
  for (const auto& item : classes) total_weight += item.weight;
  for (const auto& item : classes) {
    auto hull = UpperHull(ListPlans(item.versions, options), options);
    if (hull.empty()) return {};
    choices.push_back({item.weight / total_weight, std::move(hull), 0, 0});
  }
  auto wanted = target_quality;
  for (int round = 0; round < kMarginRounds; ++round) {
    RaiseQualityTo(choices, wanted, options);
    wanted = target_quality + options.confidence_z * StandardError(choices);
  }
  RaiseQualityTo(choices, wanted, options);
  const bool is_met = MeanQuality(choices) >= wanted - kQualityTolerance;
  std::vector<mixed_plan> plans;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    plans.push_back(is_met ? choices[i].Mixture()
                           : SafestPlan(classes[i].versions, options));
  }
  return plans;
}

auto PlanCascade(const std::vector<version_profile>& versions,
                 double target_quality, const planning_options& options)
    -> mixed_plan {
  const auto plans = PlanPortfolio({{1, versions}}, target_quality, options);
  return plans.empty() ? mixed_plan{} : plans.front();
}

auto BuildVersionProfile(const catalog& config, version_id version,
                         const std::string& task_class,
                         const evidence_table& evidence) -> version_profile {
  const auto& item = config.versions[version];
  version_profile profile;
  profile.version = version;
  profile.price = static_cast<double>(item.price_micros_per_1k_tokens);
  profile.expected_quality = item.expected_quality;
  profile.expected_ms = static_cast<double>(item.expected_first_token_ms) +
                        kTypicalTokens * item.expected_token_ms;
  const auto find = [&](const std::string& counted_class, std::uint8_t bin) {
    const auto found = evidence.find({item.name, counted_class, bin});
    return found == evidence.end() ? evidence_counts{} : found->second;
  };
  for (std::uint8_t bin = 0; bin < kSignalBins; ++bin) {
    profile.bins[bin] = find(task_class, bin);
  }
  profile.bins[kNoSignalBin] = find(task_class, kNoSignal);
  for (version_id source = 0; source < config.versions.size(); ++source) {
    if (source == version) continue;
    const auto escalated_class =
        EscalatedClass(task_class, config.versions[source].name);
    for (std::uint8_t bin = 0; bin < kSignalBins; ++bin) {
      const auto counts = find(escalated_class, bin);
      if (counts.requests > 0 || counts.ratings > 0) {
        profile.escalated[source][bin] = counts;
      }
    }
  }
  return profile;
}

}  // namespace lovagedale
