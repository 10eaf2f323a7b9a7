// The wait of a relayed call for its turn; see scheduling/admission_gate.h.

#pragma once

#include "lovagedale/relay/relay.h"

namespace lovagedale {

template <call_protocol Protocol>
auto relayed_call<Protocol>::AwaitTurn() -> bool {
  // A resumed stream runs already; another entry has admitted what it forwards.
  if (!state_.settings.admission || origin_ != call_origin::kCaller ||
      call_.after_event || !PromptWork()) {
    return true;
  }
  auto decision = EnterGate();
  // A call that may run once starts on a larger model, for which there may be
  // no room.
  while (decision.verdict == admission_verdict::kRefuse && tier_ > 0) {
    --tier_;
    decision = EnterGate();
  }
  if (decision.verdict != admission_verdict::kRefuse) return true;
  limited_until_ms_ = clock_.Now() + decision.retry_after_ms;
  Refuse(refusal::kOverloaded, decision.is_beyond_limit
                                   ? "it could not begin in its time limit"
                                   : "it would be late");
  return false;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::EnterGate() -> admission_decision {
  const auto& item = *match_.matched_route;
  admission_call call{service_, item.name, match_.Priority(), {}};
  if (match_.customer != nullptr) call.request.customer = match_.customer->name;
  call.request.work = PromptWork()->total_work;
  call.request.due_ms = started_ms_ + item.objective_ms;
  call.request.deadline_ms = deadline_ms_;
  turn_.emplace(state_.context.get_executor());
  // A copy, as the event is set while this fiber is suspended.
  const auto turn = *turn_;
  const auto decision = state_.admission.Enter(
      std::move(call), view_->table, state_.entries, turn, exchange_.yield());
  turn_.reset();
  return decision;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::EndWait() -> void {
  if (turn_) turn_->Set();
}

}  // namespace lovagedale
