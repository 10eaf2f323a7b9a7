#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lovagedale/common/format.h"
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

/// Starts the roll-out of a model version at its first stage.
struct start_rollout {
  std::string version;
  std::vector<double> stage_shares;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, stage_shares);
  }
};

/// Moves a roll-out to its next stage; `to_stage` must be that stage's number.
/// After the last stage the version is steady.
struct advance_rollout {
  std::string version;
  std::uint32_t to_stage = 0;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, to_stage);
  }
};

/// Pauses a roll-out at its present stage, or resumes it.
struct pause_rollout {
  std::string version;
  bool paused = true;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, paused);
  }
};

/// Stops routing new work to a version; its sessions move to `successor`.
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

/// Refuses requests with a fingerprint for `duration_ms` from the change's
/// `at_ms`. A duration, not an end time, so that a resent change has the same
/// content.
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

/// Replaces the routes if `config` has a higher version than the current
/// routes; otherwise succeeds without an effect.
struct set_routes {
  route_config config;
  std::string source;  ///< the operator's document, as the API returns it
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(config, source);
  }
};

/// Starts to move a service's traffic to servers of version `target`.
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
  double share = 0;  ///< fraction of sessions that the canary gets, 0 to 1
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

/// `expected_revision` of a change that applies to any revision; used for the
/// system's own changes.
inline constexpr config_revision kAnyRevision = ~config_revision{0};

/// A proposed change. Idempotent: a change that is resent with the same
/// `change_id` gets the first result.
struct change {
  std::string change_id;
  config_revision expected_revision = 0;
  std::string author;
  /// Wall-clock time; shown in the history, and quarantines start then.
  std::int64_t at_ms = 0;
  change_action action;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(change_id, expected_revision, author, at_ms, action);
  }
};

/// Registers an entry (`node`). Until remove_node, a revision counts as
/// accepted only when this entry follows it too; for an exception see
/// change_record::permit_gated.
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

/// Allows what needs `format`: from then on every control replica and entry
/// must run a build of that format or a later one. Never lowered.
struct raise_fleet_format {
  format_number format = kFirstFormat;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(format);
  }
};

/// A command of control's replicated log. The position of each alternative is
/// part of the format; new ones follow the others and are proposed only once
/// the fleet's format has them.
using control_command =
    std::variant<change, register_node, remove_node, raise_fleet_format>;

enum class change_status : std::uint8_t {
  kApplied,
  kConflict,  ///< `expected_revision` is not the current one; see `revision`
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
