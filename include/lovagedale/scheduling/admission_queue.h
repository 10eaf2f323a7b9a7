#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Prediction for the best server of a service, for a request that is sent now.
struct room {
  /// Time until the server begins with the request's own work. A negative or
  /// infinite value counts as missing.
  double first_event_ms = 0;
  /// Time that the request's own work adds, per unit of prompt_work.
  double ms_per_work = 0;
  /// Age of the fleet's reports; negative: this entry's own view only, on which
  /// nothing is held or refused.
  double age_ms = -1;

  auto operator==(const room&) const -> bool = default;
  auto IsKnown() const -> bool;
  auto PredictedMs(double work) const -> double {
    return first_event_ms + work * ms_per_work;
  }
};

/// The requests that leave the queue.
struct released_requests {
  std::vector<std::uint64_t> go;  ///< in order
  /// Only with `strict`: with their Retry-After in ms.
  std::vector<std::pair<std::uint64_t, monotonic_ms>> refused;

  auto operator==(const released_requests&) const -> bool = default;
};

/// What a decision depends on, besides the requests.
struct admission_conditions {
  room best;
  /// Shortest objective of the routes with the most urgent priority.
  double urgent_objective_ms = 0;
  std::uint32_t ranks = 1;  ///< priorities of the service
  std::size_t servers = 0;  ///< that may be chosen
  std::size_t entries = 0;  ///< that share the servers; 0 if unknown

  auto operator==(const admission_conditions&) const -> bool = default;
};

/// A request that asks for its turn.
struct admission_request {
  std::string customer;
  std::uint32_t rank = 0;   ///< of its priority in the service; 0: most urgent
  double work = 0;          ///< see prompt_work, on the route's smallest model
  monotonic_ms due_ms = 0;  ///< on time if its first event is not later
  monotonic_ms deadline_ms = 0;  ///< its time limit

  auto operator==(const admission_request&) const -> bool = default;
};

enum class admission_verdict { kGo, kWait, kRefuse };

struct admission_decision {
  admission_verdict verdict = admission_verdict::kGo;
  std::uint64_t id = 0;             ///< if kWait: identifies the request
  monotonic_ms retry_after_ms = 0;  ///< if kRefuse
  /// If kRefuse: the first event would be after the time limit; otherwise it
  /// would be late.
  bool is_beyond_limit = false;

  auto operator==(const admission_decision&) const -> bool = default;
};

/// The queue of one entry for one service: which requests go now, wait, or are
/// refused. Addresses bursts and floods beyond the servers' capacity, in which
/// urgent requests would otherwise queue behind all others.
///
/// - Requests of the most urgent rank go at once, unless their customer has had
///   more than its share.
/// - Others go while the best server's queue is short enough for more urgent
///   ones (kSlackFraction of the most urgent objective, divided by the rank).
///   Otherwise they wait, but only until waiting longer would make them late: a
///   request waits at most until `due_ms` less its predicted time, so for less
///   than its objective, whatever else arrives.
/// - A request that would be late even if sent now goes at once, unless
///   `strict` is set. One whose
///   predicted first event is beyond its time limit is refused on arrival. A
///   request that has waited is never refused.
/// - Of those that wait, the order is: customers within their share, rank,
///   earliest `due_ms`, least work. Requests of other customers need as much
///   slack as ranks after the least urgent one would.
///
/// Not thread-safe.
class admission_queue {
 public:
  /// `random` is 0 to 1: requests that have waited are released from an own
  /// phase at each entry. With `strict`, a less urgent request goes only
  /// while there is slack for it: where it would otherwise go because it is or
  /// would become late, it is refused.
  explicit admission_queue(double random, bool strict = false)
      : phase_(random), strict_(strict) {}

  /// `random` is 0 to 1.
  auto Add(const admission_request& request,
           const admission_conditions& conditions, double random,
           monotonic_ms now) -> admission_decision;
  /// The waiting requests that go or are refused now; they leave the queue.
  /// `random` is 0 to 1.
  auto Release(const admission_conditions& conditions, double random,
               monotonic_ms now) -> released_requests;
  /// Removes a request whose caller has disconnected, or that is past waiting.
  auto Remove(std::uint64_t id) -> void;
  auto waiting() const -> std::size_t { return waiting_.size(); }

  /// Bounds the memory of waiting requests to about 2 MB and the time of a
  /// decision; an entry gets a few requests per second. If more wait, the first
  /// in the order goes.
  static constexpr std::size_t kMaxWaiting = 1'000;
  /// Fraction of the most urgent objective that the queue at the best server
  /// may take before less urgent requests wait.
  static constexpr double kSlackFraction = 0.5;

 private:
  struct waiting_request {
    std::uint64_t id = 0;
    std::uint32_t rank = 0;
    std::uint32_t customer = 0;  ///< index in usage_
    double work = 0;
    monotonic_ms due_ms = 0;
    monotonic_ms deadline_ms = 0;
    double latest_ms = 0;  ///< `due_ms` less a margin
  };
  auto CustomerIndex(const std::string& name) -> std::uint32_t;
  auto IsOverShare(std::uint32_t customer) const -> bool;
  auto HasSlack(const admission_conditions& conditions, std::uint32_t rank,
                bool is_over_share) const -> bool;
  auto Precedes(const waiting_request& a, const waiting_request& b) const
      -> bool;
  /// Whether this entry's share of the servers suffices to process the waiting
  /// requests before `item` within `spare_ms`.
  auto CanPrecedeDue(const waiting_request& item,
                     const admission_conditions& conditions,
                     double spare_ms) const -> bool;
  auto CountSent(std::uint32_t customer, double work) -> void;
  auto DecayUsage(monotonic_ms now) -> void;
  auto RefillCredit(const admission_conditions& conditions, monotonic_ms now)
      -> void;

  const double phase_;
  const bool strict_;
  std::vector<waiting_request> waiting_;
  std::map<std::string, std::uint32_t, std::less<>> customers_;
  std::vector<double> usage_;  ///< work sent recently, by customer
  double total_usage_ = 0;
  std::uint32_t active_customers_ = 0;
  monotonic_ms usage_at_ms_ = 0;
  /// Work that waiting requests may send; nothing before the first refill.
  std::optional<double> credit_;
  monotonic_ms credit_at_ms_ = 0;
  std::uint64_t last_id_ = 0;
};

}  // namespace lovagedale
