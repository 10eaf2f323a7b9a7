#include "lovagedale/rollout/service_rollout.h"

#include <algorithm>
#include <cmath>

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

auto JudgeServiceRollout(const service_rollout& rollout,
                         const service_rollout_observations& observations,
                         const service_rollout_limits& limits)
    -> std::optional<service_rollout_decision> {
  using phase = service_rollout_phase;
  if (!rollout.IsRunning()) return std::nullopt;
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

}  // namespace lovagedale
