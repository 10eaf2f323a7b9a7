#include "decisions/placement_study.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

#include "lovagedale/common/hash.h"
#include "lovagedale/placement/placement.h"

namespace lovagedale::benchmark {
namespace {

constexpr std::size_t kServers = 20;
constexpr std::int64_t kSlots = 8;
constexpr std::size_t kCacheBlocks = 600;
constexpr std::size_t kRequests = 60'000;
constexpr std::size_t kWarmUp = 10'000;
constexpr std::size_t kDocuments = 800;
constexpr double kPopularity = 0.9;  ///< exponent of the documents' Zipf law
constexpr monotonic_ms kEventDelayMs = 2'000;
constexpr double kEventLoss = 0.05;
constexpr monotonic_ms kReportPeriodMs = 1'000;
constexpr double kServiceMs = 400;
constexpr double kLoad = 0.75;       ///< of all slots
constexpr double kSavedShare = 0.6;  ///< of the service time, at a full hit

/// An engine's prefix cache: least recently used blocks go first.
class engine_cache {
 public:
  auto HitBlocks(const std::vector<prefix_hash>& blocks) const -> std::size_t {
    std::size_t hits = 0;
    while (hits < blocks.size() && places_.contains(blocks[hits])) ++hits;
    return hits;
  }
  /// Adds the blocks; returns those that had to go.
  auto Insert(const std::vector<prefix_hash>& blocks)
      -> std::vector<prefix_hash> {
    for (const auto block : blocks) {
      const auto found = places_.find(block);
      if (found != places_.end()) order_.erase(found->second);
      order_.push_front(block);
      places_[block] = order_.begin();
    }
    std::vector<prefix_hash> evicted;
    while (order_.size() > kCacheBlocks) {
      evicted.push_back(order_.back());
      places_.erase(order_.back());
      order_.pop_back();
    }
    return evicted;
  }

