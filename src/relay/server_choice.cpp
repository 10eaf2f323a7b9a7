#include "lovagedale/relay/server_choice.h"

#include <algorithm>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

/// A server that holds the shared parts may be this much busier than the mean
/// before the next one by rank gets the request.
constexpr double kBusyFactor = 1.5;
constexpr double kBusySlack = 2.0;
/// Requests that a server of another zone must have less of to be chosen.
constexpr double kZoneSlack = 2.0;

auto Load(const server_candidate& server) -> double {
  return (server.in_flight + 1) * (1 + 4 * server.failure_share) /
         static_cast<double>(std::max<std::uint32_t>(1, server.capacity));
}

auto MeanInFlight(const std::vector<server_candidate>& candidates,
                  const std::vector<std::size_t>& usable) -> double {
  double sum = 0;
  for (const auto i : usable) sum += candidates[i].in_flight;
  return sum / static_cast<double>(usable.size());
}

auto ChooseByAffinity(const std::vector<server_candidate>& candidates,
                      std::vector<std::size_t> usable, std::uint64_t affinity)
    -> std::size_t {
  const auto bound =
      kBusyFactor * MeanInFlight(candidates, usable) + kBusySlack;
  const auto rank = [&](std::size_t i) {
    return MixBits(candidates[i].id_hash ^ affinity);
  };
  std::sort(usable.begin(), usable.end(), [&](std::size_t a, std::size_t b) {
    return rank(a) > rank(b);
  });
  const auto found =
      std::find_if(usable.begin(), usable.end(), [&](std::size_t i) {
        return candidates[i].in_flight < bound;
      });
  return found == usable.end() ? usable.front() : *found;
}

/// The less loaded of two that are drawn.
auto DrawTwo(const std::vector<server_candidate>& candidates,
             const std::vector<std::size_t>& usable, std::uint64_t random)
    -> std::size_t {
  const auto first = usable[random % usable.size()];
  const auto second = usable[MixBits(random) % usable.size()];
  return Load(candidates[second]) < Load(candidates[first]) ? second : first;
}

}  // namespace

auto ChooseServer(const std::vector<server_candidate>& candidates,
                  const choice_input& input) -> std::optional<std::size_t> {
  if (candidates.empty()) return std::nullopt;
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].held_out) usable.push_back(i);
  }
  if (usable.empty()) {
    for (std::size_t i = 0; i < candidates.size(); ++i) usable.push_back(i);
  }
  if (input.affinity) {
    return ChooseByAffinity(candidates, std::move(usable), *input.affinity);
  }
  std::vector<std::size_t> near;
  for (const auto i : usable) {
    if (candidates[i].own_zone) near.push_back(i);
  }
  if (near.empty()) return DrawTwo(candidates, usable, input.random);
  const auto local = DrawTwo(candidates, near, input.random);
  const auto any = DrawTwo(candidates, usable, MixBits(input.random + 1));
  const bool is_far_better = candidates[any].in_flight + kZoneSlack <
                             candidates[local].in_flight;
  return is_far_better ? any : local;
}

}  // namespace lovagedale
