#include "lovagedale/relay/server_groups.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "lovagedale/common/hash.h"
#include "lovagedale/forwarding/helper_table.h"

namespace lovagedale {
namespace {

/// Prompt tokens that a server reads per millisecond on the smallest model, by
/// the servers' data sheet. A faster or slower kind of server moves the limit
/// between the classes in proportion.
constexpr double kWorkPerMs = 38.4;
/// A request is heavy if its prompt alone takes this fraction of the longest
/// pause that a stream tolerates. The rest is for the steps of the stream
/// itself and for a second prompt in the same pause.
constexpr double kMaxPauseFraction = 0.4;
/// Load of the light requests' servers relative to that of the others. In a
/// trial 0.68 of the servers were right for heavy requests where these were
/// 0.79 of the work: (0.21 / 0.32) / (0.79 / 0.68).
constexpr double kLightLoadRatio = 0.565;
/// A class with less of the work than this gets no servers of its own. Groups
/// that exist stay down to the second value, so that noise does not end them.
constexpr double kMinClassShare = 0.05;
constexpr double kMinKeptClassShare = 0.03;
/// Each group keeps at least this fraction of the servers.
constexpr double kMinGroupFraction = 0.1;
/// Requests that an entry must have sent before its own share counts.
constexpr std::uint64_t kMinOwnRequests = 50;
/// Half of the work that counts is of this time: shares follow the hours of the
/// day, and bursts are left to the queues.
constexpr double kWorkHalfLifeMs = 15'000;
/// Distinguishes the positions from other uses of the servers' hashes.
constexpr std::uint64_t kPositionSalt = 0x6772'6f75'7073ULL;
/// A shift by queues takes about this time, so a few prompts cause none.
constexpr double kShiftTimeMs = 2'000;
/// A queue that is longer than the other by this factor leads to the full
/// shift.
constexpr double kFullShiftRatio = 4;
/// Heavy requests' queues are longer by their size alone; they count as much
/// longer only beyond this ratio.
constexpr double kHeavyQueueRatio = 16;
/// Queues per server, in units of the least heavy request, below which there is
/// nothing to relieve.
constexpr double kMinLightQueue = 0.5;
constexpr double kMinHeavyQueue = 4;
/// Smaller shifts end at once.
constexpr double kMinShift = 0.005;

}  // namespace

auto HeavyMinWork(std::int64_t pause_ms) -> std::optional<double> {
  if (pause_ms <= 0) return std::nullopt;
  return static_cast<double>(pause_ms) * kMaxPauseFraction * kWorkPerMs;
}

auto HeavyServerFraction(double heavy_share) -> double {
  const auto heavy = std::clamp(heavy_share, 0.0, 1.0);
  return heavy / (heavy + (1 - heavy) / kLightLoadRatio);
}

auto GroupPosition(std::uint64_t id_hash) -> double {
  return ToUnitInterval(MixBits(id_hash ^ kPositionSalt));
}

auto GroupBoundary(std::vector<double> positions, double fraction) -> double {
  const auto count = positions.size();
  const auto below = std::clamp<std::size_t>(
      static_cast<std::size_t>(
          std::lround(fraction * static_cast<double>(count))),
      1, count - 1);
  const auto first_above =
      positions.begin() + static_cast<std::ptrdiff_t>(below);
  std::nth_element(positions.begin(), first_above, positions.end());
  const auto last_below = *std::max_element(positions.begin(), first_above);
  return (last_below + *first_above) / 2;
}

auto recent_work::Decay(monotonic_ms now) const -> double {
  return std::exp2(-static_cast<double>(now - at_) / kWorkHalfLifeMs);
}

auto recent_work::Add(double work, bool is_heavy, monotonic_ms now) -> void {
  const auto decay = Decay(now);
  heavy_ = heavy_ * decay + (is_heavy ? work : 0);
  light_ = light_ * decay + (is_heavy ? 0 : work);
  at_ = now;
}

namespace {

/// Rate per second whose exponentially weighted sum is `sum`.
auto RateOf(double sum) -> double {
  return sum * std::log(2.0) * 1'000 / kWorkHalfLifeMs;
}

}  // namespace

auto recent_work::Heavy(monotonic_ms now) const -> double {
  return RateOf(heavy_ * Decay(now));
}

auto recent_work::Light(monotonic_ms now) const -> double {
  return RateOf(light_ * Decay(now));
}

auto work_share_total::Report(const std::string& entry,
                              std::vector<service_work> work, monotonic_ms now)
    -> void {
  if (by_entry_.empty()) collects_since_ = now;
  by_entry_[entry] = {std::move(work), now};
}

auto work_share_total::Shares(monotonic_ms now)
    -> std::vector<heavy_work_share> {
  std::erase_if(by_entry_, [&](const auto& item) {
    return now - item.second.at > kReportMaxAgeMs;
  });
  if (by_entry_.empty() || now - collects_since_ < kCollectMs) return {};
  struct sums {
    double heavy = 0;
    double light = 0;
  };
  std::map<std::uint32_t, sums> totals;
  for (const auto& [entry, reported] : by_entry_) {
    for (const auto& item : reported.work) {
      auto& total = totals[item.service];
      total.heavy += item.heavy;
      total.light += item.light;
    }
  }
  for (const auto& [service, total] : totals) {
    if (total.heavy + total.light == 0) continue;
    const auto share = total.heavy / (total.heavy + total.light);
    const auto found = shares_.find(service);
    if (found == shares_.end()) {
      if (shares_.size() >= kMaxGroupedServices) continue;
    } else if (std::abs(share - static_cast<double>(found->second.share) /
                                    heavy_work_share::kWhole) <= kMinChange) {
      continue;
    }
    shares_[service] = {service, static_cast<std::uint16_t>(std::lround(
                                     share * heavy_work_share::kWhole))};
  }
  std::vector<heavy_work_share> shares;
  for (const auto& [service, share] : shares_) {
    if (totals.contains(service)) shares.push_back(share);
  }
  return shares;
}

auto service_groups::RecordSent(double work, monotonic_ms now) -> void {
  if (!heavy_min_work_) return;
  work_.Add(work, work > *heavy_min_work_, now);
  ++sent_;
}

auto service_groups::HeavyShare(monotonic_ms now) const
    -> std::optional<double> {
  if (fleet_share_) return fleet_share_;
  const auto heavy = work_.Heavy(now);
  const auto all = heavy + work_.Light(now);
  if (sent_ < kMinOwnRequests || all <= 0) return std::nullopt;
  return heavy / all;
}

auto service_groups::WantedShift(
    const std::vector<grouped_server>& servers) const -> double {
  double sums[2] = {0, 0};
  double counts[2] = {0, 0};
  for (const auto& server : servers) {
    const auto group = server.position < groups_->boundary ? 1 : 0;
    sums[group] += server.queued_work;
    counts[group] += 1;
  }
  if (counts[0] == 0 || counts[1] == 0) return 0;
  const auto unit = groups_->heavy_min_work;
  const auto light = sums[0] / counts[0];
  const auto heavy = sums[1] / counts[1];
  const auto shift = [&](double queue, double other) {
    const auto ratio =
        queue / std::max(other, std::numeric_limits<double>::min());
    return kMaxShift *
           std::clamp(std::log(ratio) / std::log(kFullShiftRatio), 0.0, 1.0);
  };
  // Light requests wait badly: their queues are meant to be the shorter ones.
  if (light > heavy && light > kMinLightQueue * unit) {
    return -shift(light, heavy);
  }
  if (heavy > kHeavyQueueRatio * light && heavy > kMinHeavyQueue * unit) {
    return shift(heavy, kHeavyQueueRatio * light);
  }
  return 0;
}

auto service_groups::Update(const std::vector<grouped_server>& servers,
                            std::optional<double> heavy_min_work,
                            bool has_queues, monotonic_ms now) -> void {
  const auto elapsed_ms = updated_at_ ? now - *updated_at_ : 0;
  updated_at_ = now;
  heavy_min_work_ = heavy_min_work;
  const auto share = HeavyShare(now);
  const auto min_share = groups_ ? kMinKeptClassShare : kMinClassShare;
  if (!heavy_min_work || servers.size() < kMinServers || !share ||
      *share < min_share || *share > 1 - min_share) {
    groups_.reset();
    shift_ = 0;
    return;
  }
  const auto wanted = groups_ && has_queues ? WantedShift(servers) : 0;
  shift_ += (wanted - shift_) *
            (1 - std::exp(-static_cast<double>(elapsed_ms) / kShiftTimeMs));
  if (wanted == 0 && std::abs(shift_) < kMinShift) shift_ = 0;
  std::vector<double> positions;
  positions.reserve(servers.size());
  for (const auto& server : servers) positions.push_back(server.position);
  const auto fraction = std::clamp(HeavyServerFraction(*share) + shift_,
                                   kMinGroupFraction, 1 - kMinGroupFraction);
  groups_ = {GroupBoundary(std::move(positions), fraction), *heavy_min_work};
}

auto OwnServiceWork(const service_groups_table& table, monotonic_ms now)
    -> std::vector<service_work> {
  const auto rounded = [](double rate) {
    return static_cast<std::uint32_t>(std::min(
        rate + 0.5,
        static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
  };
  std::vector<service_work> report;
  for (const auto& [service, groups] : table) {
    const service_work item{ServiceKey(service),
                            rounded(groups.work().Heavy(now)),
                            rounded(groups.work().Light(now))};
    if (item.heavy > 0 || item.light > 0) report.push_back(item);
  }
  std::stable_sort(report.begin(), report.end(),
                   [](const auto& a, const auto& b) {
                     return static_cast<double>(a.heavy) + a.light >
                            static_cast<double>(b.heavy) + b.light;
                   });
  if (report.size() > kMaxGroupedServices) report.resize(kMaxGroupedServices);
  return report;
}

auto AdoptShares(service_groups_table& table,
                 const std::vector<heavy_work_share>& shares) -> void {
  for (auto& [service, groups] : table) {
    const auto key = ServiceKey(service);
    for (const auto& item : shares) {
      if (item.service != key) continue;
      groups.AdoptShare(static_cast<double>(item.share) /
                        heavy_work_share::kWhole);
    }
  }
}

}  // namespace lovagedale
