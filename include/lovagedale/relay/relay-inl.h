// How a relayed call goes: admission, the choice of a server, attempts.

#pragma once

#include <algorithm>
#include <boost/beast/core/string.hpp>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/relay/relay.h"

namespace lovagedale {

/// Below this a server could not finish anything.
inline constexpr monotonic_ms kLeastUsefulMs = 5;
/// Part of the remaining time that the first answer may take while another
/// server could still be asked.
inline constexpr double kFirstTryPart = 0.6;
/// A server that is silent for this multiple of the usual time to the first
/// byte, and for this part of the objective at least, is given up while another
/// one may be asked.
inline constexpr double kSilentMultiple = 4;
inline constexpr double kLeastPatience = 0.5;
/// A stream whose events pause for this multiple of the route's longest pause,
/// and at least this long, goes on elsewhere.
inline constexpr monotonic_ms kStalledPauses = 2;
inline constexpr monotonic_ms kLeastStallMs = 1'500;
/// Idle connections older than this may be closing: a request that may run
/// once only gets a younger or a new one.
inline constexpr monotonic_ms kOnceIdleMs = 800;
inline constexpr monotonic_ms kRepeatableIdleMs = 60'000;
/// Servers that may refuse a request, or not be reached, before it is given up.
inline constexpr std::uint32_t kMaxSends = 6;
/// Wait for a server to appear when none is known.
inline constexpr std::chrono::milliseconds kServerPoll{40};
inline constexpr monotonic_ms kServerWaitMs = 400;
/// Wait of one call for the first routes of a process that has just started.
inline constexpr monotonic_ms kRoutesWaitMs = 800;
/// Time for full servers to finish some of their requests: about the time that
/// one request of a plain service takes.
inline constexpr std::chrono::milliseconds kFullPause{60};

template <call_protocol Protocol>
auto relay<Protocol>::Handle(http_exchange& exchange) -> void {
  ++state_.active;
  relayed_call<Protocol> call(state_, protocol_, exchange);
  try {
    call.Run();
  } catch (...) {
    --state_.active;
    throw;
  }
  --state_.active;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Run() -> void {
  exchange_.OnCallerGone([this] {
    gone_ = true;
    if (connection_) connection_->Close();
  });
  if (!Admit()) return;
  Attempts();
  if (gone_) {
    exchange_.CloseAfterwards();
    LogOutcome("caller_gone", 0, "");
  }
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::AwaitRoutes() -> void {
  const auto until =
      std::min(state_.routes_awaited_until_ms, started_ms_ + kRoutesWaitMs);
  while (!state_.view && clock_.Now() < until && !gone_) {
    Pause(state_.context.get_executor(), kServerPoll, exchange_.yield());
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
  if (!view_ || view_->routes.version() == 0) {
    Refuse(refusal::kNoConfiguration, "");
    return false;
  }
  match_ =
      view_->routes.Match(request.Header("Host"), request.Path(), call_.key);
  if (match_.verdict == route_verdict::kNoRoute) {
    Refuse(refusal::kNoRoute, "");
    return false;
  }
  if (match_.verdict == route_verdict::kUnknownKey) {
    Refuse(refusal::kUnknownKey, "");
    return false;
  }
  const auto& item = *match_.matched;
  const auto limit =
      std::min(item.timeout_ms, call_.time_limit_ms.value_or(item.timeout_ms));
  deadline_ms_ = started_ms_ + limit;
  if (gone_) {
    exchange_.CloseAfterwards();
    LogOutcome("caller_gone", 0, "");
    return false;
  }
  if (state_.stops_at_ms && !CanEndBefore(*state_.stops_at_ms)) {
    Refuse(refusal::kStopping, "");
    return false;
  }
  service_ = ChooseService(item, MixBits(Hash64(call_.id)));
  // A session has a version of each service.
  session_hash_ =
      HashFields(service_, call_.session.empty() ? call_.id : call_.session);
  state_.retries.CountRequest(started_ms_);
  return true;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::CanEndBefore(monotonic_ms stop) const -> bool {
  const auto known = state_.durations.find(match_.matched->name);
  call_bounds call{started_ms_, deadline_ms_,
                   match_.matched->kind == route_kind::kStream, std::nullopt};
  if (known != state_.durations.end()) {
    call.longest_ms = known->second.Longest(started_ms_);
  }
  return EndsBefore(call, stop);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::MayRepeat() const -> bool {
  const auto& item = *match_.matched;
  return item.kind == route_kind::kRepeatable ||
         (item.kind == route_kind::kStream && item.resumable);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::IsReachable(const server_handle& server) const
    -> bool {
  return !server->health.IsUnreachable() &&
         !state_.servers.IsZoneLost(server->listed.zone);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::PickServer() -> server_handle {
  const auto now = clock_.Now();
  const auto* rollout = view_->RolloutOf(service_);
  const auto collect = [&](bool any_version, bool tried_too) {
    std::vector<server_handle> servers;
    for (const auto& server : state_.servers.Servers(service_)) {
      const auto& listed = server->listed;
      if (listed.leaving || server->gone || !IsReachable(server)) continue;
      if (!any_version &&
          !MayUseVersion(rollout, listed.version, session_hash_)) {
        continue;
      }
      if (!tried_too &&
          std::find(tried_.begin(), tried_.end(), listed.id) != tried_.end()) {
        continue;
      }
      servers.push_back(server);
    }
    return servers;
  };
  auto servers = collect(false, false);
  if (servers.empty()) servers = collect(false, true);
  // A version under roll-out may not have started; one that was taken back
  // gets nothing whatever happens.
  const bool is_open = rollout == nullptr ||
                       rollout->phase == service_rollout_phase::kWaiting ||
                       rollout->phase == service_rollout_phase::kCanary;
  if (servers.empty() && is_open) {
    servers = collect(true, true);
    std::erase_if(servers, [&](const auto& server) {
      return rollout != nullptr && server->listed.version == rollout->target;
    });
  }
  const bool are_loads_known = state_.servers.AreLoadsKnown(now);
  std::vector<server_candidate> facts;
  facts.reserve(servers.size());
  for (const auto& server : servers) {
    server_candidate candidate;
    candidate.id_hash = server->id_hash;
    candidate.in_flight = server->in_flight;
    candidate.capacity = server->listed.capacity;
    candidate.work = server->work;
    if (are_loads_known) candidate.others_work = server->OthersWork();
    candidate.failure_share = server->health.failure_share();
    candidate.own_zone = server->listed.zone == state_.settings.zone;
    candidate.held_out = server->health.IsHeldOut(now);
    facts.push_back(candidate);
  }
  choice_input input;
  input.random = state_.random();
  input.prompt = PromptWork();
  input.report_part = ReportPart(state_.servers.loads_period_ms());
  const auto chosen = ChooseServer(facts, input);
  return chosen ? servers[*chosen] : nullptr;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ModelCost() const -> double {
  const auto& models = match_.matched->models;
  const auto* service = view_->routes.FindService(service_);
  if (models.empty() || service == nullptr) return 1;
  const auto cost_of = [&](const std::string& name) {
    for (const auto& model : service->models) {
      if (model.name == name) return model.cost;
    }
    return 0.0;
  };
  const auto smallest = cost_of(models.front());
  return smallest > 0 ? cost_of(models[tier_]) / smallest : 1;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::PromptWork() const -> std::optional<prompt_work> {
  if (!match_.matched->prompts || call_.parts.size() < 2) return std::nullopt;
  // Parts before the last shared one are few and kept by every server.
  const auto& shared = call_.parts[call_.parts.size() - 2];
  const auto& own = call_.parts.back();
  const auto cost = ModelCost();
  return prompt_work{shared.id, shared.tokens * cost,
                     (shared.tokens + own.tokens) * cost};
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ReleaseWork() -> void {
  if (!working_) return;
  working_->work = std::max(0.0, working_->work - work_);
  working_.reset();
  state_.tiers[working_tier_].first_event.Ended(working_since_ms_);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Attempts() -> void {
  const auto waits_until = clock_.Now() + kServerWaitMs;
  while (!gone_) {
    if (LeftMs() < kLeastUsefulMs) break;
    const auto server = PickServer();
    if (!server) {
      if (sends_ > 0 || KnownServers() > 0 || clock_.Now() >= waits_until) {
        break;
      }
      Pause(state_.context.get_executor(), kServerPoll, exchange_.yield());
      // The list or the routes may have changed meanwhile.
      if (state_.view) view_ = state_.view;
      match_ = view_->routes.Match(exchange_.request().Header("Host"),
                                   exchange_.request().Path(), call_.key);
      if (match_.verdict != route_verdict::kAllowed) break;
      continue;
    }
    const auto result = Attempt(server);
    LogAttempt(server, result, attempt_reason_);
    if (result == attempt_result::kAnswered || gone_) return;
    if (!AllowsAnotherRun(result)) break;
    if (result == attempt_result::kNotRun && tried_.size() >= KnownServers()) {
      // All are full: asked again at once they would refuse again.
      tried_.clear();
      Pause(state_.context.get_executor(), kFullPause, exchange_.yield());
    }
  }
  if (!gone_) Finish();
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::KnownServers() const -> std::size_t {
  const auto& servers = state_.servers.Servers(service_);
  return static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(), [](const auto& server) {
        return !server->listed.leaving && !server->gone;
      }));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::AllowsAnotherRun(attempt_result result) -> bool {
  const auto& item = *match_.matched;
  if (sends_ >= kMaxSends) return false;
  // It cost the servers nothing.
  if (result == attempt_result::kUnreached) return true;
  // Paid for when the answer was dropped.
  if (result == attempt_result::kNextModel) return true;
  const bool was_run = result != attempt_result::kNotRun;
  if (was_run && !MayRepeat()) return false;
  if (runs_ >= item.max_attempts) return false;
  return state_.retries.TryRetry(clock_.Now());
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::FirstByteTime(monotonic_ms left) const
    -> monotonic_ms {
  const auto& item = *match_.matched;
  const auto longest = static_cast<double>(left) * kFirstTryPart;
  const auto known = state_.tiers.find(TierKey());
  const auto objective = static_cast<double>(item.objective_ms);
  const auto usual =
      known == state_.tiers.end()
          ? objective
          : known->second.first_event.Expected(clock_.Now(), objective);
  const auto patience =
      std::max(usual * kSilentMultiple, objective * kLeastPatience);
  return std::max<monotonic_ms>(
      1, static_cast<monotonic_ms>(std::min(longest, patience)));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::TierKey() const
    -> std::pair<std::string, std::string> {
  const auto& item = *match_.matched;
  return {item.name, item.models.empty() ? "" : item.models[tier_]};
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Deadlines(bool for_stream_body) const
    -> http_deadlines {
  const auto& item = *match_.matched;
  const auto left = std::max<monotonic_ms>(1, LeftMs());
  const auto with_this_one = runs_ + (was_sent_ ? 0 : 1);
  const bool is_last = with_this_one >= item.max_attempts || !MayRepeat();
  http_deadlines deadlines;
  deadlines.connect =
      std::min(kServerConnectTime, std::chrono::milliseconds(left));
  deadlines.first_byte =
      std::chrono::milliseconds(is_last ? left : FirstByteTime(left));
  auto between = left;
  if (for_stream_body && !is_last) {
    between =
        std::min(left, std::max(kLeastStallMs, item.pause_ms * kStalledPauses));
  }
  deadlines.between_reads = std::chrono::milliseconds(between);
  return deadlines;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::SendTo(const server_handle& server)
    -> http_response_head {
  const bool is_once = !MayRepeat();
  auto pooled = state_.pool.Acquire(server->listed,
                                    is_once ? kOnceIdleMs : kRepeatableIdleMs);
  connection_ = std::move(pooled.connection);
  auto deadlines = Deadlines(/*for_stream_body=*/false);
  if (pooled.is_fresh) connection_->Connect(deadlines, exchange_.yield());
  if (gone_) {
    throw http_call_error(http_call_error::stage::kNotSent, "caller is gone");
  }
  call_dispatch dispatch;
  dispatch.server = &server->listed;
  if (match_.customer != nullptr) dispatch.customer = match_.customer->name;
  dispatch.left_ms = std::max<monotonic_ms>(1, LeftMs());
  const auto& models = match_.matched->models;
  if (!models.empty()) dispatch.model = models[tier_];
  dispatch.priority = match_.Priority();
  dispatch.after_event = events_.last_event();
  if (!dispatch.after_event) dispatch.after_event = call_.after_event;
  const auto request =
      protocol_.ServerRequest(exchange_.request(), call_, dispatch);
  ++runs_;
  was_sent_ = true;
  sent_ms_ = clock_.Now();
  return ReadOwnHead(connection_->Send(request, deadlines, exchange_.yield()));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Attempt(const server_handle& server)
    -> attempt_result {
  auto result = attempt_result::kMaybeRun;
  attempt_reason_.clear();
  was_sent_ = false;
  tried_.push_back(server->listed.id);
  ++sends_;
  ++server->in_flight;
  if (const auto prompt = PromptWork()) {
    working_ = server;
    work_ = prompt->whole;
    server->work += work_;
    working_tier_ = TierKey();
    working_since_ms_ = clock_.Now();
    state_.tiers[working_tier_].first_event.Sent(working_since_ms_);
  }
  std::optional<http_call_error> failure;
  bool is_caller_lost = false;
  // An attempt that can go on elsewhere ends when the server's zone is lost.
  auto& droppable = server->droppable;
  auto dropped_by = droppable.end();
  bool is_dropped = false;
  if (MayRepeat()) {
    dropped_by = droppable.insert(droppable.end(), [this, &is_dropped] {
      is_dropped = true;
      if (connection_) connection_->Close();
    });
  }
  try {
    const auto head = SendTo(server);
    const auto facts = protocol_.ReadAnswer(head);
    if (facts.not_run || facts.other_server) {
      --runs_;
      attempt_reason_ = "refused with " + std::to_string(head.status);
      result = attempt_result::kNotRun;
      if (facts.other_server) server->gone = true;
      connection_->ReadAll(Deadlines(false), exchange_.yield());
    } else if (IsTooUncertain(facts)) {
      result = attempt_result::kNextModel;
      may_have_run_ = true;
      connection_->Close();
    } else {
      may_have_run_ = true;
      result = IsStreamAnswer(head) ? RelayStream(server, head)
                                    : RelayWhole(server, head);
    }
    if (result != attempt_result::kNextModel) {
      state_.pool.Release(server->listed.id, std::move(connection_),
                          head.keep_alive);
    }
  } catch (const http_call_error& error) {
    failure = error;
  } catch (const caller_gone&) {
    is_caller_lost = true;
  }
  --server->in_flight;
  if (dropped_by != droppable.end()) droppable.erase(dropped_by);
  ReleaseWork();
  connection_.reset();
  const auto now = clock_.Now();
  if (is_caller_lost) {
    gone_ = true;
    return attempt_result::kAnswered;
  }
  if (!failure) {
    if (result == attempt_result::kNotRun) {
      server->health.Failed(now);
    } else if (result != attempt_result::kFailed) {
      server->health.Succeeded(now);
    }
    state_.servers.Reached(server->listed.zone);
    server->health.Reached();
    return result;
  }
  if (gone_) return attempt_result::kAnswered;
  attempt_reason_ = failure->what();
  if (failure->at() == http_call_error::stage::kNotSent) {
    // Nothing reached the server, so it was no run.
    if (was_sent_) --runs_;
    state_.prober.Unreachable(server);
    state_.pool.Drop(server->listed.id);
    return attempt_result::kUnreached;
  }
  may_have_run_ = true;
  if (is_dropped) {
    // Says nothing of the server or of its version.
    attempt_reason_ = "its zone is lost";
    return attempt_result::kMaybeRun;
  }
  server->health.Failed(now);
  if (failure->timed_out()) state_.prober.Suspect(server);
  state_.pool.Drop(server->listed.id);
  CountAnswer(server, /*failed=*/true);
  return attempt_result::kMaybeRun;
}

}  // namespace lovagedale
