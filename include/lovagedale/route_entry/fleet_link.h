#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <map>
#include <memory>
#include <string>

#include "lovagedale/configuration/update_parts.h"
#include "lovagedale/configuration/update_sender_choice.h"
#include "lovagedale/control/messages.h"
#include "lovagedale/discovery/server_feed.h"
#include "lovagedale/relay/relay_state.h"
#include "lovagedale/route_entry/settings.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// Client of the control replicas: receives routes, roll-outs and the list of
/// servers by heartbeats, and reports the answers of servers under roll-out.
class fleet_link {
 public:
  /// `source` reads the list of servers while there is no control leader; may
  /// be empty. `on_routes_changed` is called after new routes are in force.
  fleet_link(boost::asio::io_context& context,
             const route_entry_settings& settings, relay_state& state,
             server_source source, std::function<void()> on_routes_changed);

  auto Start() -> void;
  /// From now on this entry takes no new calls of others.
  auto StopHelping() -> void { is_helping_ = false; }
  /// Notifies the control leader that this entry is leaving.
  auto Leave(boost::asio::yield_context yield) -> void;
  auto HasRecentLeader() const -> bool;
  /// Sends heartbeats to these control replicas too.
  auto AddSeeds(const std::vector<std::string>& seeds) -> void;

 private:
  /// Starts sending heartbeats to a control replica, if not done yet.
  auto AddReplica(const std::string& replica) -> void;
  auto HeartbeatLoop(rpc_channel& channel, boost::asio::yield_context yield)
      -> void;
  auto FallbackListLoop(boost::asio::yield_context yield) -> void;
  /// Heartbeats to followers omit what only the leader uses.
  auto MakeHeartbeat(bool to_leader) -> entry_heartbeat;
  auto OwnReach() const -> reach_report;
  /// The work for the next heartbeat to the leader; empty if it is not due.
  auto DueWork() -> std::vector<service_work>;
  /// The same of the models' confidences.
  auto DueConfidences() -> std::vector<confidence_report>;
  /// Whether the next heartbeat to `replica`, whose last response had
  /// `told_revision`, asks for a newer configuration.
  auto MayAsk(const std::string& replica, config_revision told_revision) const
      -> bool;
  /// Drops the answer counters of services whose roll-out has ended.
  auto ForgetEndedRollouts() -> void;
  /// Sends a heartbeat to a control replica and returns its response.
  auto Exchange(rpc_channel& channel, entry_heartbeat heartbeat,
                boost::asio::yield_context yield) -> heartbeat_response;
  /// Sends the leader a heartbeat at once.
  auto ReportAtOnce() -> void;
  /// Asks the leader; see relay_state::ask_for_grant.
  auto AskForGrant(const server_limit_report& server,
                   boost::asio::yield_context yield)
      -> std::optional<server_grant>;
  /// Applies the routes, control replicas, loads and servers of a response.
  auto Adopt(const heartbeat_response& response, const std::string& replica)
      -> void;
  auto AdoptLoads(const heartbeat_response& response) -> void;
  /// Logs when the choice of servers begins or ceases to use other entries'
  /// loads.
  auto LogLoadsChange() -> void;
  auto AdoptServers(const server_list_update& update,
                    const std::vector<cold_server>& cold) -> void;
  /// Puts the list in force, with the addresses that this host uses.
  auto UseServers(server_list list) -> void;
  auto AdoptPart(const update_part& part, const std::string& replica) -> void;
  /// Applies the evacuated zones of the present configuration to the servers.
  auto AdoptEvacuations() -> void;
  auto AdoptUpdate(const view_update& update, const std::string& replica)
      -> void;

  boost::asio::io_context& context_;
  const route_entry_settings& settings_;
  relay_state& state_;
  server_source source_;
  std::function<void()> on_routes_changed_;
  system_monotonic_clock clock_;
  process_incarnation incarnation_;
  held_view held_;
  update_assembler assembler_;
  update_sender_choice sender_choice_;
  /// Channels are never removed, as fibers use them.
  std::map<std::string, std::unique_ptr<rpc_channel>> replicas_;
  std::string leader_;
  format_number leader_format_ = kFirstFormat;
  monotonic_ms no_grants_until_ms_ = 0;
  /// Answer counters that the replica `answers_reported_to_` has received.
  version_answers_table reported_answers_;
  std::string answers_reported_to_;
  monotonic_ms leader_response_ms_ = 0;
  server_list list_;                 ///< the leader's latest
  server_positions positions_;       ///< of list_
  std::uint64_t replicas_hash_ = 0;  ///< of control's members, as last received
  /// What the replica `reach_reported_to_` has received.
  reach_report reported_reach_;
  std::string reach_reported_to_;
  std::string work_reported_to_;  ///< the replica that had the last report
  monotonic_ms work_reported_ms_ = 0;
  monotonic_ms confidences_reported_ms_ = 0;
  std::uint32_t helpers_hash_ = 0;
  bool are_loads_fresh_ = false;  ///< as logged last
  bool is_helping_ = true;
  bool leaving_ = false;
};

}  // namespace lovagedale
