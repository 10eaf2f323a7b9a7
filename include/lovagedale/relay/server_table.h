#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/admission/rejection_guard.h"
#include "lovagedale/admission/server_limit.h"
#include "lovagedale/common/time.h"
#include "lovagedale/discovery/server_list.h"
#include "lovagedale/relay/server_choice.h"
#include "lovagedale/relay/server_health.h"
#include "lovagedale/relay/server_load.h"
#include "lovagedale/relay/zone_reach.h"

namespace lovagedale {

/// Requests that were offered to a server while it named a limit.
struct limited_requests {
  std::uint64_t passed_first = 0;  ///< it was the first server they asked
  std::uint64_t passed_other = 0;  ///< another server had not taken them
  std::uint64_t held_back = 0;

  auto Count(bool passes, bool is_first) -> void {
    ++(!passes ? held_back : is_first ? passed_first : passed_other);
  }
  auto operator==(const limited_requests&) const -> bool = default;
};

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
  server_limit limit;  ///< that the server names
  limited_requests limited;
  rejection_guard rejections;
  /// Until then it gets no requests: its address may belong to another server.
  /// A request after that shows whether it does, as that server refuses it.
  monotonic_ms misdirects_until_ms = 0;
  /// Models whose requests it has run. A server without models, or a request
  /// that names none, counts as the empty name.
  std::set<std::string> run_models;
  /// An answer of it said that it is shutting down; the list may show it later.
  bool has_announced_leaving = false;
  bool is_evacuated = false;  ///< its zone is
  /// Until then it wants no requests of this entry.
  monotonic_ms paused_until_ms = 0;
  bool is_probed = false;  ///< by a running task of server_prober
  /// Each one cancels an attempt if it can be repeated at another server now;
  /// false if the attempt goes on.
  std::list<std::function<bool()>> attempt_cancellers;

  /// Whether it takes new calls, as far as it is known.
  auto TakesCalls() const -> bool {
    return !listed.leaving && !has_announced_leaving && !is_evacuated;
  }
  /// Whether it gets no requests for a while.
  auto IsPaused(monotonic_ms now) const -> bool {
    return now < paused_until_ms || now < misdirects_until_ms;
  }
  /// Work of the other entries by the last update.
  auto OtherEntriesWork() const -> double {
    return fleet_work - std::min(fleet_work, reported_work);
  }
};

using server_handle = std::shared_ptr<server_record>;

/// What became of the attempts of a lost zone.
struct cancelled_attempts {
  std::size_t cancelled = 0;
  std::size_t kept = 0;  ///< they cannot be repeated now, so they wait on

  auto operator==(const cancelled_attempts&) const -> bool = default;
};

