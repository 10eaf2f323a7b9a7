// The choice of a server for the next attempt of a relayed call.

#pragma once

#include <algorithm>
#include <cmath>

#include "lovagedale/common/hash.h"
#include "lovagedale/relay/relay.h"

namespace lovagedale {

template <call_protocol Protocol>
auto relayed_call<Protocol>::CollectServers() const
    -> std::vector<server_handle> {
  const auto* rollout = view_->RolloutOf(service_);
  const auto now = clock_.Now();
  const auto collect = [&](bool include_all_versions, bool include_tried) {
    std::vector<server_handle> servers;
    for (const auto& server : state_.servers.Servers(service_)) {
      const auto& listed = server->listed;
      if (!server->TakesCalls() || server->IsPaused(now) ||
          !state_.servers.IsReachable(*server)) {
        continue;
      }
      if (!include_all_versions &&
          !view_->MayUse(service_, listed.version, session_hash_)) {
        continue;
      }
      if (!include_tried &&
          std::find(tried_servers_.begin(), tried_servers_.end(), listed.id) !=
              tried_servers_.end()) {
        continue;
      }
      servers.push_back(server);
    }
    return servers;
  };
  auto servers = collect(false, false);
  if (servers.empty()) servers = collect(false, true);
  // While the roll-out waits or is a canary, its target may have no servers
  // yet, so any other version may serve. A version that was rolled back gets no
  // requests in any case.
  const bool may_use_other_versions =
      rollout == nullptr || rollout->phase == service_rollout_phase::kWaiting ||
      rollout->phase == service_rollout_phase::kCanary;
  if (servers.empty() && may_use_other_versions) {
    servers = collect(true, true);
    std::erase_if(servers, [&](const auto& server) {
      const auto& version = server->listed.version;
      return IsReverted(view_->rollouts, service_, version) ||
             (rollout != nullptr && version == rollout->target);
    });
  }
  return servers;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::PickServer() -> server_handle {
  const auto now = clock_.Now();
  auto servers = CollectServers();
  const bool are_loads_fresh = state_.servers.AreLoadsFresh(now);
  std::vector<server_candidate> candidates;
  candidates.reserve(servers.size());
  for (const auto& server : servers) {
    server_candidate candidate;
    candidate.id_hash = server->id_hash;
    candidate.in_flight = server->in_flight;
    candidate.capacity = server->listed.capacity;
    candidate.work = server->work;
    if (are_loads_fresh) {
      candidate.other_entries_work = server->OtherEntriesWork();
      candidate.pace = server->pace;
    }
    candidate.failure_fraction = server->health.failure_fraction();
    candidate.own_zone = server->listed.zone == state_.settings.zone;
    candidate.ejected = server->health.IsEjected(now);
    candidates.push_back(candidate);
  }
  choice_input input;
  input.random = state_.random();
  input.prompt = PromptWork();
  if (input.prompt) input.groups = ServerGroups();
  input.report_fraction = ReportFraction(state_.servers.loads_period_ms());
  limited_until_ms_.reset();
  predicted_.reset();
  if (servers.empty()) LimitByPauses();
  while (const auto chosen = ChooseServer(candidates, input)) {
    if (PassesLimit(servers[*chosen])) {
      if (input.prompt) {
        state_.groups[service_].RecordSent(input.prompt->total_work, now);
      }
      Predict(candidates, *chosen, input);
      return servers[*chosen];
    }
    const auto index = static_cast<std::ptrdiff_t>(*chosen);
    servers.erase(servers.begin() + index);
    candidates.erase(candidates.begin() + index);
  }
  return nullptr;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ServerGroups()
    -> const std::optional<server_groups>& {
  const auto now = clock_.Now();
  auto& groups = state_.groups[service_];
  if (groups.IsUpdateDue(now)) {
    std::vector<grouped_server> servers;
    for (const auto& server : state_.servers.Servers(service_)) {
      if (!server->TakesCalls()) continue;
      servers.push_back({GroupPosition(server->id_hash),
                         server->work + server->OtherEntriesWork()});
    }
    groups.Update(servers, ServiceHeavyMinWork(),
                  state_.servers.AreLoadsFresh(now), now);
  }
  return groups.groups();
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ServiceHeavyMinWork() const
    -> std::optional<double> {
  // A service whose routes leave a pause open has no groups.
  std::optional<std::int64_t> least_pause_ms;
  for (const auto& item : view_->routes.config().routes) {
    const bool uses_service = std::any_of(
        item.services.begin(), item.services.end(),
        [&](const auto& target) { return target.service == service_; });
    if (!item.prompts || !uses_service) continue;
    least_pause_ms =
        std::min(least_pause_ms.value_or(item.pause_ms), item.pause_ms);
  }
  return HeavyMinWork(least_pause_ms.value_or(0));
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::LimitUntil(monotonic_ms until_ms) -> void {
  limited_until_ms_ = std::min(limited_until_ms_.value_or(until_ms), until_ms);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::LimitByPauses() -> void {
  const auto now = clock_.Now();
  for (const auto& server : state_.servers.Servers(service_)) {
    if (server->TakesCalls() && now < server->paused_until_ms &&
        state_.servers.IsReachable(*server)) {
      LimitUntil(server->paused_until_ms);
    }
  }
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::PassesLimit(const server_handle& server) -> bool {
  const auto now = clock_.Now();
  if (!server->rejections.MaySend(server->in_flight, server->listed.capacity,
                                  state_.entries, now)) {
    LimitUntil(server->rejections.RetryAtMs(now));
    return false;
  }
  auto& limit = server->limit;
  if (server->IsCold(now) && !server->cold.share.MayAsk(now)) {
    // Takes nothing from a limit that the server names.
    ++server->cold.requests.held_back;
    LimitUntil(now + server->cold.share.RetryAfterMs(
                         server->cold.limit.per_s,
                         state_.settled_entries.Count(now), now));
    return false;
  }
  const bool is_first = demand_counted_at_.empty();
  if (demand_counted_at_.insert(server->id_hash).second) {
    limit.RecordDemand(now);
  }
  if (!limit.IsLimited()) return PassesColdLimit(server);
  const bool passes = TakeFromLimit(server);
  server->limited.Count(passes, is_first);
  if (passes) return PassesColdLimit(server);
  const auto asked_at = clock_.Now();
  LimitUntil(asked_at + limit.RetryAfterMs(state_.entries, asked_at));
  return false;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::TakeFromLimit(const server_handle& server)
    -> bool {
  auto& limit = server->limit;
  if (!limit.MayAsk(state_.entries, clock_.Now())) return false;
  const auto report = limit.Report(ServerKey(server->id_hash), clock_.Now());
  const auto grant =
      report ? state_.ask_for_grant(*report, exchange_.yield()) : std::nullopt;
  if (!IsStillUsable(server)) return false;
  const auto now = clock_.Now();
  if (grant) return limit.Adopt(*grant, now);
  const auto draw = ToUnitInterval(state_.random());
  return limit.TryTake(draw, state_.entries, now);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::IsStillUsable(const server_handle& server) const
    -> bool {
  return !caller_disconnected_ && server->TakesCalls() &&
         !server->IsPaused(clock_.Now()) && state_.servers.IsReachable(*server);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::PassesColdLimit(const server_handle& server)
    -> bool {
  if (!server->IsCold(clock_.Now())) return true;
  if (TakeFromColdLimit(server)) return true;
  auto& cold = server->cold;
  ++cold.requests.held_back;
  const auto now = clock_.Now();
  const auto retry_at_ms =
      now + cold.share.RetryAfterMs(cold.limit.per_s,
                                    state_.settled_entries.Count(now), now);
  LimitUntil(std::min(retry_at_ms, std::max(now, server->ColdUntilMs())));
  return false;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::TakeFromColdLimit(const server_handle& server)
    -> bool {
  auto& cold = server->cold;
  if (!cold.share.MayAsk(clock_.Now())) return false;
  server_limit_report report;
  report.server = ColdKey(server->id_hash);
  report.limit_per_s = static_cast<float>(cold.limit.per_s);
  const auto grant = state_.ask_for_grant(report, exchange_.yield());
  if (!IsStillUsable(server)) return false;
  const auto now = clock_.Now();
  if (!server->IsCold(now)) return true;
  if (grant) {
    if (!cold.share.Adopt(*grant, now)) return false;
    ++cold.requests.granted;
    return true;
  }
  if (!cold.share.TryTake(cold.limit.per_s, state_.settled_entries.Count(now),
                          ToUnitInterval(state_.random()), now)) {
    return false;
  }
  ++cold.requests.shared;
  return true;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ModelCost() const -> double {
  const auto& models = match_.matched_route->models;
  const auto* service = view_->routes.FindService(service_);
  if (models.empty() || service == nullptr) return 1;
  const auto cost_of = [&](const std::string& name) {
    for (const auto& model : service->models) {
      if (model.name == name) return model.cost;
    }
    return 0.0;
  };
  const auto smallest_cost = cost_of(models.front());
  return smallest_cost > 0 ? cost_of(models[tier_]) / smallest_cost : 1;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::PromptWork() const -> std::optional<prompt_work> {
  if (!match_.matched_route->prompts || call_.parts.size() < 2) {
    return std::nullopt;
  }
  // Parts before the last shared one are few, and every server has them cached.
  const auto& shared = call_.parts[call_.parts.size() - 2];
  const auto& own = call_.parts.back();
  const auto cost = ModelCost();
  return prompt_work{shared.id, shared.tokens * cost,
                     (shared.tokens + own.tokens) * cost};
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::Predict(
    const std::vector<server_candidate>& candidates, std::size_t chosen,
    const choice_input& input) -> void {
  if (!input.prompt) return;
  const auto& server = candidates[chosen];
  const auto& prompt = *input.prompt;
  const auto work = IsPartCached(candidates, chosen, input)
                        ? prompt.total_work - prompt.shared_work
                        : prompt.total_work;
  server_queue queue{server.work, server.other_entries_work, server.pace,
                     state_.servers.LoadsAgeMs(clock_.Now())};
  const auto ms_per_work =
      state_.work_times[{service_, TierKey().second}].ms_per_work();
  predicted_ = PredictFirstEvent(queue, work, ms_per_work);
  queue.pace = 1;
  predicted_work_ = WorkToFirstEvent(queue, work);
  predicted_at_pace_1_ms_ = PredictFirstEvent(queue, work, ms_per_work)
                                .value_or(first_event_prediction{})
                                .ms;
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::RecordPrediction(const server_handle& server)
    -> void {
  if (!prompt_server_ || !predicted_) return;
  const auto now = clock_.Now();
  const auto ms = static_cast<double>(now - sent_ms_);
  auto& errors = state_.first_event_errors[prompt_tier_key_];
  const auto error_ms = ms - predicted_->ms;
  (error_ms < 0 ? errors.earlier : errors.later).Add(std::abs(error_ms));
  state_.servers.RecordPace(*server, ms / predicted_at_pace_1_ms_, now);
  state_.work_times[{service_, prompt_tier_key_.second}].Record(
      ms, predicted_work_);
  predicted_.reset();
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::AddPromptWork(const server_handle& server)
    -> void {
  const auto prompt = PromptWork();
  if (!prompt) return;
  prompt_server_ = server;
  prompt_work_ = prompt->total_work;
  queued_work_ = state_.admission.PredictedWork(service_) + prompt_work_;
  server->work += prompt_work_;
  prompt_tier_key_ = TierKey();
  prompt_sent_ms_ = clock_.Now();
  state_.tiers[prompt_tier_key_].first_event.RecordSent(prompt_sent_ms_);
}

template <call_protocol Protocol>
auto relayed_call<Protocol>::ReleasePromptWork() -> void {
  if (!prompt_server_) return;
  prompt_server_->work = std::max(0.0, prompt_server_->work - prompt_work_);
  prompt_server_.reset();
  state_.tiers[prompt_tier_key_].first_event.RecordEnded(prompt_sent_ms_);
}

}  // namespace lovagedale
