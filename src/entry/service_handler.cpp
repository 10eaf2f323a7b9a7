#include "lovagedale/entry/service_handler.h"

#include <boost/asio/steady_timer.hpp>

#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::size_t kMaxKeyBytes = 256;
constexpr milliseconds kClaimTimeout{3'000};
/// How long a request waits while another attempt with its key is running.
constexpr milliseconds kMaxRunningClaimWait{5'000};
constexpr milliseconds kRunningClaimPollInterval{50};
constexpr unsigned kFirstServerError = 500;
/// Larger answers are not stored for repeated requests.
constexpr std::size_t kMaxStoredBytes = 64UL << 10U;
constexpr int kRetryAfterS = 1;

auto IsForwardedHeader(std::string_view name) -> bool {
  // Services must not receive the callers' credentials for the entry. The
  // callers' Host header names the entry; each server gets its own.
  return name != "Authorization" && name != "authorization" && name != "Host" &&
         name != "host";
}

}  // namespace

/// State of one call.
struct service_handler::service_call {
  http_exchange& exchange;
  const caller_identity& caller;
  std::string pool;
  std::string target;
  bool repeatable = false;
  std::string key;
  std::uint64_t body_hash = 0;
  patience_class patience = patience_class::kInteractive;
  std::uint32_t attempts = 0;
};

auto service_handler::Handle(http_exchange& exchange,
                             const caller_identity& caller) -> void {
  const auto& request = exchange.request();
  const auto table = context_.state.table.load();
  const auto& config = table->config();
  const auto path =
      std::string_view(request.target).substr(kServicePrefix.size());
  const auto slash = path.find('/');
  const auto pool_name = std::string(path.substr(0, slash));
  const auto pool = config.FindPool(pool_name);
  if (!pool || config.pools[*pool].kind != pool_kind::kService) {
    throw request_refused(404, "unknown_service",
                          "no service \"" + pool_name + "\"", ran_state::kNo);
  }
  service_call call{
      .exchange = exchange,
      .caller = caller,
      .pool = pool_name,
      .target = slash == std::string_view::npos
                    ? "/"
                    : std::string(path.substr(slash)),
      .repeatable = config.pools[*pool].IsRepeatable(request.method),
      .key = std::string(request.Header("Idempotency-Key"))};
  call.body_hash =
      HashFields(request.method, call.pool, call.target, request.body);
  if (call.key.size() > kMaxKeyBytes) {
    throw request_refused(
        400, "invalid",
        "Idempotency-Key: got " + std::to_string(call.key.size()) +
            " bytes; allowed: at most " + std::to_string(kMaxKeyBytes),
        ran_state::kNo);
  }
  const bool is_claimed = !call.repeatable && !call.key.empty();
  const auto answer = is_claimed ? RunClaimed(call) : RunOnServer(call);
  exchange.Respond(
      answer.status, answer.content_type, answer.body,
      {{"Lovagedale-Request-Id", answer.request_id},
       {"Lovagedale-Server-Attempts", std::to_string(call.attempts)}});
}

auto service_handler::RunClaimed(service_call& call) -> stored_answer {
  const begin_claim begin{{call.caller.customer, call.key},
                          call.body_hash,
                          call.caller.request_id,
                          WallClockMs()};
  const auto claim = BeginClaim(call, begin);
  switch (claim.status) {
    case claim_status::kFinished:
      if (claim.answer.status == 0) {
        throw request_refused(409, "already_run",
                              "the request has run; its answer was too large "
                              "to be kept",
                              ran_state::kMaybe);
      }
      return claim.answer;
    case claim_status::kBodyMismatch:
      throw request_refused(422, "key_reused",
                            "Idempotency-Key: already used for a request with "
                            "another body",
                            ran_state::kNo);
    case claim_status::kGranted:
      break;
    default:
      throw request_refused(409, "in_progress",
                            "the request was sent before and its outcome is "
                            "not known yet; it may have run",
                            ran_state::kMaybe, kRetryAfterS);
  }
  std::optional<request_refused> refusal;
  try {
    auto answer = RunOnServer(call);
    FinishClaim(call, begin, answer);
    return answer;
  } catch (const request_refused& error) {
    refusal = error;
  }
  // Nothing was sent: the key may be claimed again.
  if (refusal->ran() == ran_state::kNo) {
    context_.ledgers.ReleaseInBackground({begin.key, begin.attempt_id});
  }
  throw *refusal;
}

auto service_handler::BeginClaim(service_call& call, const begin_claim& begin)
    -> claim_result {
  const auto deadline = std::chrono::steady_clock::now() + kMaxRunningClaimWait;
  asio::steady_timer pause(context_.io);
  boost::system::error_code ignored;
  bool is_unreachable = false;
  for (;;) {
    claim_result result;
    try {
      result =
          context_.ledgers.Execute(begin, kClaimTimeout, call.exchange.yield());
    } catch (const ledger_unreachable&) {
      is_unreachable = true;
    }
    if (is_unreachable) {
      // A command whose answer was lost may still be executed, so the claim is
      // released. Nothing was dispatched.
      context_.ledgers.ReleaseInBackground({begin.key, begin.attempt_id});
      throw request_refused(503, "no_ledger",
                            "no ledger majority can be reached; the request "
                            "was not run",
                            ran_state::kNo, kRetryAfterS);
    }
    if (result.status != claim_status::kRunning ||
        std::chrono::steady_clock::now() >= deadline) {
      log_line(log_level::kInfo, "claim")
          .With("request", call.caller.request_id)
          .With("customer", begin.key.customer)
          .With("key", begin.key.idempotency_key)
          .With("status", static_cast<int>(result.status));
      return result;
    }
    pause.expires_after(kRunningClaimPollInterval);
    pause.async_wait(call.exchange.yield()[ignored]);
  }
}

auto service_handler::FinishClaim(service_call& call, const begin_claim& begin,
                                  const stored_answer& answer) -> void {
  // Status 0 stands for an answer that is too large to be stored.
  auto kept = answer;
  if (kept.body.size() > kMaxStoredBytes) kept = {0, "", "", answer.request_id};
  try {
    context_.ledgers.Execute(finish_claim{begin.key, begin.attempt_id, kept},
                             kClaimTimeout, call.exchange.yield());
  } catch (const ledger_unreachable&) {
    // The caller still gets its answer. A repeated request is refused with
    // `Lovagedale-Ran: maybe`.
    log_line(log_level::kWarning, "answer_not_stored")
        .With("request", call.caller.request_id);
  }
}

auto service_handler::RunOnServer(service_call& call) -> stored_answer {
  const auto& request = call.exchange.request();
  dispatch_job job;
  job.request_id = call.caller.request_id;
  job.customer = call.caller.customer;
  job.pool = call.pool;
  job.fingerprint = HashFields(call.caller.customer, request.method,
                               call.target, request.body);
  job.repeatable = call.repeatable;
  job.version_reason = call.repeatable ? "service" : "service_once";
  job.make_request = [&call, &request] {
    http_request forwarded;
    forwarded.method = request.method;
    forwarded.target = call.target;
    for (const auto& [name, value] : request.headers) {
      if (IsForwardedHeader(name)) forwarded.headers.emplace_back(name, value);
    }
    forwarded.headers.emplace_back("Lovagedale-Request-Id",
                                   call.caller.request_id);
    forwarded.body = request.body;
    return forwarded;
  };
  stored_answer answer;
  const auto& deadlines = context_.state.settings.deadlines;
  auto& yield = call.exchange.yield();
  const auto result = dispatcher_.Run(
      job,
      [&](http_connection& connection, const http_response_head& head) {
        answer.body = connection.ReadAll(deadlines, yield);
        if (head.status >= kFirstServerError && call.repeatable) {
          throw http_call_error(
              http_call_error::stage::kSent,
              "service answered " + std::to_string(head.status));
        }
        answer.status = head.status;
        answer.content_type = head.content_type;
      },
      yield);
  call.attempts = result.attempts;
  answer.request_id = call.caller.request_id;
  Bill(call);
  return answer;
}

auto service_handler::Bill(service_call& call) -> void {
  bill_record bill;
  bill.request_id = call.caller.request_id;
  bill.customer = call.caller.customer;
  bill.version = call.pool;
  bill.attempts = call.attempts;
  bill.status = bill_status::kComplete;
  context_.StoreBill(std::move(bill), call.exchange.yield());
}

}  // namespace lovagedale
