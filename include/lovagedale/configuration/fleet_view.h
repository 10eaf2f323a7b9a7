#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lovagedale/rollout/service_rollout.h"
#include "lovagedale/route/route_config.h"

namespace lovagedale {

/// Revision number of the fleet's configuration; each applied change increases
/// it by one.
using config_revision = std::uint64_t;

enum class version_phase : std::uint8_t {
  kSteady,     ///< serves; while cut off from control, see cut_off_policy
  kRollout,    ///< serves a share of requests, on entries with a valid permit
  kWithdrawn,  ///< receives no new work
  kStaged,     ///< added to a model in use; no work until its roll-out starts
};

/// Deployment state of a model version; versions without one are steady.
struct version_status {
  std::string version;
  version_phase phase = version_phase::kSteady;
  std::uint32_t stage = 0;
  std::vector<double> stage_shares;  ///< fraction of requests per stage, 0 to 1
  bool paused = false;
  std::string successor;  ///< version that takes its sessions on withdrawal
  std::string reason;

  auto operator==(const version_status&) const -> bool = default;
  /// Fraction of requests that may run on the version now, 0 to 1.
  auto Share() const -> double;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, phase, stage, stage_shares, paused, successor, reason);
  }
};

/// A request, or a part of prompts, that is refused because it crashed servers.
struct quarantine {
  std::uint64_t fingerprint = 0;  ///< a crash_key
  std::int64_t until_ms = 0;      ///< wall clock
  std::string reason;

  auto operator==(const quarantine&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(fingerprint, until_ms, reason);
  }
};

/// The configuration that every entry must follow, at one revision.
struct fleet_view {
  config_revision revision = 0;
  std::string document;  ///< JSON, see ParseCatalog
  std::vector<version_status> versions;
  std::vector<quarantine> quarantines;
  route_config routes;
  /// The latest per service, and behind it those that were reverted since one
  /// was last completed.
  std::vector<service_rollout> service_rollouts;

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
