#include "lovagedale/configuration/evacuation_order.h"

#include "lovagedale/configuration/evacuation.h"

namespace lovagedale {
namespace {

auto Join(const std::set<std::string>& names) -> std::string {
  std::string text;
  for (const auto& name : names) {
    if (!text.empty()) text += ", ";
    text += name;
  }
  return text;
}

auto Unclear(std::string reason) -> evacuation_decision {
  evacuation_decision decision;
  decision.reason = std::move(reason);
  return decision;
}

}  // namespace

auto DecideEvacuation(const evacuation_order& order,
                      const evacuation_state& state,
                      const std::deque<change_record>& history,
                      std::int64_t received_ms, monotonic_ms resend_ms)
    -> evacuation_decision {
  const bool is_evacuated = state.evacuated.contains(order.zone);
  if (order.evacuates && !is_evacuated &&
      !state.known_zones.contains(order.zone)) {
    if (!state.is_server_list_read) {
      return Unclear("the list of servers has not been read yet");
    }
    evacuation_decision unknown;
    unknown.verdict = evacuation_verdict::kUnknownZone;
    unknown.reason =
        "zone: got \"" + order.zone + "\"; allowed: " + Join(state.known_zones);
    return unknown;
  }
  if (state.is_pending) return Unclear("another order is being decided");
  if (order.evacuates && !state.entries_without_support.empty()) {
    return Unclear("entries of an older build would not follow it: " +
                   Join(state.entries_without_support));
  }
  evacuation_decision decision;
  decision.verdict = evacuation_verdict::kPropose;
  if (order.evacuates) {
    decision.action = EvacuateZone(order.zone);
  } else {
    decision.action = WithdrawEvacuation(order.zone);
  }
  const auto identity = IdentifyOrder(
      {"evacuation/" + order.zone + (order.evacuates ? "/begin" : "/end"),
       ContentHash(decision.action), received_ms},
      history, resend_ms);
  if (identity.may_be_copy && is_evacuated != order.evacuates) {
    return Unclear("it may be a copy of an order that was replaced");
  }
  decision.change_id = identity.change_id;
  return decision;
}

}  // namespace lovagedale
