#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// An entry that gets no answer from the leader for this time lowers those of
/// its shares that are above an equal share, and keeps the others. It never
/// raises a share by itself, as the leader may have granted the rest to others.
inline constexpr monotonic_ms kShareFallbackMs = 20'000;

/// Maximum number of shares in one answer and of changed demands in one
/// heartbeat.
inline constexpr std::size_t kMaxSharesPerHeartbeat = 5;

/// One entry's demand for one customer's rate limit and its share in force.
struct limit_demand {
  std::string customer;
  double wanted_per_s = 0;  ///< rate of requests, admitted or not
  double held_per_s = 0;    ///< share in force

  auto operator==(const limit_demand&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(customer, wanted_per_s, held_per_s);
  }
};

/// One entry's share of one customer's rate limit.
struct limit_share {
  std::string customer;
  double rate_per_s = 0;

  auto operator==(const limit_share&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(customer, rate_per_s);
  }
};

/// Divides the customers' fleet-wide rate limits among the entries by their
/// demand. Owned by the control leader; does no I/O and reads no clock.
///
/// The shares in force never sum to more than the limit: a share is raised only
/// by what other entries have reported to have given up. An entry that sends no
/// heartbeats keeps its shares until kShareFallbackMs, then lowers those above
/// an equal share to an equal share. An entry that has just started uses an
/// equal share until the leader gets its heartbeat, so after a restart the
/// limit may be exceeded by an equal share for some seconds.
class limit_allocator {
 public:
  /// `now`: when this replica became the leader. No share is raised until every
  /// entry has reported all its shares, or must have fallen back to equal ones.
  explicit limit_allocator(monotonic_ms now) : started_(now) {}

  /// Records an entry's heartbeat. `is_complete`: `demands` lists every
  /// customer for whom the entry holds a share.
  auto Report(const std::string& entry,
              const std::vector<limit_demand>& demands, bool is_complete,
              monotonic_ms now) -> void;
  /// Whether the entry has reported all of its shares to this leader.
  auto HasReportedAll(const std::string& entry) const -> bool;
  auto RemoveEntry(const std::string& entry) -> void { entries_.erase(entry); }

  /// Computes new shares of `limits` (requests a second by customer) for the
  /// `registered` entries.
  auto Allocate(const std::map<std::string, double>& limits,
                const std::vector<std::string>& registered, monotonic_ms now)
      -> void;
  /// At most `limit` granted shares that the entry has not yet reported to
  /// hold.
  auto SharesFor(const std::string& entry, std::size_t limit) const
      -> std::vector<limit_share>;

 private:
  struct share_state {
    // All in requests a second.
    double wanted = 0;
    double held = 0;     ///< share in force by the entry's latest report
    double granted = 0;  ///< latest share computed here
    auto MaxInForce() const -> double { return std::max(held, granted); }
  };
  struct entry_record {
    monotonic_ms last_heartbeat_at = 0;
    bool is_complete = false;
    std::map<std::string, share_state> shares;
  };
  /// An entry with recent heartbeats, which takes part in dividing a limit.
  struct claimant {
    share_state* share;
    double target;  ///< initially its demand
  };
  /// The division of one limit; all rates in requests a second.
  struct division {
    double available;  ///< not reserved for entries that take no part
    double in_force;   ///< upper bound, sum over all entries
    std::vector<claimant> claimants;
  };

  auto DropUnlimited(const std::map<std::string, double>& limits) -> void;
  /// Reserves the shares of the entries without recent heartbeats, and lists
  /// the others as claimants with their demands.
  auto StartDivision(const std::string& customer, double limit,
                     const std::vector<std::string>& registered,
                     monotonic_ms now) -> division;
  /// Replaces the claimants' demands by the shares that they should get.
  static auto SetTargets(division& limit_division) -> void;
  auto MayRaise(const std::vector<std::string>& registered,
                monotonic_ms now) const -> bool;
  auto AllocateOne(const std::string& customer, double limit,
                   const std::vector<std::string>& registered, bool may_raise,
                   monotonic_ms now) -> void;

  monotonic_ms started_;
  std::map<std::string, entry_record> entries_;
};

}  // namespace lovagedale
