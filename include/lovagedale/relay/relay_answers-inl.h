// The end of a relayed call: servers' answers, refusals, counters, log lines.

#pragma once

#include <algorithm>

#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/relay/relay.h"
#include "lovagedale/scheduling/model_choice.h"

namespace lovagedale {

/// Answers to other requests that are skipped on one connection.
inline constexpr int kMaxMismatchedAnswers = 3;
/// Largest plain answer that is relayed. It is held as a whole, so that another
/// server can be tried if it breaks off.
inline constexpr std::size_t kMaxPlainAnswerBytes = 16UL << 20U;
/// Ratio of a larger model's time to the first event to a small one's that is
/// assumed before any was seen: a few times the work, but the same queue.
inline constexpr double kLargerModelLatencyFactor = 2;
/// Retry-After is at most this fraction of the caller's remaining time: the
/// retry needs the rest of it.
inline constexpr double kMaxRetryAfterFraction = 1.0 / 3;

/// For logs and metrics.
inline auto ResultName(attempt_result result) -> const char* {
  // In the order of attempt_result.
  static constexpr const char* kNames[] = {
      "answered", "unreached", "not_run", "maybe_run", "failed", "next_model"};
  return kNames[static_cast<std::size_t>(result)];
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ReadMatchingHead(http_response_head head,
                                              const http_deadlines& deadlines)
    -> http_response_head {
  // Answers to other requests do not extend the time to this one's head.
  const auto remaining = [&] {
    const auto left =
        std::max(std::chrono::milliseconds(1),
                 deadlines.first_byte -
                     std::chrono::milliseconds(clock_.Now() - sent_ms_));
    return http_deadlines{deadlines.connect, left, left, left};
  };
  for (int i = 0;; ++i) {
    const auto metadata = protocol_.ReadAnswer(head);
    if (metadata.request_id.empty() || metadata.request_id == call_.id) {
      return head;
    }
    log_line(log_level::kWarning, "mismatched_answer")
        .With("request", call_.id)
        .With("answer_to", metadata.request_id);
    if (i == kMaxMismatchedAnswers) {
      throw http_call_error(http_call_error::stage::kSent,
                            "received only answers to other requests");
    }
    if (!connection_->SkipRest(remaining(), kMaxSkippedBytes,
                               exchange_.yield())) {
      throw http_call_error(http_call_error::stage::kSent,
                            "an answer to another request did not end");
    }
    head = connection_->ReadHead(remaining(), exchange_.yield());
  }
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::EscalateIfUncertain(
    const server_handle& server, const server_answer_metadata& metadata)
    -> bool {
  const auto& item = *match_.matched_route;
  if (tier_ + 1 >= item.models.size() || !metadata.confidence ||
      exchange_.HasStarted()) {
    return false;
  }
  auto& threshold = state_.tiers[{item.name, item.models[tier_]}].threshold;
  threshold.Add(*metadata.confidence);
  // The small model's answer indicates how busy the servers are.
  const auto assumed_ms =
      static_cast<double>(clock_.Now() - sent_ms_) * kLargerModelLatencyFactor;
  auto decision = DecideEscalation(EscalationInput(
      item.models.size() - 1, *metadata.confidence, threshold, assumed_ms));
  if (decision == escalation_decision::kEscalate &&
      (runs_ >= MaxAttempts() ||
       (!std::exchange(has_reserved_attempt_, false) &&
        !state_.RetriesOf(service_).TryRetry(clock_.Now())))) {
    decision = escalation_decision::kNoAttempt;
  }
  if (decision != escalation_decision::kEscalate) {
    if (decision != escalation_decision::kConfident) {
      const auto* customer = match_.customer;
      ++state_.escalations_given_up[{customer == nullptr ? "" : customer->name,
                                     item.models.back(), decision}];
    }
    return false;
  }
  CountAnswer(server, /*failed=*/false);
  tier_ = item.models.size() - 1;
  return true;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::FirstModel() const -> std::size_t {
  const auto& item = *match_.matched_route;
  if (item.models.empty() || call_.model || MayRepeat()) return 0;
  const auto& smallest = state_.tiers[{item.name, item.models.front()}];
  const auto assumed_ms =
      smallest.first_event.ExpectedMs(clock_.Now(), /*unknown_ms=*/0) *
      kLargerModelLatencyFactor;
  for (auto model = item.models.size() - 1; model > 0; --model) {
    if (StartsOnLargerModel(EscalationInput(model, /*confidence=*/0,
                                            smallest.threshold, assumed_ms))) {
      return model;
    }
  }
  return 0;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::EscalationInput(
    std::size_t model, double confidence, const confidence_threshold& threshold,
    double assumed_ms) const -> escalation_input {
  const auto now = clock_.Now();
  const auto& item = *match_.matched_route;
  const auto& larger =
      state_.tiers[{item.name, item.models[model]}].first_event;
  escalation_input input;
  input.confidence = confidence;
  input.threshold = threshold.Threshold();
  input.priority = match_.Priority();
  input.objective_ms = static_cast<double>(item.objective_ms);
  input.elapsed_ms = static_cast<double>(now - started_ms_);
  input.expected_ms = larger.ExpectedMs(now, assumed_ms);
  input.size_ratio = larger.SizeRatio(call_.prompt_tokens, now);
  input.may_run_again = MayRepeat();
  for (const auto& other : view_->routes.config().routes) {
    const bool uses_service = std::any_of(
        other.services.begin(), other.services.end(),
        [&](const auto& target) { return target.service == service_; });
    if (!uses_service || other.models.empty() || other.name == item.name) {
      continue;
    }
    const auto tier = state_.tiers.find({other.name, other.models.front()});
    if (tier == state_.tiers.end()) continue;
    input.other_routes.push_back(
        {other.priority, static_cast<double>(other.objective_ms),
         tier->second.first_event.ExpectedMs(now, /*unknown_ms=*/0)});
  }
  return input;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::IsStreamAnswer(
    const http_response_head& head) const -> bool {
  // What resumes a stream must be one of the same type.
  return match_.matched_route->kind == route_kind::kStream &&
         head.status == 200 &&
         (!exchange_.HasStarted() || head.content_type == stream_content_type_);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::FailMalformed() -> void {
  throw http_call_error(http_call_error::stage::kAnswerBroken,
                        "a resumed stream has text that is no event");
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::StartStream(const http_response_head& head)
    -> void {
  if (exchange_.HasStarted()) return;
  stream_content_type_ = head.content_type;
  exchange_.StartStream(head.status, head.content_type, AnswerHeaders(head));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RelayFullAnswer(const server_handle& server,
                                             const http_response_head& head)
    -> attempt_result {
  auto memory = std::make_unique<byte_reservation>(state_.answer_memory);
  if (silence_) {
    silence_->Begin(std::max<monotonic_ms>(
        1, static_cast<monotonic_ms>(static_cast<double>(RemainingMs()) *
                                     kBodyRemainingFraction)));
  }
  auto body = connection_->ReadAll(Deadlines(), exchange_.yield(),
                                   kMaxPlainAnswerBytes, memory.get());
  if (silence_) silence_->End();
  const bool is_failure = head.status >= 500;
  first_event_ms_ = clock_.Now();
  RecordSettled();
  CountAnswer(server, is_failure);
  RecordAnswerTime();
  if (is_failure || exchange_.HasStarted()) {
    attempt_reason_ = "answered " + std::to_string(head.status);
    server->health.RecordFailure(clock_.Now());
    kept_failure_ = kept_failure{head, std::move(body), std::move(memory)};
    return attempt_result::kFailed;
  }
  exchange_.Respond(head.status, head.content_type, body, AnswerHeaders(head));
  LogOutcome("answered", head.status, "");
  return attempt_result::kAnswered;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ReadStream(monotonic_ms last_event_ms)
    -> std::string_view {
  if (RemainingMs() <= 0) {
    throw http_call_error(http_call_error::stage::kAnswerBroken,
                          "the stream lasts beyond the time limit",
                          /*timed_out=*/true);
  }
  // Bytes that complete no event do not extend the wait.
  if (silence_) {
    silence_->Begin(std::max<monotonic_ms>(
        1, last_event_ms + StallTimeoutMs() - clock_.Now()));
  }
  const auto bytes = connection_->ReadSome(Deadlines(), exchange_.yield());
  if (silence_) silence_->End();
  return bytes;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RelayStream(const server_handle& server,
                                         const http_response_head& head)
    -> attempt_result {
  const bool is_resumed = exchange_.HasStarted();
  events_.Restart();
  // An error that the next server writes must not become a part of the stream.
  if (is_resumed) events_.RequireFields();
  std::uint64_t reads_with_events = 0;
  byte_reservation memory(state_.answer_memory);
  auto last_event_ms = clock_.Now();
  for (;;) {
    const auto bytes = ReadStream(last_event_ms);
    if (bytes.empty()) break;
    if (server) state_.prober.ReportReceived(server);
    const auto event_count = events_.event_count();
    const auto events = events_.Feed(bytes);
    if (events_.partial_bytes() > kMaxEventBytes ||
        !memory.Resize(events_.partial_bytes())) {
      throw http_call_error(http_call_error::stage::kAnswerBroken,
                            "an event of " +
                                std::to_string(events_.partial_bytes()) +
                                " bytes is not complete");
    }
    if (events_.event_count() > event_count) last_event_ms = clock_.Now();
    const bool is_malformed = events_.HasMalformedEvent();
    if (events.empty()) {
      if (is_malformed) FailMalformed();
      continue;
    }
    ++reads_with_events;
    if (reads_with_events == 1) {
      CountFirstEvent(server);
      first_event_ms_ = clock_.Now();
    } else if (reads_with_events == 2) {
      CountFirstPause(server, clock_.Now() - *first_event_ms_);
    }
    ReleasePromptWork();
    if (clock_.Now() - *first_event_ms_ >= kAnswerSettledMs) RecordSettled();
    StartStream(head);
    exchange_.Write(events);
    // The caller has the events before it, after which the next server resumes.
    if (is_malformed) FailMalformed();
    // The caller's reading takes no time from the server.
    last_event_ms = clock_.Now();
  }
  if (events_.HasPartialEvent()) {
    throw http_call_error(http_call_error::stage::kAnswerBroken,
                          "stream ended in the middle of an event");
  }
  if (is_resumed && reads_with_events == 0 &&
      connection_->EndsWithConnection()) {
    throw http_call_error(
        http_call_error::stage::kAnswerBroken,
        "a resumed stream ended without an event or a length");
  }
  StartStream(head);
  exchange_.EndStream();
  if (reads_with_events > 0) {
    RecordSettled();
  } else if (server) {
    // Without a length, the end of an empty answer may be a crash.
    state_.crashes.RecordBroken(server, crash_candidates_);
  }
  LogOutcome("streamed", head.status, "");
  return attempt_result::kAnswered;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CountAnswer(const server_handle& server,
                                         bool failed) -> void {
  auto* counts = VersionAnswers(server);
  if (counts == nullptr) return;
  ++counts->requests;
  if (failed) {
    ++counts->failures;
  } else {
    const auto ms = clock_.Now() - sent_ms_;
    counts->latency_sum_ms += static_cast<std::uint64_t>(ms);
    counts->first_events.Add(static_cast<double>(ms));
  }
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CountFirstPause(const server_handle& server,
                                             monotonic_ms pause_ms) -> void {
  auto* counts = VersionAnswers(server);
  if (counts == nullptr) return;
  counts->first_pauses.Add(static_cast<double>(pause_ms));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::VersionAnswers(const server_handle& server)
    -> version_answers* {
  if (!server) return nullptr;
  const auto* rollout = view_->RolloutOf(service_);
  if (rollout == nullptr || !rollout->IsRunning()) return nullptr;
  const auto& [route, model] = TierKey();
  return &state_.answers[{service_, server->listed.version, route, model}];
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CountFirstEvent(const server_handle& server)
    -> void {
  CountAnswer(server, /*failed=*/false);
  // Times through another entry say nothing about the servers.
  if (!server) return;
  RecordAnswerTime();
  RecordPrediction(server);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RecordSettled() -> void {
  if (is_settled_) return;
  is_settled_ = true;
  state_.crashes.RecordAnswered(crash_candidates_, *first_event_ms_);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RecordAnswerTime() -> void {
  const auto now = clock_.Now();
  const auto ms = static_cast<double>(now - sent_ms_);
  state_.tiers[TierKey()].first_event.RecordFirstEvent(ms, now,
                                                       call_.prompt_tokens);
  state_.first_event_histograms[TierKey()].Add(ms);
  if (prompt_server_) {
    state_.admission.RecordFirstEvent(service_, ms, queued_work_);
  }
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Finish() -> void {
  if (exchange_.HasStarted()) {
    // The caller has received part of a stream that cannot be resumed.
    exchange_.CloseAfterResponse();
    LogOutcome("stream_cut", 0, attempt_reason_);
    return;
  }
  if (kept_failure_) {
    RelayKeptFailure();
    return;
  }
  const bool is_late = RemainingMs() < kMinUsefulMs;
  if (!may_have_run_ && IsQuarantined()) {
    Refuse(refusal::kQuarantined, attempt_reason_);
  } else if (may_have_run_) {
    Refuse(is_late             ? refusal::kTimeout
           : state_.ends_calls ? refusal::kStopped
                               : refusal::kBadGateway,
           attempt_reason_);
  } else if (IsModelRefused()) {
    Refuse(refusal::kUnknownModel, attempt_reason_);
  } else if (is_late) {
    Refuse(refusal::kExpired, attempt_reason_);
  } else if (state_.ends_calls) {
    Refuse(refusal::kStopping, attempt_reason_);
  } else if (limited_until_ms_) {
    Refuse(refusal::kServersLimited, attempt_reason_);
  } else {
    Refuse(state_.servers.IsServiceEvacuated(service_) ? refusal::kEvacuated
           : CountAvailableServers() == 0              ? refusal::kNoServer
           : CountReachableServers() == 0              ? refusal::kUnreachable
                                          : refusal::kServersRefuse,
           attempt_reason_);
  }
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RelayKeptFailure() -> void {
  exchange_.Respond(kept_failure_->head.status,
                    kept_failure_->head.content_type, kept_failure_->body,
                    AnswerHeaders(kept_failure_->head));
  LogOutcome("server_failure", kept_failure_->head.status, attempt_reason_);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Refuse(refusal why, const std::string& detail)
    -> void {
  const auto answer = AnswerFor(why);
  header_list headers;
  if (!call_.id.empty()) headers = protocol_.OwnAnswerHeaders(call_);
  if (why == refusal::kServersLimited || why == refusal::kOverloaded) {
    const auto after_ms =
        std::max<monotonic_ms>(0, *limited_until_ms_ - clock_.Now());
    headers.emplace_back("Retry-After",
                         FormatSeconds(static_cast<double>(after_ms) / 1'000));
  } else if (answer.retry_after_s) {
    // Jitter, so that callers refused together do not retry together.
    const auto jitter_factor = 0.5 + ToUnitInterval(state_.random());
    auto after_s = *answer.retry_after_s * jitter_factor;
    if (match_.matched_route != nullptr) {
      const auto remaining_s = static_cast<double>(RemainingMs()) / 1'000;
      after_s = std::clamp(remaining_s * kMaxRetryAfterFraction, 0.0, after_s);
    }
    headers.emplace_back("Retry-After", FormatSeconds(after_s));
  }
  if (origin_ == call_origin::kEntry) {
    headers.emplace_back(forwarding_header::kRefusedBy, MayServeElsewhere(why)
                                                            ? kEntryRefuses
                                                            : kFleetRefuses);
    headers.emplace_back(forwarding_header::kAttempts, std::to_string(runs_));
  }
  exchange_.Respond(
      answer.status, "application/json",
      std::string(R"({"error":{"type":")") + answer.reason + R"("}})", headers);
  LogOutcome(answer.reason, answer.status, detail);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CountAttempt(attempt_result result) -> bool {
  ++state_.attempt_counts[ResultName(result)];
  return result != attempt_result::kAnswered &&
         result != attempt_result::kEscalated &&
         state_.log.AllowFailure(clock_.Now());
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::LogAttempt(const server_handle& server,
                                        attempt_result result,
                                        const std::string& reason) -> void {
  if (!CountAttempt(result)) return;
  log_line(log_level::kInfo, "attempt_failed")
      .With("request", call_.id)
      .With("route", match_.matched_route->name)
      .With("server", server->listed.id)
      .With("version", server->listed.version)
      .With("list", state_.servers.number())
      .With("result", ResultName(result))
      .With("after_ms", clock_.Now() - started_ms_)
      .With("reason", reason);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::LogOutcome(const char* outcome, unsigned status,
                                        const std::string& detail) -> void {
  const std::string route =
      match_.matched_route == nullptr ? "" : match_.matched_route->name;
  ++state_.call_counts[{route, outcome}];
  const bool is_success = IsSuccess(status);
  const auto now = clock_.Now();
  if (is_success) {
    state_.recent_call_durations[route].Add(now - started_ms_, now);
    state_.call_duration_histograms[route].Add(
        static_cast<double>(now - started_ms_));
  }
  const bool is_logged = is_success
                             ? state_.log.AllowSuccess(Hash64(call_.id), now)
                             : state_.log.AllowFailure(now);
  if (!is_logged) return;
  log_line(log_level::kInfo, "call_ended")
      .With("request", call_.id)
      .With("route", route)
      .With("outcome", outcome)
      .With("status", status)
      .With("sends", sends_)
      .With("took_ms", now - started_ms_)
      .With("limit_ms", deadline_ms_ - started_ms_)
      .With("revision", view_ ? view_->revision : 0)
      .With("detail", detail);
}

}  // namespace lovagedale
