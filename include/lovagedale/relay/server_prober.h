#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <string>

#include "lovagedale/relay/connection_pool.h"
#include "lovagedale/relay/server_table.h"

namespace lovagedale {

/// Probes in the background which servers can be reached. A server that could
/// not be reached gets no calls until a connection to it succeeds; if it is the
/// first of its zone since a connection there succeeded, other servers of the
/// zone are probed at once. While a zone is lost its servers are probed one
/// after the other. Not thread-safe.
class server_prober {
 public:
  server_prober(boost::asio::io_context& context, server_table& servers)
      : context_(context), servers_(servers) {}
  server_prober(const server_prober&) = delete;
  auto operator=(const server_prober&) -> server_prober& = delete;

  /// Called if a connection to the server failed.
  auto ReportUnreachable(const server_handle& server) -> void;
  /// Probes a server that has not answered in time.
  auto ProbeOnce(const server_handle& server) -> void;

 private:
  auto StartProbeLoop(const server_handle& server) -> void;
  /// Probes until the server is reached or has left the list.
  auto ProbeLoop(const server_handle& server, boost::asio::yield_context yield)
      -> void;
  /// Probes the servers of a lost zone in turn until one is reached.
  auto ProbeZone(const std::string& zone, boost::asio::yield_context yield)
      -> void;
  /// Connects; if this succeeds, marks the server and its zone as reachable.
  auto Probe(const server_handle& server, boost::asio::yield_context yield)
      -> bool;
  auto IsListed(const server_handle& server) const -> bool;

  boost::asio::io_context& context_;
  server_table& servers_;
  system_monotonic_clock clock_;
};

}  // namespace lovagedale
