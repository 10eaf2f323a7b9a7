#include "lovagedale/entry/caller_api.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include "lovagedale/common/log.h"

namespace lovagedale {
namespace {

namespace json = boost::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxKeyBytes = 1'024;
/// As for services, also where the key is not used.
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr monotonic_ms kMsPerSecond = 1'000;

/// Releases a request's slot in its customer's concurrency limit, which Admit
/// has acquired, when destroyed.
class concurrency_slot {
 public:
  concurrency_slot(customer_limits& limits, std::string customer_name)
      : limits_(limits), customer_name_(std::move(customer_name)) {}
  concurrency_slot(const concurrency_slot&) = delete;
  auto operator=(const concurrency_slot&) -> concurrency_slot& = delete;
  ~concurrency_slot() { limits_.ReleaseSlot(customer_name_); }

 private:
  customer_limits& limits_;
  std::string customer_name_;
};

auto CheckKeyHeader(const http_request& request, std::string_view name,
                    std::size_t max_bytes) -> void {
  std::size_t keys = 0;
  std::size_t longest = 0;
  for (const auto& [given_name, value] : request.headers) {
    if (!boost::beast::iequals(given_name, name)) continue;
    ++keys;
    longest = std::max(longest, value.size());
  }
  if (keys > 1) {
    throw request_refused(400, "invalid",
                          std::string(name) + ": got " + std::to_string(keys) +
                              " keys; allowed: one",
                          ran_state::kNo);
  }
  if (longest > max_bytes) {
    throw request_refused(
        400, "invalid",
        std::string(name) + ": got " + std::to_string(longest) +
            " bytes; allowed: at most " + std::to_string(max_bytes),
        ran_state::kNo);
  }
}

auto IsReady(const entry_state& state) -> bool {
  const auto table = state.table.load();
  return table && !table->view().document.empty() && !state.draining;
}

}  // namespace

auto CheckKeyHeaders(const http_request& request) -> void {
  CheckKeyHeader(request, "Authorization", kBearer.size() + kMaxKeyBytes);
  CheckKeyHeader(request, "Idempotency-Key", kMaxIdempotencyKeyBytes);
}

auto caller_api::Authenticate(const http_request& request) -> caller_identity {
  const auto table = context_.state.table.load();
  CheckKeyHeaders(request);
  auto key = request.Header("Authorization");
  if (!table || !key.starts_with(kBearer)) {
    throw request_refused(401, "unauthorized",
                          "Authorization: missing; allowed: Bearer <key>",
                          ran_state::kNo);
  }
  key.remove_prefix(kBearer.size());
  const auto id = table->config().FindCustomerByKey(key);
  if (!id) {
    throw request_refused(401, "unauthorized",
                          "Authorization: the key belongs to no customer",
                          ran_state::kNo);
  }
  caller_identity caller{context_.NewRequestId(),
                         table->config().customers[*id].name};
  const auto given = request.Header("Lovagedale-Request-Id");
  if (given.size() > kMaxRequestIdBytes) {
    throw request_refused(
        400, "invalid",
        "Lovagedale-Request-Id: got " + std::to_string(given.size()) +
            " bytes; allowed: at most " + std::to_string(kMaxRequestIdBytes),
        ran_state::kNo);
  }
  // The prefix keeps the request ids of different customers distinct.
  if (!given.empty()) {
    caller.request_id = caller.customer + "/" + std::string(given);
  }
  return caller;
}

auto caller_api::Admit(const customer& item) -> void {
  const auto wait_ms =
      context_.state.limits.TryAdmit(item, context_.clock.Now());
  if (wait_ms > 0) {
    throw request_refused(
        429, "rate_limited",
        "rate_per_s: the customer's limit of " +
            std::to_string(item.rate_per_s) + " requests a second is reached",
        ran_state::kNo,
        static_cast<int>((wait_ms + kMsPerSecond - 1) / kMsPerSecond));
  }
  if (!context_.state.limits.TryAcquireSlot(item)) {
    throw request_refused(429, "too_many_running",
                          "max_concurrent: the customer's limit of " +
                              std::to_string(item.max_concurrent_requests) +
                              " requests at once is reached",
                          ran_state::kNo, 1);
  }
}

auto caller_api::HandleHealth(http_exchange& exchange) -> void {
  const bool is_ok = exchange.request().Path() == "/health"
                         ? !context_.state.draining.load()
                         : IsReady(context_.state);
  exchange.RespondJson(is_ok ? 200 : 503,
                       is_ok ? R"({"ok":true})" : R"({"ok":false})");
}

auto caller_api::HandleModels(http_exchange& exchange,
                              const caller_identity& caller) -> void {
  const auto table = context_.state.table.load();
  const auto& config = table->config();
  json::array list;
  const auto& item = RequireCustomer(config, caller.customer, ran_state::kNo);
  const auto now = context_.clock.Now();
  for (const auto version : item.versions) {
    if (!context_.state.MayRun(*table, version, now)) continue;
    list.push_back({{"id", config.versions[version].name},
                    {"object", "model"},
                    {"owned_by", config.versions[version].model}});
  }
  exchange.RespondJson(
      200, json::serialize(
               json::value{{"object", "list"}, {"data", std::move(list)}}));
}

auto caller_api::Route(http_exchange& exchange, const caller_identity& caller)
    -> void {
  const auto& request = exchange.request();
  const auto path = request.Path();
  if (request.method == "GET" && path == "/v1/models") {
    HandleModels(exchange, caller);
    return;
  }
  const bool is_chat =
      request.method == "POST" && path == "/v1/chat/completions";
  const bool is_service = path.starts_with("/services/");
  if (!is_chat && !is_service) {
    throw request_refused(
        404, "not_found",
        "no such call: " + request.method + " " + std::string(path),
        ran_state::kNo);
  }
  const auto table = context_.state.table.load();
  Admit(RequireCustomer(table->config(), caller.customer, ran_state::kNo));
  const concurrency_slot slot(context_.state.limits, caller.customer);
  context_.metrics->Count(entry_counter::kRequests);
  if (is_chat) {
    chat_.Handle(exchange, caller);
  } else {
    services_.Handle(exchange, caller);
  }
}

auto caller_api::Handle(http_exchange& exchange) -> void {
  const auto path = exchange.request().Path();
  if (path == "/health" || path == "/ready") {
    HandleHealth(exchange);
    return;
  }
  std::optional<request_refused> refusal;
  caller_identity caller;
  try {
    caller = Authenticate(exchange.request());
    Route(exchange, caller);
    return;
  } catch (const request_refused& error) {
    refusal = error;
  } catch (const version_unavailable& error) {
    refusal =
        request_refused(503, "no_version", error.what(), ran_state::kMaybe, 1);
  }
  context_.metrics->Count(entry_counter::kRefused);
  log_line(log_level::kInfo, "refused")
      .With("request", caller.request_id)
      .With("customer", caller.customer)
      .With("status", refusal->status())
      .With("type", refusal->type())
      .With("ran", refusal->ran() == ran_state::kNo ? "no" : "maybe")
      .With("reason", refusal->what());
  RespondRefusal(exchange, *refusal, caller.request_id);
}

}  // namespace lovagedale
