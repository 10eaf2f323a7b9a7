#include "lovagedale/rollout/service_rollout.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

/// "canary" in ASCII; makes the choice of the canary's sessions independent of
/// other uses of the session hash.
constexpr std::uint64_t kCanarySalt = 0x63616e617279ULL;

auto Percent(double fraction) -> std::string {
  return std::to_string(std::lround(fraction * 100)) + "%";
}

auto FailureFraction(const version_answers& answers) -> double {
  return answers.requests == 0 ? 0
                               : static_cast<double>(answers.failures) /
                                     static_cast<double>(answers.requests);
}

auto MeanLatency(const version_answers& answers) -> double {
  const auto successes = answers.requests - answers.failures;
  return successes == 0 ? 0
                        : static_cast<double>(answers.latency_sum_ms) /
                              static_cast<double>(successes);
}

/// Describes how the new version's answers are worse than the former version's;
/// empty if they are not.
auto FindFault(const version_answers& target, const version_answers& former,
               const service_rollout_limits& limits) -> std::string {
  const auto fraction = FailureFraction(target);
  const auto former_fraction = FailureFraction(former);
  if (target.failures >= limits.min_failures &&
      fraction > former_fraction + limits.max_failure_fraction_increase) {
    return Percent(fraction) + " of " + std::to_string(target.requests) +
           " answers failed; of the former version's " +
           Percent(former_fraction);
  }
  const auto successes = target.requests - target.failures;
  const auto former_successes = former.requests - former.failures;
  if (successes >= limits.min_latency_answers &&
      former_successes >= limits.min_latency_answers &&
      MeanLatency(target) > limits.max_latency_ratio * MeanLatency(former)) {
    return "mean latency " + std::to_string(MeanLatency(target)) +
           " ms; of the former version " + std::to_string(MeanLatency(former)) +
           " ms";
  }
  return "";
}

/// Ranks of the new version's durations among those of the former version on
/// the same route and model.
struct duration_ranks {
  double sum = 0;
  double tolerant_sum = 0;  ///< with the tolerated slowdown subtracted
  std::uint64_t count = 0;

  auto operator+=(const duration_ranks& other) -> duration_ranks& {
    sum += other.sum;
    tolerant_sum += other.tolerant_sum;
    count += other.count;
    return *this;
  }
};

auto RankDurations(const duration_counts& target, const duration_counts& former,
                   const service_rollout_limits& limits) -> duration_ranks {
  if (former.Count() < limits.min_ranked_answers) return {};
  const auto tolerated_bins =
      static_cast<int>(std::lround(std::log(limits.tolerated_slowdown) /
                                   std::log(duration_counts::kBinRatio)));
  return {RankSum(target, former, 0), RankSum(target, former, tolerated_bins),
          target.Count()};
}

struct slowness_ranks {
  duration_ranks first_events;
  duration_ranks first_pauses;
};

/// By route; "" is the sum over the routes.
auto RankAnswers(const service_rollout& rollout,
                 const version_answers_table& answers,
                 const service_rollout_limits& limits)
    -> std::map<std::string, slowness_ranks> {
  std::map<std::pair<std::string, std::string>, version_answers> former;
  std::map<std::pair<std::string, std::string>, version_answers> target;
  for (const auto& [key, counts] : answers) {
    if (key.service != rollout.service) continue;
    auto& by_model = key.version == rollout.target ? target : former;
    by_model[{key.route, key.model}] += counts;
  }
  std::map<std::string, slowness_ranks> ranks;
  for (const auto& [key, counts] : target) {
    const auto& reference = former[key];
    const auto first_events =
        RankDurations(counts.first_events, reference.first_events, limits);
    const auto first_pauses =
        RankDurations(counts.first_pauses, reference.first_pauses, limits);
    for (const auto& route : {key.first, std::string()}) {
      ranks[route].first_events += first_events;
      ranks[route].first_pauses += first_pauses;
    }
  }
  return ranks;
}

