#include "lovagedale/scheduling/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace lovagedale {
namespace {

/// A shorter wait counts as none: the best server is idle.
constexpr double kIdleMs = 1;
/// A customer has more than its share if it has sent more than this multiple of
/// the mean customer's work. An entry sees few requests of each customer, so
/// that smaller differences are noise.
constexpr double kShareFactor = 2;
/// Sent work of this age counts half. An entry sends about 40 requests in it.
constexpr double kUsageHalfLifeMs = 10'000;
/// Customers with less than this fraction of all work do not count as active.
constexpr double kMinActiveFraction = 0.001;
constexpr monotonic_ms kUsageDecayPeriodMs = 250;
/// Time for which unused credit is kept: the age of reports, within which all
/// entries see the same room.
constexpr double kCreditMs = 250;
/// Largest margin, as a fraction of the remaining time to the objective, by
/// which a request goes before waiting would make it late. It is random, so
/// that a rise of the prediction does not release all requests at once.
constexpr double kDueSpread = 0.1;
/// Retry-After is at most this fraction of the caller's remaining time: the
/// retry needs the rest of it.
constexpr double kMaxRetryAfterFraction = 1.0 / 3;
/// Shortest range of Retry-After, so that few milliseconds of excess do not
/// send all retries back at once.
constexpr double kMinRetryRangeMs = 300;

/// Spreads retries over the time until the prediction is within the caller's
/// limit; each rank has its own part of it, urgent ones the first.
auto RetryAfterMs(double excess_ms, double remaining_ms, std::uint32_t rank,
                  std::uint32_t ranks, double random) -> monotonic_ms {
  const auto range_ms = std::min(std::max(excess_ms, kMinRetryRangeMs),
                                 remaining_ms * kMaxRetryAfterFraction);
  const auto parts = static_cast<double>(std::max(ranks, rank + 1));
  return static_cast<monotonic_ms>(range_ms * (rank + random) / parts);
}

/// Work that the servers do per millisecond for each entry; 0 if unknown.
auto SharePerMs(const admission_conditions& conditions) -> double {
  if (conditions.best.ms_per_work <= 0) return 0;
  const auto entries =
      static_cast<double>(std::max<std::size_t>(1, conditions.entries));
  return static_cast<double>(conditions.servers) /
         (conditions.best.ms_per_work * entries);
}

}  // namespace

auto room::IsKnown() const -> bool {
  return age_ms >= 0 && std::isfinite(age_ms) && first_event_ms >= 0 &&
         std::isfinite(first_event_ms) && ms_per_work >= 0 &&
         std::isfinite(ms_per_work);
}

auto admission_queue::CustomerIndex(const std::string& name) -> std::uint32_t {
  const auto [position, is_new] =
      customers_.try_emplace(name, static_cast<std::uint32_t>(usage_.size()));
  if (is_new) usage_.push_back(0);
  return position->second;
}

auto admission_queue::IsOverShare(std::uint32_t customer) const -> bool {
  return active_customers_ > 1 &&
         usage_[customer] * active_customers_ > kShareFactor * total_usage_;
}

auto admission_queue::HasSlack(const admission_conditions& conditions,
                               std::uint32_t rank, bool is_over_share) const
    -> bool {
  if (rank == 0 && !is_over_share) return true;
  // Those beyond their share come after all ranks of the others.
  const auto divisor =
      static_cast<double>(is_over_share ? rank + conditions.ranks : rank);
  return conditions.best.first_event_ms <=
         conditions.urgent_objective_ms * kSlackFraction / divisor;
}

auto admission_queue::Precedes(const waiting_request& a,
                               const waiting_request& b) const -> bool {
  const auto is_a_over = IsOverShare(a.customer);
  if (is_a_over != IsOverShare(b.customer)) return !is_a_over;
  if (a.rank != b.rank) return a.rank < b.rank;
  if (a.due_ms != b.due_ms) return a.due_ms < b.due_ms;
  if (a.work != b.work) return a.work < b.work;
  return a.id < b.id;
}

auto admission_queue::CountSent(std::uint32_t customer, double work) -> void {
  usage_[customer] += work;
  total_usage_ += work;
}

auto admission_queue::DecayUsage(monotonic_ms now) -> void {
  if (now - usage_at_ms_ < kUsageDecayPeriodMs) return;
  const auto factor =
      std::exp2(-static_cast<double>(now - usage_at_ms_) / kUsageHalfLifeMs);
  usage_at_ms_ = now;
  total_usage_ = 0;
  for (auto& customer : usage_) {
    customer *= factor;
    total_usage_ += customer;
  }
  active_customers_ = static_cast<std::uint32_t>(std::count_if(
      usage_.begin(), usage_.end(),
      [&](double work) { return work > total_usage_ * kMinActiveFraction; }));
}

auto admission_queue::RefillCredit(const admission_conditions& conditions,
                                   monotonic_ms now) -> void {
  const auto work_per_ms = SharePerMs(conditions);
  const auto limit = work_per_ms * kCreditMs;
  if (!credit_) {
    credit_ = limit * (phase_ - 1);
    credit_at_ms_ = now;
  }
  const auto passed_ms = static_cast<double>(now - credit_at_ms_);
  credit_ = std::min(limit, *credit_ + work_per_ms * passed_ms);
  credit_at_ms_ = now;
}

