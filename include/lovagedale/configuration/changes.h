#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lovagedale/configuration/fleet_view.h"
#include "lovagedale/route/route_config.h"

namespace lovagedale {

/// Replaces the configuration document.
struct set_configuration {
  std::string document;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(document);
  }
};

/// Puts a version under roll-out, at its first stage.
struct start_rollout {
  std::string version;
  std::vector<double> stage_shares;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, stage_shares);
  }
};

/// Moves a roll-out to a later stage; past the last one it becomes steady.
struct advance_rollout {
  std::string version;
  std::uint32_t to_stage = 0;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, to_stage);
  }
};

/// Holds a roll-out at its stage, or lets it go on.
struct pause_rollout {
  std::string version;
  bool paused = true;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, paused);
  }
};

/// Takes all new work away from a version; its sessions move to `successor`.
struct withdraw_version {
  std::string version;
  std::string successor;
  std::string reason;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, successor, reason);
  }
};

/// Makes a withdrawn version steady again.
struct restore_version {
  std::string version;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version);
  }
};

/// Refuses a request for a time from the change's own time on, so that a
/// resent change is the same change.
struct set_quarantine {
  std::uint64_t fingerprint = 0;
  std::int64_t duration_ms = 0;
  std::string reason;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(fingerprint, duration_ms, reason);
  }
};

struct lift_quarantine {
  std::uint64_t fingerprint = 0;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(fingerprint);
  }
};

/// Replaces the routes if `config` has a higher version than the present one;
/// otherwise succeeds and changes nothing.
struct set_routes {
  route_config config;
  std::string source;  ///< the operator's document, kept for reading back
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(config, source);
  }
};

/// Starts to move a service's traffic to servers of another version.
struct begin_service_rollout {
  std::string service;
  std::string target;
  std::int64_t duration_ms = 0;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, target, duration_ms);
  }
};

/// Moves a service's roll-out to another phase.
struct move_service_rollout {
  std::string service;
  std::string target;
  service_rollout_phase phase = service_rollout_phase::kCanary;
  double share = 0;  ///< of the sessions, for the canary
  std::string reason;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, target, phase, share, reason);
  }
};

using change_action =
    std::variant<set_configuration, start_rollout, advance_rollout,
                 pause_rollout, withdraw_version, restore_version,
                 set_quarantine, lift_quarantine, set_routes,
                 begin_service_rollout, move_service_rollout>;

/// `expected_revision` of a change that the system itself makes.
inline constexpr config_revision kAnyRevision = ~config_revision{0};

/// A proposed change. The same `change_id` again returns the first result.
struct change {
  std::string change_id;
  config_revision expected_revision = 0;
  std::string author;
  std::int64_t at_ms = 0;  ///< wall clock, for the history only
  change_action action;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(change_id, expected_revision, author, at_ms, action);
  }
};

/// An entry that must follow every revision until it is removed.
struct register_node {
  std::string name;
  std::string zone;
  auto operator==(const register_node&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, zone);
  }
};

struct remove_node {
  std::string name;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name);
  }
};

/// A command of control's replicated log.
using control_command = std::variant<change, register_node, remove_node>;

enum class change_status : std::uint8_t {
  kApplied,
  kConflict,  ///< another change came first; see `revision`
  kInvalid,   ///< refused; see `message`
};

struct change_result {
  change_status status = change_status::kInvalid;
  config_revision revision = 0;  ///< of the change, or the current one
  std::string message;

  auto operator==(const change_result&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(status, revision, message);
  }
};

}  // namespace lovagedale