auto DescribeRanks(const duration_ranks& ranks) -> std::string {
  const auto count =
      static_cast<double>(std::max<std::uint64_t>(1, ranks.count));
  return std::to_string(ranks.count) + " with mean rank " +
         Percent(ranks.sum / count) + ", " +
         Percent(ranks.tolerant_sum / count) + " after the tolerated slowdown";
}

/// Natural logarithm of an e-value (see LogEvidenceOfDrop) against the null
/// hypothesis that the ranks are distributed uniformly around `null_mean`, in
/// favour of higher ranks.
auto LogEvidenceOfHighRanks(double rank_sum, double count, double null_mean)
    -> double {
  // Exponential tilts, each the best for one mean of the ranks: 0.05, 0.1, 0.2
  // and 0.4 above `null_mean`. Their average is at least a quarter of the
  // largest.
  constexpr std::array<double, 4> kTilts = {0.6, 1.2, 2.4, 4.8};
  double largest = -std::numeric_limits<double>::infinity();
  for (const auto tilt : kTilts) {
    const auto log_moment = std::log(std::sinh(tilt / 2) / (tilt / 2));
    largest = std::max(
        largest, tilt * (rank_sum - count * null_mean) - count * log_moment);
  }
  return largest - std::log(static_cast<double>(kTilts.size()));
}

/// Whether the ranks show that the new version is slower than tolerated.
/// `has_less_load`: its servers have less load than the former ones.
auto IsSlow(const duration_ranks& ranks, bool has_less_load, double threshold,
            const service_rollout_limits& limits) -> bool {
  constexpr double kEqualRank = 0.5;
  const auto count = static_cast<double>(ranks.count);
  return LogEvidenceOfHighRanks(ranks.tolerant_sum, count, kEqualRank) >=
             threshold ||
         (has_less_load &&
          LogEvidenceOfHighRanks(ranks.sum, count,
                                 limits.tolerated_canary_rank) >= threshold);
}

/// Describes how the new version is slower; empty if that is not shown.
auto FindSlowness(const service_rollout& rollout,
                  const service_rollout_observations& observations,
                  const service_rollout_limits& limits) -> std::string {
  const auto by_route = RankAnswers(rollout, observations.answers, limits);
  if (by_route.empty()) return "";
  const bool has_less_load =
      rollout.phase == service_rollout_phase::kCanary &&
      observations.target_servers >= observations.former_servers;
  // Half of the false-alarm rate is for the sum and half for the routes; each
  // has two durations, with two tests each.
  constexpr double kTests = 2 * 2 * 2;
  const auto total_threshold =
      std::log(kTests / limits.slowness_false_alarm_rate);
  const auto route_threshold =
      total_threshold + std::log(static_cast<double>(by_route.size() - 1));
  for (const auto& [route, ranks] : by_route) {
    const auto threshold = route.empty() ? total_threshold : route_threshold;
    std::string fault;
    if (IsSlow(ranks.first_events, has_less_load, threshold, limits)) {
      fault = "slow first events: " + DescribeRanks(ranks.first_events);
    } else if (IsSlow(ranks.first_pauses, has_less_load, threshold, limits)) {
      fault = "slow first pauses: " + DescribeRanks(ranks.first_pauses);
    }
    if (fault.empty()) continue;
    std::string reason = route;
    if (!reason.empty()) reason.append(": ");
    reason.append(fault);
    return reason;
  }
  return "";
}

auto ElapsedFraction(const service_rollout& rollout, monotonic_ms elapsed_ms)
    -> double {
  return rollout.duration_ms <= 0
             ? 1.0
             : static_cast<double>(elapsed_ms) /
                   static_cast<double>(rollout.duration_ms);
}

