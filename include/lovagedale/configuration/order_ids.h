#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "lovagedale/common/time.h"
#include "lovagedale/configuration/control_machine.h"

namespace lovagedale {

/// An order of an operator that has no id of its own.
struct unnamed_order {
  std::string base_id;  ///< made of what the order is about
  std::uint64_t content_hash = 0;
  std::int64_t received_ms = 0;  ///< wall clock

  auto operator==(const unnamed_order&) const -> bool = default;
};

struct order_identity {
  std::string change_id;
  /// An order with the same content was applied so shortly before that this one
  /// may be the same, sent again. It has that one's id.
  bool may_be_copy = false;

  auto operator==(const order_identity&) const -> bool = default;
};

/// The change id of an order: `base_id` for the first with that base, and then
/// `base_id/2`, `base_id/3` and so on. Operators send an order again, under no
/// id, for at most `resend_ms`. `history` is oldest first.
auto IdentifyOrder(const unnamed_order& order,
                   const std::deque<change_record>& history,
                   monotonic_ms resend_ms) -> order_identity;

}  // namespace lovagedale
