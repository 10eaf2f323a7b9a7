#include "lovagedale/entry/dispatcher.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::uint32_t kMaxConnectFailures = 8;
constexpr milliseconds kQueuePollInterval{5};
constexpr monotonic_ms kInteractiveMaxQueueMs = 2'000;
constexpr monotonic_ms kPatientMaxQueueMs = 60'000;
/// Load of a server, in running and waiting requests per slot, at which an
/// entry starts to keep further requests in its own queue. The lower limit for
/// patient requests leaves room for interactive ones.
constexpr double kInteractiveMaxLoad = 2.0;
constexpr double kPatientMaxLoad = 1.0;
constexpr monotonic_ms kMinEjectionMs = 200;
constexpr monotonic_ms kMaxEjectionMs = 5'000;
constexpr std::uint32_t kMaxEjectionDoublings = 5;
constexpr monotonic_ms kCrashEjectionMs = 1'000;
constexpr monotonic_ms kLeavingServerEjectionMs = 5'000;
constexpr milliseconds kProbeTimeout{200};
constexpr std::array<milliseconds, 2> kProbeDelays = {milliseconds(50),
                                                      milliseconds(150)};
constexpr std::uint32_t kMaxFailuresAfterSend = 2;
constexpr milliseconds kMaxQuarantineWait{1'500};
constexpr milliseconds kQuarantinePollInterval{10};
constexpr milliseconds kQuarantinePropagation{1'000};
constexpr int kOverloadRetryAfterS = 1;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusUnavailable = 503;
constexpr monotonic_ms kMsPerSecond = 1'000;
/// Requests a second that the server takes from all entries together.
constexpr std::string_view kServerLimitHeader = "Server-Limit";

auto MaxLoad(patience_class patience) -> double {
  return patience == patience_class::kPatient ? kPatientMaxLoad
                                              : kInteractiveMaxLoad;
}

auto MaxQueueMs(patience_class patience) -> monotonic_ms {
  return patience == patience_class::kPatient ? kPatientMaxQueueMs
                                              : kInteractiveMaxQueueMs;
}

auto RanState(bool was_sent) -> ran_state {
  return was_sent ? ran_state::kMaybe : ran_state::kNo;
}

/// Whether the server refused the request before running it.
auto IsRefusedBeforeRun(const http_response_head& head) -> bool {
  return (head.status == kStatusUnavailable ||
          head.status == kStatusTooManyRequests) &&
         head.Header("Lovagedale-Ran") == "no";
}

}  // namespace

/// Registers a request with its server while it runs there.
class dispatcher::running_guard {
 public:
  running_guard(server_state& state, std::uint64_t fingerprint, bool is_suspect)
      : state_(state), fingerprint_(fingerprint), is_suspect_(is_suspect) {
    state_.in_flight.fetch_add(1, std::memory_order_relaxed);
    if (is_suspect_) state_.suspects_running.fetch_add(1);
    state_.AddRunning(fingerprint_);
  }
  running_guard(const running_guard&) = delete;
  auto operator=(const running_guard&) -> running_guard& = delete;
  ~running_guard() {
    state_.RemoveRunning(fingerprint_);
    if (is_suspect_) state_.suspects_running.fetch_sub(1);
    state_.in_flight.fetch_sub(1, std::memory_order_relaxed);
  }

 private:
  server_state& state_;
  std::uint64_t fingerprint_;
  bool is_suspect_;
};

auto dispatcher::EnsureAllowed(const dispatch_job& job,
                               const routing_table& table, ran_state ran) const
    -> void {
  const auto& config = table.config();
  const auto& allowed = RequireCustomer(config, job.customer, ran);
  if (const auto* item = table.QuarantineOf(job.fingerprint, WallClockMs())) {
    throw request_refused(422, "quarantined",
                          "this request is refused: it " + item->reason, ran);
  }
  if (!job.pool.empty()) {
    const auto pool = config.FindPool(job.pool);
    if (!pool || !allowed.AllowsService(*pool)) {
      throw request_refused(403, "not_allowed",
                            "the customer may not use service " + job.pool,
                            ran);
    }
    return;
  }
  const auto version = config.FindVersion(job.version);
  if (!version || !allowed.AllowsVersion(*version)) {
    throw version_unavailable(job.version + " is not allowed", ran);
  }
  if (!context_.state.MayRun(table, *version, context_.clock.Now())) {
    throw version_unavailable(job.version + " may not receive new work", ran);
  }
}

auto dispatcher::TryPlace(const dispatch_job& job, job_state& state)
    -> std::optional<placed_attempt> {
  auto table = context_.state.table.load();
  EnsureAllowed(job, *table, RanState(state.was_sent));
  const auto& config = table->config();
  const auto& group = job.pool.empty()
                          ? table->ServersOf(*config.FindVersion(job.version))
                          : table->ServersOfService(*config.FindPool(job.pool));
  std::vector<server_id> excluded;
  for (const auto& name : state.excluded_servers) {
    if (const auto id = config.FindServer(name)) excluded.push_back(*id);
  }
  placement_request request;
  request.prefixes = job.prefixes;
  request.excluded = excluded;
  request.is_suspect = context_.state.suspects.Contains(job.fingerprint);
  request.now = context_.clock.Now();
  request.random = context_.NextRandom();
  if (!job.version.empty()) request.version_hash = Hash64(job.version);
  const auto choice = ChooseWithinLimits(job, group, request, excluded, state);
  if (!choice) return std::nullopt;
  const auto& server = config.servers[choice->server];
  const auto load = ExpectedLoad({choice->server, server.slots, choice->state},
                                 request.now, placement_options{});
  if (load >= MaxLoad(job.patience)) return std::nullopt;
  state.demand_counted_at.clear();
  return placed_attempt{std::move(table), *choice, &server};
}

auto dispatcher::ChooseWithinLimits(const dispatch_job& job,
                                    const placement_group& group,
                                    placement_request request,
                                    std::vector<server_id>& excluded,
                                    job_state& state)
    -> std::optional<placement_choice> {
  const auto draw = ToUnitInterval(MixBits(request.random));
  const std::size_t entries = context_.state.registered_entries;
  std::optional<monotonic_ms> retry_after_ms;
  for (;;) {
    request.excluded = excluded;
    const auto choice =
        ChooseServer(group, context_.prefixes, request, placement_options{});
    if (!choice) break;
    const bool counts_demand =
        state.demand_counted_at.insert(choice->state).second;
    const auto wait_ms = choice->state->limit.Use(
        [&](server_limit& limit) -> std::optional<monotonic_ms> {
          if (counts_demand) limit.RecordDemand(request.now);
          if (limit.TryTake(draw, entries, request.now)) return std::nullopt;
          return limit.RetryAfterMs(entries, request.now);
        });
    if (!wait_ms) return choice;
    retry_after_ms = std::min(retry_after_ms.value_or(*wait_ms), *wait_ms);
    excluded.push_back(choice->server);
  }
  if (retry_after_ms) {
    throw request_refused(
        kStatusUnavailable, "servers_limited",
        "the servers take no more requests now", RanState(state.was_sent),
        static_cast<int>((*retry_after_ms + kMsPerSecond - 1) / kMsPerSecond));
  }
  return std::nullopt;
}

auto dispatcher::Place(const dispatch_job& job, job_state& state,
                       asio::yield_context yield) -> placed_attempt {
  for (;;) {
    if (auto placed = TryPlace(job, state)) return std::move(*placed);
    const auto now = context_.clock.Now();
    if (state.queued_since < 0) state.queued_since = now;
    if (now - state.queued_since >= MaxQueueMs(job.patience)) {
      throw request_refused(503, "no_capacity",
                            "no server could take the request in time",
                            RanState(state.was_sent), kOverloadRetryAfterS);
    }
    Pause(context_.io.get_executor(), kQueuePollInterval, yield);
    // No other server can take it: allow those that failed earlier, on a new
    // connection.
    state.excluded_servers.clear();
  }
}

auto dispatcher::Run(const dispatch_job& job, const answer_reader& read_answer,
                     asio::yield_context yield) -> dispatch_result {
  job_state state;
  context_.retries.RecordRequest();
  for (;;) {
    const auto placed = Place(job, state, yield);
    state.was_suspect = context_.state.suspects.Contains(job.fingerprint);
    const running_guard running(*placed.choice.state, job.fingerprint,
                                state.was_suspect);
    std::optional<http_call_error> failure;
    try {
      if (!TryOnce(job, placed, state, read_answer, yield)) continue;
    } catch (const http_call_error& error) {
      // Handled below: a fiber must not suspend inside a catch block, since the
      // exception's state belongs to the thread.
      failure = error;
    }
    if (failure) {
      HandleFailure(job, placed, state, *failure, yield);
      continue;
    }
    placed.choice.state->consecutive_failures = 0;
    if (context_.state.suspects.Remove(job.fingerprint)) {
      context_.state.report_cleared(job.fingerprint);
    }
    return {placed.server->name, state.attempts};
  }
}

auto dispatcher::TryOnce(const dispatch_job& job, const placed_attempt& placed,
                         job_state& state, const answer_reader& read_answer,
                         asio::yield_context yield) -> bool {
  const auto& server = *placed.server;
  const auto& deadlines = context_.state.settings.deadlines;
  auto connection = context_.upstreams.Acquire(
      server.host, server.port, /*fresh=*/!job.repeatable, deadlines, yield);
  // The configuration may have changed while the connection was made.
  EnsureAllowed(job, *context_.state.table.load(), RanState(state.was_sent));
  if (placed.choice.state->IsLeaving()) {
    context_.metrics->Count(entry_counter::kStoppedBeforeDispatch);
    return false;
  }
  ++state.attempts;
  LogDecision(job, placed, state);
  const auto request = job.make_request();
  const auto sent_at = context_.clock.Now();
  http_response_head head;
  try {
    head = connection->Send(request, deadlines, yield);
  } catch (const http_call_error& error) {
    state.was_sent |= error.failure_stage() != http_call_error::stage::kNotSent;
    throw;
  }
  RecordLimit(placed, head, sent_at);
  if (IsRefusedBeforeRun(head)) {
    if (head.Header("Lovagedale-Leaving") == "true") {
      placed.choice.state->ejected_until =
          context_.clock.Now() + kLeavingServerEjectionMs;
    }
    state.excluded_servers.push_back(server.name);
    return false;
  }
  state.was_sent = true;
  if (!job.prefixes.empty()) {
    context_.prefixes.Record(placed.choice.server, job.prefixes);
  }
  read_answer(*connection, head);
  context_.upstreams.Release(server.host, server.port, std::move(connection));
  return true;
}

auto dispatcher::RecordLimit(const placed_attempt& placed,
                             const http_response_head& head,
                             monotonic_ms sent_at) -> void {
  const auto text = head.Header(kServerLimitHeader);
  const auto limit_per_s = ParseServerLimit(text);
  if (!limit_per_s && !text.empty()) {
    log_line(log_level::kWarning, "limit_unreadable")
        .With("server", placed.server->name)
        .With("value", text);
    return;
  }
  const bool is_success = !IsRefusedBeforeRun(head) && IsSuccess(head.status);
  const limit_answer answer{limit_per_s, is_success, sent_at};
  const auto now = context_.clock.Now();
  placed.choice.state->limit.Use(
      [&](server_limit& limit) { limit.RecordAnswer(answer, now); });
}

auto dispatcher::HandleFailure(const dispatch_job& job,
                               const placed_attempt& placed, job_state& state,
                               const http_call_error& error,
                               asio::yield_context yield) -> void {
  const auto& server = *placed.server;
  log_line(log_level::kWarning, "server_failed")
      .With("request", job.request_id)
      .With("server", server.name)
      .With("reason", error.what());
  state.excluded_servers.push_back(server.name);
  context_.upstreams.DropIdle(server.host, server.port);
  if (error.failure_stage() == http_call_error::stage::kNotSent) {
    context_.metrics->Count(entry_counter::kConnectFailures);
    MarkUnreachable(placed);
    if (++state.connect_failures >= kMaxConnectFailures) {
      throw request_refused(503, "no_server", "no server could be reached",
                            RanState(state.was_sent), kOverloadRetryAfterS);
    }
    return;
  }
  context_.metrics->Count(entry_counter::kServerErrors);
  if (job.on_failure) job.on_failure();
  if (!error.timed_out()) {
    ++state.failures_after_send;
    if (HasCrashed(server, yield)) {
      HandleCrash(job, placed, state.was_suspect, yield);
    }
  }
  if (!job.repeatable) {
    throw request_refused(
        502, "outcome_unknown",
        "the server failed after the request was sent; it may have run and is "
        "not sent again",
        ran_state::kMaybe);
  }
  // A request that may have crashed two servers is not sent to a third one,
  // even if no crash was confirmed.
  if (state.failures_after_send >= kMaxFailuresAfterSend ||
      state.attempts >= kMaxAttempts || !context_.retries.TryRetry()) {
    throw request_refused(502, "server_failed",
                          "the server failed and the request was not retried",
                          ran_state::kMaybe, kOverloadRetryAfterS);
  }
  context_.metrics->Count(entry_counter::kRetries);
}

auto dispatcher::MarkUnreachable(const placed_attempt& placed) -> void {
  auto& state = *placed.choice.state;
  const auto failures =
      std::min(state.consecutive_failures.fetch_add(1), kMaxEjectionDoublings);
  const auto ejection_ms = std::min(kMinEjectionMs << failures, kMaxEjectionMs);
  state.ejected_until = context_.clock.Now() + ejection_ms;
}

auto dispatcher::HasCrashed(const backend_server& server,
                            asio::yield_context yield) -> bool {
  http_deadlines deadlines;
  deadlines.connect = kProbeTimeout;
  // A crashing process closes its connections before its listening socket, so
  // the first probe is delayed, and one successful probe alone does not show
  // that the server is up.
  for (const auto delay : kProbeDelays) {
    Pause(context_.io.get_executor(), delay, yield);
    try {
      http_connection connection(context_.io, server.host, server.port);
      connection.Connect(deadlines, yield);
    } catch (const http_call_error&) {
      return true;  // Nothing listens there any more.
    }
  }
  return false;
}

auto dispatcher::HandleCrash(const dispatch_job& job,
                             const placed_attempt& placed, bool was_suspect,
                             asio::yield_context yield) -> void {
  auto& state = *placed.choice.state;
  const auto now = context_.clock.Now();
  // The first request to detect the crash reports all that were running there.
  state.ejected_until = now + kCrashEjectionMs;
  if (state.TryReportCrash(now, kCrashEjectionMs)) {
    context_.metrics->Count(entry_counter::kServerCrashes);
    crash_report report{state.name(), {}, context_.NewRequestId()};
    for (const auto fingerprint : state.Running()) {
      context_.state.suspects.Add(fingerprint);
      report.candidates.push_back({fingerprint});
    }
    context_.state.report_crash(std::move(report));
  }
  if (!was_suspect) return;
  // The refusal waits until every entry has the quarantine: the caller may
  // resend the request to another entry as soon as it has the answer. Other
  // entries apply the quarantine within kQuarantinePropagation of this one.
  const auto deadline = now + kMaxQuarantineWait.count();
  while (context_.clock.Now() < deadline) {
    const auto table = context_.state.table.load();
    if (table->QuarantineOf(job.fingerprint, WallClockMs()) != nullptr) break;
    Pause(context_.io.get_executor(), kQuarantinePollInterval, yield);
  }
  Pause(context_.io.get_executor(), kQuarantinePropagation, yield);
  context_.metrics->Count(entry_counter::kQuarantined);
  throw request_refused(422, "quarantined",
                        "two servers crashed while they ran this request",
                        ran_state::kMaybe);
}

auto dispatcher::LogDecision(const dispatch_job& job,
                             const placed_attempt& placed,
                             const job_state& state) -> void {
  const auto& choice = placed.choice;
  std::string alternatives;
  for (const auto& name : job.alternatives) {
    if (!alternatives.empty()) alternatives += ',';
    alternatives += name;
  }
  const auto& target = job.pool.empty() ? job.version : job.pool;
  log_line(log_level::kInfo, "route")
      .With("request", job.request_id)
      .With("customer", job.customer)
      .With("target", target)
      .With("version_reason", job.version_reason)
      .With("alternatives", alternatives)
      .With("server", placed.server->name)
      .With("zone", placed.server->zone)
      .With("server_reason", ReasonName(choice.reason))
      .With("score", choice.score)
      .With("considered", choice.considered)
      .With("cached_blocks", choice.cached_blocks)
      .With("attempt", state.attempts)
      .With("revision", placed.table->revision());
  context_.state.decisions.Add(job.request_id,
                               boost::json::serialize(boost::json::value{
                                   {"customer", job.customer},
                                   {"target", target},
                                   {"version_reason", job.version_reason},
                                   {"alternatives", alternatives},
                                   {"server", placed.server->name},
                                   {"zone", placed.server->zone},
                                   {"server_reason", ReasonName(choice.reason)},
                                   {"score", choice.score},
                                   {"considered", choice.considered},
                                   {"cached_blocks", choice.cached_blocks},
                                   {"attempt", state.attempts},
                                   {"revision", placed.table->revision()}}));
}

}  // namespace lovagedale