auto IsReadyForCanary(const service_rollout& rollout,
                      const service_rollout_observations& observations,
                      const service_rollout_limits& limits) -> bool {
  const auto elapsed_fraction =
      ElapsedFraction(rollout, observations.elapsed_ms);
  if (observations.elapsed_ms < limits.min_observation_ms ||
      observations.target_servers == 0 ||
      elapsed_fraction < limits.canary_after_fraction) {
    return false;
  }
  return observations.target_servers >= observations.former_servers ||
         elapsed_fraction >= limits.canary_with_few_servers_after_fraction;
}

auto JudgeVersionInUse(const service_rollout& rollout,
                       const service_rollout_observations& observations,
                       const service_rollout_limits& limits)
    -> std::optional<service_rollout_decision> {
  if (ElapsedFraction(rollout, observations.elapsed_ms) <
      limits.complete_after_fraction) {
    return std::nullopt;
  }
  return service_rollout_decision{service_rollout_phase::kCompleted,
                                  kVersionInUse};
}

/// Share of the sessions that yields `wanted_canary_answers` before all
/// sessions move. `requests`: counted in `elapsed_ms`.
auto CanaryShare(std::uint64_t requests, const service_rollout& rollout,
                 monotonic_ms elapsed_ms, const service_rollout_limits& limits)
    -> double {
  const auto remaining_ms = limits.all_sessions_after_fraction *
                                static_cast<double>(rollout.duration_ms) -
                            static_cast<double>(elapsed_ms);
  const auto expected_requests =
      static_cast<double>(requests) /
      static_cast<double>(std::max<monotonic_ms>(1, elapsed_ms)) *
      std::max(1.0, remaining_ms);
  if (expected_requests <= 0) return limits.max_canary_share;
  return std::clamp(limits.wanted_canary_answers / expected_requests,
                    limits.min_canary_share, limits.max_canary_share);
}

}  // namespace

auto PhaseName(service_rollout_phase phase) -> const char* {
  switch (phase) {
    case service_rollout_phase::kWaiting:
      return "waiting";
    case service_rollout_phase::kCanary:
      return "canary";
    case service_rollout_phase::kAllSessions:
      return "most";
    case service_rollout_phase::kCompleted:
      return "completed";
    case service_rollout_phase::kReverted:
      return "reverted";
  }
  return "unknown";
}

auto IsReverted(const std::vector<service_rollout>& rollouts,
                const std::string& service, const std::string& version)
    -> bool {
  return std::any_of(
      rollouts.begin(), rollouts.end(), [&](const auto& rollout) {
        return rollout.service == service && rollout.target == version &&
               rollout.phase == service_rollout_phase::kReverted;
      });
}

auto MayUseVersion(const service_rollout* rollout, const std::string& version,
                   std::uint64_t session_hash) -> bool {
  if (rollout == nullptr) return true;
  const bool is_target = version == rollout->target;
  switch (rollout->phase) {
    case service_rollout_phase::kWaiting:
      return !is_target;
    case service_rollout_phase::kCanary:
      return is_target == (ToUnitInterval(MixBits(session_hash ^ kCanarySalt)) <
                           rollout->share);
    case service_rollout_phase::kAllSessions:
    case service_rollout_phase::kCompleted:
      return is_target;
    case service_rollout_phase::kReverted:
      return !is_target;
  }
  return true;
}

auto DescribeRanks(const service_rollout& rollout,
                   const version_answers_table& answers,
                   const service_rollout_limits& limits) -> std::string {
  const auto ranks = RankAnswers(rollout, answers, limits)[""];
  return "first events: " + DescribeRanks(ranks.first_events) +
         "; first pauses: " + DescribeRanks(ranks.first_pauses);
}

