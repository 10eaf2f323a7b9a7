#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/rollout/duration_counts.h"

namespace lovagedale {

/// How far the traffic of a service has moved to servers of another version.
enum class service_rollout_phase : std::uint8_t {
  kWaiting,      ///< servers of the new version are not ready yet
  kCanary,       ///< a small share of the sessions uses the new version
  kAllSessions,  ///< all sessions use it; the former servers are kept ready
  kCompleted,    ///< the former servers are no longer needed
  kReverted,     ///< the new version gets no more requests
};

/// Name of the phase in the ids of changes and in log lines; kAllSessions is
/// called "most" there.
auto PhaseName(service_rollout_phase phase) -> const char*;

/// A roll-out of a service's software. The servers of the new version run
/// beside those of the former version.
struct service_rollout {
  std::string service;
  std::string target;  ///< the new version
  service_rollout_phase phase = service_rollout_phase::kWaiting;
  /// Time in which it should complete or be reverted. The fractions in
  /// service_rollout_limits refer to it.
  std::int64_t duration_ms = 0;
  double share = 0;    ///< of sessions in the canary, 0 to 1
  std::string reason;  ///< why the current phase was entered

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

/// Reason of a roll-out's phase if its target is the only version that the
/// service can use. Control decides by it, so its text does not change.
inline constexpr const char* kVersionInUse = "it is the version in use";

/// Whether the roll-out goes to the version that the service uses already, as
/// when an operator turns back. It cannot fail: there is no other version.
inline auto IsVersionInUse(const service_rollout& rollout) -> bool {
  return rollout.phase == service_rollout_phase::kAllSessions &&
         rollout.reason == kVersionInUse;
}

/// Whether a session's requests may go to servers of `version`; always true
/// without a roll-out. Depends on no state of a single entry, since a session's
/// requests may arrive at any of them.
auto MayUseVersion(const service_rollout* rollout, const std::string& version,
                   std::uint64_t session_hash) -> bool;

/// Whether a roll-out of the service to `version` was reverted. Its servers may
/// still run while the next roll-out waits for servers.
auto IsReverted(const std::vector<service_rollout>& rollouts,
                const std::string& service, const std::string& version) -> bool;

/// Counters of the answers by servers of one version, on one route and by one
/// model.
struct version_answers {
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;        ///< failed or broken answers
  std::uint64_t latency_sum_ms = 0;  ///< sum over the answers that did not fail
  /// From the request to the first event, or to a complete answer that is not a
  /// stream; of answers that did not fail.
  duration_counts first_events;
  /// From the first event of a stream to the second. Counted once a stream,
  /// since the pauses within one stream are not independent.
  duration_counts first_pauses;

  auto operator==(const version_answers&) const -> bool = default;
  auto operator+=(const version_answers& other) -> version_answers& {
    requests += other.requests;
    failures += other.failures;
    latency_sum_ms += other.latency_sum_ms;
    first_events += other.first_events;
    first_pauses += other.first_pauses;
    return *this;
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(requests, failures, latency_sum_ms, first_events, first_pauses);
  }
};

struct version_answers_key {
  std::string service;
  std::string version;
  std::string route;
  std::string model;  ///< empty if the route has none

  auto operator<=>(const version_answers_key&) const = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, version, route, model);
  }
};

using version_answers_table = std::map<version_answers_key, version_answers>;

/// The entries of `table` that `reported` does not have or has with other
/// counts.
auto ChangedAnswers(const version_answers_table& table,
                    const version_answers_table& reported)
    -> version_answers_table;

