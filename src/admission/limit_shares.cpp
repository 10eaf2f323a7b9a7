#include "lovagedale/admission/limit_shares.h"

#include <cmath>

namespace lovagedale {
namespace {

/// An entry without a heartbeat for this time takes no part in the division.
constexpr monotonic_ms kSilentMs = 10'000;
/// An entry without a heartbeat for this time holds at most an equal share.
constexpr monotonic_ms kFallbackCompleteMs = kShareFallbackMs + kSilentMs;
/// Fraction of an equal share that an entry without demand keeps: for its first
/// requests, and for times when it cannot reach the leader.
constexpr double kIdleFraction = 0.25;
/// Factor by which a share exceeds the demand, as the demand varies.
constexpr double kDemandMargin = 1.25;
/// Smaller relative changes of a share are not worth a message.
constexpr double kMinRelativeChange = 0.1;

/// The max-min fair level: if each demand gets at most this rate, they get
/// exactly `available`. `demands` must sum to more than `available`.
auto FairLevel(std::vector<double> demands, double available) -> double {
  std::sort(demands.begin(), demands.end());
  auto remaining = demands.size();
  for (const auto demand : demands) {
    const auto equal_share = available / static_cast<double>(remaining);
    if (demand >= equal_share) return equal_share;
    available -= demand;
    --remaining;
  }
  return 0;
}

}  // namespace

auto limit_allocator::Report(const std::string& entry,
                             const std::vector<limit_demand>& demands,
                             bool is_complete, monotonic_ms now) -> void {
  auto& record = entries_[entry];
  // After so long without a heartbeat the entry may have lowered its shares.
  if (now - record.last_heartbeat_at >= kSilentMs) record.is_complete = false;
  record.last_heartbeat_at = now;
  record.is_complete |= is_complete;
  for (const auto& demand : demands) {
    const auto [position, is_new] = record.shares.try_emplace(demand.customer);
    auto& share = position->second;
    share.wanted = demand.wanted_per_s;
    share.held = demand.held_per_s;
    // The first and each complete report is adopted: the leader or the entry is
    // new.
    if (is_new || is_complete) share.granted = demand.held_per_s;
  }
}

auto limit_allocator::Allocate(const std::map<std::string, double>& limits,
                               const std::vector<std::string>& registered,
                               monotonic_ms now) -> void {
  DropUnlimited(limits);
  if (registered.empty()) return;
  const bool may_raise = MayRaise(registered, now);
  for (const auto& [customer, limit] : limits) {
    AllocateOne(customer, limit, registered, may_raise, now);
  }
}

auto limit_allocator::HasReportedAll(const std::string& entry) const -> bool {
  const auto found = entries_.find(entry);
  return found != entries_.end() && found->second.is_complete;
}

auto limit_allocator::MayRaise(const std::vector<std::string>& registered,
                               monotonic_ms now) const -> bool {
  if (now - started_ >= kFallbackCompleteMs) return true;
  return std::all_of(
      registered.begin(), registered.end(),
      [&](const std::string& entry) { return HasReportedAll(entry); });
}

auto limit_allocator::DropUnlimited(const std::map<std::string, double>& limits)
    -> void {
  for (auto& [name, record] : entries_) {
    std::erase_if(record.shares, [&](const auto& share) {
      return !limits.contains(share.first);
    });
  }
}

auto limit_allocator::StartDivision(const std::string& customer, double limit,
                                    const std::vector<std::string>& registered,
                                    monotonic_ms now) -> division {
  const auto equal_share = limit / static_cast<double>(registered.size());
  division result{limit, 0, {}};
  for (const auto& entry : registered) {
    auto& record = entries_[entry];
    auto& share =
        record.shares
            .try_emplace(customer, share_state{0, equal_share, equal_share})
            .first->second;
    const auto silent_ms = now - record.last_heartbeat_at;
    if (record.is_complete && silent_ms < kSilentMs) {
      result.in_force += share.MaxInForce();
      result.claimants.push_back(
          {&share, std::max(kIdleFraction * equal_share,
                            share.wanted * kDemandMargin)});
      continue;
    }
    if (silent_ms >= kFallbackCompleteMs) {
      share.held = share.granted = equal_share;
    }
    const auto reserved = std::max(share.MaxInForce(), equal_share);
    result.available -= reserved;
    result.in_force += reserved;
  }
  result.available = std::max(result.available, 0.0);
  return result;
}

auto limit_allocator::SetTargets(division& limit_division) -> void {
  std::vector<double> demands;
  double demanded = 0;
  for (const auto& [share, demand] : limit_division.claimants) {
    demands.push_back(demand);
    demanded += demand;
  }
  if (demanded > limit_division.available) {
    const auto level = FairLevel(std::move(demands), limit_division.available);
    for (auto& claim : limit_division.claimants) {
      claim.target = std::min(claim.target, level);
    }
    return;
  }
  const auto spare = (limit_division.available - demanded) /
                     static_cast<double>(limit_division.claimants.size());
  for (auto& claim : limit_division.claimants) claim.target += spare;
}

auto limit_allocator::AllocateOne(const std::string& customer, double limit,
                                  const std::vector<std::string>& registered,
                                  bool may_raise, monotonic_ms now) -> void {
  auto limit_division = StartDivision(customer, limit, registered, now);
  if (limit_division.claimants.empty()) return;
  SetTargets(limit_division);
  // If more than the limit is in force, even small excesses are taken back.
  const auto lower_if_below =
      limit_division.in_force > limit ? 1.0 : 1 - kMinRelativeChange;
  // A granted share that the entry has not confirmed is not changed, as either
  // value may be in force. A reduction counts as free only once the entry has
  // reported it.
  for (const auto& [share, target] : limit_division.claimants) {
    if (share->granted == share->held &&
        target < share->held * lower_if_below) {
      share->granted = target;
    }
  }
  if (!may_raise) return;
  auto free = limit - limit_division.in_force;
  for (const auto& [share, target] : limit_division.claimants) {
    if (share->granted != share->held) continue;
    const auto raise = std::min(target - share->held, free);
    if (raise <= kMinRelativeChange * share->held) continue;
    share->granted = share->held + raise;
    free -= raise;
  }
}

auto limit_allocator::SharesFor(const std::string& entry,
                                std::size_t limit) const
    -> std::vector<limit_share> {
  std::vector<limit_share> shares;
  const auto found = entries_.find(entry);
  if (found == entries_.end()) return shares;
  for (const auto& [customer, share] : found->second.shares) {
    if (shares.size() >= limit) break;
    if (share.granted != share.held) {
      shares.push_back({customer, share.granted});
    }
  }
  return shares;
}

}  // namespace lovagedale
