#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/admission/cold_limit.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/configuration/fleet_view.h"
#include "lovagedale/route/route_changes.h"

namespace lovagedale {

/// Identifies the parts of a configuration that an entry holds; default: none.
struct view_position {
  std::uint64_t document_hash = 0;
  std::uint64_t routes_hash = 0;

  auto operator==(const view_position&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(document_hash, routes_hash);
  }
};

enum class routes_form : std::uint8_t { kUnchanged, kChanges, kComplete };

auto ToString(routes_form form) -> const char*;

/// Brings an entry from the configuration at a view_position to `revision`.
struct view_update {
  config_revision revision = 0;
  std::optional<std::string> document;  ///< if it differs
  std::vector<version_status> versions;
  std::vector<quarantine> quarantines;
  std::vector<service_rollout> service_rollouts;
  routes_form form = routes_form::kUnchanged;
  /// Encoded route_changes or route_config; empty if unchanged.
  std::string routes;
  std::uint64_t routes_hash = 0;  ///< of the routes after the update
  /// Limits for cold servers by the operator's document, all of them; nothing
  /// from builds of format 3 or lower.
  std::optional<std::vector<service_cold_limit>> cold_limits;

  auto AddedFields() const -> added_fields {
    if (!cold_limits) return {};
    return {{kColdLimitsField, EncodeFixed(*cold_limits)}};
  }
  auto SetAddedFields(const added_fields& fields) -> void {
    const auto found = fields.find(kColdLimitsField);
    if (found == fields.end()) return;
    cold_limits = DecodeFixed<std::vector<service_cold_limit>>(found->second);
  }

  auto operator==(const view_update&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(revision, document, versions, quarantines, service_rollouts, form,
            routes, routes_hash);
  }

 private:
  static constexpr std::uint16_t kColdLimitsField = 1;
};

/// Makes the updates that control sends. Keeps the latest route configurations,
/// so that entries that hold one of these receive only the changes. Pure.
class view_update_source {
 public:
  /// Number of route configurations that are kept.
  static constexpr std::size_t kMaxConfigs = 8;
  /// Encoded size of the route configurations that are kept, except that the
  /// latest one is always kept.
  static constexpr std::size_t kMaxKeptBytes = 8UL << 20U;

  /// Sets what updates say of cold servers from now on; nothing at first.
  auto SetColdLimits(std::optional<std::vector<service_cold_limit>> limits)
      -> void {
    cold_limits_ = std::move(limits);
  }
  /// Keeps the routes of `view` if they are new.
  auto Observe(const fleet_view& view) -> void;
  /// The update for an entry at `held`. Observes `view` first.
  auto UpdateFor(const fleet_view& view, const view_position& held)
      -> view_update;

 private:
  struct kept_config {
    route_config config;
    std::uint64_t hash = 0;
    std::size_t encoded_bytes = 0;
  };

  /// Encoded changes from `held` to the latest routes; null if `held` is not
  /// kept or the changes are as large as the routes.
  auto ChangesFrom(std::uint64_t held) -> const std::string*;

  std::optional<std::vector<service_cold_limit>> cold_limits_;
  std::deque<kept_config> kept_;  ///< oldest first
  std::size_t kept_bytes_ = 0;
  std::string latest_routes_;                     ///< encoded
  std::map<std::uint64_t, std::string> changes_;  ///< to the latest, by hash
};

/// The configuration that an entry holds, brought up to date by view_updates.
class held_view {
 public:
  auto view() const -> const fleet_view& { return view_; }
  auto position() const -> const view_position& { return position_; }
  /// Applies a newer update. Returns the problem if it does not decode or does
  /// not lead to the routes that it should; the view is then as it was and the
  /// position is the default one, so that the next update is complete.
  auto Apply(const view_update& update) -> std::optional<std::string>;
  /// Replaces the configuration.
  auto Replace(fleet_view view) -> void;

 private:
  /// The routes after `update`; nothing if they are unchanged. Throws
  /// codec_error if they are not those that the update should lead to.
  auto RoutesAfter(const view_update& update) const
      -> std::optional<route_config>;

  fleet_view view_;
  view_position position_;
};

}  // namespace lovagedale