struct service_rollout_limits {
  /// Failed answers of the new version required to revert it for failures.
  std::uint64_t min_failures = 5;
  /// The roll-out is reverted if the fraction of failed answers exceeds the
  /// former version's by more than this.
  double max_failure_fraction_increase = 0.15;
  /// Successful answers of each version needed to compare mean latencies.
  std::uint64_t min_latency_answers = 12;
  /// The roll-out is reverted if the mean latency exceeds this multiple of the
  /// former version's.
  double max_latency_ratio = 3.0;
  /// Probability of reverting a version whose answers are as fast as the former
  /// version's, over the whole roll-out, if answers are independent.
  double slowness_false_alarm_rate = 0.001;
  /// A version may be slower than the former one by this factor. Covers caches
  /// that are still cold and changes of the load.
  double tolerated_slowdown = 1.5;
  /// Mean rank of the new version's durations among the former version's, that
  /// is tolerated in the canary: its servers have less load than the former
  /// ones, so the slowdown is not tolerated there.
  double tolerated_canary_rank = 0.52;
  /// Answers of the former version needed to rank durations among them.
  std::uint64_t min_ranked_answers = 12;
  /// Answers of the new version that the canary should yield, and bounds of
  /// its share of the sessions. At the upper bound, a bad version affects a
  /// fifth of the sessions for the 1 to 2 s until it is detected. Only part of
  /// the answers of a slow version arrive in the canary.
  double wanted_canary_answers = 400;
  double min_canary_share = 0.002;
  double max_canary_share = 0.2;
  /// Time for which requests are counted before the canary's share is set.
  monotonic_ms min_observation_ms = 1'000;
  /// Earliest start of the canary. This and the fractions below are of the
  /// roll-out's duration. Existing sessions must keep their version until then,
  /// and as an entry cannot tell them from new sessions, no session changes its
  /// version earlier.
  double canary_after_fraction = 0.5;
  /// From here on the canary starts even if the new version has fewer servers
  /// than the former one.
  double canary_with_few_servers_after_fraction = 0.55;
  /// When all sessions move, and when the roll-out is complete.
  double all_sessions_after_fraction = 0.62;
  double complete_after_fraction = 0.8;
  /// Answers of the new version required before all sessions move. After
  /// `few_answers_after_fraction` one answer suffices, for services with
  /// little traffic.
  std::uint64_t min_answers = 10;
  double few_answers_after_fraction = 0.7;

  auto operator==(const service_rollout_limits&) const -> bool = default;
};

/// Input of JudgeServiceRollout.
struct service_rollout_observations {
  /// Answers counted by all entries since the roll-out began.
  version_answers_table answers;
  monotonic_ms elapsed_ms = 0;
  /// Servers that take requests, of the new version and of other versions.
  std::size_t target_servers = 0;
  std::size_t former_servers = 0;
  /// There have been some of other versions since the roll-out began.
  bool had_former_servers = false;
};

struct service_rollout_decision {
  service_rollout_phase phase;
  std::string reason;
  double share = 0;  ///< of the sessions, 0 to 1, if the phase is kCanary
};

/// How slow the new version is, for the log: for each duration the number of
/// ranked values and their mean rank, with and without the tolerated slowdown.
auto DescribeRanks(const service_rollout& rollout,
                   const version_answers_table& answers,
                   const service_rollout_limits& limits) -> std::string;

/// The next phase of a running roll-out; nullopt if the phase stays.
auto JudgeServiceRollout(const service_rollout& rollout,
                         const service_rollout_observations& observations,
                         const service_rollout_limits& limits)
    -> std::optional<service_rollout_decision>;

/// Sums the latest cumulative counters of each incarnation of an entry.
class version_answers_total {
 public:
  /// `table`: cumulative counters of this incarnation (process) of the entry.
  auto Report(const std::string& entry, std::uint64_t incarnation,
              const version_answers_table& table) -> void;
  auto Total() const -> version_answers_table;
  /// Drops the counters of one version.
  auto Forget(const std::string& service, const std::string& version) -> void;
  /// Drops the counters of services other than `services`.
  auto KeepOnly(const std::set<std::string>& services) -> void;

 private:
  std::map<std::pair<std::string, std::uint64_t>, version_answers_table>
      by_entry_;
};

}  // namespace lovagedale
