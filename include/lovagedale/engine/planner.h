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

/// The versions that an engine reports as loaded or loading. Always read from
/// the engine, never derived from the orders sent to it.
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

/// Requests a second, by zone and version.
using zone_demand = std::map<std::string, std::map<version_id, double>>;

/// Input of PlanOrders. Engines without a report get no orders.
struct planner_input {
  const catalog* config = nullptr;
  const fleet_view* view = nullptr;
  std::map<server_id, engine_report> reports;
  zone_demand demand;
};

/// Orders to send now, so that the loaded versions follow the demand. Each
/// version that some customer may use is kept on at least one server of each
/// zone that has engines for it; further copies are placed by demand. A version
/// is unloaded only if no customer may use it or another server of the zone has
/// it loaded. At most `max_concurrent_loads` loads run at a time; those of an
/// engine whose report is missing are not counted. A pure function: after a
/// crash, the next plan starts from the engines' reports.
auto PlanOrders(const planner_input& input) -> std::vector<engine_order>;

/// Computes smoothed request rates from the entries' cumulative counters.
class demand_tracker {
 public:
  /// `total`: requests for a version that the entry has counted since its
  /// start.
  auto Update(const std::string& entry, const std::string& zone,
              const std::string& version, std::uint64_t total, monotonic_ms now)
      -> void;
  /// Rates of the versions of `config`, in requests a second. Entries that no
  /// longer report are left out.
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
