#include "lovagedale/admission/cold_limit.h"

#include <algorithm>
#include <cmath>

namespace lovagedale {
namespace {

constexpr double kMsPerSecond = 1'000;
/// Longest cold time as a multiple of the usual one, and the longest one of a
/// service whose usual one is not known.
constexpr monotonic_ms kMaxColdStarts = 10;
constexpr monotonic_ms kMaxUnknownColdMs = 60'000;
/// Fraction of a limit that the shares of all entries sum to. With 0.8, as for
/// limits that servers name, chance alone would exceed the bound of 1.5 times
/// the limit and 5 in any second: each entry's places have a phase of their
/// own.
constexpr double kSharedFraction = 0.5;
/// How long a place lasts that no request takes. Those of all entries that are
/// left at any time are taken at once when a burst begins.
constexpr double kPlaceMs = 300;
/// An entry sends the leader heartbeats at least once a second.
constexpr monotonic_ms kHeardMs = 2'500;
/// Entries are counted anew after this time, not for each grant.
constexpr monotonic_ms kCountMaxAgeMs = 100;
/// Keeps the rate positive where no entry is heard.
constexpr double kMinGrantsPerS = 0.1;
/// A refused entry asks again after this time at the latest. Servers are cold
/// for some seconds only.
constexpr double kMaxGrantWaitMs = 2'000;
/// Time after the last question at which a server's grants are forgotten.
constexpr monotonic_ms kForgottenMs = 60'000;
constexpr monotonic_ms kUnknownEntriesRetryMs = 1'000;

auto PlaceIntervalMs(double limit_per_s, std::size_t entries) -> double {
  return kMsPerSecond * static_cast<double>(std::max<std::size_t>(1, entries)) /
         (limit_per_s * kSharedFraction);
}

}  // namespace

auto MaxColdMs(const service_cold_limit& limit) -> monotonic_ms {
  return limit.start_ms > 0 ? limit.start_ms * kMaxColdStarts
                            : kMaxUnknownColdMs;
}

auto settled_entry_count::Record(std::size_t entries, monotonic_ms now)
    -> void {
  if (entries == 0) return;
  if (!first_at_) first_at_ = now;
  if (entries < largest_ && now - largest_at_ <= kLargestLastsMs) return;
  largest_ = entries;
  largest_at_ = now;
}

auto settled_entry_count::Count(monotonic_ms now) const
    -> std::optional<std::size_t> {
  if (!first_at_ || now - *first_at_ < kSettlingMs) return std::nullopt;
  return largest_;
}

auto cold_share::Adopt(const server_grant& grant, monotonic_ms now) -> bool {
  refused_until_ = grant.is_granted ? now : now + grant.retry_after_ms;
  return grant.is_granted;
}

auto cold_share::TryTake(double limit_per_s, std::optional<std::size_t> entries,
                         double draw, monotonic_ms now) -> bool {
  if (!entries || limit_per_s <= 0) return false;
  const auto interval_ms = PlaceIntervalMs(limit_per_s, *entries);
  const auto now_ms = static_cast<double>(now);
  if (!newest_place_ms_) newest_place_ms_ = now_ms - draw * interval_ms;
  const auto made = std::floor((now_ms - *newest_place_ms_) / interval_ms);
  if (made >= 1) {
    *newest_place_ms_ += made * interval_ms;
    is_newest_taken_ = false;
  }
  if (is_newest_taken_ || now_ms - *newest_place_ms_ > kPlaceMs) return false;
  is_newest_taken_ = true;
  return true;
}

auto cold_share::RetryAfterMs(double limit_per_s,
                              std::optional<std::size_t> entries,
                              monotonic_ms now) const -> monotonic_ms {
  if (now < refused_until_) return refused_until_ - now;
  if (!entries || !newest_place_ms_ || limit_per_s <= 0) {
    return kUnknownEntriesRetryMs;
  }
  const auto next_ms =
      *newest_place_ms_ + PlaceIntervalMs(limit_per_s, *entries);
  return std::max<monotonic_ms>(
      1, static_cast<monotonic_ms>(std::ceil(next_ms)) - now);
}

auto cold_grants::RecordHeartbeat(const std::string& entry, monotonic_ms now)
    -> void {
  heard_at_[entry] = now;
}

auto cold_grants::Forget(const std::string& entry) -> void {
  heard_at_.erase(entry);
  counted_at_.reset();
}

auto cold_grants::CountHeard(monotonic_ms now) -> std::size_t {
  if (counted_at_ && now - *counted_at_ < kCountMaxAgeMs) return heard_;
  counted_at_ = now;
  std::erase_if(heard_at_, [now](const auto& item) {
    return now - item.second > kHeardMs;
  });
  std::erase_if(servers_, [now](const auto& item) {
    return now - item.second.asked_at > kForgottenMs;
  });
  heard_ = heard_at_.size();
  return heard_;
}

auto cold_grants::Grant(std::uint32_t key, double limit_per_s,
                        std::size_t registered_entries, monotonic_ms now)
    -> server_grant {
  const auto heard = CountHeard(now);
  const auto reached = static_cast<double>(heard) /
                       static_cast<double>(std::max(
                           {std::size_t{1}, heard, registered_entries}));
  const auto per_s = std::max(limit_per_s * reached, kMinGrantsPerS);
  auto& server =
      servers_.try_emplace(key, server_record{{per_s, kBurst, now, 1}, 0, now})
          .first->second;
  server.asked_at = now;
  server.grants.SetLimit(per_s, kBurst, now);
  server_grant grant;
  grant.status.server = key;
  grant.status.limit_per_s = static_cast<float>(limit_per_s);
  grant.is_granted = server.grants.TryTake(now);
  if (grant.is_granted) {
    server.refused = 0;
    return grant;
  }
  // Each entry gets the time of a grant of its own.
  const auto wait_ms =
      static_cast<double>(server.grants.WaitMs(now)) +
      static_cast<double>(server.refused) / per_s * kMsPerSecond;
  ++server.refused;
  grant.retry_after_ms =
      static_cast<std::uint32_t>(std::min(wait_ms, kMaxGrantWaitMs));
  return grant;
}

}  // namespace lovagedale
