#include "lovagedale/cascade/plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lovagedale {
namespace {

constexpr std::size_t kNoSignalBin = kSignalBins;
/// Answer length for which a version's expected time is computed, in tokens.
constexpr double kTypicalTokens = 100;
/// Weight of a version's own mean in its escalated answers, in ratings.
constexpr double kEscalatedPriorWeight = 10;

/// A mean with the variance of its estimate.
struct estimate {
  double mean = 0;
  double variance = 0;
};

auto Shrink(const evidence_counts& counts, const estimate& prior,
            double prior_weight) -> estimate {
  const auto n = static_cast<double>(counts.ratings);
  const auto total = n + prior_weight;
  const auto mean = (counts.rating_sum + prior.mean * prior_weight) / total;
  const auto spread = std::max(mean * (1 - mean), 0.01);
  return {mean, spread / total};
}

/// A version's estimates, ready for planning.
struct version_model {
  const version_knowledge* known = nullptr;
  estimate overall;
  estimate escalated;
  std::array<estimate, kSignalBins> by_bin{};
  std::array<double, kSignalBins> bin_share{};
  bool has_signal = false;
};

auto BuildModel(const version_knowledge& known, const planning_options& options)
    -> version_model {
  version_model model;
  model.known = &known;
  evidence_counts total;
  for (const auto& counts : known.bins) total += counts;
  const estimate prior{known.expected_quality, 0};
  model.overall = Shrink(total, prior, options.prior_weight);
  model.escalated =
      Shrink(known.escalated, model.overall, kEscalatedPriorWeight);
  double signalled = 0;
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    signalled += static_cast<double>(known.bins[bin].requests);
    model.by_bin[bin] =
        Shrink(known.bins[bin], model.overall, options.bin_prior_weight);
  }
  model.has_signal =
      signalled > static_cast<double>(known.bins[kNoSignalBin].requests);
  if (signalled <= 0) return model;
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    model.bin_share[bin] =
        static_cast<double>(known.bins[bin].requests) / signalled;
  }
  return model;
}

auto Bound(const estimate& quality, const planning_options& options) -> double {
  return quality.mean - options.confidence_z * std::sqrt(quality.variance);
}

auto DirectPlan(const version_model& model, const planning_options& options)
    -> cascade_plan {
  cascade_plan plan;
  plan.steps = {{model.known->version, 0}};
  plan.expected_cost = model.known->price;
  plan.expected_quality = model.overall.mean;
  plan.quality_bound = Bound(model.overall, options);
  plan.expected_ms = model.known->expected_ms;
  return plan;
}

auto TwoStepPlan(const version_model& low, const version_model& high,
                 std::uint8_t accept_from, const planning_options& options)
    -> cascade_plan {
  double escalated_share = 0;
  estimate quality;
  for (std::size_t bin = 0; bin < kSignalBins; ++bin) {
    const auto share = low.bin_share[bin];
    if (bin < accept_from) {
      escalated_share += share;
      continue;
    }
    quality.mean += share * low.by_bin[bin].mean;
    quality.variance += share * share * low.by_bin[bin].variance;
  }
  quality.mean += escalated_share * high.escalated.mean;
  quality.variance +=
      escalated_share * escalated_share * high.escalated.variance;
  cascade_plan plan;
  plan.steps = {{low.known->version, accept_from}, {high.known->version, 0}};
  plan.expected_cost = low.known->price + escalated_share * high.known->price;
  plan.expected_quality = quality.mean;
  plan.quality_bound = Bound(quality, options);
  plan.expected_ms =
      low.known->expected_ms + escalated_share * high.known->expected_ms;
  return plan;
}

auto ListPlans(const std::vector<version_knowledge>& versions,
               const planning_options& options) -> std::vector<cascade_plan> {
  std::vector<version_model> models;
  models.reserve(versions.size());
  for (const auto& known : versions) {
    models.push_back(BuildModel(known, options));
  }
  std::vector<cascade_plan> plans;
  for (std::size_t low = 0; low < models.size(); ++low) {
    plans.push_back(DirectPlan(models[low], options));
    if (options.max_steps < 2 || !models[low].has_signal) continue;
    for (std::size_t high = low + 1; high < models.size(); ++high) {
      for (std::uint8_t bin = 1; bin < kSignalBins; ++bin) {
        plans.push_back(TwoStepPlan(models[low], models[high], bin, options));
      }
    }
  }
  return plans;
}

auto Price(const cascade_plan& plan, const planning_options& options)
    -> double {
  return plan.expected_cost + options.cost_per_ms * plan.expected_ms;
}

/// Plans that no other one beats in both price and quality bound, by
/// rising price and bound.
auto Frontier(std::vector<cascade_plan> plans, const planning_options& options)
    -> std::vector<cascade_plan> {
  std::sort(plans.begin(), plans.end(),
            [&](const cascade_plan& left, const cascade_plan& right) {
              return std::pair(Price(left, options), -left.quality_bound) <
                     std::pair(Price(right, options), -right.quality_bound);
            });
  std::vector<cascade_plan> frontier;
  for (auto& plan : plans) {
    if (frontier.empty() ||
        plan.quality_bound > frontier.back().quality_bound) {
      frontier.push_back(std::move(plan));
    }
  }
  return frontier;
}

}  // namespace

auto EscalatedClass(const std::string& task_class) -> std::string {
  return task_class + "+escalated";
}

auto PlanCascade(const std::vector<version_knowledge>& versions,
                 double target_quality, const planning_options& options)
    -> mixed_plan {
  const auto frontier = Frontier(ListPlans(versions, options), options);
  if (frontier.empty()) return {};
  const auto& safest = frontier.back();
  const auto above = std::find_if(frontier.begin(), frontier.end(),
                                  [&](const cascade_plan& plan) {
                                    return plan.quality_bound >= target_quality;
                                  });
  if (above == frontier.end()) return {safest, safest, 1};
  mixed_plan result{*above, *above, 1};
  auto result_price = Price(*above, options);
  // A cheaper plan below the target, mixed with one above it.
  for (auto high = above; high != frontier.end(); ++high) {
    for (auto low = frontier.begin(); low != above; ++low) {
      const auto share = (target_quality - low->quality_bound) /
                         (high->quality_bound - low->quality_bound);
      const auto mixed =
          share * Price(*high, options) + (1 - share) * Price(*low, options);
      if (mixed >= result_price) continue;
      result_price = mixed;
      result = {*high, *low, share};
    }
  }
  return result;
}

auto KnowledgeOf(const catalog& config, version_id version,
                 const std::string& task_class, const evidence_table& evidence)
    -> version_knowledge {
  const auto& item = config.versions[version];
  version_knowledge known;
  known.version = version;
  known.price = static_cast<double>(item.price_per_1k_tokens);
  known.expected_quality = item.expected_quality;
  known.expected_ms = static_cast<double>(item.expected_first_token_ms) +
                      kTypicalTokens * item.expected_token_ms;
  const auto add = [&](std::uint8_t bin, evidence_counts& counts,
                       const std::string& counted_class) {
    const auto found = evidence.find({item.name, counted_class, bin});
    if (found != evidence.end()) counts += found->second;
  };
  for (std::uint8_t bin = 0; bin < kSignalBins; ++bin) {
    add(bin, known.bins[bin], task_class);
    add(bin, known.escalated, EscalatedClass(task_class));
  }
  add(kNoSignal, known.bins[kNoSignalBin], task_class);
  add(kNoSignal, known.escalated, EscalatedClass(task_class));
  return known;
}

}  // namespace lovagedale
