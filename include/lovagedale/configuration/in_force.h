#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/configuration/changes.h"
#include "lovagedale/configuration/fleet_view.h"

namespace lovagedale {

/// Lifetime of an entry's permit, from when the entry sent the heartbeat that
/// requested it.
inline constexpr monotonic_ms kPermitLifetimeMs = 3'000;
/// Extra time after a permit's lifetime before the leader treats it as expired;
/// covers clock drift.
inline constexpr monotonic_ms kPermitMarginMs = 500;

/// How far a revision has been propagated to the registered entries (called
/// nodes here).
struct propagation_status {
  config_revision revision = 0;
  std::size_t nodes = 0;      ///< registered entries
  std::size_t following = 0;  ///< entries at this revision or a later one
  /// Entries without recent heartbeats whose permit has expired; counted only
  /// if the change is permit-gated.
  std::size_t without_permit = 0;
  std::vector<std::string> waiting_for;  ///< entries and control replicas

  auto operator==(const propagation_status&) const -> bool = default;
  auto IsAccepted() const -> bool { return waiting_for.empty(); }
};

/// Tracks on the leader which revision each registered entry follows. Kept in
/// memory only: a new leader rebuilds it from heartbeats.
class propagation_tracker {
 public:
  /// `leader_since`: start of this leader's term. A permit that an earlier
  /// leader granted may stay valid for up to kPermitLifetimeMs after it.
  explicit propagation_tracker(monotonic_ms leader_since)
      : leader_since_(leader_since) {}

  /// Records a heartbeat of an entry that follows `revision`; the entry may
  /// hold a permit from `now` on.
  auto RecordHeartbeat(const std::string& node, std::uint64_t incarnation,
                       config_revision revision, monotonic_ms now) -> void;
  auto Forget(const std::string& node) -> void { nodes_.erase(node); }

  /// `permit_gated` as in change_record: if true, entries whose permit has
  /// expired are not waited for.
  auto StatusOf(config_revision revision, bool permit_gated,
                const std::map<std::string, register_node>& registered,
                monotonic_ms now) const -> propagation_status;
  /// Time in ms since an entry's last heartbeat, or since this leader's start
  /// if that is later.
  auto TimeSinceHeartbeat(const std::string& node, monotonic_ms now) const
      -> monotonic_ms;

 private:
  struct node_state {
    std::uint64_t incarnation = 0;
    config_revision revision = 0;
    monotonic_ms last_heartbeat_at = 0;
  };

  auto HasPermitExpired(const std::string& node, monotonic_ms now) const
      -> bool;

  monotonic_ms leader_since_;
  std::map<std::string, node_state> nodes_;
};

}  // namespace lovagedale
