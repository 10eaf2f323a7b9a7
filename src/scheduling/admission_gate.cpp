#include "lovagedale/scheduling/admission_gate.h"

#include <algorithm>
#include <limits>
#include <set>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

/// Shortest interval between two decisions on waiting requests; the longest is
/// twice this. Random, so that entries do not release at the same moments.
constexpr double kReleasePeriodMs = 20;

auto HasService(const route& item, const std::string& service) -> bool {
  return std::any_of(
      item.services.begin(), item.services.end(),
      [&](const auto& weighted) { return weighted.service == service; });
}

}  // namespace

auto service_priorities::RankOf(std::uint32_t priority) const -> std::uint32_t {
  const auto above =
      std::upper_bound(priorities.begin(), priorities.end(), priority);
  const auto count = above - priorities.begin();
  return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(0, count - 1));
}

auto PrioritiesOf(const route_config& config, const std::string& service)
    -> std::optional<service_priorities> {
  std::set<std::uint32_t> priorities;
  auto any_objective = std::numeric_limits<double>::infinity();
  for (const auto& item : config.routes) {
    if (!item.prompts || !HasService(item, service)) continue;
    priorities.insert(item.priority);
    any_objective =
        std::min(any_objective, static_cast<double>(item.objective_ms));
  }
  if (priorities.empty()) return std::nullopt;
  for (const auto& customer : config.customers) {
    if (customer.priority) priorities.insert(*customer.priority);
  }
  if (priorities.size() < 2) return std::nullopt;
  auto urgent_objective = std::numeric_limits<double>::infinity();
  for (const auto& item : config.routes) {
    if (item.prompts && item.priority == *priorities.begin() &&
        HasService(item, service)) {
      urgent_objective =
          std::min(urgent_objective, static_cast<double>(item.objective_ms));
    }
  }
  // Only a customer has the most urgent priority: it may call any route.
  return service_priorities{{priorities.begin(), priorities.end()},
                            std::min(urgent_objective, any_objective)};
}

auto QueuedWork(const server_record& server, const server_table& servers,
                monotonic_ms now) -> double {
  if (!servers.AreLoadsFresh(now)) return server.work;
  return server.work +
         server.OtherEntriesWork() * ReportFraction(servers.loads_period_ms());
}

auto QueuedForBest(const std::string& service, const server_table& servers,
                   queue_statistic statistic, monotonic_ms now)
    -> std::pair<double, std::size_t> {
  std::size_t usable = 0;
  double least = 0;
  double sum = 0;
  for (const auto& server : servers.Servers(service)) {
    if (!server->TakesCalls() || server->IsPaused(now) ||
        !servers.IsReachable(*server) || server->health.IsEjected(now)) {
      continue;
    }
    const auto work = QueuedWork(*server, servers, now);
    least = usable == 0 ? work : std::min(least, work);
    sum += work;
    ++usable;
  }
  if (usable == 0 || statistic == queue_statistic::kLeast) {
    return {least, usable};
  }
  return {sum / static_cast<double>(usable), usable};
}

auto PredictRoom(const std::string& service, const server_table& servers,
                 const work_pace& pace, queue_statistic statistic,
                 monotonic_ms now) -> std::pair<room, std::size_t> {
  room best;
  const auto [work, usable] = QueuedForBest(service, servers, statistic, now);
  const auto ms_per_work = pace.MsPerWork(now);
  const auto age_ms = servers.LoadsAgeMs(now);
  if (usable == 0 || !ms_per_work || age_ms < 0) return {best, usable};
  best.first_event_ms = work * *ms_per_work;
  best.ms_per_work = *ms_per_work;
  best.age_ms = age_ms;
  return {best, usable};
}

auto admission_gate::Draw() -> double { return ToUnitInterval(random_()); }

auto admission_gate::UseRoutes(const std::shared_ptr<const route_table>& routes)
    -> void {
  if (routes == routes_) return;
  routes_ = routes;
  for (auto& [service, state] : services_) {
    state.priorities = PrioritiesOf(routes->config(), service);
  }
}

