#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "lovagedale/common/time.h"
#include "lovagedale/engine/planner.h"

namespace lovagedale {

/// The control replica's right to give orders, as of now.
struct order_authority {
  /// Remaining time of this leader's lease; 0 or less if it holds none.
  monotonic_ms lease_remaining_ms = 0;
  /// Fencing token, which increases with each leader.
  std::uint64_t fence = 0;
};

/// Timeout of an order. Orders are sent only while the remaining lease is
/// longer than this, and a new leader waits this long before its first order.
/// So even an engine that does not check fencing tokens gets no order of an old
/// leader after one of the new leader.
inline constexpr monotonic_ms kOrderTimeoutMs = 150;

/// Reads the engines' reports and sends them the orders of PlanOrders while
/// this control replica is the leader. Has no persistent state.
class order_service {
 public:
  /// `authority` is called before each order.
  order_service(boost::asio::io_context& context,
                std::function<order_authority()> authority);

  /// Starts a task that reads all reports, plans, and sends the orders. Does
  /// nothing while an earlier task still runs.
  auto Run(std::shared_ptr<const catalog> config, const fleet_view& view,
           const zone_demand& demand) -> void;

 private:
  /// Stops before an order for which the lease is too short.
  auto RunOnce(std::shared_ptr<const catalog> config, const fleet_view& view,
               const zone_demand& demand, boost::asio::yield_context yield)
      -> void;
  auto ReadReport(const catalog& config, server_id id,
                  boost::asio::yield_context yield)
      -> std::optional<engine_report>;
  auto SendOrder(const catalog& config, const engine_order& order,
                 boost::asio::yield_context yield) -> void;

  boost::asio::io_context& context_;
  std::function<order_authority()> authority_;
  bool running_ = false;
};

}  // namespace lovagedale
