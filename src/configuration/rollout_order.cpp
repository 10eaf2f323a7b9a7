#include "lovagedale/configuration/rollout_order.h"

#include <algorithm>

namespace lovagedale {
namespace {

/// Stands for a version in use if none is known.
constexpr const char* kNoVersion = "none";

}  // namespace

auto PlanRolloutOrder(const begin_service_rollout& order,
                      const fleet_view& view,
                      const std::set<std::string>& served_versions)
    -> rollout_order_plan {
  using phase = service_rollout_phase;
  rollout_order_plan plan;
  const auto* latest = view.RolloutOf(order.service);
  const bool is_same = latest != nullptr && latest->target == order.target;
  if (is_same && latest->phase != phase::kReverted) return plan;
  // The latest roll-out's target goes out of use, unless nothing else is
  // served.
  const bool replaces =
      latest != nullptr && !is_same && latest->IsRunning() &&
      !IsVersionInUse(*latest) &&
      served_versions != std::set<std::string>{latest->target};
  // Versions that may get requests, besides the target.
  std::set<std::string> former_versions;
  for (const auto& version : served_versions) {
    const bool is_replaced = replaces && version == latest->target;
    if (version != order.target && !is_replaced &&
        !IsReverted(view.service_rollouts, order.service, version)) {
      former_versions.insert(version);
    }
  }
  if (replaces) {
    plan.before.emplace_back(
        move_service_rollout{order.service, latest->target, phase::kReverted, 0,
                             "replaced by an order of " + order.target});
  } else if (is_same) {
    // Builds of all formats ignore an order to the latest roll-out's target, so
    // another one comes in between.
    auto in_between = order;
    in_between.target =
        former_versions.empty() ? kNoVersion : *former_versions.begin();
    plan.before.emplace_back(std::move(in_between));
  }
  if (former_versions.empty() && served_versions.contains(order.target)) {
    plan.after.emplace_back(move_service_rollout{
        order.service, order.target, phase::kAllSessions, 0, kVersionInUse});
  }
  return plan;
}

}  // namespace lovagedale
