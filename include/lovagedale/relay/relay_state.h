#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "lovagedale/common/byte_budget.h"
#include "lovagedale/common/latency_histogram.h"
#include "lovagedale/configuration/fleet_view.h"
#include "lovagedale/forwarding/helper_pool.h"
#include "lovagedale/relay/call_enders.h"
#include "lovagedale/relay/connection_pool.h"
#include "lovagedale/relay/crash_monitor.h"
#include "lovagedale/relay/first_event_prediction.h"
#include "lovagedale/relay/log_budget.h"
#include "lovagedale/relay/recent_durations.h"
#include "lovagedale/relay/retry_budget.h"
#include "lovagedale/relay/server_groups.h"
#include "lovagedale/relay/server_prober.h"
#include "lovagedale/relay/server_table.h"
#include "lovagedale/relay/tier_choice.h"
#include "lovagedale/rollout/service_rollout.h"
#include "lovagedale/route/route_table.h"
#include "lovagedale/scheduling/admission_gate.h"
#include "lovagedale/scheduling/model_choice.h"

namespace lovagedale {

struct relay_settings {
  std::string zone;
  /// Of each service: retries in a window are limited to retry_ratio times the
  /// requests in it, plus retry_floor.
  double retry_ratio = 0.5;
  monotonic_ms retry_window_ms = 10'000;
  double retry_floor = 3;
  /// Whether requests of services with several priorities wait for their turn.
  bool admission = false;
  /// Whether less urgent ones are refused rather than sent late; see
  /// admission_queue.
  bool admission_strict = false;

  auto operator==(const relay_settings&) const -> bool = default;
};

/// The routes and roll-outs of one configuration revision.
struct routing_view {
  explicit routing_view(const fleet_view& view)
      : routing_view(view, std::make_shared<const route_table>(view.routes)) {}
  /// `shared_table` must be that of the view's routes.
  routing_view(const fleet_view& view,
               std::shared_ptr<const route_table> shared_table)
      : revision(view.revision),
        table(std::move(shared_table)),
        routes(*table),
        rollouts(view.service_rollouts) {}
  auto RolloutOf(const std::string& service) const -> const service_rollout* {
    for (const auto& rollout : rollouts) {
      if (rollout.service == service) return &rollout;
    }
    return nullptr;
  }

  /// Whether a session's requests may go to servers of `version`.
  auto MayUse(const std::string& service, const std::string& version,
              std::uint64_t session_hash) const -> bool {
    return !IsReverted(rollouts, service, version) &&
           MayUseVersion(RolloutOf(service), version, session_hash);
  }

  config_revision revision;
  std::shared_ptr<const route_table> table;
  const route_table& routes;  ///< `*table`
  std::vector<service_rollout> rollouts;
};

/// In milliseconds.
struct prediction_errors {
  latency_histogram earlier;  ///< than predicted
  latency_histogram later;
};

/// Key of the counters of ended calls.
struct call_counts_key {
  std::string route;
  std::string outcome;

  auto operator<=>(const call_counts_key&) const = default;
};

/// Key of the counters of answers that were kept although their confidence is
/// low.
struct given_up_key {
  std::string customer;  ///< empty if the route needs none
  std::string model;     ///< the larger one that was not asked
  escalation_decision reason = escalation_decision::kLate;

  auto operator<=>(const given_up_key&) const = default;
};

/// State shared by all calls of one entry. Not thread-safe.
class relay_state {
 public:
  relay_state(boost::asio::io_context& context, relay_settings settings)
      : context(context),
        settings(std::move(settings)),
        pool(context, kServerDeadAfter),
        prober(context, servers, pool),
        crashes(context),
        random(std::random_device{}()),
        admission(context, servers, random, this->settings.admission_strict),
        routes_wait_deadline_ms(system_monotonic_clock{}.Now() + kStartTimeMs) {
  }
  relay_state(const relay_state&) = delete;
  auto operator=(const relay_state&) -> relay_state& = delete;

