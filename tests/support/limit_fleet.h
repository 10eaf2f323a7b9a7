#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "lovagedale/admission/server_limit.h"

namespace lovagedale::testing {

/// Window over which a server counts its requests.
inline constexpr monotonic_ms kLimitWindowMs = 4'000;

/// The most requests that a server with a limit may get in a window.
inline auto MostAllowed(double limit_per_s) -> std::size_t {
  return static_cast<std::size_t>(1.5 * limit_per_s * kLimitWindowMs / 1'000 +
                                  5);
}

struct limit_fleet_size {
  std::size_t entries = 6;
  monotonic_ms heartbeat_ms = 200;
  std::size_t servers = 1;
};

/// Simulates entries, servers that may name a limit, and control, with
/// heartbeats in turn.
class limit_fleet {
 public:
  explicit limit_fleet(const limit_fleet_size& size,
                       std::uint64_t seed = 20'261'204)
      : random_(seed),
        heartbeat_ms_(size.heartbeat_ms),
        entries_(size.entries),
        servers_(size.servers) {
    for (auto& entry : entries_) entry.limits.resize(size.servers);
    SetPopularity(std::vector<double>(size.servers, 1));
  }

  /// Demand of all entries together, evenly among the first `senders`.
  auto SetDemand(double per_s, std::size_t senders) -> void {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      entries_[i].demand_per_s =
          i < senders ? per_s / static_cast<double>(senders) : 0;
    }
  }
  /// Relative frequencies with which the servers are a request's first choice.
  auto SetPopularity(const std::vector<double>& weights) -> void {
    first_choice_ =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }
  /// The first `count` entries reach control no more; the others do.
  auto CutFromControl(std::size_t count) -> void {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      entries_[i].has_control = i >= count;
    }
  }
  auto Run(monotonic_ms duration_ms) -> void {
    for (const auto end = now_ + duration_ms; now_ < end; now_ += kStepMs) {
      ReceiveAnswers();
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        SendRequests(i);
        const auto phase = static_cast<monotonic_ms>(i) * kStepMs;
        if ((now_ + phase) % heartbeat_ms_ < kStepMs) Heartbeat(i);
      }
    }
  }
  /// Counts from now on; windows still reach back to requests before.
  auto RestartCount() -> void {
    for (auto& server : servers_) server.most = 0;
    passed_ = 0;
  }
  /// Most requests of a server in a window.
  auto most() const -> std::size_t {
    return std::max_element(
               servers_.begin(), servers_.end(),
               [](const auto& a, const auto& b) { return a.most < b.most; })
        ->most;
  }
  auto passed() const -> std::size_t { return passed_; }
  auto LimitedEntries() const -> std::ptrdiff_t {
    return std::count_if(
        entries_.begin(), entries_.end(),
        [](const auto& entry) { return entry.limits.front().IsLimited(); });
  }

  std::optional<double> limit_per_s;  ///< that every server names
  /// Whether a request that its first choice does not take asks the others.
  bool overflows = false;
  bool grants_requests = true;  ///< older builds of control do not
  /// Entries that ask for grants, the first ones; older builds do not.
  std::size_t asking_entries = std::numeric_limits<std::size_t>::max();

 private:
  static constexpr monotonic_ms kStepMs = 10;
  /// Mean time from a request to its answer.
  static constexpr double kMeanAnswerMs = 500;
  /// Fraction of requests that fail; these answers name no limit.
  static constexpr double kFailedFraction = 0.1;

  struct entry_state {
    std::vector<server_limit> limits;  ///< by server
    server_limit_turns turns;
    double demand_per_s = 0;
    bool has_control = true;
  };
  struct server_state {
    std::deque<monotonic_ms> window;
    std::size_t most = 0;
  };
  /// A server decides when it begins a request whether its answer names a
  /// limit.
  struct pending_answer {
    std::size_t entry = 0;
    std::size_t server = 0;
    limit_answer answer;
  };

  auto SendRequests(std::size_t i) -> void {
    const auto count = std::poisson_distribution<int>(entries_[i].demand_per_s *
                                                      kStepMs / 1'000)(random_);
    for (int request = 0; request < count; ++request) SendRequest(i);
  }
  auto SendRequest(std::size_t i) -> void {
    const auto draw = std::uniform_real_distribution<double>()(random_);
    auto server = first_choice_(random_);
    const auto attempts = overflows ? servers_.size() : 1;
    for (std::size_t asked = 0; asked < attempts; ++asked) {
      if (MaySend(i, server, draw)) {
        RecordArrival(i, server);
        return;
      }
      server = (server + 1) % servers_.size();
    }
  }
  /// Asks control, like an entry.
  auto MaySend(std::size_t i, std::size_t server, double draw) -> bool {
    auto& limit = entries_[i].limits[server];
    limit.RecordDemand(now_);
    if (!limit.IsLimited()) return true;
    if (!limit.MayAsk(entries_.size(), now_)) return false;
    if (!grants_requests || i >= asking_entries || !entries_[i].has_control) {
      return limit.TryTake(draw, entries_.size(), now_);
    }
    const auto live = static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [](const auto& entry) { return entry.has_control; }));
    const auto key = static_cast<std::uint32_t>(server);
    const auto name = std::to_string(i);
    total_.Report(name, {limit.Report(key, now_).value()}, now_);
    return limit.Adopt(total_.Grant(name, key, live, entries_.size(), now_),
                       now_);
  }
  auto RecordArrival(std::size_t i, std::size_t server) -> void {
    auto& [window, most] = servers_[server];
    ++passed_;
    window.push_back(now_);
    while (now_ - window.front() >= kLimitWindowMs) window.pop_front();
    most = std::max(most, window.size());
    const auto delay_ms =
        std::exponential_distribution<double>(1 / kMeanAnswerMs)(random_);
    const bool is_success =
        std::bernoulli_distribution(1 - kFailedFraction)(random_);
    answers_.emplace(now_ + static_cast<monotonic_ms>(delay_ms),
                     pending_answer{i,
                                    server,
                                    {is_success ? limit_per_s : std::nullopt,
                                     is_success, now_}});
  }
  auto ReceiveAnswers() -> void {
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      const auto received = answers_.begin()->second;
      answers_.erase(answers_.begin());
      auto& limit = entries_[received.entry].limits[received.server];
      if (limit.RecordAnswer(received.answer, now_)) Heartbeat(received.entry);
    }
  }
  auto Heartbeat(std::size_t i) -> void {
    auto& entry = entries_[i];
    if (!entry.has_control) return;
    std::vector<server_limit_report> reports;
    for (std::size_t server = 0; server < servers_.size(); ++server) {
      const auto report =
          entry.limits[server].Report(static_cast<std::uint32_t>(server), now_);
      if (report) reports.push_back(*report);
    }
    entry.turns.Select(reports);
    const bool is_news = total_.Report(std::to_string(i), reports, now_);
    for (std::size_t j = 0; j < entries_.size(); ++j) {
      if (!entries_[j].has_control || (j != i && !is_news)) continue;
      for (const auto& status :
           total_.StatusesFor(std::to_string(j), entries_.size(), now_)) {
        entries_[j].limits[status.server].Adopt(status, now_);
      }
    }
  }

  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> first_choice_;
  std::multimap<monotonic_ms, pending_answer> answers_;  ///< by time of arrival
  monotonic_ms heartbeat_ms_;
  monotonic_ms now_ = 0;
  std::vector<entry_state> entries_;
  std::vector<server_state> servers_;
  server_limit_total total_;
  std::size_t passed_ = 0;
};

}  // namespace lovagedale::testing
