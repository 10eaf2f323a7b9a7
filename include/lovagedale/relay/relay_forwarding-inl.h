// Relaying a call through another entry while this one reaches no server.

#pragma once

#include <algorithm>
#include <charconv>

#include "lovagedale/common/log.h"
#include "lovagedale/relay/relay.h"

namespace lovagedale {

/// Status of a refusal that says that nothing has run, and nothing will.
inline constexpr unsigned kNotRunStatus = 503;

/// 0 if `text` is not a number.
inline auto ParseForwardingNumber(std::string_view text) -> std::uint64_t {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ForwardingNumber(std::string_view name) const
    -> std::uint64_t {
  if (origin_ != call_origin::kEntry) return 0;
  return ParseForwardingNumber(exchange_.request().Header(name));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::MaxAttempts() const -> std::uint32_t {
  if (!MayRepeat()) return 1;
  const auto configured = match_.matched_route->max_attempts;
  const auto left = ForwardingNumber(forwarding_header::kAttemptsLeft);
  return left == 0 ? configured
                   : static_cast<std::uint32_t>(
                         std::min<std::uint64_t>(configured, left));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::AttemptsLeft() const -> std::uint32_t {
  return MaxAttempts() > runs_ ? MaxAttempts() - runs_ : 1;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CountReachableServers() const -> std::size_t {
  const auto& servers = state_.servers.Servers(service_);
  return static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(), [&](const auto& server) {
        return server->TakesCalls() && state_.servers.IsReachable(*server);
      }));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::PickHelper() const -> helper_handle {
  const auto choice =
      ChoosePath({CountAvailableServers(), CountReachableServers(),
                  origin_ == call_origin::kEntry, forwards_, state_.random(),
                  state_.helpers.Candidates(service_, clock_.Now())});
  return choice.path == call_path::kThroughEntry
             ? state_.helpers.At(choice.helper)
             : nullptr;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::AttemptThrough(const helper_handle& helper)
    -> attempt_result {
  attempt_reason_.clear();
  was_sent_ = false;
  first_event_ms_.reset();
  is_settled_ = false;
  given_up_ = give_up_reason::kNone;
  ++sends_;
  ++forwards_;
  ++state_.forwarded_calls;
  ++helper->in_flight;
  auto result = attempt_result::kMaybeRun;
  std::optional<http_call_error> failure;
  try {
    result = ForwardTo(helper);
  } catch (const http_call_error& error) {
    failure = error;
  } catch (const caller_disconnected_error&) {
    caller_disconnected_ = true;
    result = attempt_result::kAnswered;
  }
  --helper->in_flight;
  connection_.reset();
  if (!failure) return result;
  if (caller_disconnected_) return attempt_result::kAnswered;
  attempt_reason_ = failure->what();
  state_.pool.Drop(helper->listed.id);
  if (!IsCancelled()) helper_pool::RecordUnreached(*helper, clock_.Now());
  if (failure->failure_stage() == http_call_error::stage::kNotSent) {
    if (was_sent_) --runs_;
    return attempt_result::kNotReached;
  }
  may_have_run_ = true;
  // Without a head it is not known how many servers the helper has tried.
  if (failure->failure_stage() == http_call_error::stage::kSent) {
    runs_ = MaxAttempts();
  }
  return attempt_result::kMaybeRun;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ForwardTo(const helper_handle& helper)
    -> attempt_result {
  auto pooled = state_.pool.Acquire(
      helper->listed, MayRepeat() ? kMaxIdleRepeatableMs : kMaxIdleOnceMs);
  connection_ = std::move(pooled.connection);
  const auto deadlines = Deadlines();
  if (pooled.is_fresh) connection_->Connect(deadlines, exchange_.yield());
  if (caller_disconnected_) {
    throw http_call_error(http_call_error::stage::kNotSent,
                          "caller disconnected");
  }
  call_dispatch dispatch;
  dispatch.remaining_ms = std::max<monotonic_ms>(1, RemainingMs());
  dispatch.after_event = events_.last_event();
  if (!dispatch.after_event) dispatch.after_event = call_.after_event;
  auto request = protocol_.ForwardedRequest(exchange_.request(), dispatch);
  request.headers.emplace_back(forwarding_header::kAttemptsLeft,
                               std::to_string(AttemptsLeft()));
  request.headers.emplace_back(forwarding_header::kRevision,
                               std::to_string(view_->revision));
  ++runs_;
  was_sent_ = true;
  sent_ms_ = clock_.Now();
  const auto head = ReadMatchingHead(
      connection_->Send(std::move(request), deadlines, exchange_.yield()),
      deadlines);
  const auto refused_by = head.Header(forwarding_header::kRefusedBy);
  const bool is_not_run = !refused_by.empty() && head.status == kNotRunStatus;
  const bool is_refused = is_not_run && refused_by == kEntryRefuses;
  // The other entry has ended the call without an answer of a server.
  const bool is_ended = !is_not_run && refused_by == kEntryRefuses;
  auto result = attempt_result::kNotReached;
  // That nothing has run holds for this attempt, but not for the call if an
  // earlier attempt may have run.
  if (is_refused || (is_not_run && may_have_run_)) {
    --runs_;
    attempt_reason_ =
        "the other entry refused with " + std::to_string(head.status);
    helper_pool::RecordRefusal(*helper, service_, clock_.Now());
    SkipRefusalBody();
  } else if (is_ended) {
    may_have_run_ = true;
    CountHelperAttempts(head);
    attempt_reason_ = "the other entry ended the call";
    helper_pool::RecordRefusal(*helper, service_, clock_.Now());
    SkipRefusalBody();
    result = attempt_result::kMaybeRun;
  } else {
    may_have_run_ |= !is_not_run;
    CountHelperAttempts(head);
    result = IsStreamAnswer(head) ? RelayStream(nullptr, head)
                                  : RelayForwardedAnswer(head);
  }
  state_.pool.Release(helper->listed.id, std::move(connection_),
                      head.keep_alive_timeout);
  return result;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::SkipRefusalBody() -> bool {
  auto deadlines = Deadlines();
  deadlines.body = std::min(deadlines.body, kMaxRefusalBodyTime);
  return connection_->SkipRest(deadlines, kMaxSkippedBytes, exchange_.yield());
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CountHelperAttempts(const http_response_head& head)
    -> void {
  const auto attempts =
      ParseForwardingNumber(head.Header(forwarding_header::kAttempts));
  // One has been counted as the call was sent.
  if (attempts > 1) runs_ += static_cast<std::uint32_t>(attempts - 1);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RelayForwardedAnswer(
    const http_response_head& head) -> attempt_result {
  byte_reservation memory(state_.answer_memory);
  const auto body = connection_->ReadAll(Deadlines(), exchange_.yield(),
                                         kMaxPlainAnswerBytes, &memory);
  if (exchange_.HasStarted()) {
    // The rest of a stream was asked for: this is a failure, not a part of it.
    attempt_reason_ = "answered " + std::to_string(head.status);
    return attempt_result::kFailed;
  }
  exchange_.Respond(head.status, head.content_type, body, AnswerHeaders(head));
  LogOutcome("forwarded", head.status, "");
  return attempt_result::kAnswered;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::AnswerHeaders(const http_response_head& head) const
    -> header_list {
  auto headers = head.headers;
  std::erase_if(headers, [](const auto& header) {
    return IsForwardingHeader(header.first);
  });
  if (origin_ == call_origin::kEntry) {
    headers.emplace_back(forwarding_header::kAttempts, std::to_string(runs_));
  }
  return headers;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::LogForward(const helper_handle& helper,
                                        attempt_result result) -> void {
  if (!CountAttempt(result)) return;
  log_line(log_level::kInfo, "forward_failed")
      .With("request", call_.id)
      .With("route", match_.matched_route->name)
      .With("entry", helper->listed.id)
      .With("result", ResultName(result))
      .With("after_ms", clock_.Now() - started_ms_)
      .With("reason", attempt_reason_);
}

}  // namespace lovagedale
