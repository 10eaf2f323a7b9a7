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
/// A connection that fails this long after its timeout shows that this process
/// has been paused.
constexpr milliseconds kMaxTimerDelay{100};

}  // namespace

auto server_prober::IsListed(const server_handle& server) const -> bool {
  const auto found = servers_.All().find(server->listed.id);
  return found != servers_.All().end() && found->second == server;
}

auto server_prober::ReportUnreachable(const server_handle& server,
                                      const failed_connection& failed) -> void {
  if (failed.was_refused) {
    // Only the server is down: its host has answered.
    ReportRoundTrip(server, failed.began_ms);
    server->health.MarkUnreachable(clock_.Now());
    StartProbeLoop(server);
    return;
  }
  const milliseconds took(clock_.Now() - failed.began_ms);
  if (took > kServerConnectTimeout + kMaxTimerDelay) {
    // The answer may have arrived while this process did not run.
    log_line(log_level::kWarning, "connect_timeout_late")
        .With("server", server->listed.id)
        .With("took_ms", took.count());
    ProbeOnce(server);
    return;
  }
  if (servers_.HasRoundTripSince(failed.began_ms)) {
    JudgeUnreachable(server, failed.began_ms);
    return;
  }
  unjudged_failures_.emplace_back(server, failed.began_ms);
  if (unjudged_failures_.size() == 1) StartComparison(server);
}

auto server_prober::StartComparison(const server_handle& server) -> void {
  SpawnTask(context_, [this, server](asio::yield_context yield) {
    const auto other = servers_.ServerOfOtherZone(server->listed.zone);
    const auto failed =
        other ? Probe(other, yield) : std::optional<failed_connection>();
    const bool was_suspected = is_own_link_suspected_;
    is_own_link_suspected_ = failed && !failed->was_refused;
    if (failed && failed->was_refused) ReportUnreachable(other, *failed);
    const auto failures = std::exchange(unjudged_failures_, {});
    const auto first_began_ms = failures.front().second;
    // Control has answered meanwhile, so this entry's own link works.
    const bool is_cut_off = is_own_link_suspected_ &&
                            !servers_.HasRoundTripSince(first_began_ms) &&
                            control_round_trip_began_ms_ >= first_began_ms;
    if (is_cut_off) {
      for (const auto& zone : servers_.LoseSilentZones(first_began_ms)) {
        log_line(log_level::kWarning, "zone_cut_off")
            .With("zone", zone)
            .With("server", server->listed.id)
            .With("list", servers_.number());
        HandleLostZone(zone);
      }
    } else if (is_own_link_suspected_) {
      log_line(log_level::kWarning, "own_link_suspected")
          .With("failures", failures.size())
          .With("zone", server->listed.zone)
          .With("other_zone", other->listed.zone);
    }
    for (const auto& [failed_server, began_ms] : failures) {
      if (!IsListed(failed_server)) continue;
      // If the link has just recovered, these connections may have failed
      // before: the servers are probed again.
      const bool is_inconclusive = is_own_link_suspected_
                                       ? !servers_.HasRoundTripSince(began_ms)
                                       : was_suspected;
      if (is_inconclusive) {
        StartProbeLoop(failed_server);
      } else {
        JudgeUnreachable(failed_server, began_ms);
      }
    }
  });
}

auto server_prober::JudgeUnreachable(const server_handle& server,
                                     monotonic_ms began_ms) -> void {
  const auto& zone = server->listed.zone;
  const auto now = clock_.Now();
  const bool was_suspected = servers_.IsZoneSuspected(zone);
  server->health.MarkUnreachable(now);
  if (servers_.RecordUnreachable(server, began_ms)) {
    const auto received_ms = servers_.LastReceivedMs(zone);
    log_line(log_level::kWarning, "zone_lost")
        .With("zone", zone)
        .With("server", server->listed.id)
        .With("list", servers_.number())
        .With("connect_ms", now - began_ms)
        .With("silent_ms", received_ms ? now - *received_ms : -1);
    HandleLostZone(zone);
  }
  StartProbeLoop(server);
  if (was_suspected || !servers_.IsZoneSuspected(zone)) return;
  std::size_t started = 0;
  for (const auto& [id, other] : servers_.All()) {
    if (started == kZoneProbes) break;
    if (other == server || other->listed.zone != zone) continue;
    ProbeOnce(other);
    ++started;
  }
}

auto server_prober::HandleLostZone(const std::string& zone) -> void {
  const auto attempts = servers_.CancelAttempts(zone);
  for (const auto& [id, server] : servers_.All()) {
    if (server->listed.zone == zone) pool_.Drop(id);
  }
  log_line(log_level::kInfo, "zone_attempts_cancelled")
      .With("zone", zone)
      .With("cancelled", attempts.cancelled)
      .With("kept", attempts.kept);
  SpawnTask(context_, [this, zone](asio::yield_context yield) {
    ProbeZone(zone, yield);
  });
}

auto server_prober::ReportReceived(const server_handle& server) -> void {
  if (servers_.RecordReceived(server->listed.zone, clock_.Now())) {
    LogRegained(server);
  }
}

auto server_prober::ReportRoundTrip(const server_handle& server,
                                    monotonic_ms began_ms) -> void {
  if (servers_.RecordRoundTrip(server->listed.zone, began_ms, clock_.Now())) {
    LogRegained(server);
  }
}

auto server_prober::LogRegained(const server_handle& server) const -> void {
  log_line(log_level::kInfo, "zone_regained")
      .With("zone", server->listed.zone)
      .With("server", server->listed.id);
}

auto server_prober::ProbeOnce(const server_handle& server) -> void {
  if (server->is_probed) return;
  server->is_probed = true;
  SpawnTask(context_, [this, server](asio::yield_context yield) {
    const auto failed = Probe(server, yield);
    server->is_probed = false;
    if (failed && IsListed(server)) ReportUnreachable(server, *failed);
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
  bool was_marked = false;
  for (;;) {
    Pause(context_.get_executor(), kProbePeriod, yield);
    const bool is_marked = server->health.IsUnreachable();
    if (!IsListed(server) || (was_marked && !is_marked)) return;
    was_marked = is_marked;
    // While the zone is lost, ProbeZone probes its servers.
    if (servers_.IsZoneLost(server->listed.zone)) continue;
    const auto failed = Probe(server, yield);
    if (!failed) return;
    ReportUnreachable(server, *failed);
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
      servers_.ForgetZone(zone);
      return;
    }
    for (const auto& server : in_zone) {
      if (!servers_.IsZoneLost(zone)) break;
      if (!IsListed(server)) continue;
      const auto began = clock_.Now();
      const auto failed = Probe(server, yield);
      if (failed && failed->was_refused) ReportUnreachable(server, *failed);
      const milliseconds took(clock_.Now() - began);
      if (took < kProbePeriod) {
        Pause(context_.get_executor(), kProbePeriod - took, yield);
      }
    }
  }
}

auto server_prober::Probe(const server_handle& server,
                          asio::yield_context yield)
    -> std::optional<failed_connection> {
  http_connection connection(context_, server->listed.host,
                             server->listed.port);
  http_deadlines deadlines;
  deadlines.connect = kServerConnectTimeout;
  const auto began_ms = clock_.Now();
  try {
    connection.Connect(deadlines, yield);
  } catch (const http_call_error& error) {
    // The caller reports it, if necessary.
    return failed_connection{began_ms, error.was_refused()};
  }
  servers_.MarkReachable(*server, clock_.Now());
  ReportRoundTrip(server, began_ms);
  return std::nullopt;
}

}  // namespace lovagedale
