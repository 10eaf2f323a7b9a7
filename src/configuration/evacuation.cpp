#include "lovagedale/configuration/evacuation.h"

#include <string_view>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr std::string_view kReasonPrefix = "evacuation of zone ";
/// Only a withdrawal ends an evacuation: a hundred years.
constexpr std::int64_t kDurationMs = 100LL * 365 * 24 * 60 * 60 * 1'000;

auto ZoneFingerprint(const std::string& zone) -> std::uint64_t {
  return Hash64(std::string(kReasonPrefix) + zone);
}

}  // namespace

auto EvacuateZone(const std::string& zone) -> set_quarantine {
  return {ZoneFingerprint(zone), kDurationMs,
          std::string(kReasonPrefix) + zone};
}

auto WithdrawEvacuation(const std::string& zone) -> lift_quarantine {
  return {ZoneFingerprint(zone)};
}

auto EvacuatedZone(const quarantine& item) -> std::optional<std::string> {
  if (!item.reason.starts_with(kReasonPrefix)) return std::nullopt;
  auto zone = item.reason.substr(kReasonPrefix.size());
  // The reason of another quarantine may begin with the same words.
  if (item.fingerprint != ZoneFingerprint(zone)) return std::nullopt;
  return zone;
}

auto EvacuatedZones(const std::vector<quarantine>& quarantines)
    -> std::set<std::string> {
  std::set<std::string> zones;
  for (const auto& item : quarantines) {
    if (auto zone = EvacuatedZone(item)) zones.insert(std::move(*zone));
  }
  return zones;
}

auto EvacuatedAtMs(const quarantine& item) -> std::int64_t {
  return item.until_ms - kDurationMs;
}

}  // namespace lovagedale
