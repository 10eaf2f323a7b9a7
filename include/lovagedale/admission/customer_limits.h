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
/// requests that run at once. Safe for use by several threads.
class customer_limits {
 public:
  /// `entries`: how many entries share the limits, as far as is known.
  explicit customer_limits(std::size_t entries) { SetEntryCount(entries); }

  /// Time to wait in milliseconds, or 0 if the request may go on.
  auto TryAdmit(const customer& item, monotonic_ms now) -> monotonic_ms;
  /// Counts a running request; false if too many run.
  auto TryAcquireSlot(const customer& item) -> bool;
  auto ReleaseSlot(const std::string& customer_name) -> void;

  /// Requests a second of the customer's limit that this entry may admit.
  auto ShareOf(const customer& item, monotonic_ms now) -> double;

  /// What the control leader has said, in an answer to a heartbeat that was
  /// sent at `sent_at`.
  auto SetEntryCount(std::size_t entries) -> void;
  auto SetShares(const std::vector<limit_share>& shares, monotonic_ms sent_at)
      -> void;
  /// What is wanted and held of the customers' limits now. Unless `all`, only
  /// what has changed since it was last reported, at most `limit`.
  auto CollectDemands(const std::vector<customer>& customers, bool all,
                      std::size_t limit, monotonic_ms now)
      -> std::vector<limit_demand>;

 private:
  struct limit_state {
    std::optional<token_bucket> bucket;  ///< from the first request on
    std::int64_t running = 0;
    double limit_per_s = 0;
    std::optional<double> share;  ///< as the leader said
    std::uint64_t asked = 0;      ///< since counted_at
    monotonic_ms counted_at = 0;
    double wanted_per_s = 0;
    limit_demand reported;
  };

  auto ShareOf(const limit_state& state, monotonic_ms now) const -> double;
  static auto CountDemand(limit_state& state, monotonic_ms now) -> void;

  std::mutex mutex_;
  std::unordered_map<std::string, limit_state> limits_;
  double entries_ = 1;
  monotonic_ms shares_until_ = 0;
};

}  // namespace lovagedale
