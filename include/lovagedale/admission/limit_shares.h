#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// An entry that has heard nothing from the leader for this time lowers those
/// of its shares that are above an equal share, and keeps the others. It never
/// raises one by itself: the leader may have given the rest away.
inline constexpr monotonic_ms kShareFallbackMs = 20'000;

/// Shares in one answer, and changed demands in one heartbeat, at most.
inline constexpr std::size_t kMaxSharesPerHeartbeat = 5;

/// What one entry wants and holds of one customer's rate limit.
struct limit_demand {
  std::string customer;
  double wanted_per_s = 0;  ///< requests that asked for admission
  double held_per_s = 0;    ///< the share in force

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
/// demand. Kept by the control leader; pure.
///
/// The shares in force never sum to more than the limit: a share grows only by
/// what others are known to have given up. An entry that is silent keeps what
/// it held, but no more than an equal share after kShareFallbackMs. An entry
/// that has just started takes an equal share until it is heard, so a restart
/// may exceed the limit by that for some seconds.
class limit_allocator {
 public:
  /// `now`: when this replica began to lead. It raises no share until every
  /// entry has told what it holds, or must have fallen back.
  explicit limit_allocator(monotonic_ms now) : started_(now) {}

  /// Notes an entry's heartbeat. `is_complete`: `demands` names every customer
  /// of whom the entry holds a share of its own.
  auto Report(const std::string& entry,
              const std::vector<limit_demand>& demands, bool is_complete,
              monotonic_ms now) -> void;
  /// Whether the entry has told all that it holds.
  auto HasReportedAll(const std::string& entry) const -> bool;
  auto RemoveEntry(const std::string& entry) -> void { entries_.erase(entry); }

  /// Computes new shares of `limits` (customer, requests a second) among
  /// `registered` entries.
  auto Allocate(const std::map<std::string, double>& limits,
                const std::vector<std::string>& registered, monotonic_ms now)
      -> void;
  /// Shares that the entry does not hold yet, at most `limit`.
  auto SharesFor(const std::string& entry, std::size_t limit) const
      -> std::vector<limit_share>;

 private:
  struct share_state {
    double wanted = 0;
    double held = 0;     ///< as the entry last said
    double granted = 0;  ///< as last computed
    auto InForceAtMost() const -> double { return std::max(held, granted); }
  };
  struct entry_record {
    monotonic_ms last_heartbeat_at = 0;
    bool is_complete = false;
    std::map<std::string, share_state> shares;
  };
  /// One entry that takes part in dividing a limit.
  struct claimant {
    share_state* share;
    double target;  ///< at first its demand
  };
  /// A limit less what is reserved for entries that take no part.
  struct division {
    double available;
    double in_force;  ///< at most, over all entries
    std::vector<claimant> claimants;
  };

  auto DropUnlimited(const std::map<std::string, double>& limits) -> void;
  auto Reserve(const std::string& customer, double limit,
               const std::vector<std::string>& registered, monotonic_ms now)
      -> division;
  static auto SetTargets(division& parts) -> void;
  auto MayRaise(const std::vector<std::string>& registered,
                monotonic_ms now) const -> bool;
  auto AllocateOne(const std::string& customer, double limit,
                   const std::vector<std::string>& registered, bool may_raise,
                   monotonic_ms now) -> void;

  monotonic_ms started_;
  std::map<std::string, entry_record> entries_;
};

}  // namespace lovagedale
