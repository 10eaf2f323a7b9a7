#include "lovagedale/admission/customer_limits.h"

#include <cmath>

namespace lovagedale {
namespace {

constexpr double kMsPerSecond = 1'000;
/// Time over which requests are counted for one sample of the demand.
constexpr monotonic_ms kDemandWindowMs = 1'000;
/// Weight of the latest sample in the moving average of the demand.
constexpr double kLatestSampleWeight = 0.5;
/// Smaller relative changes of demand are not reported.
constexpr double kMinRelativeChange = 0.1;

auto HasChanged(const limit_demand& before, const limit_demand& after) -> bool {
  return after.held_per_s != before.held_per_s ||
         std::abs(after.wanted_per_s - before.wanted_per_s) >
             kMinRelativeChange *
                 std::max(before.wanted_per_s, after.held_per_s);
}

}  // namespace

auto customer_limits::TryAdmit(const customer& item, monotonic_ms now)
    -> monotonic_ms {
  if (item.rate_per_s <= 0) return 0;
  const std::lock_guard lock(mutex_);
  auto& state = limits_[item.name];
  ++state.window_requests;
  state.limit_per_s = item.rate_per_s;
  const auto rate = ShareOf(state, now);
  const auto burst =
      std::max(1.0, item.burst_requests * rate / item.rate_per_s);
  if (!state.bucket) {
    state.bucket.emplace(rate, burst, now);
  } else {
    state.bucket->SetLimit(rate, burst, now);
  }
  return state.bucket->TryTake(now) ? 0 : state.bucket->WaitMs(now);
}

auto customer_limits::TryAcquireSlot(const customer& item) -> bool {
  if (item.max_concurrent_requests == 0) return true;
  const std::lock_guard lock(mutex_);
  auto& state = limits_[item.name];
  if (state.running >= item.max_concurrent_requests) return false;
  ++state.running;
  return true;
}

auto customer_limits::ReleaseSlot(const std::string& customer_name) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = limits_.find(customer_name);
  if (found != limits_.end() && found->second.running > 0) {
    --found->second.running;
  }
}

auto customer_limits::ShareOf(const customer& item, monotonic_ms now)
    -> double {
  const std::lock_guard lock(mutex_);
  auto& state = limits_[item.name];
  state.limit_per_s = item.rate_per_s;
  return ShareOf(state, now);
}

auto customer_limits::SetEntryCount(std::size_t entries) -> void {
  const std::lock_guard lock(mutex_);
  entries_ = static_cast<double>(std::max<std::size_t>(entries, 1));
}

auto customer_limits::SetShares(const std::vector<limit_share>& shares,
                                monotonic_ms sent_at) -> void {
  const std::lock_guard lock(mutex_);
  // A share that was lowered to an equal share must not grow again by the
  // renewal.
  for (auto& [name, state] : limits_) {
    if (state.share) state.share = ShareOf(state, sent_at);
  }
  shares_until_ = std::max(shares_until_, sent_at + kShareFallbackMs);
  for (const auto& item : shares) {
    limits_[item.customer].share = item.rate_per_s;
  }
}

auto customer_limits::CollectDemands(const std::vector<customer>& customers,
                                     bool all, std::size_t limit,
                                     monotonic_ms now)
    -> std::vector<limit_demand> {
  std::vector<limit_demand> demands;
  const std::lock_guard lock(mutex_);
  for (const auto& item : customers) {
    if (item.rate_per_s <= 0) continue;
    if (!all && demands.size() >= limit) break;
    auto& state = limits_[item.name];
    state.limit_per_s = item.rate_per_s;
    CountDemand(state, now);
    const limit_demand demand{item.name, state.wanted_per_s,
                              ShareOf(state, now)};
    if (!all && !HasChanged(state.reported, demand)) continue;
    state.reported = demand;
    demands.push_back(demand);
  }
  return demands;
}

auto customer_limits::ShareOf(const limit_state& state, monotonic_ms now) const
    -> double {
  const auto equal_share = state.limit_per_s / entries_;
  if (!state.share) return equal_share;
  return now < shares_until_ ? *state.share
                             : std::min(*state.share, equal_share);
}

auto customer_limits::CountDemand(limit_state& state, monotonic_ms now)
    -> void {
  const auto elapsed = now - state.window_start;
  if (elapsed < kDemandWindowMs) return;
  const auto latest = static_cast<double>(state.window_requests) *
                      kMsPerSecond / static_cast<double>(elapsed);
  state.wanted_per_s += kLatestSampleWeight * (latest - state.wanted_per_s);
  state.window_requests = 0;
  state.window_start = now;
}

}  // namespace lovagedale
