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

/// A discovered server and its state at this entry. Requests in flight keep the
/// record alive after the server has left the list.
struct server_record {
  listed_server listed;
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;
  double work = 0;  ///< see server_candidate
  /// Work of all entries by the last update, and of this entry in its last
  /// report.
  std::uint32_t fleet_work = 0;
  std::uint32_t reported_work = 0;
  server_health health;
  bool address_reassigned = false;  ///< another server has the address now
  bool is_probed = false;           ///< by a running task of server_prober
  /// Each one cancels an attempt that can be repeated at another server.
  std::list<std::function<void()>> attempt_cancellers;

  /// Work of the other entries by the last update.
  auto OtherEntriesWork() const -> double {
    return fleet_work - std::min(fleet_work, reported_work);
  }
};

using server_handle = std::shared_ptr<server_record>;

/// The discovered servers by service. Not thread-safe.
class server_table {
 public:
  /// Replaces the servers by those of a list. Keeps the records of those that
  /// stay.
  auto Update(const server_list& list) -> void;
  /// Records a failed connection; true if the zone is lost by it.
  auto RecordUnreachable(const server_handle& server) -> bool;
  /// Records a connection to a server of the zone; true if the zone was lost
  /// before. All its servers are then marked as reachable.
  auto RecordReached(const std::string& zone) -> bool;
  /// Whether the zone appears to be unreachable from this entry.
  auto IsZoneLost(const std::string& zone) const -> bool {
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.IsLost();
  }
  /// Whether a connection to the zone has failed since the last successful one.
  auto IsZoneSuspected(const std::string& zone) const -> bool {
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.IsSuspected();
  }
  /// This entry's loads for a report; also stores them as reported_work.
  auto OwnLoads() -> std::vector<server_load>;
  /// Sets each server's fleet_work from the loads of all entries together.
  auto UpdateLoads(const std::vector<server_load>& loads, monotonic_ms now)
      -> void;
  /// Whether the last update of the loads is recent enough.
  auto AreLoadsFresh(monotonic_ms now) const -> bool {
    return loads_at_ && now - *loads_at_ < kLoadsMaxAgeMs;
  }
  /// Time between the last two updates of the loads.
  auto loads_period_ms() const -> monotonic_ms { return loads_period_ms_; }
  /// Cancels the attempts at the zone's servers that can be repeated elsewhere.
  auto CancelAttempts(const std::string& zone) -> void;
  /// Number of the latest server list.
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
