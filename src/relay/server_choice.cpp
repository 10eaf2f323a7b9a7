#include "lovagedale/relay/server_choice.h"

#include <algorithm>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

/// Multiplies this entry's own work at a server while loads are not reported:
/// other entries send the same popular prompt parts to the same servers.
constexpr double kUnreportedWorkFactor = 2.0;
/// Work, as a fraction of the complete prompt's, that a server of another zone
/// must save to be chosen: the cost of a transfer between zones.
constexpr double kCrossZoneCostFraction = 0.15;
/// A server's work is multiplied by 1 + kFailureWeight * failure_fraction.
constexpr double kFailureWeight = 4.0;
/// A server of another zone is chosen only if the own zone's has more requests
/// in flight by more than this.
constexpr double kCrossZoneMinAdvantage = 2.0;

auto RelativeLoad(const server_candidate& server) -> double {
  return (server.in_flight + 1) *
         (1 + kFailureWeight * server.failure_fraction) /
         static_cast<double>(std::max<std::uint32_t>(1, server.capacity));
}

/// Estimated work queued at the server.
auto WaitingWork(const server_candidate& server, double report_fraction)
    -> double {
  return server.other_entries_work
             ? server.work + *server.other_entries_work * report_fraction
             : server.work * kUnreportedWorkFactor;
}

/// Rendezvous hashing: the servers with the highest ranks cache the part.
auto PartRank(const server_candidate& server, const prompt_work& prompt)
    -> std::uint64_t {
  return MixBits(server.id_hash ^ MixBits(prompt.shared_part_id));
}

/// Those of `usable` that the prompt prefers by its group; all of them if there
/// are no groups, or none of its own.
auto PreferredServers(const std::vector<server_candidate>& candidates,
                      const std::vector<std::size_t>& usable,
                      const prompt_work& prompt,
                      const std::optional<server_groups>& groups)
    -> std::vector<std::size_t> {
  if (!groups) return usable;
  const bool is_heavy = groups->IsHeavy(prompt.total_work);
  std::vector<std::size_t> preferred;
  for (const auto i : usable) {
    if (groups->Prefers(is_heavy, candidates[i].id_hash)) {
      preferred.push_back(i);
    }
  }
  return preferred.empty() ? usable : preferred;
}

/// Servers of `usable` that are not `preferred` cost `overflow_cost` more.
/// `preferred` is not empty, and in the order of `usable`.
auto ChooseForPrompt(const std::vector<server_candidate>& candidates,
                     const std::vector<std::size_t>& usable,
                     const std::vector<std::size_t>& preferred,
                     const prompt_work& prompt, double report_fraction,
                     double overflow_cost) -> std::size_t {
  // Computed once: repeated hashes took a fifth of the time among 600 servers.
  std::vector<std::uint64_t> ranks(candidates.size());
  for (const auto i : usable) ranks[i] = PartRank(candidates[i], prompt);
  const auto rank = [&](std::size_t i) { return ranks[i]; };
  auto primary = preferred.front();
  for (const auto i : preferred) {
    if (rank(i) > rank(primary)) primary = i;
  }
  auto second = primary;
  for (const auto i : preferred) {
    if (i != primary && (second == primary || rank(i) > rank(second))) {
      second = i;
    }
  }
  double reported = 0;
  for (const auto i : usable) {
    reported += candidates[i].other_entries_work.value_or(0);
  }
  // The mean of the reported work stands for the noise in the reports.
  const auto noise = reported / static_cast<double>(usable.size());
  const auto remaining_work = [&](std::size_t i) {
    const auto& server = candidates[i];
    // The pace is noisy: on the prompt's own work it would send prompts of an
    // even fleet to servers that lack their shared part.
    auto work = WaitingWork(server, report_fraction) * server.pace;
    if (i != primary) work += prompt.shared_work;
    if (i != primary && i != second) work += noise;
    if (!server.own_zone) work += prompt.total_work * kCrossZoneCostFraction;
    return (work + prompt.total_work - prompt.shared_work) *
           (1 + kFailureWeight * server.failure_fraction);
  };
  auto best = primary;
  auto best_work = remaining_work(primary);
  auto next_preferred = preferred.begin();
  for (const auto i : usable) {
    const bool is_preferred =
        next_preferred != preferred.end() && *next_preferred == i;
    if (is_preferred) ++next_preferred;
    const auto work = remaining_work(i) + (is_preferred ? 0 : overflow_cost);
    // Ties go to the higher rank, so that the second server caches the part.
    if (work < best_work || (work == best_work && rank(i) > rank(best))) {
      best = i;
      best_work = work;
    }
  }
  return best;
}

/// The less loaded of two random servers (power of two choices).
auto ChooseLessLoadedOfTwo(const std::vector<server_candidate>& candidates,
                           const std::vector<std::size_t>& usable,
                           std::uint64_t random) -> std::size_t {
  const auto first = usable[random % usable.size()];
  const auto second = usable[MixBits(random) % usable.size()];
  return RelativeLoad(candidates[second]) < RelativeLoad(candidates[first])
             ? second
             : first;
}

}  // namespace

auto IsPartCached(const std::vector<server_candidate>& candidates,
                  std::size_t chosen, const choice_input& input) -> bool {
  if (!input.prompt) return false;
  const auto own_rank = PartRank(candidates[chosen], *input.prompt);
  const bool is_heavy =
      input.groups && input.groups->IsHeavy(input.prompt->total_work);
  const auto higher = std::count_if(
      candidates.begin(), candidates.end(), [&](const auto& server) {
        return !server.ejected &&
               (!input.groups ||
                input.groups->Prefers(is_heavy, server.id_hash)) &&
               PartRank(server, *input.prompt) > own_rank;
      });
  return higher < 2;
}

auto ChooseServer(const std::vector<server_candidate>& candidates,
                  const choice_input& input) -> std::optional<std::size_t> {
  if (candidates.empty()) return std::nullopt;
  std::vector<std::size_t> usable;
  usable.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].ejected) usable.push_back(i);
  }
  if (usable.empty()) {
    for (std::size_t i = 0; i < candidates.size(); ++i) usable.push_back(i);
  }
  if (input.prompt) {
    const auto& prompt = *input.prompt;
    return ChooseForPrompt(
        candidates, usable,
        PreferredServers(candidates, usable, prompt, input.groups), prompt,
        input.report_fraction,
        input.groups ? input.groups->OverflowCost(prompt.total_work) : 0);
  }
  std::vector<std::size_t> local_servers;
  for (const auto i : usable) {
    if (candidates[i].own_zone) local_servers.push_back(i);
  }
  if (local_servers.empty()) {
    return ChooseLessLoadedOfTwo(candidates, usable, input.random);
  }
  const auto local =
      ChooseLessLoadedOfTwo(candidates, local_servers, input.random);
  const auto any =
      ChooseLessLoadedOfTwo(candidates, usable, MixBits(input.random + 1));
  const bool is_much_less_busy =
      candidates[any].in_flight + kCrossZoneMinAdvantage <
      candidates[local].in_flight;
  return is_much_less_busy ? any : local;
}

}  // namespace lovagedale
