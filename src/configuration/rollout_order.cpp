#include "lovagedale/configuration/rollout_order.h"

namespace lovagedale {
namespace {

/// Stands for a version in use if none is known.
constexpr const char* kNoVersion = "none";

/// A version of the service that has servers and may get requests.
auto VersionInUse(const begin_service_rollout& order, const fleet_view& view,
                  const std::set<std::string>& served_versions) -> std::string {
  for (const auto& version : served_versions) {
    if (version != order.target &&
        !IsReverted(view.service_rollouts, order.service, version)) {
      return version;
    }
  }
  return kNoVersion;
}

}  // namespace

auto PlanRolloutOrder(const begin_service_rollout& order,
                      const fleet_view& view,
                      const std::set<std::string>& served_versions)
    -> rollout_order_plan {
  rollout_order_plan plan;
  const auto* latest = view.RolloutOf(order.service);
  if (latest != nullptr && latest->target == order.target &&
      latest->phase == service_rollout_phase::kReverted) {
    // Builds of all formats ignore an order to the latest roll-out's target, so
    // another one comes in between.
    auto in_between = order;
    in_between.target = VersionInUse(order, view, served_versions);
    plan.before.emplace_back(std::move(in_between));
  }
  return plan;
}

}  // namespace lovagedale
