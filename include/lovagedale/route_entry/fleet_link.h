#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <map>
#include <memory>
#include <string>

#include "lovagedale/control/messages.h"
#include "lovagedale/discovery/server_feed.h"
#include "lovagedale/relay/relay_state.h"
#include "lovagedale/route_entry/settings.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// Follows control: routes, roll-outs and the list of servers, and reports
/// what servers under roll-out answer.
class fleet_link {
 public:
  /// `source` lists the servers while no control leader does; may be empty.
  fleet_link(boost::asio::io_context& context,
             const route_entry_settings& settings, relay_state& state,
             server_source source, std::function<void()> on_routes_changed);

  auto Start() -> void;
  /// Tells control that this entry leaves.
  auto Leave(boost::asio::yield_context yield) -> void;
  auto HasRecentLeader() const -> bool;
  /// Follows these control replicas too.
  auto FollowSeeds(const std::vector<std::string>& seeds) -> void;

 private:
  auto Follow(const std::string& replica) -> void;
  auto HeartbeatLoop(rpc_channel& channel, boost::asio::yield_context yield)
      -> void;
  auto FallbackListLoop(boost::asio::yield_context yield) -> void;
  /// What only the leader uses is left out of those to others.
  auto MakeHeartbeat(bool to_leader) -> entry_heartbeat;
  auto Adopt(const heartbeat_response& response) -> void;

  boost::asio::io_context& context_;
  const route_entry_settings& settings_;
  relay_state& state_;
  server_source source_;
  std::function<void()> on_routes_changed_;
  system_monotonic_clock clock_;
  process_incarnation incarnation_;
  /// Channels are kept for the life of the process, as fibers use them.
  std::map<std::string, std::unique_ptr<rpc_channel>> replicas_;
  std::string leader_;
  monotonic_ms leader_response_ms_ = 0;
  std::uint64_t list_number_ = 0;    ///< of the leader's latest list
  std::uint64_t replicas_hash_ = 0;  ///< of control's members, as last told
  bool leaving_ = false;
};

}  // namespace lovagedale
