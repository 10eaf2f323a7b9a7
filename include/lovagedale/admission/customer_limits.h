#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/admission/limit_shares.h"
#include "lovagedale/admission/token_bucket.h"
#include "lovagedale/catalog/catalog.h"

namespace lovagedale {

/// The customers' limits at one entry: its share of each rate limit, and the
/// number of concurrent requests. Thread-safe.
class customer_limits {
 public:
  /// `entries`: number of entries that share the limits, until SetEntryCount.
  explicit customer_limits(std::size_t entries) { SetEntryCount(entries); }

  /// Takes a token of the customer's rate limit. Returns 0 if the request is
  /// admitted, else the time in milliseconds until a token is available.
  auto TryAdmit(const customer& item, monotonic_ms now) -> monotonic_ms;
  /// Counts a running request; false if `max_concurrent` requests run already.
  /// After true, the caller must call ReleaseSlot when the request ends.
  auto TryAcquireSlot(const customer& item) -> bool;
  auto ReleaseSlot(const std::string& customer_name) -> void;

  /// This entry's share of the customer's rate limit, in requests a second.
  auto ShareOf(const customer& item, monotonic_ms now) -> double;

  /// Number of registered entries, from the control leader.
  auto SetEntryCount(std::size_t entries) -> void;
  /// Shares that the control leader granted in its answer to a heartbeat sent
  /// at `sent_at`. The answer also renews the shares it does not name.
  auto SetShares(const std::vector<limit_share>& shares, monotonic_ms sent_at)
      -> void;
  /// The entry's demand for each rate limit and its share in force, for the
  /// next heartbeat. Unless `all`, only those that changed since they were last
  /// reported, at most `limit`. Marks the returned ones as reported.
  auto CollectDemands(const std::vector<customer>& customers, bool all,
                      std::size_t limit, monotonic_ms now)
      -> std::vector<limit_demand>;

 private:
  struct limit_state {
    std::optional<token_bucket> bucket;  ///< created by the first request
    std::int64_t running = 0;
    double limit_per_s = 0;
    std::optional<double> share;        ///< granted by the leader
    std::uint64_t window_requests = 0;  ///< requests since window_start
    monotonic_ms window_start = 0;
    double wanted_per_s = 0;  ///< smoothed rate of requests
    limit_demand reported;
  };

  auto ShareOf(const limit_state& state, monotonic_ms now) const -> double;
  static auto CountDemand(limit_state& state, monotonic_ms now) -> void;

  std::mutex mutex_;
  std::unordered_map<std::string, limit_state> limits_;
  double entries_ = 1;
  monotonic_ms shares_until_ = 0;  // When shares fall back to equal ones.
};

}  // namespace lovagedale
