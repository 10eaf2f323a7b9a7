#include "lovagedale/entry/routing_table.h"

#include <algorithm>

#include "lovagedale/cascade/exploration.h"

namespace lovagedale {
namespace {

constexpr std::size_t kMaxSuccessorHops = 16;
/// Cost of a millisecond of latency in an interactive customer's plans, in
/// micros per 1k tokens.
constexpr double kInteractiveMicrosPerMs = 1.0;

auto MakeRoute(const model_version& version, const version_status* status)
    -> version_route {
  version_route route;
  route.needs_permit = version.when_cut_off == cut_off_policy::kRefuse;
  route.successor = version.successor;
  if (status == nullptr) return route;
  route.phase = status->phase;
  route.share = status->Share();
  route.paused = status->paused;
  if (status->phase == version_phase::kRollout) route.needs_permit = true;
  if (!status->successor.empty()) route.successor = status->successor;
  return route;
}

/// The cascade that an operator has fixed, without versions that are not
/// steady.
auto FixedPlan(const routing_table& table, const customer& item) -> named_plan {
  named_plan plan;
  for (const auto& rule : item.cascade) {
    if (table.Route(rule.version).phase != version_phase::kSteady) continue;
    plan.first.push_back({table.config().versions[rule.version].name,
                          SignalBin(rule.accept_signal)});
  }
  plan.second = plan.first;
  return plan;
}

auto NameSteps(const catalog& config, const cascade_plan& plan)
    -> std::vector<named_step> {
  std::vector<named_step> steps;
  for (const auto& step : plan.steps) {
    steps.push_back({config.versions[step.version].name, step.accept_from_bin});
  }
  return steps;
}

}  // namespace

routing_table::routing_table(const fleet_view& view, const std::string& zone,
                             server_registry& registry)
    : view_(view),
      config_(std::make_shared<const catalog>(
          view.document.empty() ? catalog{} : ParseCatalog(view.document))) {
  for (const auto& version : config_->versions) {
    routes_.push_back(MakeRoute(version, view_.StatusOf(version.name)));
  }
  for (const auto& server : config_->servers) {
    states_.push_back(registry.Get(server.name));
  }
  version_groups_.resize(config_->versions.size());
  service_groups_.resize(config_->pools.size());
  const auto add = [&](placement_group& group, server_id id) {
    const auto& server = config_->servers[id];
    auto& list = server.zone == zone ? group.local : group.remote;
    list.push_back({id, server.slots, states_[id].get()});
  };
  for (version_id version = 0; version < version_groups_.size(); ++version) {
    for (const auto id : config_->ServersOf(version)) {
      add(version_groups_[version], id);
    }
  }
  for (pool_id pool = 0; pool < service_groups_.size(); ++pool) {
    for (const auto id : config_->pools[pool].servers) {
      add(service_groups_[pool], id);
    }
  }
  for (const auto& item : view_.quarantines) {
    quarantines_[item.fingerprint] = item;
  }
}

auto routing_table::QuarantineOf(std::uint64_t fingerprint,
                                 std::int64_t wall_ms) const
    -> const quarantine* {
  const auto found = quarantines_.find(fingerprint);
  if (found == quarantines_.end() || found->second.until_ms <= wall_ms) {
    return nullptr;
  }
  return &found->second;
}

auto routing_table::MayRun(version_id version, bool has_permit) const -> bool {
  const auto& route = routes_[version];
  if (route.phase == version_phase::kWithdrawn ||
      route.phase == version_phase::kStaged) {
    return false;
  }
  return has_permit || !route.needs_permit;
}

auto routing_table::ResolveSuccessor(version_id version) const
    -> std::optional<version_id> {
  for (std::size_t i = 0; i < kMaxSuccessorHops; ++i) {
    const auto& route = routes_[version];
    if (route.phase != version_phase::kWithdrawn) return version;
    const auto next = config_->FindVersion(route.successor);
    if (!next) return std::nullopt;
    version = *next;
  }
  return std::nullopt;
}

plan_table::plan_table(std::shared_ptr<const routing_table> table,
                       evidence_table evidence)
    : table_(std::move(table)), evidence_(std::move(evidence)) {}

auto plan_table::ProfilesFor(const customer& item,
                             const std::string& task_class) const
    -> std::vector<version_profile> {
  std::vector<version_profile> versions;
  for (const auto version : item.versions) {
    if (table_->Route(version).phase != version_phase::kSteady) continue;
    const auto& group = table_->ServersOf(version);
    if (group.local.empty() && group.remote.empty()) continue;
    versions.push_back(
        BuildVersionProfile(table_->config(), version, task_class, evidence_));
  }
  return versions;
}

auto plan_table::ClassWeights(const customer& item,
                              const std::string& task_class) const
    -> std::map<std::string, double> {
  // The requested class is included even if it has no evidence yet.
  std::map<std::string, double> weights = {{task_class, 1}};
  for (const auto& [key, counts] : evidence_) {
    const auto version = table_->config().FindVersion(key.version);
    if (!version || !item.AllowsVersion(*version) ||
        key.task_class.find(kEscalationMarker) != std::string::npos) {
      continue;
    }
    weights[key.task_class] += static_cast<double>(counts.requests);
  }
  return weights;
}

auto plan_table::PlanFor(const std::string& customer_name,
                         const std::string& task_class) const -> named_plan {
  const auto& config = table_->config();
  const auto id = config.FindCustomer(customer_name);
  if (!id) return {};
  const auto& item = config.customers[*id];
  if (!item.cascade.empty()) return FixedPlan(*table_, item);
  std::vector<class_profile> classes;
  std::size_t class_index = 0;
  for (const auto& [name, weight] : ClassWeights(item, task_class)) {
    if (name == task_class) class_index = classes.size();
    classes.push_back({weight, ProfilesFor(item, name)});
  }
  planning_options options;
  const bool is_patient = item.patience == patience_class::kPatient;
  if (!is_patient) options.cost_per_ms = kInteractiveMicrosPerMs;
  const auto plans = PlanPortfolio(classes, item.target_quality, options);
  if (plans.empty()) return {};
  const auto& chosen = plans[class_index];
  named_plan result;
  result.first = NameSteps(config, chosen.first);
  result.second = NameSteps(config, chosen.second);
  result.first_share = chosen.first_share;
  result.waits_for_rating = is_patient;
  const auto exploration =
      is_patient ? exploration_options{} : InteractiveExploration();
  const auto& versions = classes[class_index].versions;
  if (config.rating) {
    for (const auto& explored : ExplorationShares(versions, exploration)) {
      result.explored.push_back(
          {config.versions[explored.version].name, explored.share});
    }
  }
  for (const auto& profile : versions) {
    result.rating_fractions[config.versions[profile.version].name] =
        RatingShare(profile, exploration);
  }
  return result;
}

}  // namespace lovagedale
