#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lovagedale/rollout/service_rollout.h"
#include "lovagedale/route/route_config.h"

namespace lovagedale {

/// Number of an accepted change of the fleet's configuration; grows by one
/// with each and never goes back.
using config_revision = std::uint64_t;

enum class version_phase : std::uint8_t {
  kSteady,     ///< serves under the last known configuration
  kRollout,    ///< serves a share of requests, and only under a live permit
  kWithdrawn,  ///< receives no new work
  kStaged,     ///< added to a model that is in use; waits for its roll-out
};

/// Where a version stands; versions that are not listed are steady.
struct version_status {
  std::string version;
  version_phase phase = version_phase::kSteady;
  std::uint32_t stage = 0;
  std::vector<double> stage_shares;  ///< share of requests per stage, 0 to 1
  bool paused = false;
  std::string successor;  ///< where its sessions move when it is withdrawn
  std::string reason;

  auto operator==(const version_status&) const -> bool = default;
  /// Share of requests that may run on it now, 0 to 1.
  auto Share() const -> double;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, phase, stage, stage_shares, paused, successor, reason);
  }
};

/// A request that is refused because it crashed servers.
struct quarantine {
  std::uint64_t fingerprint = 0;
  std::int64_t until_ms = 0;  ///< wall clock
  std::string reason;

  auto operator==(const quarantine&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(fingerprint, until_ms, reason);
  }
};

/// What every entry must follow, at one revision.
struct fleet_view {
  config_revision revision = 0;
  std::string document;  ///< JSON, see ParseCatalog
  std::vector<version_status> versions;
  std::vector<quarantine> quarantines;
  route_config routes;
  std::vector<service_rollout> service_rollouts;  ///< the last one per service

  auto operator==(const fleet_view&) const -> bool = default;
  auto StatusOf(const std::string& version) const -> const version_status*;
  auto RolloutOf(const std::string& service) const -> const service_rollout*;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(revision, document, versions, quarantines, routes,
            service_rollouts);
  }
};

}  // namespace lovagedale
