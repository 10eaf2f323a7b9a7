#include "lovagedale/discovery/server_list.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <map>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr monotonic_ms kMsPerDs = 100;
/// Ends of cold times that differ by less are the same.
constexpr monotonic_ms kColdToleranceMs = 1'500;

}  // namespace

auto IsSameListing(const listed_server& before, const listed_server& after,
                   monotonic_ms now) -> bool {
  const auto before_until = std::max(before.cold_until_ms, now);
  const auto after_until = std::max(after.cold_until_ms, now);
  if (std::abs(before_until - after_until) >= kColdToleranceMs) return false;
  auto compared = before;
  compared.cold_until_ms = after.cold_until_ms;
  return compared == after;
}

auto ColdServers(const std::vector<listed_server>& servers, monotonic_ms now)
    -> std::vector<cold_server> {
  std::vector<cold_server> cold;
  for (const auto& server : servers) {
    if (server.cold_until_ms <= now) continue;
    // Rounded up: a server is rather taken as cold for too long.
    const auto remaining_ds =
        (server.cold_until_ms - now + kMsPerDs - 1) / kMsPerDs;
    cold.push_back(
        {ServerKey(Hash64(server.id)),
         static_cast<std::uint16_t>(std::min<monotonic_ms>(
             remaining_ds, std::numeric_limits<std::uint16_t>::max()))});
  }
  return cold;
}

auto SetColdTimes(std::vector<listed_server>& servers,
                  const std::vector<cold_server>& cold, monotonic_ms now)
    -> void {
  std::map<std::uint32_t, std::uint16_t> remaining_ds;
  for (const auto& item : cold) remaining_ds[item.server] = item.remaining_ds;
  for (auto& server : servers) {
    const auto found = remaining_ds.find(ServerKey(Hash64(server.id)));
    server.cold_until_ms =
        found == remaining_ds.end() ? 0 : now + found->second * kMsPerDs;
  }
}

auto RestrictColdTimes(std::vector<listed_server>& servers,
                       const std::vector<service_cold_limit>& limits,
                       monotonic_ms now) -> void {
  for (auto& server : servers) {
    const auto limit = std::find_if(
        limits.begin(), limits.end(),
        [&](const auto& item) { return item.service == server.service; });
    server.cold_until_ms =
        limit == limits.end()
            ? 0
            : std::min(server.cold_until_ms, now + MaxColdMs(*limit));
  }
}

}  // namespace lovagedale
