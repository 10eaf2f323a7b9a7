#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/configuration/changes.h"
#include "lovagedale/configuration/fleet_view.h"

namespace lovagedale {

/// Life of an entry's permit, counted from when the entry asked for it.
inline constexpr monotonic_ms kPermitLifetimeMs = 3'000;
/// After a silent entry's last permit, this much more must pass before its
/// permit counts as ended; covers clock drift.
inline constexpr monotonic_ms kPermitMarginMs = 500;

/// How far a revision has spread.
struct propagation_status {
  config_revision revision = 0;
  std::size_t nodes = 0;
  std::size_t following = 0;
  /// Silent entries whose permit has ended, where the change allows counting
  /// them as safe.
  std::size_t without_permit = 0;
  std::vector<std::string> waiting_for;  ///< entries and control replicas

  auto operator==(const propagation_status&) const -> bool = default;
  auto IsAccepted() const -> bool { return waiting_for.empty(); }
};

/// The leader's record of which revision each registered entry follows. Pure
/// state, kept in memory: a new leader learns it from heartbeats.
class propagation_tracker {
 public:
  /// `leader_since`: permits of an earlier leader may run until then plus
  /// their life.
  explicit propagation_tracker(monotonic_ms leader_since)
      : leader_since_(leader_since) {}

  /// An entry said that it follows `revision`; a permit is given to it.
  auto Heartbeat(const std::string& node, std::uint64_t incarnation,
                 config_revision revision, monotonic_ms now) -> void;
  auto Forget(const std::string& node) -> void { nodes_.erase(node); }

  /// `permit_gated`: entries without a permit act as the change demands.
  auto StatusOf(config_revision revision, bool permit_gated,
                const std::map<std::string, register_node>& registered,
                monotonic_ms now) const -> propagation_status;
  /// Time since an entry was last heard, or since this leader's start.
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
