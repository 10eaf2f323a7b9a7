#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>
#include <string>
#include <vector>

#include "lovagedale/configuration/update_parts.h"
#include "lovagedale/configuration/update_sender_choice.h"
#include "lovagedale/control/messages.h"
#include "lovagedale/entry/entry_state.h"
#include "lovagedale/rpc/channel.h"
#include "lovagedale/rpc/server.h"

namespace lovagedale {

/// Asks another entry for the configuration it has applied; the response is its
/// fleet_view.
struct view_request {
  std::string from;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(from);
  }
};

/// An entry's control thread: receives the configuration, renews the permit,
/// reports evidence and crashes, and polls the load of the backend servers.
class control_link {
 public:
  control_link(boost::asio::io_context& context, entry_state& state,
               process_incarnation incarnation);

  auto Start() -> void;
  /// Notifies control that this entry is leaving the fleet.
  auto Leave(boost::asio::yield_context yield) -> void;
  auto ReportCrash(const crash_report& report) -> void;
  /// Reports that a suspect request ran without a crash.
  auto ReportCleared(std::uint64_t fingerprint) -> void;

 private:
  auto HeartbeatLoop(rpc_channel& channel, boost::asio::yield_context yield)
      -> void;
  auto FetchPeerView(rpc_channel& channel, boost::asio::yield_context yield)
      -> void;
  /// Whether the next heartbeat to `replica`, whose last response had
  /// `told_revision`, asks for a newer configuration.
  auto MayAsk(const std::string& replica, config_revision told_revision) const
      -> bool;
  auto MakeHeartbeat(bool with_evidence) -> entry_heartbeat;
  auto AddLimits(entry_heartbeat& heartbeat) -> void;
  auto ApplyLimits(const heartbeat_response& response, monotonic_ms sent_at)
      -> void;
  auto HandleResponse(const heartbeat_response& response, monotonic_ms sent_at)
      -> void;
  /// What this entry tells next of servers that name a limit.
  auto ServerLimits(const routing_table& table, monotonic_ms now)
      -> std::vector<server_limit_report>;
  auto AdoptServerLimits(const std::vector<server_limit_status>& statuses)
      -> void;
  auto ApplyPart(const update_part& part) -> void;
  auto ApplyUpdate(const view_update& update) -> void;
  auto ApplyView(const fleet_view& view) -> void;
  auto PublishPlans() -> void;
  /// Stops using versions under roll-out that the evidence known to this entry
  /// shows to be bad, without waiting for control.
  auto GuardRollouts() -> void;
  /// Sends a heartbeat immediately, not at the next period, and repeats it
  /// until the leader has received it or many attempts have failed.
  auto SendUrgent(entry_heartbeat heartbeat) -> void;
  /// Notifies the ledgers that this entry may still have bills to store.
  auto PresenceLoop(boost::asio::yield_context yield) -> void;
  auto EvidenceLoop(boost::asio::yield_context yield) -> void;
  /// Polls the platform's list of hosts for those that are leaving.
  auto HostListLoop(boost::asio::yield_context yield) -> void;
  auto LoadLoop(boost::asio::yield_context yield) -> void;
  auto PollLoad(const backend_server& server, server_state& state,
                boost::asio::yield_context yield) -> void;

  boost::asio::io_context& context_;
  entry_state& state_;
  process_incarnation incarnation_;
  system_monotonic_clock clock_;
  server_registry registry_;
  rpc_server server_;
  std::vector<std::unique_ptr<rpc_channel>> control_;
  std::vector<std::unique_ptr<rpc_channel>> peers_;
  std::vector<std::unique_ptr<rpc_channel>> ledgers_;
  std::string leader_;  // Name of control's leader; empty if unknown.
  /// Whether the next heartbeat must list all of this entry's demands on
  /// customer limits, not only those that changed.
  bool leader_needs_all_limits_ = true;
  held_view held_;
  update_assembler assembler_;
  server_limit_turns limit_turns_;
  update_sender_choice sender_choice_;
  evidence_table own_evidence_;
  evidence_table fleet_evidence_;
  evidence_table planned_evidence_;  // What the published plans are based on.
  byte_pacer evidence_pacer_;
  evidence_table unreported_;  // Rows that changed since they were sent.
  bool leaving_ = false;
};

}  // namespace lovagedale