  /// Bounds the retries of requests to a service by the requests to it.
  auto RetriesOf(const std::string& service) -> retry_budget& {
    return retries_
        .try_emplace(service, settings.retry_ratio, settings.retry_window_ms,
                     settings.retry_floor)
        .first->second;
  }

  boost::asio::io_context& context;
  const relay_settings settings;
  std::shared_ptr<const routing_view> view;  ///< null until first received
  server_table servers;
  connection_pool pool;  ///< of connections to servers and to other entries
  server_prober prober;
  helper_pool helpers;
  crash_monitor crashes;
  tier_table tiers;
  service_groups_table groups;
  std::mt19937_64 random;
  admission_gate admission;
  /// Plain answers and incomplete events that are held until they are complete.
  byte_budget answer_memory{kMaxHeldAnswerBytes, kSmallAnswerBytes};
  /// Answers by service, version, route and model, of services under roll-out.
  /// The counts are cumulative; those of a service are dropped when its
  /// roll-out ends.
  version_answers_table answers;
  std::map<call_counts_key, std::uint64_t> call_counts;
  std::map<given_up_key, std::uint64_t> escalations_given_up;
  std::map<std::string, recent_durations> recent_call_durations;  ///< by route
  std::map<std::string, std::uint64_t> attempt_counts;  ///< by attempt_result
  std::map<std::string, latency_histogram>
      call_duration_histograms;  ///< by route
  /// By route and model; the model is empty if the route has none.
  std::map<std::pair<std::string, std::string>, latency_histogram>
      first_event_histograms;
  /// Differences between the predicted and the actual time to the first event
  /// of prompts, by route and model.
  std::map<std::pair<std::string, std::string>, prediction_errors>
      first_event_errors;
  /// By service and model.
  std::map<std::pair<std::string, std::string>, work_time> work_times;
  std::uint64_t forwarded_calls = 0;  ///< attempts through other entries
  log_budget log;
  /// Called when an answer names a limit of a server that had none, or the
  /// reverse.
  std::function<void()> on_limit_changed = [] {};
  /// Asks control whether one request may go to a server that has a limit.
  /// Suspends the fiber for a part of a second at most; nothing if control does
  /// not answer.
  std::function<std::optional<server_grant>(const server_limit_report&,
                                            boost::asio::yield_context)>
      ask_for_grant = [](const auto&, auto) { return std::nullopt; };
  std::size_t entries = 0;  ///< registered at control; 0 if not told yet
  settled_entry_count settled_entries;  ///< by the leader's word
  std::size_t active_calls = 0;         ///< calls in progress
  /// Until this time calls wait for the first routes, which control sends as
  /// soon as it has a leader.
  const monotonic_ms routes_wait_deadline_ms;
  /// Set while the process stops: when calls that still run are ended. Calls
  /// that may not end before it are refused; 0 refuses all new calls.
  std::optional<monotonic_ms> stop_deadline_ms;
  /// Set when the process has no time left: calls in progress answer at once,
  /// those of which the caller has got nothing yet with a complete answer.
  bool ends_calls = false;
  call_enders enders;  ///< end the waits of calls in progress for servers

  /// Sets `ends_calls`. The calls end as the event loop goes on.
  auto EndCalls() -> void {
    ends_calls = true;
    enders.EndAll();
  }

 private:
  std::map<std::string, retry_budget> retries_;  ///< by service

  /// Covers connecting to control and an election in progress.
  static constexpr monotonic_ms kStartTimeMs = 1'500;
  /// A dead server acknowledges no packets; packet loss is recovered within a
  /// few hundred milliseconds.
  static constexpr std::chrono::milliseconds kServerDeadAfter{1'500};
  /// Leaves most of a small host's memory to the process itself.
  static constexpr std::size_t kMaxHeldAnswerBytes = 32UL << 20U;
  /// Answers up to this size pass while large ones hold all of the memory; the
  /// calls in progress are at most some thousands.
  static constexpr std::size_t kSmallAnswerBytes = 16UL << 10U;
};

}  // namespace lovagedale
