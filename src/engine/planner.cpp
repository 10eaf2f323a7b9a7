#include "lovagedale/engine/planner.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lovagedale {
namespace {

/// Copies are loaded or unloaded for the demand only if their number differs
/// from the wanted one by this fraction of a copy, so that noise in the demand
/// does not cause alternating loads and unloads.
constexpr double kHysteresis = 0.4;
/// Time constant of the exponential smoothing of the demand.
constexpr double kSmoothingMs = 3'000;
/// Rates of entries that have not reported for this time are ignored.
constexpr monotonic_ms kRateExpiryMs = 30'000;

auto IsNeeded(const planner_input& input, version_id version) -> bool {
  const auto& config = *input.config;
  const auto* status = input.view->StatusOf(config.versions[version].name);
  if (status != nullptr && (status->phase == version_phase::kWithdrawn ||
                            status->phase == version_phase::kStaged)) {
    return false;
  }
  return std::any_of(
      config.customers.begin(), config.customers.end(),
      [&](const customer& item) { return item.AllowsVersion(version); });
}

/// The engines of one zone that take orders: the copies of versions that they
/// hold and the numbers of copies wanted.
class zone_plan {
 public:
  zone_plan(const planner_input& input, const std::string& zone)
      : input_(input) {
    for (const auto& [id, report] : input.reports) {
      const auto& server = input.config->servers[id];
      if (server.zone != zone || server.max_loaded_versions == 0) continue;
      servers_[id] = report;
      capacity_ += server.max_loaded_versions;
    }
    const auto found = input.demand.find(zone);
    if (found != input.demand.end()) demand_ = found->second;
    for (version_id v = 0; v < input.config->versions.size(); ++v) {
      if (IsNeeded(input, v) && CanBeHeld(v)) needed_.push_back(v);
    }
    ComputeWantedCopies();
  }

  /// Unloads the versions that no customer may use. Then loads the versions
  /// that lack copies, and unloads spare copies where there is no room.
  /// `remaining_loads` is shared by all zones.
  auto Plan(std::int64_t& remaining_loads, std::vector<engine_order>& orders)
      -> void {
    UnloadUnneeded(orders);
    while (remaining_loads > 0) {
      const auto version = FindMostLacking();
      if (!version) return;
      if (const auto server = FindServerWithRoom(*version)) {
        orders.push_back(
            {*server, order_action::kLoad, *version, Reason(*version)});
        servers_[*server].loading.insert(*version);
        --remaining_loads;
        continue;
      }
      if (!UnloadSpareCopy(*version, orders)) return;
    }
  }

