#include "lovagedale/admission/server_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>

namespace lovagedale {
namespace {

constexpr double kMsPerSecond = 1'000;
constexpr monotonic_ms kMsPerCs = 10;
/// Fraction of a limit that is shared out, as requests come at random.
constexpr double kSharedFraction = 0.8;
/// Part of what is shared out that goes to the entries by their demand; the
/// rest goes to all alike, so that one whose demand begins has a share.
constexpr double kSharedByDemand = 0.9;
/// The same while what control has told is older than kFleetDemandMaxAgeMs.
constexpr double kSharedByDemandOutdated = 0.5;
constexpr monotonic_ms kFleetDemandMaxAgeMs = 5'000;
/// A server that names less is still asked: only its answers tell that the
/// limit has ended.
constexpr double kMinLimitPerS = 0.1;
/// Below this share an entry cannot tell by itself when a request will pass.
constexpr double kMinForecastPerS = 0.25;
/// Requests of a mean entry in the time for which a place lasts.
constexpr double kDemandsPerPlace = 1;
/// Time that a message from another entry may take: older news than the own by
/// no more than this may in truth be older still.
constexpr monotonic_ms kMaxTransitMs = 100;
/// A server in need names its limit again within this time, in answers to other
/// requests.
constexpr monotonic_ms kNamedAgainMs = 500;
/// How long an entry reports that a server has no limit any more.
constexpr monotonic_ms kEndReportedMs = 5'000;
/// A server that names a limit has got too much for some time before. For this
/// time, or since a former limit ended, less what the limit allowed in it, no
/// requests pass.
constexpr monotonic_ms kCatchUpMs = 4'000;
constexpr double kMaxRetryAfterMs = 30'000;
/// Longest life of a place, for entries that ask a server hardly ever.
constexpr double kMaxPlaceMs = 600'000;
/// Grants that are saved while no entry asks: the larger of a number and those
/// of a time.
constexpr double kMinGrantBurst = 2;
constexpr double kGrantBurstS = 0.5;
/// Keeps the rate positive where all that asks is left to shares.
constexpr double kMinGrantsPerS = 0.01;
/// Longest time for which a refused entry does not ask again.
constexpr double kMaxGrantWaitMs = 10'000;

/// In hundredths of a second; at most what the message holds.
auto ToCs(monotonic_ms ms) -> std::uint16_t {
  return static_cast<std::uint16_t>(std::clamp<monotonic_ms>(
      ms / kMsPerCs, 0, std::numeric_limits<std::uint16_t>::max()));
}

}  // namespace

auto rate_estimate::Add(monotonic_ms now) -> void {
  per_s_ = PerSecond(now) + kMsPerSecond / kTimeConstantMs;
  updated_at_ = now;
}

auto rate_estimate::PerSecond(monotonic_ms now) const -> double {
  return per_s_ *
         std::exp(static_cast<double>(updated_at_ - now) / kTimeConstantMs);
}

auto rate_estimate::PerSecondBefore(monotonic_ms now) const -> double {
  return std::max(0.0, PerSecond(now) - kMsPerSecond / kTimeConstantMs);
}

auto ParseServerLimit(std::string_view text) -> std::optional<double> {
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || !std::isfinite(value) ||
      value < 0) {
    return std::nullopt;
  }
  return value;
}

auto server_limit_turns::Select(std::vector<server_limit_report>& servers)
    -> void {
  const auto turn_of = [this](const server_limit_report& server) {
    const auto found = last_turns_.find(server.server);
    const bool is_limited = server.limit_per_s > 0;
    return found != last_turns_.end() && found->second.was_limited == is_limited
               ? found->second.number
               : 0;
  };
  std::stable_sort(
      servers.begin(), servers.end(),
      [&](const auto& a, const auto& b) { return turn_of(a) < turn_of(b); });
  std::set<std::uint32_t> present;
  for (const auto& item : servers) present.insert(item.server);
  std::erase_if(last_turns_, [&](const auto& item) {
    return !present.contains(item.first);
  });
  if (servers.size() > kMaxServerLimitsPerHeartbeat) {
    servers.resize(kMaxServerLimitsPerHeartbeat);
  }
  for (const auto& item : servers) {
    last_turns_[item.server] = {next_number_, item.limit_per_s > 0};
  }
  ++next_number_;
}

auto server_limit::SetLimit(double limit_per_s, monotonic_ms now) -> void {
  if (!IsLimited()) {
    limited_since_ = now;
    catch_up_ms_ =
        ended_at_ ? std::min(now - *ended_at_, kCatchUpMs) : kCatchUpMs;
    refused_until_ = now;
    places_.reset();
  }
  if (IsLimited() && limit_per_s <= 0) ended_at_ = now;
  limit_per_s_ = limit_per_s;
}

