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
/// Prior of the signal's meaning, in log odds over the signal's range.
constexpr double kExpectedSlope = 3;
constexpr double kInterceptDeviation = 1;
constexpr double kSlopeDeviation = 4;
constexpr double kEscalatedSlope = 1;
constexpr double kEscalatedInterceptDeviation = 0.7;
constexpr double kEscalatedSlopeDeviation = 1;
constexpr double kMinSpread = 0.01;
constexpr double kMinPriceStep = 1e-9;
constexpr double kQualityTolerance = 1e-9;
/// The margin depends on the plans and they on it; this many rounds settle it.
constexpr int kMarginRounds = 4;

/// Estimate of a mean from ratings and a prior of the given weight.
auto Shrink(const evidence_counts& counts, double prior_mean,
            double prior_weight) -> quality_estimate {
  const auto total = static_cast<double>(counts.ratings) + prior_weight;
  const auto mean = (counts.rating_sum + prior_mean * prior_weight) / total;
  const auto spread = std::max(mean * (1 - mean), kMinSpread);
  return {mean, spread / total};
}

/// A version's estimates, ready for planning.
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
  version_estimates model;
  model.profile = &profile;
  double signalled = 0;
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    signalled += static_cast<double>(profile.bins[bin].requests);
  }
  const auto& unsignalled = profile.bins[kNoSignalBin];
  if (signalled <= static_cast<double>(unsignalled.requests)) {
    model.overall =
        Shrink(unsignalled, profile.expected_quality, options.prior_weight);
    return model;
  }
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    model.bin_share[bin] =
        static_cast<double>(profile.bins[bin].requests) / signalled;
  }
  model.curve.emplace(
      BinsOf(profile),
      curve_prior{LogOdds(profile.expected_quality), kExpectedSlope,
                  kInterceptDeviation, kSlopeDeviation});
  // Ratings are not spread over the bins as the answers are, so the mean is
  // taken over the answers.
  model.overall = model.curve->Sum(model.bin_share);
  return model;
}

auto DirectPlan(const version_estimates& model) -> cascade_plan {
  cascade_plan plan;
  plan.steps = {{model.profile->version, 0}};
  plan.expected_cost = model.profile->price;
  plan.expected_quality = model.overall.mean;
  plan.quality_variance = model.overall.variance;
  plan.expected_ms = model.profile->expected_ms;
  return plan;
}

/// Quality of `high` by the bin of `low`'s answer. A request that is hard for
/// one version is assumed to be harder than most for another.
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

auto TwoStepPlan(const version_estimates& low, const version_estimates& high,
                 const signal_curve& escalated, std::uint8_t accept_from)
    -> cascade_plan {
  bin_weights kept{};
  bin_weights passed_on{};
  double escalated_share = 0;
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    const auto share = low.bin_share[bin];
    (bin < accept_from ? passed_on : kept)[bin] = share;
    if (bin < accept_from) escalated_share += share;
  }
  const auto kept_quality = low.curve->Sum(kept);
  const auto passed_quality = escalated.Sum(passed_on);
  cascade_plan plan;
  plan.steps = {{low.profile->version, accept_from},
                {high.profile->version, 0}};
  plan.expected_quality = kept_quality.mean + passed_quality.mean;
  plan.quality_variance = kept_quality.variance + passed_quality.variance;
  plan.expected_cost =
      low.profile->price + escalated_share * high.profile->price;
  plan.expected_ms =
      low.profile->expected_ms + escalated_share * high.profile->expected_ms;
  return plan;
}

auto ListPlans(const std::vector<version_profile>& versions,
               const planning_options& options) -> std::vector<cascade_plan> {
  std::vector<version_estimates> models;
  models.reserve(versions.size());
  for (const auto& profile : versions) {
    models.push_back(EstimateVersion(profile, options));
  }
  std::vector<cascade_plan> plans;
  for (std::size_t low = 0; low < models.size(); ++low) {
    plans.push_back(DirectPlan(models[low]));
    if (options.max_steps < 2 || !models[low].curve) continue;
    for (std::size_t high = low + 1; high < models.size(); ++high) {
      const auto escalated = EscalatedCurve(models[low], models[high]);
      for (std::uint8_t bin = 1; bin < kSignalBins; ++bin) {
        plans.push_back(TwoStepPlan(models[low], models[high], escalated, bin));
      }
    }
  }
  return plans;
}

auto Price(const cascade_plan& plan, const planning_options& options)
    -> double {
  return plan.expected_cost + options.cost_per_ms * plan.expected_ms;
}

/// Quality gained per price from one plan to a dearer one.
auto QualityPerPrice(const cascade_plan& from, const cascade_plan& to,
                     const planning_options& options) -> double {
  return (to.expected_quality - from.expected_quality) /
         std::max(Price(to, options) - Price(from, options), kMinPriceStep);
}

/// Plans on the upper hull of quality over price, by rising price: every other
/// one is beaten by one of these or by a mixture of two.
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

/// One class's hull and how far up it the portfolio has gone.
struct class_choice {
  double weight = 1;
  std::vector<cascade_plan> hull;
  std::size_t place = 0;
  double upper_share = 0;  ///< of the plan after `place`

  auto Quality() const -> double {
    const auto low = hull[place].expected_quality;
    if (upper_share <= 0) return low;
    return low + upper_share * (hull[place + 1].expected_quality - low);
  }
  auto Variance() const -> double {
    const auto low = hull[place].quality_variance;
    if (upper_share <= 0) return low;
    const auto high = hull[place + 1].quality_variance;
    // Neighbours share most of their evidence, so their errors add up.
    const auto deviation =
        (1 - upper_share) * std::sqrt(low) + upper_share * std::sqrt(high);
    return deviation * deviation;
  }
  auto Mixture() const -> mixed_plan {
    if (upper_share <= 0) return {hull[place], hull[place], 1};
    return {hull[place + 1], hull[place], upper_share};
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

/// Goes up the hulls, always where quality costs least, until the mean quality
/// reaches `wanted`.
auto RaiseQualityTo(std::vector<class_choice>& choices, double wanted,
                    const planning_options& options) -> void {
  for (auto& choice : choices) choice.place = 0, choice.upper_share = 0;
  auto quality = MeanQuality(choices);
  while (quality < wanted) {
    class_choice* best = nullptr;
    double best_slope = 0;
    for (auto& choice : choices) {
      if (choice.place + 1 >= choice.hull.size()) continue;
      const auto slope = QualityPerPrice(
          choice.hull[choice.place], choice.hull[choice.place + 1], options);
      if (best != nullptr && slope <= best_slope) continue;
      best = &choice;
      best_slope = slope;
    }
    if (best == nullptr) return;
    const auto gain =
        best->weight * (best->hull[best->place + 1].expected_quality -
                        best->hull[best->place].expected_quality);
    if (quality + gain > wanted) {
      best->upper_share = (wanted - quality) / gain;
      return;
    }
    ++best->place;
    quality += gain;
  }
}

/// The plan whose quality is surest, for when the target cannot be met.
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
  profile.price = static_cast<double>(item.price_per_1k_tokens);
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
    const auto counted =
        EscalatedClass(task_class, config.versions[source].name);
    for (std::uint8_t bin = 0; bin < kSignalBins; ++bin) {
      const auto counts = find(counted, bin);
      if (counts.requests > 0 || counts.ratings > 0) {
        profile.escalated[source][bin] = counts;
      }
    }
  }
  return profile;
}

}  // namespace lovagedale
