#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// How far the traffic of a service has moved to servers of another version.
enum class service_rollout_phase : std::uint8_t {
  kWaiting,    ///< for servers of the new version
  kCanary,     ///< a small share of the sessions
  kMost,       ///< all sessions; the former servers are kept ready
  kCompleted,  ///< the former servers are no longer needed
  kReverted,   ///< the new version gets no work any more
};

auto PhaseName(service_rollout_phase phase) -> const char*;

/// A roll-out of a service's software, whose new version appears as servers
/// beside those of the former one.
struct service_rollout {
  std::string service;
  std::string target;  ///< the new version
  service_rollout_phase phase = service_rollout_phase::kWaiting;
  std::int64_t duration_ms = 0;  ///< time until it must be decided
  double share = 0;              ///< of the sessions, for the canary; 0 to 1
  std::string reason;            ///< of the latest phase

  auto operator==(const service_rollout&) const -> bool = default;
  auto IsRunning() const -> bool {
    return phase != service_rollout_phase::kCompleted &&
           phase != service_rollout_phase::kReverted;
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, target, phase, duration_ms, share, reason);
  }
};

/// Whether a session's requests may go to servers of `version`. It depends on
/// nothing that one entry alone knows: a session comes through any of them.
auto MayUseVersion(const service_rollout* rollout, const std::string& version,
                   std::uint64_t session_hash) -> bool;

/// What servers of one version answered on one route.
struct version_answers {
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;        ///< failed or broken answers
  std::uint64_t latency_sum_ms = 0;  ///< sum over the answers that did not fail

  auto operator==(const version_answers&) const -> bool = default;
  auto operator+=(const version_answers& other) -> version_answers& {
    requests += other.requests;
    failures += other.failures;
    latency_sum_ms += other.latency_sum_ms;
    return *this;
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(requests, failures, latency_sum_ms);
  }
};

struct version_answers_key {
  std::string service;
  std::string version;
  std::string route;

  auto operator<=>(const version_answers_key&) const = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, version, route);
  }
};

using version_answers_table = std::map<version_answers_key, version_answers>;

struct service_rollout_limits {
  /// Failures beyond the former version's share before it is taken back.
  std::uint64_t min_failures = 5;
  /// Share of failed answers, above the former version's, that is too much.
  double max_failure_fraction_increase = 0.15;
  /// Answers needed to compare latencies.
  std::uint64_t min_latency_answers = 12;
  /// Mean latency, as a multiple of the former version's, that is too much.
  double max_latency_ratio = 3.0;
  /// Answers of the new version that the canary should bring, and bounds of
  /// its share of the sessions. The greatest one hurts a fifth of them for
  /// the second or two that a verdict on a bad version takes.
  double wanted_canary_answers = 60;
  double min_canary_share = 0.002;
  double max_canary_share = 0.2;
  /// Time in which requests are counted before the canary.
  monotonic_ms min_observation_ms = 1'000;
  /// Part of the duration before which no session under way may change its
  /// version; no entry can tell such sessions from new ones.
  double canary_after_fraction = 0.5;
  /// Part of the duration after which a canary starts though the new version
  /// has fewer servers than the former one.
  double canary_with_few_servers_after_fraction = 0.55;
  /// Parts of the duration after which all sessions move, and after which the
  /// roll-out is complete.
  double all_sessions_after_fraction = 0.62;
  double complete_after_fraction = 0.8;
  /// Answers of the new version without which no other session follows; a
  /// service with little traffic has fewer by the last part of the duration.
  std::uint64_t min_answers = 10;
  double few_answers_after_fraction = 0.7;

  auto operator==(const service_rollout_limits&) const -> bool = default;
};

/// What a verdict is based on.
struct service_rollout_observations {
  /// Since the roll-out began, of all entries.
  version_answers_table answers;
  monotonic_ms elapsed_ms = 0;
  /// Servers that take work, of the new version and of others.
  std::size_t target_servers = 0;
  std::size_t former_servers = 0;
};

struct service_rollout_decision {
  service_rollout_phase phase;
  std::string reason;
  double share = 0;  ///< of the sessions, if the phase is kCanary
};

/// The next phase of a running roll-out; nothing if it stays.
auto JudgeServiceRollout(const service_rollout& rollout,
                         const service_rollout_observations& observations,
                         const service_rollout_limits& limits)
    -> std::optional<service_rollout_decision>;

/// Sums of the latest counters of each entry process.
class version_answers_total {
 public:
  /// `table` is cumulative for that process.
  auto Report(const std::string& entry, std::uint64_t incarnation,
              const version_answers_table& table) -> void;
  auto Total() const -> version_answers_table;

 private:
  std::map<std::pair<std::string, std::uint64_t>, version_answers_table>
      by_entry_;
};

}  // namespace lovagedale
