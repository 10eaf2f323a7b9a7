#include "lovagedale/admission/limit_shares.h"

#include <cmath>

namespace lovagedale {
namespace {

/// An entry that was not heard for this time takes no part in the division.
constexpr monotonic_ms kSilentMs = 10'000;
/// An entry that was not heard for this time holds an equal share or less.
constexpr monotonic_ms kFallenBackMs = kShareFallbackMs + kSilentMs;
/// Part of an equal share that an entry without demand keeps: for its first
/// requests, and for a time when it is cut off.
constexpr double kIdleFraction = 0.25;
/// Demand is granted with this margin, as it varies.
constexpr double kDemandMargin = 1.25;
/// Smaller changes of a share are not worth a message.
constexpr double kMinRelativeChange = 0.1;

/// The level below which all demands are met if each gets at most that much of
/// `available`: max-min fairness. `demands` sum to more than `available`.
auto FairLevel(std::vector<double> demands, double available) -> double {
  std::sort(demands.begin(), demands.end());
  auto left = demands.size();
  for (const auto demand : demands) {
    const auto even = available / static_cast<double>(left);
    if (demand >= even) return even;
    available -= demand;
    --left;
  }
  return 0;
}

}  // namespace

auto limit_allocator::Report(const std::string& entry,
                             const std::vector<limit_demand>& demands,
                             bool is_complete, monotonic_ms now) -> void {
  auto& record = entries_[entry];
  // An entry that was away may have fallen back meanwhile.
  if (now - record.last_heartbeat_at >= kSilentMs) record.is_complete = false;
  record.last_heartbeat_at = now;
  record.is_complete |= is_complete;
  for (const auto& demand : demands) {
    const auto [place, is_new] = record.shares.try_emplace(demand.customer);
    auto& share = place->second;
    share.wanted = demand.wanted_per_s;
    share.held = demand.held_per_s;
    // What a new leader or a restarted entry brings is taken as it is.
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
  if (now - started_ >= kFallenBackMs) return true;
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

auto limit_allocator::Reserve(const std::string& customer, double limit,
                              const std::vector<std::string>& registered,
                              monotonic_ms now) -> division {
  const auto equal = limit / static_cast<double>(registered.size());
  division result{limit, 0, {}};
  for (const auto& entry : registered) {
    auto& record = entries_[entry];
    auto& share =
        record.shares.try_emplace(customer, share_state{0, equal, equal})
            .first->second;
    const auto silent_ms = now - record.last_heartbeat_at;
    if (record.is_complete && silent_ms < kSilentMs) {
      result.in_force += share.InForceAtMost();
      result.claimants.push_back(
          {&share,
           std::max(kIdleFraction * equal, share.wanted * kDemandMargin)});
      continue;
    }
    if (silent_ms >= kFallenBackMs) share.held = share.granted = equal;
    const auto reserved = std::max(share.InForceAtMost(), equal);
    result.available -= reserved;
    result.in_force += reserved;
  }
  result.available = std::max(result.available, 0.0);
  return result;
}

auto limit_allocator::SetTargets(division& parts) -> void {
  std::vector<double> demands;
  double demanded = 0;
  for (const auto& [share, demand] : parts.claimants) {
    demands.push_back(demand);
    demanded += demand;
  }
  if (demanded > parts.available) {
    const auto level = FairLevel(std::move(demands), parts.available);
    for (auto& claim : parts.claimants) {
      claim.target = std::min(claim.target, level);
    }
    return;
  }
  const auto spare = (parts.available - demanded) /
                     static_cast<double>(parts.claimants.size());
  for (auto& claim : parts.claimants) claim.target += spare;
}

auto limit_allocator::AllocateOne(const std::string& customer, double limit,
                                  const std::vector<std::string>& registered,
                                  bool may_raise, monotonic_ms now) -> void {
  auto parts = Reserve(customer, limit, registered, now);
  if (parts.claimants.empty()) return;
  SetTargets(parts);
  // Where more is reserved than there is, even a small excess is taken back.
  const auto lowered_below =
      parts.in_force > limit ? 1.0 : 1 - kMinRelativeChange;
  // A share on its way to the entry is not changed: the entry may yet hold
  // either. What is taken back counts as free once the entry has said so.
  for (const auto& [share, target] : parts.claimants) {
    if (share->granted == share->held && target < share->held * lowered_below) {
      share->granted = target;
    }
  }
  if (!may_raise) return;
  auto free = limit - parts.in_force;
  for (const auto& [share, target] : parts.claimants) {
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
