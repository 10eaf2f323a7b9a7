#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lovagedale/admission/limit_shares.h"
#include "lovagedale/admission/server_limit.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/common/format.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/configuration/update_parts.h"
#include "lovagedale/discovery/list_changes.h"
#include "lovagedale/forwarding/helper_table.h"
#include "lovagedale/health/crash_attribution.h"
#include "lovagedale/quality/evidence.h"
#include "lovagedale/relay/fleet_loads.h"
#include "lovagedale/relay/server_groups.h"
#include "lovagedale/relay/server_load.h"
#include "lovagedale/replication/messages.h"
#include "lovagedale/rollout/service_rollout.h"
#include "lovagedale/scheduling/shared_thresholds.h"

namespace lovagedale {

/// Identifies one run of an entry process; random, chosen when it starts.
using process_incarnation = std::uint64_t;

/// Part of the heartbeat of an entry that relays to discovered servers.
struct relay_report {
  std::uint64_t server_list_number = 0;  ///< of the server list it follows
  std::uint64_t replicas_hash = 0;       ///< of the names of control's members
  /// Cumulative answer counts, only of services under roll-out, and only those
  /// that changed since the leader received them.
  version_answers_table answers;
  /// From its requests in progress. Empty if the leader reads
  /// entry_heartbeat::loads.
  std::vector<server_load> loads;
  /// Sent to the leader if it has another report.
  std::optional<reach_report> reach;
  /// Of the helpers that the entry has; see HashHelpers.
  std::uint32_t helpers_hash = 0;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(server_list_number, replicas_hash, answers, loads, reach,
            helpers_hash);
  }
};

/// Hash that identifies a list of control's members; depends on the order.
inline auto HashReplicas(const std::vector<std::string>& names)
    -> std::uint64_t {
  std::uint64_t hash = 0;
  for (const auto& name : names) hash = MixBits(hash ^ Hash64(name));
  return hash;
}

/// Part of the heartbeat response to an entry that sent a relay_report.
struct relay_update {
  /// Sent by the leader if the entry has another server list.
  std::optional<server_list_update> servers;
  /// Names of control's members; sent if the entry has another list.
  std::vector<std::string> replicas;
  /// Sent by the leader: loads from the requests of all entries, of the
  /// busiest servers. Missing if the entry reads heartbeat_response::loads.
  std::optional<std::vector<server_load>> loads;
  /// Sent by the leader: keys whose answered requests the entry is to report.
  std::vector<crash_key> suspects;
  /// Sent by the leader if the entry has others: addresses of entries that take
  /// its calls while it reaches no server.
  std::optional<std::vector<std::string>> helpers;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(servers, replicas, loads, suspects, helpers);
  }
};

/// Part of a heartbeat: the demand for limited rates. To a follower only while
/// no leader is known, and then without `customers`.
struct limits_report {
  std::vector<limit_demand> customers;  ///< changed demands, or all of them
  bool has_all_customers = false;
  std::vector<server_limit_report> servers;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(customers, has_all_customers, servers);
  }
};

/// Part of the response to a heartbeat that had a limits_report. A follower's
/// has only `servers`.
struct limits_update {
  std::vector<limit_share> shares;   ///< changed shares of customers' limits
  bool needs_all_customers = false;  ///< in the next report
  std::vector<server_limit_status> servers;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(shares, needs_all_customers, servers);
  }
};

/// Sent by each entry to each control replica once a second.
struct entry_heartbeat {
  std::string node;
  std::string zone;
  process_incarnation incarnation = 0;
  config_revision revision = 0;  ///< configuration that the entry follows
  /// Present if the entry asks this replica for a newer one. An entry asks one
  /// replica at a time (see update_sender_choice).
  std::optional<update_request> wanted_update;
  bool leaving = false;  ///< last heartbeat before a planned stop
  /// Cumulative counts; empty if nothing has changed.
  evidence_table evidence;
  std::vector<crash_report> crashes;
  /// Crash suspects that requests answered since then had.
  std::vector<crash_key> cleared_suspects;
  std::optional<limits_report> limits;
  /// Present if the entry relays to discovered servers.
  std::optional<relay_report> relay;
  /// To a leader that reads kFleetLoadsFormat: of the servers of the list
  /// `relay->server_list_number`.
  std::optional<entry_loads> loads;
  /// To the leader, every kWorkReportPeriodMs: work of prompts that the entry
  /// has sent recently.
  std::vector<service_work> work;
  /// To the leader, every kConfidenceReportPeriodMs.
  std::vector<confidence_report> confidences;

  static constexpr std::uint16_t kLoadsField = 1;
  static constexpr std::uint16_t kWorkField = 2;
  static constexpr std::uint16_t kConfidencesField = 3;

