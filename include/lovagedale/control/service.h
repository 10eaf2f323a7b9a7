#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "lovagedale/admission/cold_limit.h"
#include "lovagedale/configuration/control_machine.h"
#include "lovagedale/configuration/evacuation_order.h"
#include "lovagedale/configuration/in_force.h"
#include "lovagedale/control/format_census.h"
#include "lovagedale/control/messages.h"
#include "lovagedale/control/settings.h"
#include "lovagedale/discovery/server_feed.h"
#include "lovagedale/engine/order_service.h"
#include "lovagedale/engine/planner.h"
#include "lovagedale/health/crash_attribution.h"
#include "lovagedale/http/server.h"
#include "lovagedale/quality/evidence.h"
#include "lovagedale/replication/replica_node.h"
#include "lovagedale/rollout/guard.h"
#include "lovagedale/rpc/server.h"

namespace lovagedale {

/// Outcome of a proposed change; `result` is set only if `proposal` is
/// kCommitted.
struct change_outcome {
  propose_status proposal = propose_status::kNotLeader;
  change_result result;
};

/// Reads the limits for cold servers from the operator's document. Throws
/// nothing: what is not valid is left out.
using cold_limit_parser =
    std::function<std::vector<service_cold_limit>(const std::string& document)>;

/// One control replica: the replicated configuration, the entries' heartbeats
/// and the roll-out guard. Everything runs on one thread.
class control_service {
 public:
  /// `source` lists the platform's servers; empty if no servers are discovered.
  /// `parse_cold_limits` may be empty: no server has a limit while it is cold.
  control_service(boost::asio::io_context& context, replica_settings settings,
                  log_store& store, server_source source = {},
                  cold_limit_parser parse_cold_limits = {});

  auto Start() -> void;
  /// Transfers leadership, answers all deferred heartbeats and stops the
  /// timers.
  auto BeginStop() -> void;
  auto MayStop() const -> bool { return true; }
  /// The operators' HTTP API.
  auto HandleHttp(http_exchange& exchange) -> void;

  auto SubmitChange(const change& proposed,
                    std::function<void(const change_outcome&)> done) -> void;
  /// Carries out an operator's order of a roll-out, which may be one that was
  /// sent before. kUnknown if that cannot be told, or if another order of the
  /// service is being decided: the operator is expected to send it again.
  auto OrderServiceRollout(const begin_service_rollout& order,
                           std::function<void(const change_outcome&)> done)
      -> void;
  /// Decides about an operator's order that arrives now; see DecideEvacuation.
  auto JudgeEvacuation(const evacuation_order& order) const
      -> evacuation_decision;
  /// Carries out what JudgeEvacuation decides. kUnknown if the order is to be
  /// sent again.
  auto OrderEvacuation(const evacuation_order& order,
                       std::function<void(const change_outcome&)> done) -> void;
  auto RemoveNode(const std::string& name,
                  std::function<void(propose_status)> done) -> void;

  auto settings() const -> const replica_settings& { return settings_; }
  auto node() const -> const replica_node<control_machine>& { return node_; }
  auto machine() const -> const control_machine& { return machine_; }
  /// How far a revision has been propagated; meaningful on the leader only.
  auto PropagationStatusOf(config_revision revision) const
      -> propagation_status;
  auto TimeSinceHeartbeat(const std::string& node) const -> monotonic_ms;
  auto IsLeader() const -> bool { return tracker_.has_value(); }
  auto evidence() const -> const evidence_table& { return evidence_.Total(); }
  /// Formats of the members' and entries' builds, as this replica was told.
  auto formats() const -> const format_census& { return formats_; }
  /// Messages that could not be decoded since the process started.
  auto unreadable_messages() const -> std::uint64_t {
    return server_.unreadable_messages();
  }

 private:
  /// A heartbeat whose response is deferred until there is an update (long
  /// polling).
  struct deferred_heartbeat {
    entry_heartbeat heartbeat;
    rpc_reply reply;
    monotonic_ms deadline = 0;
  };

  /// What this replica remembers of a roll-out while it runs.
  struct seen_rollout {
    std::string target;
    service_rollout_phase phase = service_rollout_phase::kWaiting;  ///< latest
    monotonic_ms since = 0;  ///< when the roll-out was first seen
    /// Servers of other versions that may be used have been listed since.
    bool had_former_servers = false;
  };