/// The discovered servers by service. Not thread-safe.
class server_table {
 public:
  /// Replaces the servers by those of a list. Keeps the records of those that
  /// stay.
  auto Update(const server_list& list) -> void;
  /// Sets the evacuated zones: their servers, also those that are listed later,
  /// take no calls.
  auto SetEvacuatedZones(std::set<std::string> zones) -> void;
  auto evacuated_zones() const -> const std::set<std::string>& {
    return evacuated_zones_;
  }
  /// Requests of this entry that run at the zone's servers.
  auto RunningIn(const std::string& zone) const -> std::size_t;
  /// Whether evacuations are why no server of the service takes calls.
  auto IsServiceEvacuated(const std::string& service) const -> bool;
  /// Records a connection that was begun at `began_ms` and got no answer; true
  /// if the zone is lost by it. It is no evidence against the zone unless
  /// another zone has answered since: this entry's own link may be congested.
  auto RecordUnreachable(const server_handle& server, monotonic_ms began_ms)
      -> bool;
  /// Records that bytes of a server of the zone arrived; true if the zone was
  /// lost before. All its servers are then marked as reachable.
  auto RecordReceived(const std::string& zone, monotonic_ms now) -> bool;
  /// Like RecordReceived, for an answer to what was sent at `began_ms`.
  auto RecordRoundTrip(const std::string& zone, monotonic_ms began_ms,
                       monotonic_ms now) -> bool;
  /// Marks the zones as lost that have answered nothing since `began_ms`, and
  /// returns those that were not lost before.
  auto LoseSilentZones(monotonic_ms began_ms) -> std::vector<std::string>;
  /// Whether a call may be sent to the server.
  auto IsReachable(const server_record& server) const -> bool {
    return !server.health.IsUnreachable() && !IsZoneLost(server.listed.zone);
  }
  /// Keys of the services with listed servers of which none can be reached,
  /// ascending.
  auto UnreachableServices() const -> std::vector<std::uint32_t>;
  /// Whether any server has answered what was sent at `began_ms` or later.
  auto HasRoundTripSince(monotonic_ms began_ms) const -> bool;
  /// When bytes of the zone last arrived; nothing if none ever did.
  auto LastReceivedMs(const std::string& zone) const
      -> std::optional<monotonic_ms>;
  /// A server of the other zone that was heard from last; null if there is
  /// none.
  auto ServerOfOtherZone(const std::string& zone) const -> server_handle;
  /// Called if a zone has no servers any more.
  auto ForgetZone(const std::string& zone) -> void { zones_.erase(zone); }
  /// Whether the zone appears to be unreachable from this entry.
  auto IsZoneLost(const std::string& zone) const -> bool {
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.IsLost();
  }
  /// Whether a connection to the zone has failed since its last byte arrived.
  auto IsZoneSuspected(const std::string& zone) const -> bool {
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.IsSuspected();
  }
  /// This entry's loads for a report; also stores them as reported_work.
  auto OwnLoads() -> std::vector<server_load>;
  /// Sets each server's fleet_work from the loads of all entries together.
  auto UpdateLoads(const std::vector<server_load>& loads, monotonic_ms now)
      -> void;
  /// What this entry tells next of servers that name a limit.
  auto ServerLimits(monotonic_ms now) -> std::vector<server_limit_report>;
  auto AdoptServerLimits(const std::vector<server_limit_status>& statuses,
                         monotonic_ms now) -> void;
  /// Whether the last update of the loads is recent enough.
  auto AreLoadsFresh(monotonic_ms now) const -> bool {
    return loads_at_ && now - *loads_at_ < kLoadsMaxAgeMs;
  }
  /// Time since the last update of the loads; nothing if there was none.
  auto LoadsAgeMs(monotonic_ms now) const -> std::optional<monotonic_ms> {
    if (!loads_at_) return std::nullopt;
    return now - *loads_at_;
  }
  /// Time between the last two updates of the loads.
  auto loads_period_ms() const -> monotonic_ms { return loads_period_ms_; }
  /// Cancels the attempts at the zone's servers that can be repeated elsewhere.
  auto CancelAttempts(const std::string& zone) -> cancelled_attempts;
  /// Number of the latest server list.
  auto number() const -> std::uint64_t { return number_; }
  auto Servers(const std::string& service) const
      -> const std::vector<server_handle>&;
  auto All() const -> const std::unordered_map<std::string, server_handle>& {
    return by_id_;
  }

 private:
  auto MarkZoneReachable(const std::string& zone) -> void;

  /// Queues at servers change within a second or two.
  static constexpr monotonic_ms kLoadsMaxAgeMs = 1'500;

  std::uint64_t number_ = 0;
  std::optional<monotonic_ms> loads_at_;
  monotonic_ms loads_period_ms_ = 0;
  std::unordered_map<std::string, server_handle> by_id_;
  std::map<std::string, std::vector<server_handle>> by_service_;
  std::map<std::string, zone_reach> zones_;
  std::set<std::string> evacuated_zones_;
  server_limit_turns limit_turns_;
};

}  // namespace lovagedale
