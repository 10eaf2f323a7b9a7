#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lovagedale/admission/limit_shares.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/configuration/fleet_view.h"
#include "lovagedale/discovery/server_list.h"
#include "lovagedale/quality/evidence.h"
#include "lovagedale/relay/server_load.h"
#include "lovagedale/replication/messages.h"
#include "lovagedale/rollout/service_rollout.h"

namespace lovagedale {

/// Life of one entry process; drawn at its start.
using process_incarnation = std::uint64_t;

/// A server stopped while it ran these requests.
struct crash_report {
  std::string server;
  std::vector<std::uint64_t> fingerprints;
  std::string report_id;  ///< the same crash reported again counts once

  auto operator==(const crash_report&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(server, fingerprints, report_id);
  }
};

/// What an entry that relays to discovered servers reports.
struct relay_report {
  std::uint64_t server_list_number = 0;  ///< of the server list it follows
  std::uint64_t replicas_hash = 0;       ///< of the names of control's members
  /// Cumulative; of services under roll-out only.
  version_answers_table answers;
  std::vector<server_load> loads;  ///< of its requests under way

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(server_list_number, replicas_hash, answers, loads);
  }
};

/// Identifies a set of control's members; the order of names counts.
inline auto HashReplicas(const std::vector<std::string>& names)
    -> std::uint64_t {
  std::uint64_t hash = 0;
  for (const auto& name : names) hash = MixBits(hash ^ Hash64(name));
  return hash;
}

/// What such an entry is told.
struct relay_update {
  /// From the leader, if the entry follows an older list.
  std::optional<server_list> servers;
  /// Names of control's members, if the entry knows others.
  std::vector<std::string> replicas;
  /// From the leader: of the requests of all entries.
  std::optional<std::vector<server_load>> loads;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(servers, replicas, loads);
  }
};

/// Sent by each entry to each control replica once a second.
struct entry_heartbeat {
  std::string node;
  std::string zone;
  process_incarnation incarnation = 0;
  config_revision revision = 0;  ///< the one the entry follows
  bool leaving = false;          ///< the last one of a planned stop
  /// Cumulative; left out when nothing has changed.
  evidence_table evidence;
  std::vector<crash_report> crashes;
  std::vector<std::uint64_t>
      cleared_fingerprints;          ///< suspects that finished elsewhere
  std::vector<limit_demand> limits;  ///< what has changed, or all
  bool limits_complete = false;      ///< `limits` names all limited customers
  /// Present if the entry relays to discovered servers.
  std::optional<relay_report> relay;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(node, zone, incarnation, revision, leaving, evidence, crashes,
            cleared_fingerprints, limits, limits_complete, relay);
  }
};

struct heartbeat_response {
  bool is_leader = false;
  std::string leader;  ///< name of the leader, if known
  config_revision revision = 0;
  /// Present if the sender follows an older revision.
  std::optional<fleet_view> view;
  /// How long the entry may use versions under roll-out, counted from when it
  /// sent the heartbeat, once it follows `revision`. 0: no permit.
  monotonic_ms permit_ms = 0;
  /// Fleet-wide sums; empty when not due.
  evidence_table evidence;
  std::uint32_t live_entries = 0;        ///< for shares of the rating limit
  std::uint32_t registered_entries = 0;  ///< for equal shares of rate limits
  std::vector<limit_share> shares;       ///< of rate limits; what has changed
  bool needs_limits = false;  ///< the next heartbeat must name all limits
  /// Present if the heartbeat had a relay_report.
  std::optional<relay_update> relay;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(is_leader, leader, revision, view, permit_ms, evidence,
            live_entries, registered_entries, shares, needs_limits, relay);
  }
};

/// A control replica asks to become a member; sent until a leader is heard.
struct join_request {
  std::string name;
  incarnation_id incarnation = 0;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, incarnation);
  }
};

/// Answer to a join_request of a replica that does not lead.
struct join_response {
  std::string leader;  ///< name of the leader, if known

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(leader);
  }
};

using control_request =
    std::variant<replica_envelope, entry_heartbeat, join_request>;

}  // namespace lovagedale
