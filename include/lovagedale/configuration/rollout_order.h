#pragma once

#include <set>
#include <string>
#include <vector>

#include "lovagedale/configuration/changes.h"
#include "lovagedale/configuration/fleet_view.h"

namespace lovagedale {

/// The changes that carry out an order of a roll-out, besides the order itself.
/// They are committed together with it.
struct rollout_order_plan {
  std::vector<change_action> before;
  std::vector<change_action> after;
};

/// Plans an order for the present state. `served_versions`: those that have
/// servers which take requests. Uses only changes that older builds apply in
/// the same way, since all replicas must get the same state.
auto PlanRolloutOrder(const begin_service_rollout& order,
                      const fleet_view& view,
                      const std::set<std::string>& served_versions)
    -> rollout_order_plan;

}  // namespace lovagedale
