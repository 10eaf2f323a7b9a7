#include "lovagedale/health/crash_attribution.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <tuple>

namespace lovagedale {
namespace {

auto IsShared(const crash_candidate& candidate) -> bool {
  return candidate.specificity != crash_candidate::kUniqueRequest;
}

}  // namespace

auto CandidatesToReport(const std::set<crash_candidate>& candidates)
    -> std::vector<crash_candidate> {
  std::vector<crash_candidate> reported(candidates.begin(), candidates.end());
  std::stable_sort(reported.begin(), reported.end(),
                   [](const crash_candidate& a, const crash_candidate& b) {
                     return a.specificity < b.specificity;
                   });
  reported.resize(std::min(reported.size(), crash_attribution::kMaxCandidates));
  return reported;
}

auto crash_attribution::ReportCrash(const crash_report& report,
                                    monotonic_ms now) -> void {
  if (!report_times_.emplace(report.report_id, now).second) return;
  last_report_at_ = now;
  auto crash = std::find_if(crashes_.begin(), crashes_.end(),
                            [&](const server_crash& item) {
                              return item.server == report.server &&
                                     now - item.at < kCrashMergeWindowMs;
                            });
  if (crash == crashes_.end()) {
    if (crashes_.size() == kMaxCrashes) crashes_.pop_front();
    crashes_.push_back({report.server, now, {}, std::nullopt});
    crash = std::prev(crashes_.end());
  }
  for (const auto& candidate : report.candidates) {
    const auto cleared = cleared_at_.find(candidate.key);
    if (cleared != cleared_at_.end() && cleared->second >= crash->at) continue;
    crash->candidates.insert(candidate);
  }
}

auto crash_attribution::Clear(crash_key key, monotonic_ms now) -> void {
  Erase(key);
  std::erase(shared_suspects_, key);
  std::erase_if(alternatives_, [&](const quarantine_alternatives& item) {
    return item.key == key;
  });
  for (auto& item : alternatives_) std::erase(item.others, key);
  cleared_at_[key] = now;
}

auto crash_attribution::Erase(crash_key key) -> void {
  for (auto& crash : crashes_) {
    std::erase_if(crash.candidates, [&](const crash_candidate& candidate) {
      return candidate.key == key;
    });
  }
}

auto crash_attribution::UpdateExplained(const std::set<crash_key>& quarantined)
    -> void {
  for (auto& crash : crashes_) {
    crash.explained_by.reset();
    for (const auto& candidate : crash.candidates) {
      if (!quarantined.contains(candidate.key)) continue;
      crash.explained_by =
          std::min(crash.explained_by.value_or(candidate.specificity),
                   candidate.specificity);
    }
  }
}

auto crash_attribution::CountCrashes() const
    -> std::map<crash_candidate, tally> {
  std::map<crash_candidate, tally> tallies;
  for (const auto& crash : crashes_) {
    for (const auto& candidate : crash.candidates) {
      auto& counts = tallies[candidate];
      const bool is_simultaneous = counts.total > 0 && IsShared(candidate) &&
                                   crash.at - counts.last_at < kSimultaneousMs;
      if (is_simultaneous) continue;
      ++counts.total;
      counts.last_at = crash.at;
      if (!crash.explained_by) {
        ++counts.unexplained;
      } else if (*crash.explained_by <= candidate.specificity) {
        continue;
      }
      if (counts.attributable++ == 0) counts.first_at = crash.at;
    }
  }
  return tallies;
}

auto crash_attribution::Decide(const std::set<crash_key>& in_force,
                               monotonic_ms observation_ms, monotonic_ms now)
    -> std::vector<crash_finding> {
  // A quarantine that was lifted is not set again for the same crashes.
  for (const auto key : in_force_) {
    if (!in_force.contains(key)) Clear(key, now);
  }
  if (now - last_report_at_ > kActiveMs && in_force == in_force_) return {};
  in_force_ = in_force;
  std::erase_if(proposed_at_, [&](const auto& item) {
    return now - item.second > kProposalLifetimeMs;
  });
  auto quarantined = in_force;
  for (const auto& [key, at] : proposed_at_) quarantined.insert(key);
  std::vector<crash_finding> findings;
  for (;;) {
    UpdateExplained(quarantined);
    std::optional<crash_candidate> best;
    std::tuple<std::size_t, std::size_t, std::uint8_t> best_rank;
    tally best_tally;
    for (const auto& [candidate, counts] : CountCrashes()) {
      if (counts.unexplained == 0) continue;
      const std::tuple rank(counts.attributable, counts.total,
                            candidate.specificity);
      if (best && rank <= best_rank) continue;
      best = candidate;
      best_rank = rank;
      best_tally = counts;
    }
    if (!best) break;
    const auto needed = IsShared(*best) ? kCrashesToQuarantineShared
                                        : kCrashesToQuarantineUnique;
    // While the likeliest key may still be cleared, no other one is blamed.
    if (best_tally.attributable < needed ||
        now - best_tally.first_at < observation_ms) {
      break;
    }
    findings.push_back({*best, best_tally.attributable});
    proposed_at_[best->key] = now;
    quarantined.insert(best->key);
  }
  UpdateSharedSuspects();
  UpdateAlternatives(quarantined);
  return findings;
}

auto crash_attribution::UpdateSharedSuspects() -> void {
  std::vector<std::tuple<std::size_t, std::size_t, crash_key>> ranked;
  for (const auto& [candidate, counts] : CountCrashes()) {
    if (!IsShared(candidate)) continue;
    // A key that explains several crashes is blamed next if their quarantine is
    // lifted.
    if (counts.unexplained == 0 && counts.total < 2) continue;
    ranked.emplace_back(counts.unexplained, counts.total, candidate.key);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(ranked.size(), kMaxSuspects));
  shared_suspects_.clear();
  for (const auto& [unexplained, total, key] : ranked) {
    shared_suspects_.push_back(key);
  }
}

auto crash_attribution::UpdateAlternatives(
    const std::set<crash_key>& quarantined) -> void {
  struct key_crashes {
    std::size_t count = 0;
    std::set<crash_key> common;  ///< candidates of all of them
  };
  std::map<crash_key, key_crashes> by_key;
  std::vector<crash_key> latest_first;
  for (auto crash = crashes_.rbegin(); crash != crashes_.rend(); ++crash) {
    std::set<crash_key> shared;
    for (const auto& candidate : crash->candidates) {
      if (IsShared(candidate)) shared.insert(candidate.key);
    }
    for (const auto key : shared) {
      if (!quarantined.contains(key)) continue;
      auto& crashes = by_key[key];
      if (crashes.count++ == 0) {
        crashes.common = shared;
        crashes.common.erase(key);
        latest_first.push_back(key);
      } else {
        std::erase_if(crashes.common,
                      [&](crash_key other) { return !shared.contains(other); });
      }
    }
  }
  alternatives_.clear();
  for (const auto key : latest_first) {
    const auto& crashes = by_key[key];
    if (crashes.count < kCrashesToQuarantineShared) continue;
    if (alternatives_.size() == kMaxAlternativesKeys) break;
    quarantine_alternatives item{key, {}};
    for (const auto other : crashes.common) {
      if (item.others.size() == kMaxAlternatives) break;
      item.others.push_back(other);
    }
    alternatives_.push_back(std::move(item));
  }
}

auto crash_attribution::IsSuspect(crash_key key) const -> bool {
  return std::any_of(
      crashes_.begin(), crashes_.end(), [&](const server_crash& crash) {
        return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                           [&](const crash_candidate& candidate) {
                             return candidate.key == key;
                           });
      });
}

auto crash_attribution::Expire(monotonic_ms now) -> void {
  std::erase_if(crashes_, [&](const server_crash& crash) {
    return now - crash.at > kSuspicionLifetimeMs;
  });
  if (crashes_.empty()) alternatives_.clear();
  std::erase_if(report_times_, [&](const auto& item) {
    return now - item.second > kSuspicionLifetimeMs;
  });
  std::erase_if(cleared_at_, [&](const auto& item) {
    return now - item.second > kCrashMergeWindowMs;
  });
}

}  // namespace lovagedale
