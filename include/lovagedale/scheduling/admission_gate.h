#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/latency_histogram.h"
#include "lovagedale/relay/server_table.h"
#include "lovagedale/route/route_table.h"
#include "lovagedale/scheduling/admission_queue.h"
#include "lovagedale/scheduling/work_pace.h"

namespace lovagedale {

/// The priorities of a service's requests with prompts.
struct service_priorities {
  std::vector<std::uint32_t> priorities;  ///< ascending: most urgent first
  double urgent_objective_ms = 0;         ///< see admission_conditions

  auto operator==(const service_priorities&) const -> bool = default;
  /// Index of a priority; that of the next more urgent one if it is not listed.
  auto RankOf(std::uint32_t priority) const -> std::uint32_t;
};

/// Nothing if the service has no routes with prompts, or all of their requests
/// have the same priority: they are sent without admission.
auto PrioritiesOf(const route_config& config, const std::string& service)
    -> std::optional<service_priorities>;

/// Work queued at a server before a request that is sent now, in the unit of
/// prompt_work.
auto QueuedWork(const server_record& server, const server_table& servers,
                monotonic_ms now) -> double;

/// Which queue a prediction takes for that of the server that is chosen.
enum class queue_statistic {
  kLeast,  ///< the shortest: sees each idle server
  /// The mean: most prompts go to one of the two servers that cache their
  /// shared part, and not to the least busy one.
  kMean,
};

/// The work queued at the server that a request of the service goes to, and the
/// number of servers that may be chosen; 0 without such servers.
auto QueuedForBest(const std::string& service, const server_table& servers,
                   queue_statistic statistic, monotonic_ms now)
    -> std::pair<double, std::size_t>;

/// Predicts the room at the service's best server and counts the servers that
/// may be chosen. The only source of the prediction; it uses the queued work
/// that the entries report and the pace of this entry's own answers.
auto PredictRoom(const std::string& service, const server_table& servers,
                 const work_pace& pace, queue_statistic statistic,
                 monotonic_ms now) -> std::pair<room, std::size_t>;

/// A call that asks for its turn. `priority` is that of the request.
struct admission_call {
  std::string service;
  std::string route;
  std::uint32_t priority = 0;
  admission_request request;  ///< its rank is set by the gate
};

/// Counts of one route and customer.
struct admission_counts {
  std::uint64_t held = 0;
  std::uint64_t refused_beyond_limit = 0;
  std::uint64_t refused_late = 0;

  auto operator==(const admission_counts&) const -> bool = default;
};

/// Where calls of one entry wait for their turn. Not thread-safe.
class admission_gate {
 public:
  /// For `strict` see admission_queue.
  admission_gate(boost::asio::io_context& context, const server_table& servers,
                 std::mt19937_64& random, bool strict)
      : servers_(servers), random_(random), timer_(context), strict_(strict) {}
  admission_gate(const admission_gate&) = delete;
  auto operator=(const admission_gate&) -> admission_gate& = delete;

  /// Suspends the fiber until the call may go; `entries` share the servers.
  /// `turn` is set at that time; the caller sets it to leave the queue earlier.
  /// The verdict is never kWait.
  auto Enter(admission_call call,
             const std::shared_ptr<const route_table>& routes,
             std::size_t entries, const fiber_event& turn,
             boost::asio::yield_context yield) -> admission_decision;
  /// Queued work by which the prediction is made; see QueuedForBest.
  auto PredictedWork(const std::string& service) const -> double {
    return QueuedForBest(service, servers_, Statistic(), clock_.Now()).first;
  }
  /// An answer's first event arrived `ms` after its request was sent, when
  /// PredictedWork and its own work together were `work`.
  auto RecordFirstEvent(const std::string& service, double ms, double work)
      -> void;

  auto waiting() const -> std::size_t;
  /// By route and customer.
  auto counts() const -> const
      std::map<std::pair<std::string, std::string>, admission_counts>& {
    return counts_;
  }
  /// Of the calls that waited, by route.
  auto held_ms() const -> const std::map<std::string, latency_histogram>& {
    return held_ms_;
  }

 private:
  struct waiting_call {
    fiber_event turn;
    std::shared_ptr<admission_decision> decision;
  };
  struct service_state {
    service_state(double random, bool strict) : queue(random, strict) {}
    admission_queue queue;
    std::optional<service_priorities> priorities;
    std::unordered_map<std::uint64_t, waiting_call> calls;  ///< by id
  };

  auto UseRoutes(const std::shared_ptr<const route_table>& routes) -> void;
  auto StateOf(const std::string& service) -> service_state*;
  auto Conditions(const std::string& service, const service_state& state) const
      -> admission_conditions;
  /// `key`: route and customer.
  auto CountRefused(const std::pair<std::string, std::string>& key,
                    const admission_decision& decision) -> void;
  auto ScheduleRelease() -> void;
  auto Release() -> void;
  /// Without `strict`, requests that are due go however long the queues are; a
  /// prediction that is too short then holds less.
  auto Statistic() const -> queue_statistic {
    return strict_ ? queue_statistic::kMean : queue_statistic::kLeast;
  }
  /// 0 to 1.
  auto Draw() -> double;

  const server_table& servers_;
  std::mt19937_64& random_;
  system_monotonic_clock clock_;
  boost::asio::steady_timer timer_;
  const bool strict_;
  bool is_timer_set_ = false;
  std::size_t entries_ = 0;
  std::shared_ptr<const route_table> routes_;  ///< of the states' priorities
  std::map<std::string, service_state> services_;
  std::map<std::string, work_pace> paces_;  ///< by service
  std::map<std::pair<std::string, std::string>, admission_counts> counts_;
  std::map<std::string, latency_histogram> held_ms_;
};

}  // namespace lovagedale