  auto HandleRpc(const std::string& body, rpc_reply reply) -> void;
  auto HandleHeartbeat(entry_heartbeat heartbeat, rpc_reply reply) -> void;
  /// Whether the sender relays and has another server list than the current
  /// one.
  auto HasStaleList(const entry_heartbeat& heartbeat) const -> bool;
  /// How long the response to an entry that relays is deferred, in ms.
  auto LoadExchangePeriod() const -> monotonic_ms;
  auto ReportLoads(const entry_heartbeat& heartbeat) -> void;
  /// Of the server list.
  auto Positions() -> const server_positions&;
  /// Loads and paces from the reports of all entries.
  auto FleetLoads() -> const fleet_loads&;
  auto HandleGrant(const grant_request& request, const rpc_reply& reply)
      -> void;
  /// `source` with the cold times that the configuration has limits for.
  auto WithColdTimes(server_source source) -> server_source;
  /// Limits for cold servers by the present document.
  auto ColdLimits() -> const std::vector<service_cold_limit>&;
  /// The limit of the listed server with this ColdKey; nothing if there is
  /// none.
  auto ColdLimitOf(std::uint32_t cold_key) -> std::optional<double>;
  auto HandleJoin(const join_request& request, format_number format,
                  const rpc_reply& reply) -> void;
  /// Raises the fleet's format if the settings allow it and every member and
  /// entry can read it.
  auto RaiseFleetFormat() -> void;
  auto TrackDemand(const entry_heartbeat& heartbeat) -> void;
  auto ReportLimits(const entry_heartbeat& heartbeat) -> void;
  auto RegisterIfNew(const entry_heartbeat& heartbeat) -> void;
  auto HandleCrashes(const entry_heartbeat& heartbeat) -> void;
  /// Quarantines the requests and prompt parts that crash servers.
  auto QuarantineCrashers() -> void;
  auto ProposeLift(const quarantine& item, const std::string& reason) -> void;
  auto Answer(const deferred_heartbeat& due) -> void;
  auto AddLimits(const std::string& node, heartbeat_response& response) -> void;
  /// Adds the entry's helpers if it has others.
  /// Entries with a recent heartbeat.
  auto CountLiveEntries() const -> std::size_t;
  auto AddHelpers(const entry_heartbeat& heartbeat, relay_update& update) const
      -> void;
  auto AddEvidence(const std::string& node, heartbeat_response& response)
      -> void;
  /// Answers the deferred heartbeats that are due, or all of them.
  auto AnswerDeferred(bool all) -> void;
  auto ScheduleTick() -> void;
  auto Tick() -> void;
  auto TrackLeadership() -> void;
  auto EvaluateRollouts() -> void;
  auto EvaluateServiceRollouts() -> void;
  auto EvacuationState(const std::string& zone) const -> evacuation_state;
  /// Versions of the service that have servers which are not leaving.
  auto ServedVersions(const std::string& service) const
      -> std::set<std::string>;
  /// Records when this replica first saw each service's present roll-out.
  auto TrackServiceRollouts() -> void;
  /// Sends join requests while this replica has no leader.
  auto JoinLoop(boost::asio::yield_context yield) -> void;
  /// Null if the name contains no address.
  auto JoinChannel(const std::string& name) -> rpc_channel*;
  auto RequestMembership(const std::string& name,
                         boost::asio::yield_context yield) -> void;
  auto SendEngineOrders() -> void;
  /// Divides the customers' rate limits among the registered entries.
  auto AllocateLimits() -> void;
  auto OrderAuthority() const -> order_authority;
  auto EvaluateVersion(const version_status& status) -> void;
  auto ProposeAutomaticChange(const std::string& change_id,
                              change_action action, const std::string& reason)
      -> void;
  auto ParsedCatalog() -> std::shared_ptr<const catalog>;

  boost::asio::io_context& context_;
  replica_settings settings_;
  system_monotonic_clock clock_;
  control_machine machine_;
  replica_node<control_machine> node_;
  rpc_server server_;
  boost::asio::steady_timer timer_;
  std::optional<propagation_tracker> tracker_;  // Present while leading.
  std::list<deferred_heartbeat> deferred_heartbeats_;
  std::map<std::string, bool> pending_registrations_;
  evidence_collector evidence_;
  std::map<std::string, byte_pacer> evidence_pacers_;  // By entry.
  crash_attribution crashes_;
  demand_tracker demand_;
  order_service orders_;
  const cold_limit_parser parse_cold_limits_;
  std::vector<service_cold_limit> cold_limits_;
  /// Of the document that cold_limits_ was read from.
  std::optional<route_config_version> cold_limits_version_;
  /// By ColdKey, and the number of the list that they were made from.
  std::map<std::uint32_t, double> cold_limit_by_key_;
  std::optional<std::uint64_t> cold_keys_list_;
  cold_grants cold_grants_;
  server_feed feed_;
  version_answers_total answers_;
  monotonic_ms answer_ranks_logged_at_ = 0;
  server_load_total loads_;
  work_share_total work_shares_;
  server_paces paces_;
  server_positions positions_;
  std::optional<fleet_loads> fleet_loads_;
  monotonic_ms fleet_loads_at_ = 0;
  shared_thresholds thresholds_;
  helper_table helpers_;
  /// The present roll-outs, by service.
  std::map<std::string, seen_rollout> seen_rollouts_;
  /// Services with an order of a roll-out that is not decided yet.
  std::set<std::string> services_with_pending_order_;
  /// Zones with an order of an evacuation that is not decided yet.
  std::set<std::string> zones_with_pending_order_;
  /// By replica name.
  std::map<std::string, std::unique_ptr<rpc_channel>> join_channels_;
  monotonic_ms leading_since_ = 0;
  monotonic_ms last_orders_at_ = 0;
  /// Present while leading.
  std::optional<limit_allocator> limit_allocator_;
  server_limit_total server_limits_;
  format_census formats_;
  /// Joining replicas whose build is too old, each logged once.
  std::set<std::string> refused_joins_;
  bool raise_pending_ = false;
  monotonic_ms allocated_at_ = 0;
  guard_options guard_options_;
  service_rollout_limits service_rollout_limits_;
  /// By version: its stage, and its number of requests when the stage began.
  std::map<std::string, std::pair<std::uint32_t, std::uint64_t>>
      requests_at_stage_start_;
  std::shared_ptr<const catalog> parsed_catalog_;
  update_part_source updates_;
  std::optional<std::uint64_t> parsed_document_hash_;
  /// Revision at the last tick; all deferred heartbeats are answered when it
  /// changes.
  config_revision answered_revision_ = 0;
  bool stopped_ = false;
};

}  // namespace lovagedale