auto server_limit::RecordAnswer(const limit_answer& answer, monotonic_ms now)
    -> bool {
  const bool was_limited = IsLimited();
  if (answer.limit_per_s) {
    SetLimit(std::max(*answer.limit_per_s, kMinLimitPerS), now);
    known_at_ = now;
    return !was_limited;
  }
  // Requests that were sent before the limit was last named may have been begun
  // before there was one.
  if (!was_limited || !answer.is_success ||
      answer.sent_at < *known_at_ + kNamedAgainMs) {
    return false;
  }
  SetLimit(0, now);
  known_at_ = now;
  return true;
}

auto server_limit::Adopt(const server_limit_status& status, monotonic_ms now)
    -> void {
  const auto known_at = now - kMsPerCs * status.age_cs;
  // Control has compared what it tells with what it was told.
  const auto tolerance_ms = reported_known_at_ == known_at_ ? 0 : kMaxTransitMs;
  if (!known_at_ || known_at > *known_at_ + tolerance_ms) {
    SetLimit(status.limit_per_s, now);
    known_at_ = known_at;
  }
  fleet_ = {status.demand_per_s, demand_.PerSecond(now), now};
}

auto server_limit::TotalDemand(std::size_t entries, monotonic_ms now) const
    -> double {
  if (!fleet_) {
    // A request that asks is counted, though others count none at this time.
    return demand_.PerSecondBefore(now) *
           static_cast<double>(std::max<std::size_t>(1, entries));
  }
  return std::max(demand_.PerSecond(now), fleet_->per_s);
}

auto server_limit::ShareAt(std::size_t entries, monotonic_ms now) const
    -> entry_share {
  const auto count = static_cast<double>(std::max<std::size_t>(1, entries));
  const auto shared = limit_per_s_ * kSharedFraction;
  const auto total = TotalDemand(entries, now);
  entry_share share;
  share.fraction = total <= shared ? 1 : shared / total;
  share.begins_at = limited_since_ + static_cast<monotonic_ms>(
                                         static_cast<double>(catch_up_ms_) *
                                         (1 - share.fraction));
  share.place_lasts_ms = static_cast<monotonic_ms>(
      std::min(kMaxPlaceMs, kDemandsPerPlace * kMsPerSecond * count /
                                std::max(total, kMinLimitPerS)));
  // As many entries have a place at first as have one after a while, when some
  // places have been taken.
  share.first_place_lasts_ms = static_cast<monotonic_ms>(
      static_cast<double>(share.place_lasts_ms) *
      (1 - std::exp(-kDemandsPerPlace)) / kDemandsPerPlace);
  auto part = 1 / count;
  if (fleet_ && fleet_->own_per_s > 0) {
    const auto by_demand = now - fleet_->at > kFleetDemandMaxAgeMs
                               ? kSharedByDemandOutdated
                               : kSharedByDemand;
    part = by_demand * fleet_->own_per_s /
               std::max(fleet_->own_per_s, fleet_->per_s) +
           (1 - by_demand) / count;
  }
  share.rate_per_s = shared * part;
  return share;
}

auto server_limit::MayAsk(std::size_t entries, monotonic_ms now) const -> bool {
  return now >= refused_until_ && now >= ShareAt(entries, now).begins_at;
}

auto server_limit::Adopt(const server_grant& grant, monotonic_ms now) -> bool {
  Adopt(grant.status, now);
  refused_until_ = grant.is_granted ? now : now + grant.retry_after_ms;
  return grant.is_granted || !IsLimited();
}

auto server_limit::TryTake(double draw, std::size_t entries, monotonic_ms now)
    -> bool {
  if (!IsLimited()) return true;
  const auto share = ShareAt(entries, now);
  if (now < share.begins_at) return false;
  // The entries' first places are spread by chance.
  if (!places_) {
    places_.emplace(draw, share.rate_per_s, share.first_place_lasts_ms, now);
  }
  places_->Update(share.rate_per_s, now);
  return places_->TryTake(share.place_lasts_ms, now);
}

auto server_limit::RetryAfterMs(std::size_t entries, monotonic_ms now)
    -> monotonic_ms {
  if (!IsLimited()) return 0;
  if (now < refused_until_) return refused_until_ - now;
  const auto share = ShareAt(entries, now);
  const auto begins_in_ms = std::max<monotonic_ms>(0, share.begins_at - now);
  if (share.rate_per_s < kMinForecastPerS) {
    // In this time the servers take as many requests as arrive in a second.
    return begins_in_ms + static_cast<monotonic_ms>(std::min(
                              kMaxRetryAfterMs, kMsPerSecond / share.fraction));
  }
  if (!places_) {
    return begins_in_ms +
           static_cast<monotonic_ms>(kMsPerSecond / share.rate_per_s) + 1;
  }
  places_->Update(share.rate_per_s, now);
  return begins_in_ms + places_->NextInMs();
}

