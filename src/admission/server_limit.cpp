#include "lovagedale/admission/server_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr double kMsPerSecond = 1'000;
constexpr monotonic_ms kMsPerCs = 10;
/// Fraction of a limit that is shared out, as the sum of the entries' requests
/// varies.
constexpr double kSharedFraction = 0.8;
/// The same while what control has told of the other entries' demand is older
/// than kFleetDemandMaxAgeMs: the demand may have grown.
constexpr double kSharedFractionOutdated = 0.5;
constexpr monotonic_ms kFleetDemandMaxAgeMs = 5'000;
/// A server that names less is still asked: only its answers tell that the
/// limit has ended.
constexpr double kMinLimitPerS = 0.1;
/// A share below this is not paced: many entries with a saved token each would
/// exceed the limit together.
constexpr double kMinPacedPerS = 0.25;
constexpr double kPacedBurst = 1;
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

auto rate_estimate::MaxErrorPerSecond(double per_s) -> double {
  constexpr double kDeviations = 2;
  constexpr auto kEventPerS = kMsPerSecond / kTimeConstantMs;
  return kEventPerS + kDeviations * std::sqrt(per_s * kEventPerS / 2);
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

auto LimitDraw(std::uint64_t request_hash, monotonic_ms now) -> double {
  const auto second = static_cast<std::uint64_t>(now) /
                      static_cast<std::uint64_t>(kMsPerSecond);
  return ToUnitInterval(MixBits(request_hash ^ MixBits(second)));
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
    bucket_.reset();
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
  const auto count = static_cast<double>(std::max<std::size_t>(1, entries));
  const auto own = demand_.PerSecond(now);
  if (!fleet_) return own * count;
  // Without own demand then, the mean of the entries stands for it.
  const auto before = std::max(fleet_->own_per_s, fleet_->per_s / count);
  const auto now_at_least = own - rate_estimate::MaxErrorPerSecond(before);
  const auto growth = now_at_least > before ? now_at_least / before : 1;
  return std::max(own, fleet_->per_s * growth);
}

auto server_limit::ShareAt(std::size_t entries, monotonic_ms now) const
    -> entry_share {
  const bool is_outdated = fleet_ && now - fleet_->at > kFleetDemandMaxAgeMs;
  const auto shared =
      limit_per_s_ * (is_outdated ? kSharedFractionOutdated : kSharedFraction);
  const auto total = TotalDemand(entries, now);
  if (total <= shared) return {1, shared, /*is_paced=*/true, limited_since_};
  const auto fraction = shared / total;
  const auto rate = fraction * demand_.PerSecond(now);
  const auto excess_ms = static_cast<double>(catch_up_ms_) * (1 - fraction);
  return {fraction, rate, rate >= kMinPacedPerS,
          limited_since_ + static_cast<monotonic_ms>(excess_ms)};
}

auto server_limit::TryTake(double draw, std::size_t entries, monotonic_ms now)
    -> bool {
  if (!IsLimited()) return true;
  const auto share = ShareAt(entries, now);
  if (now < share.begins_at) return false;
  if (!share.is_paced) return draw < share.fraction;
  // The entries' first requests are spread by chance.
  if (!bucket_) {
    bucket_.emplace(share.rate_per_s, kPacedBurst, share.begins_at, draw);
  }
  bucket_->SetLimit(share.rate_per_s, kPacedBurst, now);
  return bucket_->TryTake(now);
}

auto server_limit::RetryAfterMs(std::size_t entries, monotonic_ms now)
    -> monotonic_ms {
  if (!IsLimited()) return 0;
  const auto share = ShareAt(entries, now);
  const auto begins_in_ms = std::max<monotonic_ms>(0, share.begins_at - now);
  if (!share.is_paced) {
    // In this time the servers take as many requests as arrive in a second.
    return begins_in_ms + static_cast<monotonic_ms>(std::min(
                              kMaxRetryAfterMs, kMsPerSecond / share.fraction));
  }
  if (!bucket_) {
    return begins_in_ms +
           static_cast<monotonic_ms>(kMsPerSecond / share.rate_per_s) + 1;
  }
  bucket_->SetLimit(share.rate_per_s, kPacedBurst, now);
  return std::max(begins_in_ms, bucket_->WaitMs(now));
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
    server.reporters = 0;
  }
  for (auto& [entry, record] : by_entry_) {
    std::erase_if(record.reports, [&](const auto& item) {
      return now - item.second.at > kReportMaxAgeMs;
    });
    for (const auto& [key, received] : record.reports) {
      auto& server = servers_[key];
      server.demand_per_s += received.demand_per_s;
      ++server.reporters;
    }
  }
  std::erase_if(servers_,
                [](const auto& item) { return item.second.reporters == 0; });
}

auto server_limit_total::StatusesFor(const std::string& entry,
                                     std::size_t live_entries, monotonic_ms now)
    -> std::vector<server_limit_status> {
  UpdateSums(now);
  std::vector<server_limit_status> statuses;
  for (const auto& [key, server] : servers_) {
    if (server.reporters == 0) continue;
    const auto known_entries = std::max(live_entries, server.reporters);
    statuses.push_back(
        {key, server.limit_per_s, ToCs(now - server.known_at),
         server.demand_per_s * static_cast<float>(known_entries) /
             static_cast<float>(server.reporters)});
  }
  by_entry_[entry].turns.Select(statuses);
  return statuses;
}

}  // namespace lovagedale