 private:
  /// Whether some engine of the zone is configured for the version.
  auto CanBeHeld(version_id version) const -> bool {
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
      return MayHold(item.first, version);
    });
  }

  auto MayHold(server_id server, version_id version) const -> bool {
    const auto& list = input_.config->servers[server].versions;
    return std::find(list.begin(), list.end(), version) != list.end();
  }

  /// Number of copies loaded or loading.
  auto Copies(version_id version) const -> double {
    double count = 0;
    for (const auto& [id, report] : servers_) {
      if (report.loaded.contains(version) || report.loading.contains(version)) {
        ++count;
      }
    }
    return count;
  }

  auto LoadedCopies(version_id version) const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [&](const auto& item) {
          return item.second.loaded.contains(version);
        }));
  }

  /// One copy of each needed version; the remaining capacity is divided among
  /// them in proportion to their demand.
  auto ComputeWantedCopies() -> void {
    double total = 0;
    for (const auto version : needed_) total += DemandOf(version);
    const auto spare = std::max(0.0, static_cast<double>(capacity_) -
                                         static_cast<double>(needed_.size()));
    for (const auto version : needed_) {
      const auto share = total > 0 ? DemandOf(version) / total : 0;
      wanted_copies_[version] =
          std::min(1 + spare * share, static_cast<double>(servers_.size()));
    }
  }

  auto DemandOf(version_id version) const -> double {
    const auto found = demand_.find(version);
    return found == demand_.end() ? 0 : found->second;
  }

  /// The version that lacks the most copies, if one lacks more than
  /// kHysteresis.
  auto FindMostLacking() const -> std::optional<version_id> {
    std::optional<version_id> best;
    double most = kHysteresis;
    for (const auto version : needed_) {
      const auto copies = Copies(version);
      // A version without a copy takes precedence over all others.
      const auto lack = copies == 0 ? static_cast<double>(capacity_) + 1
                                    : wanted_copies_.at(version) - copies;
      if (lack <= most) continue;
      if (!CanAddCopy(version)) continue;
      most = lack;
      best = version;
    }
    return best;
  }

  auto CanAddCopy(version_id version) const -> bool {
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
      return MayHold(item.first, version) &&
             !item.second.loaded.contains(version) &&
             !item.second.loading.contains(version);
    });
  }

  auto FindServerWithRoom(version_id version) const
      -> std::optional<server_id> {
    std::optional<server_id> best;
    std::int64_t most_free = 0;
    for (const auto& [id, report] : servers_) {
      if (!MayHold(id, version) || report.loaded.contains(version) ||
          report.loading.contains(version)) {
        continue;
      }
      const auto free = input_.config->servers[id].max_loaded_versions -
                        static_cast<std::int64_t>(report.loaded.size() +
                                                  report.loading.size());
      if (free > most_free) {
        most_free = free;
        best = id;
      }
    }
    return best;
  }

  auto UnloadUnneeded(std::vector<engine_order>& orders) -> void {
    for (auto& [id, report] : servers_) {
      const auto loaded = report.loaded;
      for (const auto version : loaded) {
        if (std::find(needed_.begin(), needed_.end(), version) !=
            needed_.end()) {
          continue;
        }
        engine_order order{id, order_action::kUnload, version, {}};
        order.reason.assign("no customer may use it now");
        orders.push_back(std::move(order));
        report.loaded.erase(version);
      }
    }
  }

  /// Unloads the most superfluous copy from a server that may hold `version`;
  /// never a version's last loaded copy. False if there is none to unload.
  auto UnloadSpareCopy(version_id version, std::vector<engine_order>& orders)
      -> bool {
    std::optional<engine_order> best;
    double most_spare = kHysteresis;
    for (const auto& [id, report] : servers_) {
      if (!MayHold(id, version) || report.loaded.contains(version) ||
          report.loading.contains(version)) {
        continue;
      }
      for (const auto held : report.loaded) {
        const auto spare = Copies(held) - wanted_copies_.at(held);
        if (LoadedCopies(held) < 2 || spare < most_spare) continue;
        most_spare = spare;
        std::string reason = "makes room; the zone holds ";
        reason += std::to_string(LoadedCopies(held));
        reason += " copies";
        best = {id, order_action::kUnload, held, std::move(reason)};
      }
    }
    if (!best) return false;
    orders.push_back(*best);
    servers_[best->server].loaded.erase(best->version);
    return true;
  }

  auto Reason(version_id version) const -> std::string {
    return "zone holds " + std::to_string(static_cast<int>(Copies(version))) +
           " copies and wants " + std::to_string(wanted_copies_.at(version));
  }

  const planner_input& input_;
  std::map<server_id, engine_report> servers_;
  std::map<version_id, double> demand_;         // Requests a second.
  std::map<version_id, double> wanted_copies_;  // Copies; may be fractional.
  std::vector<version_id> needed_;
  std::int64_t capacity_ = 0;  // Copies that the engines can hold together.
};

}  // namespace

auto PlanOrders(const planner_input& input) -> std::vector<engine_order> {
  std::vector<engine_order> orders;
  auto remaining_loads = input.config->max_concurrent_loads;
  for (const auto& [id, report] : input.reports) {
    remaining_loads -= static_cast<std::int64_t>(report.loading.size());
  }
  for (const auto& zone : input.config->zones) {
    zone_plan(input, zone.name).Plan(remaining_loads, orders);
  }
  return orders;
}

auto demand_tracker::Update(const std::string& entry, const std::string& zone,
                            const std::string& version, std::uint64_t total,
                            monotonic_ms now) -> void {
  const auto [position, is_new] = counters_.try_emplace({entry, version});
  auto& item = position->second;
  // The counters of a restarted entry start from 0.
  if (is_new || total < item.total) {
    item = {zone, total, now, item.per_s};
    return;
  }
  const auto elapsed = static_cast<double>(now - item.at);
  if (elapsed <= 0) return;
  constexpr double kMsPerSecond = 1'000;
  const auto rate =
      static_cast<double>(total - item.total) * kMsPerSecond / elapsed;
  const auto weight = 1 - std::exp(-elapsed / kSmoothingMs);
  item.per_s += weight * (rate - item.per_s);
  item.total = total;
  item.at = now;
}

auto demand_tracker::Demand(const catalog& config, monotonic_ms now) const
    -> zone_demand {
  zone_demand demand;
  for (const auto& [key, item] : counters_) {
    const auto version = config.FindVersion(key.second);
    if (!version || now - item.at > kRateExpiryMs) continue;
    demand[item.zone][*version] += item.per_s;
  }
  return demand;
}

}  // namespace lovagedale
