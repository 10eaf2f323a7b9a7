// The course of a relayed call: admission and attempts.

#pragma once

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cmath>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/relay/relay.h"

namespace lovagedale {

/// With less time remaining a server could not complete a request.
inline constexpr monotonic_ms kMinUsefulMs = 5;
/// Fraction of the remaining time that a server may take to its first byte
/// while another one may still be tried.
inline constexpr double kFirstByteRemainingFraction = 0.6;
/// Fraction of the remaining time that a plain answer's body may take after its
/// head while another server may still be tried.
inline constexpr double kBodyRemainingFraction = 0.6;
/// While another server may be tried, an attempt ends if no byte arrives for
/// kFirstByteLatencyFactor times the usual time to the first byte, but not
/// before kFirstByteMinObjectiveFraction of the route's objective.
inline constexpr double kFirstByteLatencyFactor = 4;
inline constexpr double kFirstByteMinObjectiveFraction = 0.5;
/// A stream resumes at another server if no event arrives for kStallPauseFactor
/// times the route's `pause_ms`, and for at least kMinStallMs.
inline constexpr monotonic_ms kStallPauseFactor = 2;
inline constexpr monotonic_ms kMinStallMs = 1'500;
/// A refusal's body is read only so that its connection can be reused: up to
/// this time and size.
inline constexpr std::chrono::milliseconds kMaxRefusalBodyTime{100};
inline constexpr std::size_t kMaxSkippedBytes = 64UL << 10U;
/// Longest idle time of a connection that is reused. The server may be closing
/// one that has been idle for long: the limit is lower for a request that must
/// not run twice.
inline constexpr monotonic_ms kMaxIdleOnceMs = 800;
inline constexpr monotonic_ms kMaxIdleRepeatableMs = 60'000;
/// Attempts per call, including those that were refused or could not connect.
inline constexpr std::uint32_t kMaxSends = 6;
/// Polling interval and longest wait for a server when none is listed.
inline constexpr std::chrono::milliseconds kServerPollInterval{40};
inline constexpr monotonic_ms kServerWaitMs = 400;
/// Longest wait of one call for the first routes after the process has started.
inline constexpr monotonic_ms kRoutesWaitMs = 800;
/// Longest wait for the routes by which another entry has admitted a call.
inline constexpr monotonic_ms kRevisionWaitMs = 300;
/// Delay before servers that were all full are tried again: about the duration
/// of one request of a plain service.
inline constexpr std::chrono::milliseconds kAllServersFullDelay{60};
/// A call is not sent again after so many servers have closed its connection
/// before their answers began: it may be the cause.
inline constexpr std::uint32_t kMaxBrokenUnanswered = 2;
/// A call that so many servers have refused for the model that its caller names
/// goes to no other one. More than one: an address may have been reassigned.
inline constexpr std::uint32_t kMaxModelRefusals = 2;
/// How long a server gets no calls after its address seemed to be reassigned.
/// The list usually shows by then whether it was.
inline constexpr monotonic_ms kMisdirectedPauseMs = 2'000;
/// Most models that are remembered of a server; services have a few.
inline constexpr std::size_t kMaxRunModels = 64;
/// A server that crashes by a call does so as it begins to answer: one that
/// still runs after this time has not crashed by the call.
inline constexpr monotonic_ms kAnswerSettledMs = 200;

template <call_protocol Protocol>
auto relay<Protocol>::Handle(http_exchange& exchange, call_origin origin)
    -> void {
  ++state_.active_calls;
  relayed_call<Protocol> call(state_, protocol_, exchange, origin);
  try {
    call.Run();
  } catch (...) {
    --state_.active_calls;
    throw;
  }
  --state_.active_calls;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Run() -> void {
  exchange_.OnCallerDisconnect([this] {
    caller_disconnected_ = true;
    EndWait();
    if (connection_) connection_->Close();
  });
  const auto ender = state_.enders.Register([this] { EndAttempt(); });
  if (!Admit()) return;
  RunAttempts();
  if (caller_disconnected_) {
    exchange_.CloseAfterResponse();
    LogOutcome("caller_gone", 0, "");
  }
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::AwaitRoutes() -> void {
  const auto deadline_ms =
      std::min(state_.routes_wait_deadline_ms, started_ms_ + kRoutesWaitMs);
  while (!state_.view && clock_.Now() < deadline_ms && !caller_disconnected_ &&
         !state_.ends_calls) {
    Pause(state_.context.get_executor(), kServerPollInterval,
          exchange_.yield());
  }
  const auto needed_revision = ForwardingNumber(forwarding_header::kRevision);
  const auto revision_deadline_ms = started_ms_ + kRevisionWaitMs;
  while (state_.view && state_.view->revision < needed_revision &&
         clock_.Now() < revision_deadline_ms && !caller_disconnected_ &&
         !state_.ends_calls) {
    Pause(state_.context.get_executor(), kServerPollInterval,
          exchange_.yield());
  }
  view_ = state_.view;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Admit() -> bool {
  const auto& request = exchange_.request();
  deadline_ms_ = started_ms_;
  try {
    call_ = protocol_.ReadCall(request);
  } catch (const call_malformed& error) {
    Refuse(refusal::kMalformed, error.what());
    return false;
  }
  AwaitRoutes();
  if (!view_ || view_->routes.version() == 0 ||
      view_->revision < ForwardingNumber(forwarding_header::kRevision)) {
    Refuse(refusal::kNoConfiguration, "");
    return false;
  }
  if (const auto why = MatchRoute()) {
    Refuse(*why, "");
    return false;
  }
  if (caller_disconnected_) {
    exchange_.CloseAfterResponse();
    LogOutcome("caller_gone", 0, "");
    return false;
  }
  if (state_.stop_deadline_ms && !CanEndBefore(*state_.stop_deadline_ms)) {
    Refuse(refusal::kStopping, "");
    return false;
  }
  if (IsQuarantined()) {
    trial_ = state_.crashes.StartTrial(crash_candidates_);
    if (!trial_) {
      Refuse(refusal::kQuarantined, "");
      return false;
    }
    if (state_.log.AllowFailure(clock_.Now())) {
      log_line(log_level::kInfo, "quarantine_trial_started")
          .With("request", call_.id)
          .With("route", match_.matched_route->name);
    }
  }
  CountRequest();
  return true;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::MatchRoute() -> std::optional<refusal> {
  const auto& request = exchange_.request();
  match_ =
      view_->routes.Match(request.Header("Host"), request.Path(), call_.key);
  if (match_.verdict == route_verdict::kNoRoute) return refusal::kNoRoute;
  if (match_.verdict == route_verdict::kUnknownKey) return refusal::kUnknownKey;
  if (!IsModelAllowed()) return refusal::kUnknownModel;
  const auto& item = *match_.matched_route;
  const auto limit =
      std::min(item.timeout_ms, call_.time_limit_ms.value_or(item.timeout_ms));
  deadline_ms_ = started_ms_ + limit;
  crash_candidates_ = CrashCandidates(
      call_, match_.customer == nullptr ? "" : match_.customer->name, request);
  service_ = ChooseService(item, MixBits(Hash64(call_.id)));
  // All requests of a session use the same version of a service.
  session_hash_ =
      HashFields(service_, call_.session.empty() ? call_.id : call_.session);
  tier_ = FirstModel();
  return std::nullopt;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::FollowRoutes() -> std::optional<refusal> {
  if (!state_.view || state_.view == view_) return std::nullopt;
  const auto former_service = service_;
  // match_ points into the view.
  view_ = state_.view;
  const auto why = MatchRoute();
  if (!why && service_ != former_service) CountRequest();
  return why;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CountRequest() -> void {
  // A forwarded request is counted by the entry that got it from the caller.
  if (origin_ == call_origin::kCaller) {
    state_.RetriesOf(service_).CountRequest(clock_.Now());
  }
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CanEndBefore(monotonic_ms stop_ms) const -> bool {
  const auto durations =
      state_.recent_call_durations.find(match_.matched_route->name);
  call_bounds call{started_ms_, deadline_ms_,
                   match_.matched_route->kind == route_kind::kStream,
                   std::nullopt};
  if (durations != state_.recent_call_durations.end()) {
    call.longest_ms = durations->second.Longest(started_ms_);
  }
  return EndsBefore(call, stop_ms);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::IsModelAllowed() const -> bool {
  const auto& models = match_.matched_route->models;
  return !call_.model || models.empty() ||
         std::find(models.begin(), models.end(), *call_.model) != models.end();
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::SentModel() const -> std::string {
  const auto& models = match_.matched_route->models;
  if (call_.leaves_model_choice && !models.empty()) return models[tier_];
  return call_.model.value_or("");
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RecordRun(const server_handle& server) -> void {
  server->misdirects_until_ms = 0;
  auto& models = server->run_models;
  if (models.size() < kMaxRunModels) models.insert(SentModel());
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RecordMisdirected(const server_handle& server)
    -> void {
  const auto& models = match_.matched_route->models;
  const bool names_no_model =
      !call_.model && !call_.leaves_model_choice && models.empty();
  // What the server has run before, or what needs no model, only another server
  // refuses like this.
  if (names_no_model || server->run_models.contains(SentModel())) {
    server->misdirects_until_ms = clock_.Now() + kMisdirectedPauseMs;
    return;
  }
  ++model_refusals_;
  // A call that may run once has started on a larger model; servers may not
  // have it.
  if (runs_ == 0 && !call_.model && tier_ > 0) --tier_;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::IsModelRefused() const -> bool {
  const bool is_callers_model =
      !call_.leaves_model_choice || match_.matched_route->models.empty();
  return is_callers_model && model_refusals_ > 0 &&
         (model_refusals_ >= kMaxModelRefusals || model_refusals_ == sends_);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::MayRepeat() const -> bool {
  const auto& item = *match_.matched_route;
  return item.kind == route_kind::kRepeatable ||
         (item.kind == route_kind::kStream && item.resumable);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::IsQuarantined() -> bool {
  return !trial_ && state_.crashes.QuarantinedKey(crash_candidates_);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RecordBroken(const server_handle& server,
                                          const http_call_error& failure)
    -> void {
  if (failure.timed_out() || is_settled_ || !server->TakesCalls()) return;
  ++broken_unanswered_;
  trial_.reset();
  state_.crashes.RecordBroken(server, crash_candidates_);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RunAttempts() -> void {
  if (!AwaitTurn()) return;
  const auto server_wait_deadline_ms = clock_.Now() + kServerWaitMs;
  while (!caller_disconnected_) {
    if (RemainingMs() < kMinUsefulMs || state_.ends_calls) break;
    const auto server = PickServer();
    const auto helper = server ? nullptr : PickHelper();
    if (helper) {
      const auto result = AttemptThrough(helper);
      LogForward(helper, result);
      if (result == attempt_result::kAnswered || caller_disconnected_) return;
      if (!AllowsAnotherAttempt(result)) break;
      continue;
    }
    if (!server) {
      if (exchange_.HasStarted()) {
        // The rest of the stream waits for a server until the time limit.
        Pause(state_.context.get_executor(), kServerPollInterval,
              exchange_.yield());
        continue;
      }
      if (sends_ > 0 || CountAvailableServers() > 0 ||
          state_.servers.IsServiceEvacuated(service_) ||
          clock_.Now() >= server_wait_deadline_ms) {
        break;
      }
      Pause(state_.context.get_executor(), kServerPollInterval,
            exchange_.yield());
      if (const auto why = FollowRoutes()) {
        if (!caller_disconnected_) {
          Refuse(*why, "the routes changed while it waited for a server");
        }
        return;
      }
      continue;
    }
    const auto result = Attempt(server);
    LogAttempt(server, result, attempt_reason_);
    if (result == attempt_result::kAnswered || caller_disconnected_) return;
    if (!AllowsAnotherAttempt(result)) break;
    if (result == attempt_result::kNotReached && exchange_.HasStarted()) {
      Pause(state_.context.get_executor(), kServerPollInterval,
            exchange_.yield());
    }
    if (result == attempt_result::kNotRun &&
        tried_servers_.size() >= CountAvailableServers()) {
      // All servers are full and would refuse an immediate retry.
      tried_servers_.clear();
      Pause(state_.context.get_executor(), kAllServersFullDelay,
            exchange_.yield());
    }
  }
  if (!caller_disconnected_) Finish();
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CountAvailableServers() const -> std::size_t {
  const auto& servers = state_.servers.Servers(service_);
  return static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(),
                    [](const auto& server) { return server->TakesCalls(); }));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::AllowsAnotherAttempt(attempt_result result)
    -> bool {
  const bool is_reserved = std::exchange(has_reserved_attempt_, false);
  if (broken_unanswered_ >= kMaxBrokenUnanswered || IsQuarantined() ||
      (IsModelRefused() && model_refusals_ >= kMaxModelRefusals)) {
    return false;
  }
  if (result == attempt_result::kNotReached && exchange_.HasStarted()) {
    // Not counted: the rest of the stream waits for a server that is reached.
    --sends_;
    return true;
  }
  if (sends_ >= kMaxSends) return false;
  // A failed connection adds no load to the servers.
  if (result == attempt_result::kNotReached) return true;
  if (runs_ >= MaxAttempts()) return false;
  // EscalateIfUncertain has counted this retry in the budget already.
  if (result == attempt_result::kEscalated) return true;
  return is_reserved || state_.RetriesOf(service_).TryRetry(clock_.Now());
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ReserveAttempt(const server_handle& server)
    -> bool {
  if (has_reserved_attempt_) return true;
  if (sends_ >= kMaxSends || RemainingMs() < kMinUsefulMs ||
      (was_sent_ && runs_ >= MaxAttempts())) {
    return false;
  }
  const auto servers = CollectServers();
  if (std::all_of(servers.begin(), servers.end(),
                  [&](const auto& other) { return other == server; })) {
    return false;
  }
  // A connection that is being made adds no load to the servers.
  if (!was_sent_) return true;
  has_reserved_attempt_ = state_.RetriesOf(service_).TryRetry(clock_.Now());
  return has_reserved_attempt_;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::GiveUpAttempt(const server_handle& server,
                                           give_up_reason why) -> bool {
  if (given_up_ != give_up_reason::kNone) return true;
  if (!connection_ || !ReserveAttempt(server)) return false;
  given_up_ = why;
  connection_->Close();
  return true;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::EndAttempt() -> void {
  EndWait();
  if (!connection_) return;
  given_up_ = give_up_reason::kStopping;
  connection_->Close();
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::FirstByteTimeoutMs(monotonic_ms remaining_ms) const
    -> monotonic_ms {
  const auto& item = *match_.matched_route;
  const auto remaining_limit_ms =
      static_cast<double>(remaining_ms) * kFirstByteRemainingFraction;
  const auto tier = state_.tiers.find(TierKey());
  const auto objective = static_cast<double>(item.objective_ms);
  const auto usual_ms =
      tier == state_.tiers.end()
          ? objective
          : tier->second.first_event.ExpectedMs(clock_.Now(), objective);
  const auto silence_limit_ms =
      std::max(usual_ms * kFirstByteLatencyFactor,
               objective * kFirstByteMinObjectiveFraction);
  return std::max<monotonic_ms>(1, static_cast<monotonic_ms>(std::min(
                                       remaining_limit_ms, silence_limit_ms)));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::TierKey() const
    -> std::pair<std::string, std::string> {
  const auto& item = *match_.matched_route;
  return {item.name, item.models.empty() ? "" : item.models[tier_]};
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::StallTimeoutMs() const -> monotonic_ms {
  return std::max(kMinStallMs,
                  match_.matched_route->pause_ms * kStallPauseFactor);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Deadlines() const -> http_deadlines {
  const std::chrono::milliseconds remaining(
      std::max<monotonic_ms>(1, RemainingMs()));
  http_deadlines deadlines;
  deadlines.connect = std::min(kServerConnectTimeout, remaining);
  deadlines.first_byte = remaining;
  deadlines.between_reads = remaining;
  deadlines.body = remaining;
  return deadlines;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::SendTo(const server_handle& server)
    -> http_response_head {
  const bool is_once = !MayRepeat();
  auto pooled =
      refusing_servers_.contains(server->listed.id)
          ? state_.pool.Create(server->listed)
          : state_.pool.Acquire(server->listed, is_once ? kMaxIdleOnceMs
                                                        : kMaxIdleRepeatableMs);
  connection_ = std::move(pooled.connection);
  is_connection_fresh_ = pooled.is_fresh;
  const auto deadlines = Deadlines();
  if (pooled.is_fresh) {
    connect_began_ms_ = clock_.Now();
    connection_->Connect(deadlines, exchange_.yield());
    state_.servers.MarkReachable(*server, clock_.Now());
    state_.prober.ReportRoundTrip(server, connect_began_ms_);
  }
  if (caller_disconnected_) {
    throw http_call_error(http_call_error::stage::kNotSent,
                          "caller disconnected");
  }
  call_dispatch dispatch;
  dispatch.server = &server->listed;
  if (match_.customer != nullptr) dispatch.customer = match_.customer->name;
  dispatch.remaining_ms = std::max<monotonic_ms>(1, RemainingMs());
  const auto& models = match_.matched_route->models;
  if (!models.empty()) dispatch.model = models[tier_];
  dispatch.priority = match_.Priority();
  dispatch.after_event = events_.last_event();
  if (!dispatch.after_event) dispatch.after_event = call_.after_event;
  auto request = protocol_.ServerRequest(exchange_.request(), call_, dispatch);
  ++runs_;
  was_sent_ = true;
  sent_ms_ = clock_.Now();
  if (silence_) silence_->Begin(FirstByteTimeoutMs(RemainingMs()));
  auto head =
      connection_->Send(std::move(request), deadlines, exchange_.yield());
  state_.prober.ReportRoundTrip(server, sent_ms_);
  head = ReadMatchingHead(std::move(head), deadlines);
  if (silence_) silence_->End();
  return head;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RecordNotices(
    const server_handle& server, const http_response_head& head,
    const server_answer_metadata& metadata) -> void {
  // Another server may have answered.
  if (metadata.is_misdirected) return;
  const auto now = clock_.Now();
  if (!metadata.unreadable_notices.empty() && state_.log.AllowFailure(now)) {
    log_line(log_level::kWarning, "notice_unreadable")
        .With("server", server->listed.id)
        .With("names", metadata.unreadable_notices);
  }
  if (metadata.is_leaving && !server->has_announced_leaving) {
    server->has_announced_leaving = true;
    log_line(log_level::kInfo, "server_leaving_announced")
        .With("server", server->listed.id);
  }
  if (metadata.pause_s) {
    const auto until_ms =
        now + static_cast<monotonic_ms>(std::ceil(*metadata.pause_s * 1'000));
    server->paused_until_ms = std::max(server->paused_until_ms, until_ms);
  }
  server->rejections.RecordAnswer(metadata.max_rejections_per_s, now);
  if (metadata.not_run) {
    server->rejections.RecordRejection(state_.entries, now);
  }
  RecordLimit(server, head, metadata);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RecordLimit(const server_handle& server,
                                         const http_response_head& head,
                                         const server_answer_metadata& metadata)
    -> void {
  // A limit that cannot be parsed leaves the former one in force.
  if (metadata.is_limit_unreadable) return;
  const bool is_success = !metadata.not_run && IsSuccess(head.status);
  const limit_answer answer{metadata.limit_per_s, is_success, sent_ms_};
  if (!server->limit.RecordAnswer(answer, clock_.Now())) return;
  state_.on_limit_changed();
  log_line(log_level::kInfo,
           metadata.limit_per_s ? "limit_named" : "limit_ended")
      .With("server", server->listed.id)
      .With("per_second", metadata.limit_per_s.value_or(0))
      .With("passed_first", server->limited.passed_first)
      .With("passed_other", server->limited.passed_other)
      .With("held_back", server->limited.held_back);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CheckRefusal(
    const server_answer_metadata& metadata) -> void {
  if (!metadata.request_id.empty() || is_connection_fresh_) return;
  // Not a crash of the server.
  is_settled_ = true;
  throw http_call_error(http_call_error::stage::kSent,
                        "a refusal without an id on a used connection");
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::IsCancelled() -> bool {
  if (given_up_ == give_up_reason::kZoneLost) {
    attempt_reason_ = "the zone of the server is lost";
  } else if (given_up_ == give_up_reason::kStopping) {
    attempt_reason_ = "this process stops";
  } else {
    return false;
  }
  return true;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Attempt(const server_handle& server)
    -> attempt_result {
  auto result = attempt_result::kMaybeRun;
  const auto model_refusals_before = model_refusals_;
  attempt_reason_.clear();
  was_sent_ = false;
  first_event_ms_.reset();
  is_settled_ = false;
  tried_servers_.push_back(server->listed.id);
  demand_counted_at_.clear();
  ++sends_;
  ++server->in_flight;
  AddPromptWork(server);
  std::optional<http_call_error> failure;
  bool has_caller_write_failed = false;
  // An attempt that can be repeated elsewhere is cancelled when the server's
  // zone is lost or the server is silent.
  auto& attempt_cancellers = server->attempt_cancellers;
  auto cancel_entry = attempt_cancellers.end();
  given_up_ = give_up_reason::kNone;
  if (MayRepeat()) {
    cancel_entry =
        attempt_cancellers.insert(attempt_cancellers.end(), [this, server] {
          return GiveUpAttempt(server, give_up_reason::kZoneLost);
        });
    silence_ = std::make_unique<silence_timer>(
        state_.context.get_executor(),
        [this, server] { GiveUpAttempt(server, give_up_reason::kSilent); });
  }
  try {
    const auto head = SendTo(server);
    const auto metadata = protocol_.ReadAnswer(head);
    RecordNotices(server, head, metadata);
    if (metadata.not_run || metadata.is_misdirected) {
      CheckRefusal(metadata);
      refusing_servers_.insert(server->listed.id);
      --runs_;
      attempt_reason_ = "refused with " + std::to_string(head.status);
      result = attempt_result::kNotRun;
      if (metadata.is_misdirected) RecordMisdirected(server);
      // The head states that the request was not run, however the body ends.
      if (!SkipRefusalBody()) {
        attempt_reason_ += ", in a body that did not end";
      }
    } else if (RecordRun(server); EscalateIfUncertain(server, metadata)) {
      result = attempt_result::kEscalated;
      may_have_run_ = true;
      connection_->Close();
    } else {
      may_have_run_ = true;
      result = IsStreamAnswer(head) ? RelayStream(server, head)
                                    : RelayFullAnswer(server, head);
    }
    if (result != attempt_result::kEscalated) {
      state_.pool.Release(server->listed.id, std::move(connection_),
                          head.keep_alive_timeout);
    }
  } catch (const http_call_error& error) {
    failure = error;
  } catch (const caller_disconnected_error&) {
    has_caller_write_failed = true;
  }
  --server->in_flight;
  if (cancel_entry != attempt_cancellers.end()) {
    attempt_cancellers.erase(cancel_entry);
  }
  silence_.reset();
  ReleasePromptWork();
  connection_.reset();
  const auto now = clock_.Now();
  if (has_caller_write_failed) {
    caller_disconnected_ = true;
    return attempt_result::kAnswered;
  }
  if (!failure) {
    // A refusal for the model says nothing about the server's health.
    if (result == attempt_result::kNotRun) {
      if (model_refusals_ == model_refusals_before) {
        server->health.RecordFailure(now);
      }
    } else if (result != attempt_result::kFailed) {
      server->health.RecordSuccess(now);
    }
    return result;
  }
  if (caller_disconnected_) return attempt_result::kAnswered;
  attempt_reason_ = failure->what();
  if (failure->failure_stage() == http_call_error::stage::kNotSent) {
    // No byte reached the server, so this does not count as a run.
    if (was_sent_) --runs_;
    // The cancellation is no evidence against the server or its zone.
    if (IsCancelled()) return attempt_result::kNotReached;
    state_.pool.Drop(server->listed.id);
    if (was_sent_) {
      // The server has closed an idle connection.
      state_.prober.ProbeOnce(server);
    } else {
      state_.prober.ReportUnreachable(
          server, {connect_began_ms_, failure->was_refused()});
    }
    return attempt_result::kNotReached;
  }
  may_have_run_ = true;
  // The cancellation is no evidence against the server or its version.
  if (IsCancelled()) return attempt_result::kMaybeRun;
  const bool is_silent = given_up_ == give_up_reason::kSilent;
  if (is_silent) {
    attempt_reason_ = "the server is silent";
  } else {
    RecordBroken(server, *failure);
  }
  server->health.RecordFailure(now);
  if (failure->timed_out() || is_silent) state_.prober.ProbeOnce(server);
  state_.pool.Drop(server->listed.id);
  CountAnswer(server, /*failed=*/true);
  return attempt_result::kMaybeRun;
}

}  // namespace lovagedale
