#include "decisions/planner_study.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "lovagedale/engine/planner.h"

namespace lovagedale::benchmark {
namespace {

constexpr std::size_t kServers = 12;
constexpr std::size_t kVersions = 4;
constexpr std::int64_t kMaxLoaded = 2;
constexpr std::int64_t kLoadsAtOnce = 2;
constexpr monotonic_ms kLoadMs = 20'000;
constexpr monotonic_ms kStepMs = 500;
constexpr monotonic_ms kShiftAt = 200'000;
constexpr monotonic_ms kEnd = 500'000;
constexpr double kRequestsPerSecond = 100;

const std::vector<double> kBefore = {0.7, 0.1, 0.1, 0.1};
const std::vector<double> kAfter = {0.1, 0.1, 0.1, 0.7};

auto Fleet() -> catalog {
  catalog config;
  config.max_concurrent_loads = kLoadsAtOnce;
  config.zones = {{"zone", ""}};
  customer buyer;
  for (version_id v = 0; v < kVersions; ++v) {
    model_version version;
    version.name = "model@" + std::to_string(v);
    config.versions.push_back(version);
    buyer.versions.push_back(v);
  }
  config.customers = {buyer};
  for (std::size_t i = 0; i < kServers; ++i) {
    backend_server server;
    server.name = "e" + std::to_string(i);
    server.zone = "zone";
    server.versions = buyer.versions;
    server.max_loaded_versions = kMaxLoaded;
    config.servers.push_back(server);
  }
  config.BuildIndex();
  return config;
}

struct planner_run {
  std::size_t loads_after_shift = 0;
  std::size_t loads_needed = 0;
  monotonic_ms followed_after = kEnd;
  bool lost_a_version = false;
};

/// Runs the planner in virtual time; `knows` gives it the true demand.
auto Run(bool knows, std::uint64_t seed) -> planner_run {
  const auto config = Fleet();
  const fleet_view view;
  std::map<server_id, engine_report> reports;
  for (server_id id = 0; id < kServers; ++id) reports[id] = {};
  std::map<std::pair<server_id, version_id>, monotonic_ms> done_at;
  std::mt19937_64 random(seed);
  demand_tracker tracker;
  std::vector<std::uint64_t> totals(kVersions, 0);
  planner_run run;
  const auto copies = [&](version_id v) {
    return std::count_if(reports.begin(), reports.end(), [&](const auto& item) {
      return item.second.loaded.contains(v);
    });
  };
  const auto wanted =
      static_cast<std::int64_t>(1 + (kServers * kMaxLoaded - kVersions) * 0.7);
  const auto target = std::min<std::int64_t>(wanted, kServers);
  std::int64_t before_shift = 0;
  for (monotonic_ms now = 0; now < kEnd; now += kStepMs) {
    if (now == kShiftAt) before_shift = copies(3);
    const auto& shares = now < kShiftAt ? kBefore : kAfter;
    zone_demand demand;
    for (version_id v = 0; v < kVersions; ++v) {
      const auto mean = kRequestsPerSecond * shares[v] * kStepMs / 1'000.0;
      totals[v] += std::poisson_distribution<std::uint64_t>(mean)(random);
      tracker.Update("entry", "zone", config.versions[v].name, totals[v], now);
      if (knows) demand["zone"][v] = kRequestsPerSecond * shares[v];
    }
    if (!knows) demand = tracker.Demand(config, now);
    for (auto load = done_at.begin(); load != done_at.end();) {
      if (load->second > now) {
        ++load;
        continue;
      }
      auto& report = reports[load->first.first];
      report.loading.erase(load->first.second);
      report.loaded.insert(load->first.second);
      load = done_at.erase(load);
    }
    for (const auto& order : PlanOrders({&config, &view, reports, demand})) {
      auto& report = reports[order.server];
      if (order.action == order_action::kUnload) {
        report.loaded.erase(order.version);
        continue;
      }
      report.loading.insert(order.version);
      done_at[{order.server, order.version}] = now + kLoadMs;
      if (now >= kShiftAt) ++run.loads_after_shift;
    }
    if (now > kShiftAt && run.followed_after == kEnd && copies(3) >= target) {
      run.followed_after = now - kShiftAt;
    }
    for (version_id v = 0; now >= kShiftAt && v < kVersions; ++v) {
      run.lost_a_version |= copies(v) == 0;
    }
  }
  run.loads_needed = static_cast<std::size_t>(target - before_shift);
  return run;
}

}  // namespace

auto RunPlannerStudy(figure_report& report) -> void {
  constexpr std::uint64_t kRuns = 20;
  double followed = 0;
  double loads = 0;
  double informed_loads = 0;
  double shortest = 0;
  double informed_followed = 0;
  bool lost = false;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    const auto ours = Run(/*knows=*/false, seed);
    const auto informed = Run(/*knows=*/true, seed);
    followed += static_cast<double>(ours.followed_after) / kRuns;
    informed_followed += static_cast<double>(informed.followed_after) / kRuns;
    loads += static_cast<double>(ours.loads_after_shift) / kRuns;
    informed_loads += static_cast<double>(informed.loads_after_shift) / kRuns;
    // The weight store serves the needed loads in this many rounds.
    shortest +=
        std::ceil(static_cast<double>(ours.loads_needed) / kLoadsAtOnce) *
        static_cast<double>(kLoadMs) / kRuns;
    lost |= ours.lost_a_version;
  }
  report.AtMost("planner.followed_after_to_weight_store_limit",
                followed / shortest, 2.0,
                std::to_string(followed / 1'000) + " s against " +
                    std::to_string(shortest / 1'000) + " s, informed " +
                    std::to_string(informed_followed / 1'000) + " s");
  report.AtMost("planner.loads_to_informed", loads / informed_loads, 1.2,
                std::to_string(loads) + " loads after the shift");
  report.AtMost("planner.versions_lost", lost ? 1 : 0, 0);
}

}  // namespace lovagedale::benchmark