auto server_limit::Report(std::uint32_t server, monotonic_ms now)
    -> std::optional<server_limit_report> {
  if (!known_at_) return std::nullopt;
  const auto age_ms = now - *known_at_;
  if (!IsLimited() && age_ms > kEndReportedMs) return std::nullopt;
  reported_known_at_ = known_at_;
  return server_limit_report{server, static_cast<float>(limit_per_s_),
                             ToCs(age_ms),
                             static_cast<float>(demand_.PerSecond(now))};
}

auto server_limit_total::Report(const std::string& entry,
                                const std::vector<server_limit_report>& reports,
                                monotonic_ms now) -> bool {
  bool has_news = false;
  for (const auto& report : reports) {
    by_entry_[entry].reports[report.server] = {report.demand_per_s, now};
    const auto known_at = now - kMsPerCs * report.age_cs;
    const auto [position, is_new] = servers_.try_emplace(report.server);
    auto& server = position->second;
    if (!is_new && known_at <= server.known_at) continue;
    has_news |= (server.limit_per_s > 0) != (report.limit_per_s > 0);
    server.limit_per_s = report.limit_per_s;
    server.known_at = known_at;
  }
  if (has_news) summed_at_.reset();
  return has_news;
}

auto server_limit_total::UpdateSums(monotonic_ms now) -> void {
  if (summed_at_ && now - *summed_at_ < kSumsMaxAgeMs) return;
  summed_at_ = now;
  for (auto& [key, server] : servers_) {
    server.demand_per_s = 0;
    server.asking_demand_per_s = 0;
    server.reporters = 0;
  }
  for (auto& [entry, record] : by_entry_) {
    std::erase_if(record.reports, [&](const auto& item) {
      return now - item.second.at > kReportMaxAgeMs;
    });
    const bool asks = record.AsksForGrants(now);
    for (const auto& [key, received] : record.reports) {
      auto& server = servers_[key];
      server.demand_per_s += received.demand_per_s;
      if (asks) server.asking_demand_per_s += received.demand_per_s;
      ++server.reporters;
    }
  }
  std::erase_if(servers_,
                [](const auto& item) { return item.second.reporters == 0; });
}

auto server_limit_total::StatusOf(std::uint32_t key,
                                  const server_record& server,
                                  std::size_t live_entries,
                                  monotonic_ms now) const
    -> server_limit_status {
  const auto reporters = std::max<std::size_t>(1, server.reporters);
  const auto known_entries = std::max(live_entries, reporters);
  return {key, server.limit_per_s, ToCs(now - server.known_at),
          server.demand_per_s * static_cast<float>(known_entries) /
              static_cast<float>(reporters)};
}

auto server_limit_total::StatusesFor(const std::string& entry,
                                     std::size_t live_entries, monotonic_ms now)
    -> std::vector<server_limit_status> {
  UpdateSums(now);
  std::vector<server_limit_status> statuses;
  for (const auto& [key, server] : servers_) {
    if (server.reporters == 0) continue;
    statuses.push_back(StatusOf(key, server, live_entries, now));
  }
  by_entry_[entry].turns.Select(statuses);
  return statuses;
}

auto server_limit_total::Grant(const std::string& entry,
                               std::uint32_t server_key,
                               std::size_t live_entries,
                               std::size_t registered_entries, monotonic_ms now)
    -> server_grant {
  auto& record = by_entry_[entry];
  if (!record.AsksForGrants(now)) summed_at_.reset();
  record.asked_at = now;
  UpdateSums(now);
  auto& server = servers_[server_key];
  server_grant grant;
  grant.status = StatusOf(server_key, server, live_entries, now);
  if (server.limit_per_s <= 0) {
    grant.is_granted = true;
    return grant;
  }
  // The others use shares: entries of builds that do not ask, and entries that
  // do not reach this replica.
  const auto asking = server.demand_per_s > 0
                          ? server.asking_demand_per_s / server.demand_per_s
                          : 1;
  const auto reached =
      static_cast<double>(live_entries) /
      static_cast<double>(std::max(live_entries, registered_entries));
  const auto per_s = std::max(
      kSharedFraction * server.limit_per_s * asking * reached, kMinGrantsPerS);
  const auto burst = std::max(kMinGrantBurst, per_s * kGrantBurstS);
  if (!server.grants) server.grants.emplace(per_s, burst, now, 1);
  server.grants->SetLimit(per_s, burst, now);
  grant.is_granted = server.grants->TryTake(now);
  if (grant.is_granted) {
    server.refused = 0;
    return grant;
  }
  // Each entry gets the time of a grant of its own.
  const auto wait_ms =
      static_cast<double>(server.grants->WaitMs(now)) +
      static_cast<double>(server.refused) / per_s * kMsPerSecond;
  ++server.refused;
  grant.retry_after_ms =
      static_cast<std::uint32_t>(std::min(wait_ms, kMaxGrantWaitMs));
  return grant;
}

}  // namespace lovagedale
