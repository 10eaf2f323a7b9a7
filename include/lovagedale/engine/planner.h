#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/common/time.h"
#include "lovagedale/configuration/fleet_view.h"

namespace lovagedale {

/// What an engine reports of itself; read back, never assumed.
struct engine_report {
  std::set<version_id> loaded;
  std::set<version_id> loading;

  auto operator==(const engine_report&) const -> bool = default;
};

enum class order_action : std::uint8_t { kLoad, kUnload };

/// An order to one engine.
struct engine_order {
  server_id server = 0;
  order_action action = order_action::kLoad;
  version_id version = 0;
  std::string reason;

  auto operator==(const engine_order&) const -> bool = default;
};

/// Requests a second by zone and version.
using zone_demand = std::map<std::string, std::map<version_id, double>>;

/// Everything that a plan depends on. Engines without a report are left alone.
struct planner_input {
  const catalog* config = nullptr;
  const fleet_view* view = nullptr;
  std::map<server_id, engine_report> reports;
  zone_demand demand;
};

/// Orders to give now, so that the versions held follow the demand: each
/// version that some customer may use is held by a server of each zone that
/// has engines for it, and further copies go where the demand is. A version is
/// unloaded only where it is not needed or its zone holds it elsewhere. At most
/// `max_concurrent_loads` loads run. Pure and without memory: after a crash the
/// next plan goes on from what the engines report.
auto PlanOrders(const planner_input& input) -> std::vector<engine_order>;

/// Smoothed rates from counters that only grow.
class demand_tracker {
 public:
  /// `total`: all requests of a version so far, as one entry counts them.
  auto Update(const std::string& entry, const std::string& zone,
              const std::string& version, std::uint64_t total, monotonic_ms now)
      -> void;
  /// Requests a second by zone, for the versions of `config`.
  auto Demand(const catalog& config, monotonic_ms now) const -> zone_demand;

 private:
  struct counter {
    std::string zone;
    std::uint64_t total = 0;
    monotonic_ms at = 0;
    double per_s = 0;
  };
  std::map<std::pair<std::string, std::string>, counter> counters_;
};

}  // namespace lovagedale