 private:
  std::list<prefix_hash> order_;
  std::unordered_map<prefix_hash, std::list<prefix_hash>::iterator> places_;
};

/// How a router learns what the caches hold, and how it chooses.
enum class router_kind {
  kOurs,           ///< routed requests and late, lossy events; lagging loads
  kPerfectEvents,  ///< the same choice with the caches' true content
  kLeastLoaded,    ///< lagging loads alone, all servers looked at
};

struct study_result {
  double hit_share = 0;
  double p99_imbalance = 0;  ///< longest queue less the mean, in slots
};

class placement_run {
 public:
  placement_run(router_kind kind, std::uint64_t seed)
      : kind_(kind), random_(seed), index_(200'000) {
    for (server_id id = 0; id < kServers; ++id) {
      states_.push_back(std::make_unique<server_state>(std::to_string(id)));
      group_.local.push_back({id, kSlots, states_.back().get()});
    }
    caches_.resize(kServers);
    for (std::size_t d = 0; d < kDocuments; ++d) {
      weights_.push_back(1 / std::pow(static_cast<double>(d + 1), kPopularity));
      std::vector<prefix_hash> blocks;
      const auto length = 2 + MixBits(d) % 20;
      for (std::size_t b = 0; b < length; ++b) {
        blocks.push_back(MixBits(d * 1'000 + b + 1));
      }
      documents_.push_back(std::move(blocks));
    }
  }

  auto Run() -> study_result {
    std::discrete_distribution<std::size_t> document(weights_.begin(),
                                                     weights_.end());
    const auto rate_per_ms = kLoad * kServers * kSlots / kServiceMs;
    std::exponential_distribution<double> gap(rate_per_ms);
    double time = 0;
    std::size_t hits = 0;
    std::size_t blocks = 0;
    std::vector<double> imbalance;
    for (std::size_t i = 0; i < kRequests; ++i) {
      time += gap(random_);
      now_ = static_cast<monotonic_ms>(time);
      Advance();
      const auto& wanted = documents_[document(random_)];
      const auto server = Choose(wanted);
      const auto hit = caches_[server].HitBlocks(wanted);
      Start(server, wanted, hit);
      if (i < kWarmUp) continue;
      hits += hit;
      blocks += wanted.size();
      imbalance.push_back(Imbalance());
    }
    std::sort(imbalance.begin(), imbalance.end());
    constexpr double kTail = 0.99;
    return {static_cast<double>(hits) / static_cast<double>(blocks),
            imbalance[static_cast<std::size_t>(
                kTail * static_cast<double>(imbalance.size()))]};
  }

 private:
  struct finished_request {
    double at;
    server_id server;
    auto operator>(const finished_request& other) const -> bool {
      return at > other.at;
    }
  };
  struct late_event {
    monotonic_ms at;
    server_id server;
    prefix_hash block;
  };

  auto Advance() -> void {
    while (!running_.empty() &&
           running_.top().at <= static_cast<double>(now_)) {
      --states_[running_.top().server]->in_flight;
      running_.pop();
    }
    while (!events_.empty() && events_.front().at <= now_) {
      index_.Evict(events_.front().server, events_.front().block);
      events_.pop();
    }
    if (now_ - reported_at_ < kReportPeriodMs) return;
    reported_at_ = now_;
    for (const auto& state : states_) {
      state->reported_load = state->in_flight.load();
      state->in_flight_at_report = state->in_flight.load();
      state->load_reported_at = now_;
    }
  }

  auto Choose(const std::vector<prefix_hash>& wanted) -> server_id {
    if (kind_ == router_kind::kLeastLoaded) {
      // Sees the reports only: not even its own requests since.
      return *std::min_element(
          ids_.begin(), ids_.end(), [&](server_id a, server_id b) {
            return states_[a]->reported_load < states_[b]->reported_load;
          });
    }
    placement_request request;
    request.prefixes = wanted;
    request.now = now_;
    request.random = random_();
    if (kind_ == router_kind::kPerfectEvents) {
      prefix_index exact(100'000);
      for (server_id id = 0; id < kServers; ++id) {
        const auto hit = caches_[id].HitBlocks(wanted);
        if (hit > 0) {
          exact.Record(id, std::span(wanted).first(hit));
        }
      }
      return ChooseServer(group_, exact, request, {})->server;
    }
    return ChooseServer(group_, index_, request, {})->server;
  }

  auto Start(server_id server, const std::vector<prefix_hash>& wanted,
             std::size_t hit) -> void {
    ++states_[server]->in_flight;
    if (kind_ == router_kind::kOurs) index_.Record(server, wanted);
    const auto evicted = caches_[server].Insert(wanted);
    std::uniform_real_distribution<double> unit(0, 1);
    for (const auto block : evicted) {
      if (unit(random_) < kEventLoss) continue;
      events_.push({now_ + kEventDelayMs, server, block});
    }
    const auto saved = kSavedShare * static_cast<double>(hit) /
                       static_cast<double>(wanted.size());
    std::exponential_distribution<double> service(1 / kServiceMs);
    const auto queued =
        std::max(0.0,
                 static_cast<double>(states_[server]->in_flight - kSlots)) /
        static_cast<double>(kSlots) * kServiceMs;
    running_.push(
        {static_cast<double>(now_) + queued + service(random_) * (1 - saved),
         server});
  }

  auto Imbalance() const -> double {
    double sum = 0;
    double most = 0;
    for (const auto& state : states_) {
      const auto load = static_cast<double>(state->in_flight.load());
      sum += load;
      most = std::max(most, load);
    }
    return (most - sum / kServers) / static_cast<double>(kSlots);
  }

  router_kind kind_;
  std::mt19937_64 random_;
  prefix_index index_;
  monotonic_ms now_ = 0;
  monotonic_ms reported_at_ = 0;
  std::vector<std::unique_ptr<server_state>> states_;
  placement_group group_;
  std::vector<engine_cache> caches_;
  std::vector<double> weights_;
  std::vector<std::vector<prefix_hash>> documents_;
  std::vector<server_id> ids_ = [] {
    std::vector<server_id> ids(kServers);
    for (server_id id = 0; id < kServers; ++id) ids[id] = id;
    return ids;
  }();
  std::priority_queue<finished_request, std::vector<finished_request>,
                      std::greater<>>
      running_;
  std::queue<late_event> events_;
};

}  // namespace

auto RunPlacementStudy(figure_report& report) -> void {
  const auto ours = placement_run(router_kind::kOurs, 7).Run();
  const auto perfect = placement_run(router_kind::kPerfectEvents, 7).Run();
  const auto least = placement_run(router_kind::kLeastLoaded, 7).Run();
  report.AtLeast("placement.prefix_hits_to_perfect_events",
                 ours.hit_share / perfect.hit_share, 0.95,
                 "events 2 s late, 5% lost");
  report.Plain("placement.prefix_hit_share", ours.hit_share);
  report.Plain("placement.prefix_hit_share_least_loaded", least.hit_share);
  report.AtMost("placement.p99_imbalance_to_least_loaded",
                ours.p99_imbalance / least.p99_imbalance, 1.0,
                "longest queue less the mean, in slots: " +
                    std::to_string(ours.p99_imbalance));
}

}  // namespace lovagedale::benchmark
