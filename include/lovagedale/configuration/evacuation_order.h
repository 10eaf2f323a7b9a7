#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>

#include "lovagedale/configuration/changes.h"
#include "lovagedale/configuration/control_machine.h"
#include "lovagedale/configuration/order_ids.h"

namespace lovagedale {

/// An operator's order to evacuate a zone, or to withdraw that.
struct evacuation_order {
  std::string zone;
  bool evacuates = true;

  auto operator==(const evacuation_order&) const -> bool = default;
};

/// What control knows when it gets an evacuation_order.
struct evacuation_state {
  /// Zones with a listed server or a registered entry.
  std::set<std::string> known_zones;
  bool is_server_list_read = false;
  std::set<std::string> evacuated;
  /// Registered entries that would not follow the order.
  std::set<std::string> entries_without_support;
  /// An order about the zone is being decided.
  bool is_pending = false;

  auto operator==(const evacuation_state&) const -> bool = default;
};

enum class evacuation_verdict {
  kPropose,
  kUnclear,  ///< the operator is expected to send the order again
  kUnknownZone,
};

struct evacuation_decision {
  evacuation_verdict verdict = evacuation_verdict::kUnclear;
  std::string reason;     ///< unless it is proposed
  std::string change_id;  ///< if it is proposed
  /// If it is proposed; a set_quarantine or a lift_quarantine.
  change_action action;
};

/// Decides what becomes of an order. Orders have no id and are sent again after
/// a lost answer: a copy that arrives after the opposite order must not undo
/// it, and an order that repeats an earlier one must not be lost as a copy. So
/// one that may be either stays unanswered until the time for sending it again
/// has passed. `received_ms` is wall-clock time.
auto DecideEvacuation(const evacuation_order& order,
                      const evacuation_state& state,
                      const std::deque<change_record>& history,
                      std::int64_t received_ms, monotonic_ms resend_ms)
    -> evacuation_decision;

}  // namespace lovagedale
