#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lovagedale/configuration/changes.h"
#include "lovagedale/configuration/fleet_view.h"

namespace lovagedale {

/// Evacuated zones: availability zones whose servers get no new requests, by an
/// operator's order. The order is stored as a quarantine of the zone, which
/// every build replicates, keeps in snapshots and sends to entries: a command
/// of its own would end replicas of older builds. Pure.

/// Oldest format of entries that follow an evacuation.
inline constexpr format_number kEvacuationFormat = 4;

/// The change that evacuates a zone. Applying it again has no effect.
auto EvacuateZone(const std::string& zone) -> set_quarantine;
/// The change that withdraws it. Applying it to another zone has no effect.
auto WithdrawEvacuation(const std::string& zone) -> lift_quarantine;
/// The zone that a quarantine evacuates; nothing if it is one of requests.
auto EvacuatedZone(const quarantine& item) -> std::optional<std::string>;
auto EvacuatedZones(const std::vector<quarantine>& quarantines)
    -> std::set<std::string>;
/// Wall-clock time of the change by which the quarantine evacuates its zone.
auto EvacuatedAtMs(const quarantine& item) -> std::int64_t;

}  // namespace lovagedale
