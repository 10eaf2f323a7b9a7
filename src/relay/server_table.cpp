#include "lovagedale/relay/server_table.h"

#include <algorithm>
#include <set>

#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/forwarding/helper_table.h"

namespace lovagedale {
namespace {

/// A server that has restarted with its old id is a different server. It may be
/// listed without its start, but not as leaving any more.
auto IsSameServer(const listed_server& before, const listed_server& after)
    -> bool {
  const bool takes_calls_again = before.leaving && !after.leaving;
  return before.id == after.id && before.started_at_ms == after.started_at_ms &&
         before.host == after.host && before.port == after.port &&
         before.service == after.service && !takes_calls_again;
}

/// Begins a cold time of the usual length.
auto MarkCold(server_record& server, cold_reason reason, monotonic_ms now)
    -> void {
  auto& cold = server.cold;
  if (cold.limit.per_s <= 0 || cold.limit.start_ms <= 0) return;
  if (!server.IsCold(now)) cold.reason = reason;
  cold.seen_until_ms = std::max(cold.seen_until_ms, now + cold.limit.start_ms);
}

auto ReasonName(cold_reason reason) -> const char* {
  switch (reason) {
    case cold_reason::kListed:
      return "listed";
    case cold_reason::kReachedAgain:
      return "reached_again";
    case cold_reason::kEvacuationWithdrawn:
      return "evacuation_withdrawn";
  }
  return "unknown";
}

}  // namespace

auto server_table::Update(const server_list& list) -> void {
  number_ = list.number;
  std::unordered_map<std::string, server_handle> next;
  by_service_.clear();
  for (const auto& listed : list.servers) {
    const auto existing = by_id_.find(listed.id);
    server_handle record;
    if (existing != by_id_.end() &&
        IsSameServer(existing->second->listed, listed)) {
      record = existing->second;
      record->listed = listed;
    } else {
      record = std::make_shared<server_record>();
      record->listed = listed;
      record->id_hash = Hash64(listed.id);
      // A server that has been replaced under its id shares the limit.
      if (existing != by_id_.end()) record->cold = existing->second->cold;
    }
    ApplyColdLimit(*record);
    record->is_evacuated = evacuated_zones_.contains(listed.zone);
    by_service_[listed.service].push_back(record);
    next.insert_or_assign(listed.id, std::move(record));
  }
  by_id_ = std::move(next);
}

auto server_table::SetEvacuatedZones(std::set<std::string> zones,
                                     monotonic_ms now) -> void {
  evacuated_zones_ = std::move(zones);
  for (const auto& [id, server] : by_id_) {
    const bool was_evacuated = server->is_evacuated;
    server->is_evacuated = evacuated_zones_.contains(server->listed.zone);
    if (was_evacuated && !server->is_evacuated) {
      MarkCold(*server, cold_reason::kEvacuationWithdrawn, now);
    }
  }
}

auto server_table::SetColdLimits(std::vector<service_cold_limit> limits)
    -> void {
  cold_limits_ = std::move(limits);
  for (const auto& [id, server] : by_id_) ApplyColdLimit(*server);
}

auto server_table::ApplyColdLimit(server_record& server) const -> void {
  const auto found = std::find_if(
      cold_limits_.begin(), cold_limits_.end(), [&](const auto& limit) {
        return limit.service == server.listed.service;
      });
  server.cold.limit =
      found == cold_limits_.end() ? service_cold_limit{} : *found;
}

auto server_table::MarkReachable(server_record& server, monotonic_ms now) const
    -> void {
  if (server.health.IsUnreachable()) {
    MarkCold(server, cold_reason::kReachedAgain, now);
  }
  server.health.MarkReachable();
}

auto server_table::LogColdTimes(monotonic_ms now) const -> void {
  for (const auto& [id, server] : by_id_) {
    auto& cold = server->cold;
    const bool is_cold = server->IsCold(now);
    if (is_cold == cold.is_logged) continue;
    cold.is_logged = is_cold;
    if (is_cold) {
      log_line(log_level::kInfo, "server_cold")
          .With("server", id)
          .With("per_second", cold.limit.per_s)
          .With("for_ms", server->ColdUntilMs() - now)
          .With("reason", ReasonName(cold.reason));
    } else {
      log_line(log_level::kInfo, "server_cold_ended")
          .With("server", id)
          .With("granted", cold.requests.granted)
          .With("shared", cold.requests.shared)
          .With("held_back", cold.requests.held_back);
      cold.reason = cold_reason::kListed;
    }
  }
}

auto server_table::RunningIn(const std::string& zone) const -> std::size_t {
  std::size_t running = 0;
  for (const auto& [id, server] : by_id_) {
    if (server->listed.zone == zone) running += server->in_flight;
  }
  return running;
}

auto server_table::IsServiceEvacuated(const std::string& service) const
    -> bool {
  const auto& servers = Servers(service);
  return std::none_of(
             servers.begin(), servers.end(),
             [](const auto& server) { return server->TakesCalls(); }) &&
         std::any_of(servers.begin(), servers.end(), [](const auto& server) {
           return server->is_evacuated && !server->listed.leaving &&
                  !server->has_announced_leaving;
         });
}

auto server_table::RecordUnreachable(const server_handle& server,
                                     monotonic_ms began_ms) -> bool {
  const auto& zone = server->listed.zone;
  const bool has_other_zone_answered =
      std::any_of(zones_.begin(), zones_.end(), [&](const auto& item) {
        return item.first != zone && item.second.HasRoundTripSince(began_ms);
      });
  if (!has_other_zone_answered) return false;
  const auto in_zone =
      std::count_if(by_id_.begin(), by_id_.end(), [&](const auto& item) {
        return item.second->listed.zone == zone && !item.second->listed.leaving;
      });
  return zones_[zone].RecordUnreachable(
      server->listed.id, static_cast<std::size_t>(in_zone), began_ms);
}

auto server_table::LoseSilentZones(monotonic_ms began_ms)
    -> std::vector<std::string> {
  std::set<std::string> zones;
  for (const auto& [id, server] : by_id_) zones.insert(server->listed.zone);
  std::vector<std::string> lost;
  for (const auto& zone : zones) {
    auto& reach = zones_[zone];
    if (!reach.HasRoundTripSince(began_ms) && reach.Lose()) {
      lost.push_back(zone);
    }
  }
  return lost;
}

auto server_table::UnreachableServices() const -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> keys;
  for (const auto& [service, servers] : by_service_) {
    const auto available = [](const auto& server) {
      return server->TakesCalls();
    };
    if (std::none_of(servers.begin(), servers.end(), available)) continue;
    if (std::none_of(servers.begin(), servers.end(), [&](const auto& server) {
          return available(server) && IsReachable(*server);
        })) {
      keys.push_back(ServiceKey(service));
    }
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

auto server_table::RecordReceived(const std::string& zone, monotonic_ms now)
    -> bool {
  if (!zones_[zone].RecordReceived(now)) return false;
  MarkZoneReachable(zone, now);
  return true;
}

auto server_table::RecordRoundTrip(const std::string& zone,
                                   monotonic_ms began_ms, monotonic_ms now)
    -> bool {
  if (!zones_[zone].RecordRoundTrip(began_ms, now)) return false;
  MarkZoneReachable(zone, now);
  return true;
}

auto server_table::MarkZoneReachable(const std::string& zone, monotonic_ms now)
    -> void {
  for (const auto& [id, server] : by_id_) {
    if (server->listed.zone != zone) continue;
    // While the zone was lost none of its servers was reached.
    MarkCold(*server, cold_reason::kReachedAgain, now);
    server->health.MarkReachable();
  }
}

auto server_table::HasRoundTripSince(monotonic_ms began_ms) const -> bool {
  return std::any_of(zones_.begin(), zones_.end(), [&](const auto& item) {
    return item.second.HasRoundTripSince(began_ms);
  });
}

auto server_table::LastReceivedMs(const std::string& zone) const
    -> std::optional<monotonic_ms> {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return std::nullopt;
  return found->second.last_received_ms();
}

auto server_table::ServerOfOtherZone(const std::string& zone) const
    -> server_handle {
  server_handle best;
  std::optional<monotonic_ms> best_received_ms;
  for (const auto& [id, server] : by_id_) {
    const auto& listed = server->listed;
    if (listed.zone == zone || listed.leaving ||
        server->health.IsUnreachable() || IsZoneLost(listed.zone)) {
      continue;
    }
    const auto received_ms = LastReceivedMs(listed.zone);
    if (best && received_ms <= best_received_ms) continue;
    best = server;
    best_received_ms = received_ms;
  }
  return best;
}

auto server_table::OwnLoads(std::size_t max_loads) -> std::vector<server_load> {
  std::vector<server_record*> busy;
  for (const auto& [id, server] : by_id_) {
    server->reported_work = 0;
    if (server->work >= 1) busy.push_back(server.get());
  }
  if (busy.size() > max_loads) {
    const auto end = busy.begin() + static_cast<std::ptrdiff_t>(max_loads);
    std::nth_element(
        busy.begin(), end, busy.end(),
        [](const auto* a, const auto* b) { return a->work > b->work; });
    busy.erase(end, busy.end());
  }
  std::vector<server_load> loads;
  for (auto* server : busy) {
    server->reported_work = static_cast<std::uint32_t>(server->work);
    loads.push_back({ServerKey(server->id_hash), server->reported_work});
  }
  return loads;
}

auto server_table::UpdateLoads(const std::vector<server_load>& loads,
                               monotonic_ms now,
                               const std::vector<server_speed>& paces) -> void {
  std::unordered_map<std::uint32_t, std::pair<std::uint32_t, double>> by_key;
  for (const auto& load : loads) by_key[load.server] = {load.work, 1};
  for (const auto& pace : paces) {
    by_key.try_emplace(pace.server).first->second.second = pace.pace;
  }
  for (const auto& [id, server] : by_id_) {
    const auto found = by_key.find(ServerKey(server->id_hash));
    const bool is_known = found != by_key.end();
    server->fleet_work = is_known ? found->second.first : 0;
    server->pace = is_known ? found->second.second : 1;
  }
  if (loads_at_) loads_period_ms_ = now - *loads_at_;
  loads_at_ = now;
}

auto server_table::RecordPace(const server_record& server, double ratio,
                              monotonic_ms now) -> void {
  unreported_answers_.Add({ServerKey(server.id_hash), ratio}, now);
}

auto server_table::ServerLimits(monotonic_ms now)
    -> std::vector<server_limit_report> {
  std::vector<server_limit_report> reports;
  for (const auto& [id, server] : by_id_) {
    const auto report = server->limit.Report(ServerKey(server->id_hash), now);
    if (report) reports.push_back(*report);
  }
  limit_turns_.Select(reports);
  return reports;
}

auto server_table::AdoptServerLimits(
    const std::vector<server_limit_status>& statuses, monotonic_ms now)
    -> void {
  if (statuses.empty()) return;
  for (const auto& [id, server] : by_id_) {
    for (const auto& status : statuses) {
      if (status.server == ServerKey(server->id_hash)) {
        server->limit.Adopt(status, now);
      }
    }
  }
}

auto server_table::CancelAttempts(const std::string& zone)
    -> cancelled_attempts {
  cancelled_attempts result;
  for (const auto& [id, server] : by_id_) {
    if (server->listed.zone != zone) continue;
    for (const auto& cancel : server->attempt_cancellers) {
      ++(cancel() ? result.cancelled : result.kept);
    }
  }
  return result;
}

auto server_table::Servers(const std::string& service) const
    -> const std::vector<server_handle>& {
  static const std::vector<server_handle> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

}  // namespace lovagedale
