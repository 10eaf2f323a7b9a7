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

/// What the order service may do now.
struct order_authority {
  /// Time left of this leader's lease; 0 or less: give no orders.
  monotonic_ms lease_remaining_ms = 0;
  /// Fencing number: grows with each leader.
  std::uint64_t fence = 0;
};

/// Orders must be answered within this time, and are sent only while the lease
/// lasts longer; a new leader waits this long before its first one. So an
/// engine that does not check fencing numbers gets no order of an old leader
/// after one of the new.
inline constexpr monotonic_ms kOrderTimeoutMs = 150;

/// Reads the engines' reports and gives them orders by PlanOrders, while this
/// control replica leads. Keeps nothing across restarts.
class order_service {
 public:
  /// `authority` is asked before each order.
  order_service(boost::asio::io_context& context,
                std::function<order_authority()> authority);

  /// Reads all reports and gives the orders that they call for. Calls that
  /// come while one is under way do nothing.
  auto Run(std::shared_ptr<const catalog> config, const fleet_view& view,
           const zone_demand& demand) -> void;

 private:
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
