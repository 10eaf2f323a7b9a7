#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/discovery/server_list.h"
#include "lovagedale/relay/server_choice.h"
#include "lovagedale/relay/server_health.h"
#include "lovagedale/relay/server_load.h"
#include "lovagedale/relay/zone_reach.h"

namespace lovagedale {

/// A discovered server and what this entry knows of it. Requests under way
/// keep their record alive after the server has left the list.
struct server_record {
  listed_server listed;
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;
  double work = 0;  ///< see server_candidate
  /// Work of all entries when they last told, and of this one when it did.
  std::uint32_t fleet_work = 0;
  std::uint32_t reported_work = 0;
  server_health health;
  bool address_reassigned =
      false;               ///< its address belongs to another server by now
  bool is_probed = false;  ///< see server_prober
  /// Ends attempts under way that can go on at another server.
  std::list<std::function<void()>> attempt_cancellers;

  /// Work of the other entries when they last told.
  auto OtherEntriesWork() const -> double {
    return fleet_work - std::min(fleet_work, reported_work);
  }
};

using server_handle = std::shared_ptr<server_record>;

/// The discovered servers by service. One thread only.
class server_table {
 public:
  /// Takes the servers of a list; what is known of those that stay is kept.
  auto Update(const server_list& list) -> void;
  /// The server could not be reached; true if its zone is lost by this.
  auto RecordUnreachable(const server_handle& server) -> bool;
  /// A server of the zone was reached; true if the zone was lost before. Its
  /// servers may all be tried again.
  auto RecordReached(const std::string& zone) -> bool;
  /// Whether the zone is cut off from here, as far as can be told.
  auto IsZoneLost(const std::string& zone) const -> bool {
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.IsLost();
  }
  /// Whether a server of the zone could not be reached since the last contact.
  auto IsZoneSuspected(const std::string& zone) const -> bool {
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.IsSuspected();
  }
  /// What this entry's prompts have left to do, as it is reported now.
  auto OwnLoads() -> std::vector<server_load>;
  /// Takes what the prompts of all entries have left to do.
  auto UpdateLoads(const std::vector<server_load>& loads, monotonic_ms now)
      -> void;
  /// Whether the loads of all entries are known of late.
  auto AreLoadsFresh(monotonic_ms now) const -> bool {
    return loads_at_ && now - *loads_at_ < kLoadsMaxAgeMs;
  }
  /// Time between the last two reports.
  auto loads_period_ms() const -> monotonic_ms { return loads_period_ms_; }
  /// Ends the attempts at the zone's servers that can go on elsewhere.
  auto CancelAttempts(const std::string& zone) -> void;
  auto number() const -> std::uint64_t { return number_; }
  auto Servers(const std::string& service) const
      -> const std::vector<server_handle>&;
  auto All() const -> const std::unordered_map<std::string, server_handle>& {
    return by_id_;
  }

 private:
  /// Queues at servers change within a second or two.
  static constexpr monotonic_ms kLoadsMaxAgeMs = 1'500;

  std::uint64_t number_ = 0;
  std::optional<monotonic_ms> loads_at_;
  monotonic_ms loads_period_ms_ = 0;
  std::unordered_map<std::string, server_handle> by_id_;
  std::map<std::string, std::vector<server_handle>> by_service_;
  std::map<std::string, zone_reach> zones_;
};

}  // namespace lovagedale
