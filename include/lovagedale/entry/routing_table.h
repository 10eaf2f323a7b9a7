#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/cascade/plan.h"
#include "lovagedale/catalog/catalog.h"
#include "lovagedale/configuration/fleet_view.h"
#include "lovagedale/placement/placement.h"

namespace lovagedale {

/// Routing state of one version.
struct version_route {
  version_phase phase = version_phase::kSteady;
  double share = 1;           ///< fraction of requests, while under roll-out
  bool needs_permit = false;  ///< runs only while control's permit is valid
  bool paused = false;
  std::string successor;  ///< for its sessions after a withdrawal; may be empty
};

/// Immutable snapshot of everything that a traffic thread reads to route a
/// request, at one configuration revision. Built by the control thread.
class routing_table {
 public:
  /// Throws settings_invalid if the view's document is invalid.
  routing_table(const fleet_view& view, const std::string& zone,
                server_registry& registry);

  auto revision() const -> config_revision { return view_.revision; }
  auto config() const -> const catalog& { return *config_; }
  auto view() const -> const fleet_view& { return view_; }
  auto Route(version_id version) const -> const version_route& {
    return routes_[version];
  }
  auto ServersOf(version_id version) const -> const placement_group& {
    return version_groups_[version];
  }
  auto ServersOfService(pool_id pool) const -> const placement_group& {
    return service_groups_[pool];
  }
  auto StateOf(server_id server) const -> server_state& {
    return *states_[server];
  }
  /// The quarantine of a request in force at `wall_ms`, or nullptr.
  auto QuarantineOf(std::uint64_t fingerprint, std::int64_t wall_ms) const
      -> const quarantine*;
  /// Whether a version may receive new work now.
  auto MayRun(version_id version, bool has_permit) const -> bool;
  /// Follows the successors of a withdrawn version to one that is not
  /// withdrawn; nullopt if there is none.
  auto ResolveSuccessor(version_id version) const -> std::optional<version_id>;

 private:
  fleet_view view_;
  std::shared_ptr<const catalog> config_;
  std::vector<version_route> routes_;
  std::vector<placement_group> version_groups_;
  std::vector<placement_group> service_groups_;
  std::vector<std::shared_ptr<server_state>> states_;
  std::unordered_map<std::uint64_t, quarantine> quarantines_;
};

/// A cascade step with its version's name, which stays valid across
/// configuration revisions, unlike its id.
struct named_step {
  std::string version;
  std::uint8_t accept_from_bin = 0;

  auto operator==(const named_step&) const -> bool = default;
};

struct named_exploration {
  std::string version;
  double share = 0;

  auto operator==(const named_exploration&) const -> bool = default;
};

/// A customer's plans for one task class.
struct named_plan {
  std::vector<named_step> first;
  std::vector<named_step> second;
  double first_share = 1;  ///< fraction of requests that run `first`
  /// Versions with little evidence and the fraction of requests that try each;
  /// if the answer is not good, the last step of `first` runs.
  std::vector<named_exploration> explored;
  bool waits_for_rating = false;  ///< before an explored answer is used
  /// Fraction of each version's answers to rate, unless explored.
  std::map<std::string, double> rating_fractions;

  auto operator==(const named_plan&) const -> bool = default;
  auto Pick(double draw) const -> const std::vector<named_step>& {
    return draw < first_share ? first : second;
  }
};

/// Computes plans by customer and task class from one routing table and the
/// fleet's evidence. Immutable; plans are computed on demand, since task
/// classes are not known in advance.
class plan_table {
 public:
  plan_table(std::shared_ptr<const routing_table> table,
             evidence_table evidence);

  /// Plan for a customer's requests of a class over its steady versions; no
  /// steps if there is none.
  auto PlanFor(const std::string& customer_name,
               const std::string& task_class) const -> named_plan;

 private:
  /// Profiles of the customer's steady versions that have servers.
  auto ProfilesFor(const customer& item, const std::string& task_class) const
      -> std::vector<version_profile>;
  /// Task classes to plan for, weighted by their number of requests.
  auto ClassWeights(const customer& item, const std::string& task_class) const
      -> std::map<std::string, double>;

  std::shared_ptr<const routing_table> table_;
  evidence_table evidence_;
};

}  // namespace lovagedale
