#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "lovagedale/common/hash.h"
#include "lovagedale/scheduling/admission_queue.h"
#include "lovagedale/scheduling/work_pace.h"

namespace lovagedale::testing {

/// What an entry does with a request in the model.
enum class model_policy {
  kAcceptAll,
  kQueueLength,   ///< refuses while the best server's queue is too long
  kPriorityOnly,  ///< others wait for slack, by priority, until their limit
  kAdmission,     ///< admission_queue
  kStrict,        ///< the same with `strict`
};

/// A kind of requests of deployment A in docs/HARD_LOAD.md.
struct model_kind {
  double per_s, work;
  monotonic_ms objective_ms, limit_ms;
  double on_time_worth, late_worth;
};
inline constexpr std::array<model_kind, 3> kModelKinds = {{
    {69, 715, 1'500, 25'000, 1.2, 0.048},
    {61.2, 9'190, 2'000, 10'000, 4.6, 0.46},
    {130, 2'368, 4'000, 6'000, 1.2, 0.18},
}};

struct model_load {
  double utilization = 0.7;  ///< outside the burst
  double burst_factor = 2.4;
  monotonic_ms burst_from_ms = 15'000, burst_until_ms = 25'000;
  monotonic_ms end_ms = 60'000;
  /// Multiplies the first customer's rate during the burst.
  double flood_factor = 1;
  std::uint64_t seed = 1;
};

struct model_counts {
  int requests = 0, on_time = 0, late = 0, refused = 0;
  auto OnTime() const -> double {
    return requests == 0 ? 1 : static_cast<double>(on_time) / requests;
  }
};

struct model_result {
  std::array<model_counts, kModelKinds.size()> kinds;  ///< all of the run
  /// By second of arrival.
  std::map<monotonic_ms, model_counts> seconds;
  std::array<model_counts, 24> customers;  ///< in the burst
  double worth = 0;  ///< as a fraction of all requests on time
  /// Largest number of waiting requests that all entries sent within 5 ms.
  int most_released_at_once = 0;
  std::size_t most_waiting = 0;
  int refused_after_waiting = 0;
};

/// Many entries, each with its own admission_queue, send to servers that
/// process prompts in the order of arrival. An entry knows its own work at a
/// server, and that of the others as of the last report.
class admission_model {
 public:
  /// `uses_mean`: every policy predicts by the mean queue.
  admission_model(model_policy policy, const model_load& load,
                  bool uses_mean = false)
      : policy_(policy),
        load_(load),
        uses_mean_(uses_mean),
        random_(load.seed) {
    double work_per_ms = 0;
    for (const auto& kind : kModelKinds) {
      work_per_ms += kind.per_s * kind.work / 1'000;
    }
    ms_per_work_ = load.utilization * kServers / work_per_ms;
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.emplace_back(Draw(), policy == model_policy::kStrict);
    }
  }

  auto Run() -> model_result {
    for (now_ = 0; now_ < load_.end_ms + kDrainMs; now_ += kStepMs) {
      if (now_ % kReportMs == 0) Report();
      released_now_ = 0;
      while (!first_events_.empty() && first_events_.top().at <= now_) End();
      if (now_ < load_.end_ms) Generate();
      while (!retries_.empty() && retries_.top().at <= now_) {
        const auto request = retries_.top().request;
        retries_.pop();
        Offer(request);
      }
      for (auto& entry : entries_) Tick(entry);
      result_.most_released_at_once =
          std::max(result_.most_released_at_once, released_now_);
    }
    double possible = 0;
    double got = 0;
    for (std::size_t i = 0; i < kModelKinds.size(); ++i) {
      const auto& counts = result_.kinds[i];
      possible += counts.requests * kModelKinds[i].on_time_worth;
      got += counts.on_time * kModelKinds[i].on_time_worth +
             counts.late * kModelKinds[i].late_worth;
    }
    result_.worth = got / possible;
    return result_;
  }

 private:
  static constexpr std::size_t kEntries = 78;
  static constexpr std::size_t kServers = 60;
  static constexpr std::size_t kCustomers = 24;
  static constexpr monotonic_ms kStepMs = 5;
  static constexpr monotonic_ms kReportMs = 250;
  static constexpr monotonic_ms kDrainMs = 26'000;
  static constexpr double kReportFraction = 0.4;
  static constexpr double kSharedFraction = 0.5;
  static constexpr double kMaxQueueMs = 1'000;  ///< of kQueueLength
  static constexpr monotonic_ms kBusyRetryMs = 500;

  struct request {
    std::size_t kind = 0;
    std::size_t customer = 0;
    monotonic_ms started_ms = 0;
  };
  struct entry {
    entry(double phase, bool strict) : queue(phase, strict) {}
    admission_queue queue;
    work_pace pace;
    std::array<double, kServers> own{}, reported_own{};
    std::map<std::uint64_t, request> waiting;
    monotonic_ms next_tick_ms = 0;
  };
  struct first_event {
    double at = 0;
    std::size_t entry = 0, server = 0;
    double work = 0, queued = 0, took_ms = 0;
    bool is_answer = false;
    auto operator<(const first_event& other) const -> bool {
      return at > other.at;
    }
  };
  struct retry {
    monotonic_ms at = 0;
    admission_model::request request;
    auto operator<(const retry& other) const -> bool { return at > other.at; }
  };

  auto Draw() -> double { return ToUnitInterval(random_()); }
  auto IsBurst(monotonic_ms at) const -> bool {
    return at >= load_.burst_from_ms && at < load_.burst_until_ms;
  }
  auto Count(const request& item, int model_counts::*member) -> void {
    ++(result_.kinds[item.kind].*member);
    ++(result_.seconds[item.started_ms / 1'000].*member);
    if (IsBurst(item.started_ms)) ++(result_.customers[item.customer].*member);
  }
  auto Work(const request& item) const -> double {
    return kModelKinds[item.kind].work;
  }
  auto Deadline(const request& item) const -> monotonic_ms {
    return item.started_ms + kModelKinds[item.kind].limit_ms;
  }
  auto Report() -> void {
    fleet_ = {};
    for (auto& entry : entries_) {
      entry.reported_own = entry.own;
      for (std::size_t i = 0; i < kServers; ++i) fleet_[i] += entry.own[i];
    }
  }
  auto Queued(const entry& from, std::size_t server) const -> double {
    return from.own[server] +
           std::max(0.0, fleet_[server] - from.reported_own[server]) *
               kReportFraction;
  }
  /// See queue_statistic.
  auto PredictedWork(const entry& from) const -> double {
    auto least = Queued(from, 0);
    double sum = least;
    for (std::size_t i = 1; i < kServers; ++i) {
      least = std::min(least, Queued(from, i));
      sum += Queued(from, i);
    }
    return policy_ == model_policy::kStrict || uses_mean_ ? sum / kServers
                                                          : least;
  }
  /// Like ChooseServer: one of the two servers that cache the request's shared
  /// part, unless another one is less busy by more than the noise in reports.
  auto Choose(const entry& from, double work) -> std::size_t {
    const auto offset = random_() % kServers;
    double noise = 0;
    for (std::size_t i = 0; i < kServers; ++i) {
      noise += std::max(0.0, fleet_[i] - from.reported_own[i]) / kServers;
    }
    auto best = offset;
    auto best_work = Queued(from, best);
    for (std::size_t i = 1; i < kServers; ++i) {
      const auto server = (i + offset) % kServers;
      const auto queued =
          Queued(from, server) + (i == 1 ? 0 : noise + work * kSharedFraction);
      if (queued < best_work) {
        best = server;
        best_work = queued;
      }
    }
    return best;
  }
  auto Conditions(entry& from) -> admission_conditions {
    admission_conditions conditions;
    const auto pace = from.pace.MsPerWork(now_);
    if (pace) {
      conditions.best = {PredictedWork(from) * *pace, *pace, 125};
    }
    conditions.urgent_objective_ms = 1'500;
    conditions.ranks = kModelKinds.size();
    conditions.servers = kServers;
    conditions.entries = kEntries;
    return conditions;
  }
  auto Generate() -> void {
    const auto factor = IsBurst(now_) ? load_.burst_factor : 1.0;
    for (std::size_t kind = 0; kind < kModelKinds.size(); ++kind) {
      std::poisson_distribution<int> count(kModelKinds[kind].per_s * factor *
                                           kStepMs / 1'000);
      for (int i = count(random_); i > 0; --i) Arrive(kind, Customer());
      if (load_.flood_factor <= 1 || !IsBurst(now_)) continue;
      std::poisson_distribution<int> flood(
          kModelKinds[kind].per_s / kCustomers * (load_.flood_factor - 1) *
          kStepMs / 1'000);
      for (int i = flood(random_); i > 0; --i) Arrive(kind, 0);
    }
  }
  auto Customer() -> std::size_t { return random_() % kCustomers; }
  auto Arrive(std::size_t kind, std::size_t customer) -> void {
    const request item{kind, customer, now_};
    Count(item, &model_counts::requests);
    Offer(item);
  }
  auto Offer(const request& item) -> void {
    auto& to = entries_[random_() % kEntries];
    const auto conditions = Conditions(to);
    const auto& kind = kModelKinds[item.kind];
    const admission_request asked{
        std::to_string(item.customer), static_cast<std::uint32_t>(item.kind),
        kind.work, item.started_ms + kind.objective_ms, Deadline(item)};
    if (policy_ == model_policy::kQueueLength &&
        conditions.best.first_event_ms > kMaxQueueMs) {
      Retry(item, kBusyRetryMs / 2 +
                      static_cast<monotonic_ms>(Draw() * kBusyRetryMs));
      return;
    }
    if (policy_ == model_policy::kPriorityOnly && item.kind > 0 &&
        conditions.best.first_event_ms > kPrioritySlackMs) {
      to.waiting[++last_id_] = item;
      return;
    }
    if (policy_ < model_policy::kAdmission) {
      Send(to, item);
      return;
    }
    const auto decision = to.queue.Add(asked, conditions, Draw(), now_);
    if (decision.verdict == admission_verdict::kGo) {
      Send(to, item);
    } else if (decision.verdict == admission_verdict::kWait) {
      to.waiting[decision.id] = item;
    } else {
      Retry(item, decision.retry_after_ms);
    }
  }
  /// Callers retry after a refusal while their time lasts.
  auto Retry(const request& item, monotonic_ms after_ms) -> void {
    const auto at = now_ + std::max<monotonic_ms>(kStepMs, after_ms);
    if (after_ms <= 0 || at + kMinRetryMs >= Deadline(item)) {
      Count(item, &model_counts::refused);
    } else {
      retries_.push({at, item});
    }
  }
  auto Tick(entry& from) -> void {
    if (from.waiting.empty() || now_ < from.next_tick_ms) return;
    from.next_tick_ms = now_ + 20 + static_cast<monotonic_ms>(Draw() * 20);
    result_.most_waiting = std::max(result_.most_waiting, from.waiting.size());
    if (policy_ == model_policy::kPriorityOnly) {
      ReleaseByPriority(from);
      return;
    }
    const auto released = from.queue.Release(Conditions(from), Draw(), now_);
    for (const auto& [id, after_ms] : released.refused) {
      const auto found = from.waiting.find(id);
      ++result_.refused_after_waiting;
      Retry(found->second, after_ms);
      from.waiting.erase(found);
    }
    for (const auto id : released.go) {
      ++released_now_;
      const auto found = from.waiting.find(id);
      Send(from, found->second);
      from.waiting.erase(found);
    }
  }
  auto ReleaseByPriority(entry& from) -> void {
    std::erase_if(from.waiting, [&](const auto& item) {
      if (now_ < Deadline(item.second)) return false;
      Count(item.second, &model_counts::refused);
      return true;
    });
    while (!from.waiting.empty() &&
           Conditions(from).best.first_event_ms <= kPrioritySlackMs) {
      const auto first =
          std::min_element(from.waiting.begin(), from.waiting.end(),
                           [](const auto& a, const auto& b) {
                             return a.second.kind < b.second.kind;
                           });
      ++released_now_;
      Send(from, first->second);
      from.waiting.erase(first);
    }
  }
  auto Send(entry& from, const request& item) -> void {
    const auto server = Choose(from, Work(item));
    const auto queued = PredictedWork(from) + Work(item);
    const auto start = std::max<double>(busy_until_[server], now_);
    const auto end = start + Work(item) * ms_per_work_;
    const bool is_answered = start < Deadline(item);
    // A caller that disconnects takes its request out of the server's queue.
    if (is_answered) busy_until_[server] = end;
    const auto took_ms = end - now_;
    from.own[server] += Work(item);
    first_events_.push({is_answered ? end : Deadline(item),
                        static_cast<std::size_t>(&from - entries_.data()),
                        server, Work(item), queued, took_ms, is_answered});
    if (!is_answered || end >= Deadline(item)) return;
    const bool is_on_time =
        end <= item.started_ms + kModelKinds[item.kind].objective_ms;
    Count(item, is_on_time ? &model_counts::on_time : &model_counts::late);
  }
  auto End() -> void {
    const auto event = first_events_.top();
    first_events_.pop();
    auto& from = entries_[event.entry];
    from.own[event.server] = std::max(0.0, from.own[event.server] - event.work);
    if (event.is_answer) from.pace.Record(event.took_ms, event.queued, now_);
  }

  static constexpr double kPrioritySlackMs = 750;
  static constexpr monotonic_ms kMinRetryMs = 50;

  const model_policy policy_;
  const model_load load_;
  const bool uses_mean_;
  std::mt19937_64 random_;
  double ms_per_work_ = 0;
  monotonic_ms now_ = 0;
  std::vector<entry> entries_;
  std::array<double, kServers> busy_until_{};
  std::array<double, kServers> fleet_{};
  std::priority_queue<first_event> first_events_;
  std::priority_queue<retry> retries_;
  std::uint64_t last_id_ = 0;
  int released_now_ = 0;
  model_result result_;
};

}  // namespace lovagedale::testing
