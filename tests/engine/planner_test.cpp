#include "lovagedale/engine/planner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace lovagedale::testing {
namespace {

/// `zones` zones of `per_zone` engines that may hold every one of the versions.
auto Fleet(std::size_t zones, std::size_t per_zone, std::size_t versions,
           std::int64_t max_loaded, std::int64_t loads_at_once) -> catalog {
  catalog config;
  config.max_concurrent_loads = loads_at_once;
  customer buyer;
  buyer.name = "carts";
  for (version_id v = 0; v < versions; ++v) {
    model_version version;
    version.name = "model@" + std::to_string(v);
    config.versions.push_back(version);
    buyer.versions.push_back(v);
  }
  config.customers.push_back(buyer);
  for (std::size_t z = 0; z < zones; ++z) {
    config.zones.push_back({"zone-" + std::to_string(z), ""});
    for (std::size_t i = 0; i < per_zone; ++i) {
      backend_server server;
      server.name = "e" + std::to_string(config.servers.size());
      server.zone = config.zones.back().name;
      server.versions = buyer.versions;
      server.max_loaded_versions = max_loaded;
      config.servers.push_back(server);
    }
  }
  config.BuildIndex();
  return config;
}

/// Engines that carry out orders. Loads finish on FinishLoads.
struct fake_engines {
  explicit fake_engines(const catalog& of) : config(of) {
    for (server_id id = 0; id < config.servers.size(); ++id) reports[id] = {};
  }

  auto CarryOut(const engine_order& order) -> void {
    auto& report = reports[order.server];
    if (order.action == order_action::kUnload) {
      report.loaded.erase(order.version);
      return;
    }
    const auto held = report.loaded.size() + report.loading.size();
    if (static_cast<std::int64_t>(held) <
        config.servers[order.server].max_loaded_versions) {
      report.loading.insert(order.version);
    }
  }
  auto FinishLoads() -> void {
    for (auto& [id, report] : reports) {
      report.loaded.insert(report.loading.begin(), report.loading.end());
      report.loading.clear();
    }
  }
  auto LoadedIn(const std::string& zone, version_id version) const
      -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(reports.begin(), reports.end(), [&](const auto& item) {
          return config.servers[item.first].zone == zone &&
                 item.second.loaded.contains(version);
        }));
  }
  auto Loading() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& [id, report] : reports) count += report.loading.size();
    return count;
  }

  const catalog& config;
  std::map<server_id, engine_report> reports;
};

/// Plans and carries out orders until there are none left, in at most 100
/// rounds. Returns the number of orders.
auto Settle(fake_engines& engines, const fleet_view& view,
            const zone_demand& demand) -> std::size_t {
  std::size_t orders = 0;
  for (int round = 0; round < 100; ++round) {
    const auto plan =
        PlanOrders({&engines.config, &view, engines.reports, demand});
    if (plan.empty() && engines.Loading() == 0) return orders;
    for (const auto& order : plan) engines.CarryOut(order);
    orders += plan.size();
    engines.FinishLoads();
  }
  return orders;
}

}  // namespace

TEST_CASE("every version gets a server in every zone, then copies by demand") {
  const auto config = Fleet(2, 4, 3, 2, 2);
  fake_engines engines(config);
  const zone_demand demand = {{"zone-0", {{0, 90}, {1, 10}}}};
  Settle(engines, {}, demand);
  for (const auto* zone : {"zone-0", "zone-1"}) {
    for (version_id v = 0; v < 3; ++v) CHECK(engines.LoadedIn(zone, v) >= 1);
  }
  CHECK(engines.LoadedIn("zone-0", 0) == 4);
}

TEST_CASE("a settled fleet gets no further orders for the same demand") {
  const auto config = Fleet(1, 5, 4, 2, 2);
  fake_engines engines(config);
  const zone_demand demand = {{"zone-0", {{0, 50}, {1, 30}, {2, 15}, {3, 5}}}};
  Settle(engines, {}, demand);
  const fleet_view view;
  CHECK(PlanOrders({&config, &view, engines.reports, demand}).empty());
}

TEST_CASE("a withdrawn version is unloaded and not loaded again") {
  const auto config = Fleet(1, 3, 3, 2, 2);
  fake_engines engines(config);
  Settle(engines, {}, {});
  fleet_view view;
  view.versions = {
      {"model@1", version_phase::kWithdrawn, 0, {}, false, "", ""}};
  Settle(engines, view, {});
  CHECK(engines.LoadedIn("zone-0", 1) == 0);
}

TEST_CASE(
    "no needed version loses its last server in a zone, even if reports and "
    "orders are lost") {
  CHECK(rc::check([](std::uint64_t seed) {
    const auto zones = *rc::gen::inRange<std::size_t>(1, 4);
    const auto per_zone = *rc::gen::inRange<std::size_t>(2, 6);
    const auto versions = *rc::gen::inRange<std::size_t>(1, 4);
    const auto loads = *rc::gen::inRange<std::int64_t>(1, 4);
    const auto config = Fleet(zones, per_zone, versions, 2, loads);
    const fleet_view view;
    fake_engines engines(config);
    Settle(engines, view, {});
    std::mt19937_64 random(seed);
    for (int round = 0; round < 60; ++round) {
      zone_demand demand;
      for (const auto& zone : config.zones) {
        for (version_id v = 0; v < versions; ++v) {
          demand[zone.name][v] = static_cast<double>(random() % 100);
        }
      }
      // A new leader has only the reports. Some may be missing, and orders may
      // be lost or carried out twice.
      auto reports = engines.reports;
      if (random() % 4 == 0) reports.erase(random() % config.servers.size());
      const auto plan = PlanOrders({&config, &view, reports, demand});
      for (const auto& order : plan) {
        if (random() % 5 == 0) continue;
        engines.CarryOut(order);
        if (random() % 5 == 0) engines.CarryOut(order);
      }
      RC_ASSERT(engines.Loading() <= static_cast<std::size_t>(loads) + 1);
      if (random() % 2 == 0) engines.FinishLoads();
      for (const auto& zone : config.zones) {
        for (version_id v = 0; v < versions; ++v) {
          RC_ASSERT(engines.LoadedIn(zone.name, v) >= 1);
        }
      }
    }
  }));
}

TEST_CASE("demand follows the counters, also across a restart of the entry") {
  const auto config = Fleet(1, 1, 1, 1, 1);
  demand_tracker tracker;
  for (monotonic_ms now = 0; now <= 30'000; now += 1'000) {
    tracker.Update("entry", "zone-0", "model@0",
                   static_cast<std::uint64_t>(now / 100), now);
  }
  CHECK(tracker.Demand(config, 30'000).at("zone-0").at(0) ==
        doctest::Approx(10).epsilon(0.05));
  tracker.Update("entry", "zone-0", "model@0", 5, 31'000);
  CHECK(tracker.Demand(config, 31'000).at("zone-0").at(0) ==
        doctest::Approx(10).epsilon(0.05));
  CHECK(tracker.Demand(config, 90'000).empty());
}

}  // namespace lovagedale::testing
