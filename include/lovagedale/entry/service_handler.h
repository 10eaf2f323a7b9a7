#pragma once

#include <string>

#include "lovagedale/billing/bill.h"
#include "lovagedale/entry/chat_handler.h"
#include "lovagedale/entry/dispatcher.h"
#include "lovagedale/entry/traffic_context.h"
#include "lovagedale/http/client.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// Routes calls of plain services under /services/<pool>/. A call that may not
/// be repeated runs at most once: with an idempotency key, a claim at the
/// ledgers ensures this; without one, it is dispatched only once.
class service_handler {
 public:
  service_handler(traffic_context& context, dispatcher& request_dispatcher)
      : context_(context), dispatcher_(request_dispatcher) {}

  /// Throws request_refused or caller_disconnected_error.
  auto Handle(http_exchange& exchange, const caller_identity& caller) -> void;

 private:
  struct service_call;

  auto RunClaimed(service_call& call) -> stored_answer;
  auto BeginClaim(service_call& call, const begin_claim& begin) -> claim_result;
  auto FinishClaim(service_call& call, const begin_claim& begin,
                   const stored_answer& answer) -> void;
  auto RunOnServer(service_call& call) -> stored_answer;
  auto Bill(service_call& call) -> void;

  traffic_context& context_;
  dispatcher& dispatcher_;
};

}  // namespace lovagedale