  auto AddedFields() const -> added_fields {
    added_fields fields;
    if (loads) fields.emplace(kLoadsField, EncodeFixed(*loads));
    if (!work.empty()) fields.emplace(kWorkField, EncodeFixed(work));
    if (!confidences.empty()) {
      fields.emplace(kConfidencesField, EncodeFixed(confidences));
    }
    return fields;
  }
  auto SetAddedFields(const added_fields& fields) -> void {
    if (const auto found = fields.find(kLoadsField); found != fields.end()) {
      loads = DecodeFixed<entry_loads>(found->second);
    }
    if (const auto found = fields.find(kWorkField); found != fields.end()) {
      work = DecodeFixed<std::vector<service_work>>(found->second);
    }
    if (const auto found = fields.find(kConfidencesField);
        found != fields.end()) {
      confidences = DecodeFixed<std::vector<confidence_report>>(found->second);
    }
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(node, zone, incarnation, revision, wanted_update, leaving, evidence,
            crashes, cleared_suspects, limits, relay);
  }
};

/// Oldest format of heartbeat_response::alternatives.
inline constexpr format_number kAlternativesFormat = 5;

struct heartbeat_response {
  bool is_leader = false;
  std::string leader;            ///< name of the leader, if known
  config_revision revision = 0;  ///< of the replica's configuration
  /// Sent if the entry follows an older revision and asks.
  std::optional<update_part> update_bytes;
  /// Permit: how long the entry may use versions that need one (under roll-out,
  /// or cut_off_policy::kRefuse), from when it sent the heartbeat, provided
  /// that it follows `revision`. 0: no permit.
  monotonic_ms permit_ms = 0;
  /// Fleet-wide sums; empty if they are not due yet (see byte_pacer).
  evidence_table evidence;
  std::uint32_t live_entries = 0;        ///< these share the rating limit
  std::uint32_t registered_entries = 0;  ///< these share the rate limits
  std::optional<limits_update> limits;
  /// Present if the heartbeat had a relay_report.
  std::optional<relay_update> relay;
  /// Those of the servers in `relay->servers` that are cold; the others are
  /// not.
  std::vector<cold_server> cold_servers;
  /// Sent by the leader to an entry that reads kFleetLoadsFormat.
  std::optional<fleet_loads> loads;
  /// Sent by the leader if the heartbeat had `work`: the fleet's shares.
  std::vector<heavy_work_share> heavy_shares;
  /// Sent by the leader if the heartbeat had `confidences`.
  std::vector<fleet_threshold> thresholds;
  /// Sent by the leader: of quarantined keys whose crashes it knows; see
  /// crash_attribution::Alternatives.
  std::vector<quarantine_alternatives> alternatives;

  auto AddedFields() const -> added_fields {
    added_fields fields;
    if (!cold_servers.empty()) {
      fields.emplace(kColdServersField, EncodeFixed(cold_servers));
    }
    if (loads) fields.emplace(kLoadsField, EncodeFixed(*loads));
    if (!heavy_shares.empty()) {
      fields.emplace(kHeavySharesField, EncodeFixed(heavy_shares));
    }
    if (!thresholds.empty()) {
      fields.emplace(kThresholdsField, EncodeFixed(thresholds));
    }
    if (!alternatives.empty()) {
      fields.emplace(kAlternativesField, EncodeFixed(alternatives));
    }
    return fields;
  }
  auto SetAddedFields(const added_fields& fields) -> void {
    if (const auto found = fields.find(kColdServersField);
        found != fields.end()) {
      cold_servers = DecodeFixed<std::vector<cold_server>>(found->second);
    }
    if (const auto found = fields.find(kLoadsField); found != fields.end()) {
      loads = DecodeFixed<fleet_loads>(found->second);
    }
    if (const auto found = fields.find(kHeavySharesField);
        found != fields.end()) {
      heavy_shares = DecodeFixed<std::vector<heavy_work_share>>(found->second);
    }
    if (const auto found = fields.find(kThresholdsField);
        found != fields.end()) {
      thresholds = DecodeFixed<std::vector<fleet_threshold>>(found->second);
    }
    if (const auto found = fields.find(kAlternativesField);
        found != fields.end()) {
      alternatives =
          DecodeFixed<std::vector<quarantine_alternatives>>(found->second);
    }
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(is_leader, leader, revision, update_bytes, permit_ms, evidence,
            live_entries, registered_entries, limits, relay);
  }

 private:
  static constexpr std::uint16_t kColdServersField = 1;
  static constexpr std::uint16_t kLoadsField = 2;
  static constexpr std::uint16_t kHeavySharesField = 3;
  static constexpr std::uint16_t kThresholdsField = 4;
  static constexpr std::uint16_t kAlternativesField = 5;
};

/// A control replica's request to become a member; repeated until a leader
/// contacts it.
struct join_request {
  std::string name;
  incarnation_id incarnation = 0;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, incarnation);
  }
};

/// Response to a join_request; a replica that is not the leader refers the
/// sender to the leader.
struct join_response {
  std::string leader;  ///< name of the leader, if known

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(leader);
  }
};

/// Oldest format of control replicas that know grant_request.
inline constexpr format_number kGrantFormat = 3;

/// An entry's request to send one request to a server that has a limit.
struct grant_request {
  std::string node;
  server_limit_report server;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(node, server);
  }
};

struct grant_response {
  std::optional<server_grant> grant;  ///< nothing from a replica without lease

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(grant);
  }
};

/// Later formats add alternatives at the end.
using control_request = std::variant<replica_envelope, entry_heartbeat,
                                     join_request, grant_request>;

}  // namespace lovagedale
