#include "lovagedale/configuration/order_ids.h"

#include <charconv>
#include <cstdlib>
#include <optional>
#include <string_view>

namespace lovagedale {
namespace {

/// N of `base_id/N`, 1 of `base_id`; nothing for other ids.
auto OrdinalOf(std::string_view change_id, std::string_view base_id)
    -> std::optional<std::uint64_t> {
  if (!change_id.starts_with(base_id)) return std::nullopt;
  change_id.remove_prefix(base_id.size());
  if (change_id.empty()) return 1;
  if (!change_id.starts_with('/')) return std::nullopt;
  change_id.remove_prefix(1);
  std::uint64_t ordinal = 0;
  const auto* end = change_id.data() + change_id.size();
  const auto result = std::from_chars(change_id.data(), end, ordinal);
  if (result.ec != std::errc{} || result.ptr != end) return std::nullopt;
  return ordinal;
}

}  // namespace

auto IdentifyOrder(const unnamed_order& order,
                   const std::deque<change_record>& history,
                   monotonic_ms resend_ms) -> order_identity {
  std::optional<std::uint64_t> latest;
  for (auto record = history.rbegin(); record != history.rend(); ++record) {
    const auto ordinal = OrdinalOf(record->change_id, order.base_id);
    if (!ordinal) continue;
    if (!latest) latest = ordinal;
    // Replicas' clocks may differ a little, in both directions.
    const auto age_ms = std::abs(order.received_ms - record->at_ms);
    if (record->result.status == change_status::kApplied &&
        record->content_hash == order.content_hash && age_ms <= resend_ms) {
      return {record->change_id, /*may_be_copy=*/true};
    }
  }
  if (!latest) return {order.base_id, /*may_be_copy=*/false};
  return {order.base_id + "/" + std::to_string(*latest + 1),
          /*may_be_copy=*/false};
}

}  // namespace lovagedale
