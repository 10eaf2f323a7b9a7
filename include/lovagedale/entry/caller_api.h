#pragma once

#include <string>

#include "lovagedale/entry/chat_handler.h"
#include "lovagedale/entry/service_handler.h"
#include "lovagedale/entry/traffic_context.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// Refuses a request with two API keys or two idempotency keys, as another
/// program on its way may take the other one, or with a longer key than
/// allowed. Throws request_refused (400).
auto CheckKeyHeaders(const http_request& request) -> void;

/// The callers' HTTP API of one traffic thread:
///   POST /v1/chat/completions, GET /v1/models, any /services/<pool>/...,
///   and GET /health and /ready for the load balancer.
class caller_api {
 public:
  explicit caller_api(traffic_context& context)
      : context_(context),
        dispatcher_(context),
        chat_(context, dispatcher_),
        services_(context, dispatcher_) {}

  auto Handle(http_exchange& exchange) -> void;

 private:
  auto HandleHealth(http_exchange& exchange) -> void;
  auto HandleModels(http_exchange& exchange, const caller_identity& caller)
      -> void;
  auto Route(http_exchange& exchange, const caller_identity& caller) -> void;
  /// Finds the customer by the API key. Throws request_refused: 401 for a
  /// missing or unknown key, 400 for a request id that is too long.
  auto Authenticate(const http_request& request) -> caller_identity;
  /// Applies the customer's rate limit and acquires a slot of its concurrency
  /// limit, which must be released. Throws request_refused (429).
  auto Admit(const customer& item) -> void;

  traffic_context& context_;
  dispatcher dispatcher_;
  chat_handler chat_;
  service_handler services_;
};

}  // namespace lovagedale
