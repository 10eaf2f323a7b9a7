#include "lovagedale/relay/server_prober.h"

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Delay between two probes of a server. A probe takes a handful of packets;
/// calls avoid the server until one succeeds.
constexpr milliseconds kProbePeriod{300};
/// Servers of a zone that are probed when another one could not be reached.
constexpr std::size_t kZoneProbes = 2;

}  // namespace

auto server_prober::IsListed(const server_handle& server) const -> bool {
  const auto found = servers_.All().find(server->listed.id);
  return found != servers_.All().end() && found->second == server;
}

auto server_prober::ReportUnreachable(const server_handle& server) -> void {
  const auto& zone = server->listed.zone;
  const bool is_first = !servers_.IsZoneSuspected(zone);
  server->health.MarkUnreachable(clock_.Now());
  if (servers_.RecordUnreachable(server)) {
    log_line(log_level::kWarning, "zone_lost")
        .With("zone", zone)
        .With("server", server->listed.id)
        .With("list", servers_.number());
    SpawnTask(context_, [this, zone](asio::yield_context yield) {
      ProbeZone(zone, yield);
    });
    servers_.CancelAttempts(zone);
  }
  StartProbeLoop(server);
  if (!is_first) return;
  std::size_t started = 0;
  for (const auto& [id, other] : servers_.All()) {
    if (started == kZoneProbes) break;
    if (other == server || other->listed.zone != zone) continue;
    ProbeOnce(other);
    ++started;
  }
}

auto server_prober::ProbeOnce(const server_handle& server) -> void {
  if (server->is_probed) return;
  server->is_probed = true;
  SpawnTask(context_, [this, server](asio::yield_context yield) {
    const bool is_reached = Probe(server, yield);
    server->is_probed = false;
    if (!is_reached) ReportUnreachable(server);
  });
}

auto server_prober::StartProbeLoop(const server_handle& server) -> void {
  if (server->is_probed) return;
  server->is_probed = true;
  SpawnTask(context_, [this, server](asio::yield_context yield) {
    ProbeLoop(server, yield);
    server->is_probed = false;
  });
}

auto server_prober::ProbeLoop(const server_handle& server,
                              asio::yield_context yield) -> void {
  for (;;) {
    Pause(context_.get_executor(), kProbePeriod, yield);
    if (!IsListed(server) || !server->health.IsUnreachable()) return;
    // While the zone is lost, ProbeZone probes its servers.
    if (servers_.IsZoneLost(server->listed.zone)) continue;
    if (Probe(server, yield)) return;
    ReportUnreachable(server);
  }
}

auto server_prober::ProbeZone(const std::string& zone,
                              asio::yield_context yield) -> void {
  while (servers_.IsZoneLost(zone)) {
    std::vector<server_handle> in_zone;
    for (const auto& [id, server] : servers_.All()) {
      if (server->listed.zone == zone) in_zone.push_back(server);
    }
    if (in_zone.empty()) {
      // A zone without servers is no longer lost: there is nothing to probe.
      servers_.RecordReached(zone);
      return;
    }
    for (const auto& server : in_zone) {
      if (!servers_.IsZoneLost(zone)) break;
      if (!IsListed(server)) continue;
      const auto began = clock_.Now();
      Probe(server, yield);
      const milliseconds took(clock_.Now() - began);
      if (took < kProbePeriod) {
        Pause(context_.get_executor(), kProbePeriod - took, yield);
      }
    }
  }
}

auto server_prober::Probe(const server_handle& server,
                          asio::yield_context yield) -> bool {
  http_connection connection(context_, server->listed.host,
                             server->listed.port);
  http_deadlines deadlines;
  deadlines.connect = kServerConnectTimeout;
  try {
    connection.Connect(deadlines, yield);
  } catch (const http_call_error&) {
    return false;  // the caller reports it, if necessary
  }
  server->health.MarkReachable();
  if (servers_.RecordReached(server->listed.zone)) {
    log_line(log_level::kInfo, "zone_regained")
        .With("zone", server->listed.zone)
        .With("server", server->listed.id);
  }
  return true;
}

}  // namespace lovagedale
