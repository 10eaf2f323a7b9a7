#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lovagedale/admission/cold_limit.h"

namespace lovagedale::testing {

/// The most requests that a cold server may get in any second.
inline auto MostAllowedCold(double limit_per_s) -> std::size_t {
  return static_cast<std::size_t>(1.5 * limit_per_s + 5);
}

struct cold_fleet_size {
  std::size_t entries = 6;
  double limit_per_s = 11;
  double demand_per_s = 0;  ///< of all entries together
};

/// Simulates entries that have requests for one cold server, and control's
/// leader. Questions, answers and requests take some time on their way.
class cold_fleet {
 public:
  cold_fleet(const cold_fleet_size& size, std::uint64_t seed)
      : size_(size), random_(seed), entries_(size.entries) {
    Heartbeats();
  }

  /// The first `count` entries reach control no more; the others do.
  auto CutFromControl(std::size_t count) -> void {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      entries_[i].has_control = i >= count;
    }
  }
  /// What the entries know of their number; by default all know it.
  auto SetKnownEntries(std::optional<std::size_t> count) -> void {
    known_entries_ = count;
  }
  auto Run(monotonic_ms duration_ms) -> void {
    for (const auto end = now_ + duration_ms; now_ < end; now_ += kStepMs) {
      if (now_ % kHeartbeatMs < kStepMs) Heartbeats();
      HandleEvents();
      const auto mean = size_.demand_per_s * kStepMs / 1'000;
      const auto count = std::poisson_distribution<int>(mean)(random_);
      for (int i = 0; i < count; ++i) Offer(random_() % entries_.size());
    }
  }
  /// Sets the demand of all entries together.
  auto SetDemand(double per_s) -> void { size_.demand_per_s = per_s; }
  /// Most arrivals in a second.
  auto most() const -> std::size_t { return most_; }
  auto arrived() const -> std::size_t { return arrived_; }

 private:
  static constexpr monotonic_ms kStepMs = 2;
  static constexpr monotonic_ms kHeartbeatMs = 1'000;
  static constexpr monotonic_ms kMaxWayMs = 20;
  /// One request in so many waits for a new connection.
  static constexpr std::uint64_t kConnectsOneIn = 10;
  static constexpr monotonic_ms kMaxConnectMs = 100;

  struct entry_state {
    cold_share share;
    bool has_control = true;
  };
  enum class event_kind { kAsk, kAnswer, kArrive };
  struct event {
    event_kind kind = event_kind::kArrive;
    std::size_t entry = 0;
    server_grant grant;
  };

  auto Way() -> monotonic_ms {
    return static_cast<monotonic_ms>(random_() % kMaxWayMs);
  }
  auto Heartbeats() -> void {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (entries_[i].has_control) {
        grants_.RecordHeartbeat(std::to_string(i), now_);
      }
    }
  }
  auto Offer(std::size_t i) -> void {
    auto& entry = entries_[i];
    if (!entry.share.MayAsk(now_)) return;
    if (entry.has_control) {
      events_.emplace(now_ + Way(), event{event_kind::kAsk, i, {}});
      return;
    }
    const auto draw = std::uniform_real_distribution<double>()(random_);
    const auto known = known_entries_.value_or(entries_.size());
    if (entry.share.TryTake(size_.limit_per_s,
                            known == 0 ? std::nullopt : std::optional(known),
                            draw, now_)) {
      Send(i);
    }
  }
  auto Send(std::size_t i) -> void {
    auto delay_ms = Way();
    if (random_() % kConnectsOneIn == 0) {
      delay_ms += static_cast<monotonic_ms>(random_() % kMaxConnectMs);
    }
    events_.emplace(now_ + delay_ms, event{event_kind::kArrive, i, {}});
  }
  auto HandleEvents() -> void {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto next = events_.begin()->second;
      events_.erase(events_.begin());
      if (next.kind == event_kind::kAsk) {
        const auto grant =
            grants_.Grant(1, size_.limit_per_s, entries_.size(), now_);
        events_.emplace(now_ + Way(),
                        event{event_kind::kAnswer, next.entry, grant});
      } else if (next.kind == event_kind::kAnswer) {
        if (entries_[next.entry].share.Adopt(next.grant, now_)) {
          Send(next.entry);
        }
      } else {
        ++arrived_;
        window_.push_back(now_);
        while (now_ - window_.front() >= 1'000) window_.pop_front();
        most_ = std::max(most_, window_.size());
      }
    }
  }

  cold_fleet_size size_;
  std::mt19937_64 random_;
  std::vector<entry_state> entries_;
  std::optional<std::size_t> known_entries_;
  cold_grants grants_;
  std::multimap<monotonic_ms, event> events_;
  std::deque<monotonic_ms> window_;
  monotonic_ms now_ = 100'000;
  std::size_t most_ = 0;
  std::size_t arrived_ = 0;
};

}  // namespace lovagedale::testing