auto admission_gate::StateOf(const std::string& service) -> service_state* {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.try_emplace(service, Draw(), strict_).first;
    found->second.priorities = PrioritiesOf(routes_->config(), service);
  }
  return &found->second;
}

auto admission_gate::Conditions(const std::string& service,
                                const service_state& state) const
    -> admission_conditions {
  admission_conditions conditions;
  const auto pace = paces_.find(service);
  if (pace != paces_.end()) {
    std::tie(conditions.best, conditions.servers) =
        PredictRoom(service, servers_, pace->second, Statistic(), clock_.Now());
  }
  if (state.priorities) {
    conditions.urgent_objective_ms = state.priorities->urgent_objective_ms;
    conditions.ranks =
        static_cast<std::uint32_t>(state.priorities->priorities.size());
  } else {
    // The configuration has changed: those that still wait go.
    conditions.best = {};
  }
  conditions.entries = entries_;
  return conditions;
}

auto admission_gate::Enter(admission_call call,
                           const std::shared_ptr<const route_table>& routes,
                           std::size_t entries, const fiber_event& turn,
                           boost::asio::yield_context yield)
    -> admission_decision {
  UseRoutes(routes);
  entries_ = entries;
  auto* state = StateOf(call.service);
  if (!state->priorities) return {};
  auto& request = call.request;
  request.rank = state->priorities->RankOf(call.priority);
  const auto began_ms = clock_.Now();
  const auto decision = state->queue.Add(
      request, Conditions(call.service, *state), Draw(), began_ms);
  if (decision.verdict == admission_verdict::kGo) return decision;
  const std::pair key(call.route, request.customer);
  if (decision.verdict == admission_verdict::kRefuse) {
    CountRefused(key, decision);
    return decision;
  }
  ++counts_[key].held;
  const auto result = std::make_shared<admission_decision>();
  state->calls.emplace(decision.id, waiting_call{turn, result});
  ScheduleRelease();
  // Release sets the turn by then; the limit guards against a lost one.
  turn.Wait(std::chrono::milliseconds(
                std::max<monotonic_ms>(1, request.due_ms - began_ms)),
            yield);
  // States are never removed, so the pointer is valid after the wait.
  state->calls.erase(decision.id);
  state->queue.Remove(decision.id);
  held_ms_[call.route].Add(static_cast<double>(clock_.Now() - began_ms));
  if (result->verdict == admission_verdict::kRefuse) {
    CountRefused(key, *result);
  }
  return *result;
}

auto admission_gate::CountRefused(
    const std::pair<std::string, std::string>& key,
    const admission_decision& decision) -> void {
  auto& counts = counts_[key];
  ++(decision.is_beyond_limit ? counts.refused_beyond_limit
                              : counts.refused_late);
}

auto admission_gate::RecordFirstEvent(const std::string& service, double ms,
                                      double work) -> void {
  paces_[service].Record(ms, work, clock_.Now());
}

auto admission_gate::waiting() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [service, state] : services_) count += state.queue.waiting();
  return count;
}

auto admission_gate::ScheduleRelease() -> void {
  if (is_timer_set_) return;
  is_timer_set_ = true;
  timer_.expires_after(std::chrono::milliseconds(
      static_cast<std::int64_t>(kReleasePeriodMs * (1 + Draw()))));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    is_timer_set_ = false;
    Release();
  });
}

auto admission_gate::Release() -> void {
  for (auto& [service, state] : services_) {
    if (state.queue.waiting() == 0) continue;
    const auto released =
        state.queue.Release(Conditions(service, state), Draw(), clock_.Now());
    const auto end_wait = [&calls = state.calls](
                              std::uint64_t id,
                              const admission_decision& decision) {
      const auto call = calls.find(id);
      if (call == calls.end()) return;
      *call->second.decision = decision;
      call->second.turn.Set();
    };
    for (const auto id : released.go) end_wait(id, {});
    for (const auto& [id, retry_after_ms] : released.refused) {
      end_wait(id, {admission_verdict::kRefuse, id, retry_after_ms, false});
    }
  }
  if (waiting() > 0) ScheduleRelease();
}

}  // namespace lovagedale