auto JudgeServiceRollout(const service_rollout& rollout,
                         const service_rollout_observations& observations,
                         const service_rollout_limits& limits)
    -> std::optional<service_rollout_decision> {
  using phase = service_rollout_phase;
  if (!rollout.IsRunning()) return std::nullopt;
  if (IsVersionInUse(rollout)) {
    return JudgeVersionInUse(rollout, observations, limits);
  }
  const bool has_no_former_version =
      observations.former_servers == 0 && !observations.had_former_servers;
  if (rollout.phase == phase::kWaiting && has_no_former_version &&
      observations.target_servers > 0) {
    return service_rollout_decision{phase::kAllSessions, kVersionInUse};
  }
  std::map<std::string, version_answers> target;
  std::map<std::string, version_answers> former;
  version_answers target_total;
  version_answers former_total;
  for (const auto& [key, counts] : observations.answers) {
    if (key.service != rollout.service) continue;
    const bool is_target = key.version == rollout.target;
    (is_target ? target : former)[key.route] += counts;
    (is_target ? target_total : former_total) += counts;
  }
  // A version may fail on one route only, which the total would hide.
  for (const auto& [route, counts] : target) {
    const auto fault = FindFault(counts, former[route], limits);
    if (fault.empty()) continue;
    std::string reason = route;
    reason.append(": ").append(fault);
    return service_rollout_decision{phase::kReverted, std::move(reason)};
  }
  const auto fault = FindFault(target_total, former_total, limits);
  if (!fault.empty()) return service_rollout_decision{phase::kReverted, fault};
  const auto slowness = FindSlowness(rollout, observations, limits);
  if (!slowness.empty()) {
    return service_rollout_decision{phase::kReverted, slowness};
  }

  const auto elapsed_fraction =
      ElapsedFraction(rollout, observations.elapsed_ms);
  if (rollout.phase == phase::kWaiting) {
    if (!IsReadyForCanary(rollout, observations, limits)) return std::nullopt;
    const auto share = CanaryShare(former_total.requests, rollout,
                                   observations.elapsed_ms, limits);
    return service_rollout_decision{
        phase::kCanary,
        std::to_string(observations.target_servers) + " servers are ready",
        share};
  }
  const bool has_enough_answers =
      target_total.requests >= limits.min_answers ||
      (target_total.requests > 0 &&
       elapsed_fraction >= limits.few_answers_after_fraction);
  if (rollout.phase == phase::kCanary &&
      elapsed_fraction >= limits.all_sessions_after_fraction &&
      has_enough_answers) {
    return service_rollout_decision{
        phase::kAllSessions,
        std::to_string(target_total.requests) + " answers without a fault"};
  }
  if (rollout.phase == phase::kAllSessions &&
      elapsed_fraction >= limits.complete_after_fraction) {
    return service_rollout_decision{phase::kCompleted,
                                    "all sessions moved without a fault"};
  }
  return std::nullopt;
}

auto ChangedAnswers(const version_answers_table& table,
                    const version_answers_table& reported)
    -> version_answers_table {
  version_answers_table changed;
  for (const auto& [key, counts] : table) {
    const auto found = reported.find(key);
    if (found == reported.end() || found->second != counts) {
      changed.emplace(key, counts);
    }
  }
  return changed;
}

auto version_answers_total::Report(const std::string& entry,
                                   std::uint64_t incarnation,
                                   const version_answers_table& table) -> void {
  auto& reported = by_entry_[{entry, incarnation}];
  for (const auto& [key, counts] : table) reported[key] = counts;
}

auto version_answers_total::Total() const -> version_answers_table {
  version_answers_table total;
  for (const auto& [entry, table] : by_entry_) {
    for (const auto& [key, counts] : table) total[key] += counts;
  }
  return total;
}

auto version_answers_total::Forget(const std::string& service,
                                   const std::string& version) -> void {
  for (auto& [entry, table] : by_entry_) {
    std::erase_if(table, [&](const auto& item) {
      return item.first.service == service && item.first.version == version;
    });
  }
}

auto version_answers_total::KeepOnly(const std::set<std::string>& services)
    -> void {
  for (auto& [entry, table] : by_entry_) {
    std::erase_if(table, [&](const auto& item) {
      return !services.contains(item.first.service);
    });
  }
  std::erase_if(by_entry_,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace lovagedale