auto admission_queue::CanPrecedeDue(const waiting_request& item,
                                    const admission_conditions& conditions,
                                    double spare_ms) const -> bool {
  double work_ahead = 0;
  for (const auto& other : waiting_) {
    if (Precedes(other, item)) work_ahead += other.work;
  }
  return work_ahead <= SharePerMs(conditions) * spare_ms;
}

auto admission_queue::Add(const admission_request& request,
                          const admission_conditions& conditions, double random,
                          monotonic_ms now) -> admission_decision {
  DecayUsage(now);
  const auto customer = CustomerIndex(request.customer);
  const auto go = [&]() -> admission_decision {
    CountSent(customer, request.work);
    return {};
  };
  const auto& best = conditions.best;
  if (!best.IsKnown()) return go();
  const auto predicted_ms = best.PredictedMs(request.work);
  const auto remaining_ms = static_cast<double>(request.deadline_ms - now);
  const auto refuse = [&](double excess_ms,
                          bool is_beyond_limit) -> admission_decision {
    const auto retry_after_ms =
        RetryAfterMs(excess_ms, std::max(0.0, remaining_ms), request.rank,
                     conditions.ranks, random);
    return {admission_verdict::kRefuse, 0, retry_after_ms, is_beyond_limit};
  };
  if (predicted_ms > remaining_ms) {
    return refuse(predicted_ms - remaining_ms, true);
  }
  const auto until_due_ms = static_cast<double>(request.due_ms - now);
  const auto spare_ms = until_due_ms * (1 - kDueSpread * random);
  const bool is_over_share = IsOverShare(customer);
  const bool is_late = predicted_ms >= spare_ms;
  const bool has_slack = HasSlack(conditions, request.rank, is_over_share);
  const bool is_idle = best.first_event_ms < kIdleMs;
  if (strict_ && is_late && !has_slack && !is_idle) {
    return refuse(predicted_ms - spare_ms, false);
  }
  if (is_late || is_idle) return go();
  const waiting_request item{last_id_ + 1,
                             request.rank,
                             customer,
                             request.work,
                             request.due_ms,
                             request.deadline_ms,
                             static_cast<double>(now) + spare_ms};
  const bool is_first =
      (request.rank == 0 && !is_over_share) ||
      std::none_of(waiting_.begin(), waiting_.end(),
                   [&](const auto& other) { return Precedes(other, item); });
  if (is_first && (has_slack || waiting_.size() >= kMaxWaiting)) return go();
  if (strict_ && !CanPrecedeDue(item, conditions, spare_ms - predicted_ms)) {
    return refuse(predicted_ms, false);
  }
  ++last_id_;
  waiting_.push_back(item);
  // Releases begin only now that requests wait, from this entry's own phase.
  if (waiting_.size() == 1) credit_.reset();
  RefillCredit(conditions, now);
  return {admission_verdict::kWait, item.id, 0, false};
}

auto admission_queue::Release(const admission_conditions& conditions,
                              double random, monotonic_ms now)
    -> released_requests {
  released_requests released;
  if (waiting_.empty()) return released;
  DecayUsage(now);
  const auto& best = conditions.best;
  const bool is_known = best.IsKnown();
  const auto send = [&](const waiting_request& item) {
    released.go.push_back(item.id);
    CountSent(item.customer, item.work);
  };
  const auto precedes = [&](const auto& a, const auto& b) {
    return Precedes(a, b);
  };
  const auto first_due =
      std::partition(waiting_.begin(), waiting_.end(), [&](const auto& item) {
        return is_known &&
               static_cast<double>(now) + best.PredictedMs(item.work) <
                   item.latest_ms;
      });
  std::sort(first_due, waiting_.end(), precedes);
  std::for_each(first_due, waiting_.end(), [&](const auto& item) {
    if (!strict_ || !is_known ||
        HasSlack(conditions, item.rank, IsOverShare(item.customer))) {
      send(item);
      return;
    }
    const auto remaining_ms = static_cast<double>(item.deadline_ms - now);
    released.refused.emplace_back(
        item.id, RetryAfterMs(best.first_event_ms, std::max(0.0, remaining_ms),
                              item.rank, conditions.ranks, random));
  });
  waiting_.erase(first_due, waiting_.end());
  if (waiting_.empty()) return released;
  RefillCredit(conditions, now);
  bool sends_to_idle = best.first_event_ms < kIdleMs;
  while (!waiting_.empty()) {
    const auto first =
        std::min_element(waiting_.begin(), waiting_.end(), precedes);
    const bool has_slack =
        HasSlack(conditions, first->rank, IsOverShare(first->customer));
    if (waiting_.size() <= kMaxWaiting && !sends_to_idle &&
        (!has_slack || *credit_ <= 0)) {
      break;
    }
    sends_to_idle = false;
    *credit_ -= first->work;
    send(*first);
    waiting_.erase(first);
  }
  return released;
}

auto admission_queue::Remove(std::uint64_t id) -> void {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const auto& item) { return item.id == id; });
  if (found == waiting_.end()) return;
  waiting_.erase(found);
}

}  // namespace lovagedale
