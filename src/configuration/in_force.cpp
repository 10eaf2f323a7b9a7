#include "lovagedale/configuration/in_force.h"

#include <algorithm>

namespace lovagedale {

auto propagation_tracker::RecordHeartbeat(const std::string& node,
                                          std::uint64_t incarnation,
                                          config_revision revision,
                                          monotonic_ms now) -> void {
  auto& state = nodes_[node];
  const bool is_same_process = state.incarnation == incarnation;
  // Heartbeats may arrive out of order, but a process never returns to an
  // earlier revision.
  state.revision =
      is_same_process ? std::max(state.revision, revision) : revision;
  state.incarnation = incarnation;
  state.last_heartbeat_at = std::max(state.last_heartbeat_at, now);
}

auto propagation_tracker::TimeSinceHeartbeat(const std::string& node,
                                             monotonic_ms now) const
    -> monotonic_ms {
  const auto found = nodes_.find(node);
  return now - (found == nodes_.end()
                    ? leader_since_
                    : std::max(found->second.last_heartbeat_at, leader_since_));
}

auto propagation_tracker::HasPermitExpired(const std::string& node,
                                           monotonic_ms now) const -> bool {
  return TimeSinceHeartbeat(node, now) > kPermitLifetimeMs + kPermitMarginMs;
}

auto propagation_tracker::StatusOf(
    config_revision revision, bool permit_gated,
    const std::map<std::string, register_node>& registered,
    monotonic_ms now) const -> propagation_status {
  propagation_status status;
  status.revision = revision;
  status.nodes = registered.size();
  for (const auto& [name, node] : registered) {
    const auto found = nodes_.find(name);
    if (found != nodes_.end() && found->second.revision >= revision) {
      ++status.following;
    } else if (permit_gated && HasPermitExpired(name, now)) {
      ++status.without_permit;
    } else {
      status.waiting_for.push_back(name);
    }
  }
  return status;
}

}  // namespace lovagedale
