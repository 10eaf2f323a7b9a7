#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/relay/connection_pool.h"
#include "lovagedale/relay/server_table.h"

namespace lovagedale {

/// A connection to a server that could not be made.
struct failed_connection {
  monotonic_ms began_ms = 0;
  bool was_refused = false;  ///< by the server's host, which is an answer

  auto operator==(const failed_connection&) const -> bool = default;
};

/// Probes in the background which servers can be reached. A server that could
/// not be reached gets no calls until a connection to it succeeds; if it is the
/// first of its zone since a byte arrived from there, other servers of the zone
/// are probed at once. While a zone is lost its servers are probed one after
/// the other. A failed connection during which no server at all has answered is
/// judged only after a server of another zone was probed: the cause may be this
/// entry's own link. If that fails too while control answers, this entry is cut
/// off from the servers: all zones that are silent are lost. Not thread-safe.
class server_prober {
 public:
  /// Idle connections in `pool` to servers of a lost zone are closed.
  server_prober(boost::asio::io_context& context, server_table& servers,
                connection_pool& pool)
      : context_(context), servers_(servers), pool_(pool) {}
  server_prober(const server_prober&) = delete;
  auto operator=(const server_prober&) -> server_prober& = delete;

  auto ReportUnreachable(const server_handle& server,
                         const failed_connection& failed) -> void;
  /// Called when bytes of the server have arrived.
  auto ReportReceived(const server_handle& server) -> void;
  /// Called when the server has answered what was sent at `began_ms`.
  auto ReportRoundTrip(const server_handle& server, monotonic_ms began_ms)
      -> void;
  /// Called when control has answered what was sent at `began_ms`.
  auto ReportControlRoundTrip(monotonic_ms began_ms) -> void {
    control_round_trip_began_ms_ =
        std::max(control_round_trip_began_ms_, began_ms);
  }
  /// Probes a server that has not answered in time.
  auto ProbeOnce(const server_handle& server) -> void;

 private:
  /// Marks the server as unreachable and considers whether its zone is lost.
  auto JudgeUnreachable(const server_handle& server, monotonic_ms began_ms)
      -> void;
  /// Probes a server of another zone, then judges the failures reported since.
  auto StartComparison(const server_handle& server) -> void;
  /// Begins to probe a lost zone, whose attempts and idle connections end.
  auto HandleLostZone(const std::string& zone) -> void;
  auto LogRegained(const server_handle& server) const -> void;
  auto StartProbeLoop(const server_handle& server) -> void;
  /// Probes until the server is reached or has left the list.
  auto ProbeLoop(const server_handle& server, boost::asio::yield_context yield)
      -> void;
  /// Probes the servers of a lost zone in turn until one is reached.
  auto ProbeZone(const std::string& zone, boost::asio::yield_context yield)
      -> void;
  /// Connects; if this succeeds, marks the server and its zone as reachable.
  /// Otherwise returns how it failed.
  auto Probe(const server_handle& server, boost::asio::yield_context yield)
      -> std::optional<failed_connection>;
  auto IsListed(const server_handle& server) const -> bool;

  boost::asio::io_context& context_;
  server_table& servers_;
  connection_pool& pool_;
  /// Failures that wait for the probe of another zone.
  std::vector<std::pair<server_handle, monotonic_ms>> unjudged_failures_;
  /// The latest probe of another zone failed as well.
  bool is_own_link_suspected_ = false;
  monotonic_ms control_round_trip_began_ms_ = 0;
  system_monotonic_clock clock_;
};

}  // namespace lovagedale
