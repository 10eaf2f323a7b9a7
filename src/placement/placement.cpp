#include "lovagedale/placement/placement.h"

#include <algorithm>
#include <limits>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr std::size_t kMaxPrefixMatches = 4;
/// Score added for each suspect that already runs at a server, in requests. It
/// exceeds all loads, so that a second suspect is sent there only if every
/// other available server runs one too.
constexpr double kSuspectPenalty = 1'000;

auto Contains(std::span<const server_id> list, server_id id) -> bool {
  return std::find(list.begin(), list.end(), id) != list.end();
}

/// Selects the server with the lowest score among those offered.
class best_choice {
 public:
  best_choice(const placement_request& request,
              const placement_options& options)
      : request_(request), options_(options) {}

  auto Offer(const placed_server& server, std::size_t cached_blocks) -> void {
    if (Contains(request_.excluded, server.id) ||
        !IsAvailable(server, request_.now) ||
        (request_.version_hash != 0 &&
         !server.state->Holds(request_.version_hash))) {
      return;
    }
    ++considered_;
    const auto saved_requests = std::min(
        static_cast<double>(cached_blocks) * options_.requests_saved_per_block,
        options_.max_requests_saved);
    auto score = ExpectedLoad(server, request_.now, options_) -
                 saved_requests / static_cast<double>(server.slots);
    if (request_.is_suspect) {
      score += kSuspectPenalty *
               server.state->suspects_running.load(std::memory_order_relaxed);
    }
    if (best_ && score >= best_->score) return;
    best_ = placement_choice{server.id,
                             server.state,
                             cached_blocks > 0 ? placement_reason::kPrefixCached
                                               : placement_reason::kLeastLoaded,
                             score,
                             cached_blocks,
                             0};
  }

  auto Take() -> std::optional<placement_choice> {
    if (best_) best_->considered = considered_;
    return best_;
  }

 private:
  const placement_request& request_;
  const placement_options& options_;
  std::optional<placement_choice> best_;
  std::size_t considered_ = 0;
};

auto ChooseIn(const std::vector<placed_server>& servers,
              std::span<const prefix_index::match> matches,
              const placement_request& request,
              const placement_options& options)
    -> std::optional<placement_choice> {
  best_choice best(request, options);
  for (const auto& match : matches) {
    const auto found = std::lower_bound(
        servers.begin(), servers.end(), match.server,
        [](const auto& server, server_id id) { return server.id < id; });
    if (found != servers.end() && found->id == match.server) {
      best.Offer(*found, match.blocks);
    }
  }
  const bool consider_all =
      request.is_suspect || servers.size() <= options.samples;
  if (consider_all) {
    for (const auto& server : servers) best.Offer(server, 0);
    return best.Take();
  }
  auto random = request.random;
  for (std::size_t i = 0; i < options.samples; ++i) {
    random = MixBits(random);
    best.Offer(servers[random % servers.size()], 0);
  }
  if (auto choice = best.Take()) return choice;
  // No sampled server was available: consider all.
  for (const auto& server : servers) best.Offer(server, 0);
  return best.Take();
}

}  // namespace

auto ExpectedLoad(const placed_server& server, monotonic_ms now,
                  const placement_options& options) -> double {
  const auto& state = *server.state;
  const auto own_in_flight = state.in_flight.load(std::memory_order_relaxed);
  const auto reported_at =
      state.load_reported_at.load(std::memory_order_relaxed);
  auto load = static_cast<double>(own_in_flight);
  if (reported_at >= 0 && now - reported_at <= options.load_report_max_age_ms) {
    const auto reported = state.reported_load.load(std::memory_order_relaxed);
    const auto own_at_report =
        state.in_flight_at_report.load(std::memory_order_relaxed);
    load = std::max(
        load, static_cast<double>(reported + own_in_flight - own_at_report));
  }
  return load / static_cast<double>(server.slots);
}

auto IsAvailable(const placed_server& server, monotonic_ms now) -> bool {
  return !server.state->IsLeaving() &&
         server.state->ejected_until.load(std::memory_order_relaxed) <= now;
}

auto ChooseServer(const placement_group& group, const prefix_index& prefixes,
                  const placement_request& request,
                  const placement_options& options)
    -> std::optional<placement_choice> {
  std::vector<prefix_index::match> matches;
  if (!request.prefixes.empty()) {
    matches = prefixes.Find(request.prefixes, kMaxPrefixMatches);
  }
  const auto local = ChooseIn(group.local, matches, request, options);
  // A suspect goes to another zone rather than to a server that already runs
  // one. The penalty shows in the score, which cached blocks may have reduced.
  const bool local_runs_suspect =
      request.is_suspect && local &&
      local->score >= kSuspectPenalty - options.max_requests_saved;
  if (local && !local_runs_suspect) return local;
  auto remote = ChooseIn(group.remote, matches, request, options);
  if (!remote || (local && local->score <= remote->score)) return local;
  remote->reason = placement_reason::kOtherZone;
  return remote;
}

auto ReasonName(placement_reason reason) -> const char* {
  switch (reason) {
    case placement_reason::kLeastLoaded:
      return "least_loaded";
    case placement_reason::kPrefixCached:
      return "prefix_cached";
    case placement_reason::kOtherZone:
      return "other_zone";
  }
  return "unknown";
}

}  // namespace lovagedale
