#include "lovagedale/route_entry/fleet_link.h"

#include <algorithm>
#include <set>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/configuration/evacuation.h"
#include "lovagedale/control/settings.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// The leader delays its responses for up to a second.
constexpr milliseconds kHeartbeatTimeout{1'600};
/// Delay before the next heartbeat to a replica, by the result of the last one.
constexpr milliseconds kFollowerPeriod{500};
constexpr milliseconds kLeaderPeriod{20};
constexpr milliseconds kUnreachablePeriod{200};
/// The same before a heartbeat that asks for a newer configuration.
constexpr milliseconds kAskPeriod{20};
/// The same while an update arrives in parts.
constexpr milliseconds kPartPeriod{1};
/// The same while no leader is known: an election ends within a few of these.
constexpr milliseconds kSearchPeriod{60};
constexpr milliseconds kLeaveTimeout{300};
/// How long a call waits for the leader's answer about a limited server.
constexpr milliseconds kGrantWait{200};
/// After an answer that did not come in time, calls do not wait for one.
constexpr monotonic_ms kGrantPauseMs = 500;
/// After this long without a response from a leader, entries read the list of
/// servers themselves, at a low rate because all entries do so at once.
constexpr monotonic_ms kLeaderLostMs = 1'800;
constexpr milliseconds kFallbackListPeriod{1'500};
/// The period of reports of work until the leader has answered one with shares.
constexpr monotonic_ms kFirstWorkReportPeriodMs = 2'000;
/// The same of reports of confidences.
constexpr monotonic_ms kFirstConfidenceReportPeriodMs = 3'000;
/// Oldest format of leaders that read the reports.
constexpr format_number kSharedStateFormat = 4;

auto RandomIncarnation() -> process_incarnation {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace

fleet_link::fleet_link(asio::io_context& context,
                       const route_entry_settings& settings, relay_state& state,
                       server_source source,
                       std::function<void()> on_routes_changed)
    : context_(context),
      settings_(settings),
      state_(state),
      source_(std::move(source)),
      on_routes_changed_(std::move(on_routes_changed)),
      incarnation_(RandomIncarnation()),
      leader_response_ms_(clock_.Now()) {}

auto fleet_link::Start() -> void {
  AddSeeds(settings_.seeds);
  state_.crashes.SetReportHandler([this] { ReportAtOnce(); });
  state_.on_limit_changed = [this] { ReportAtOnce(); };
  state_.ask_for_grant = [this](const server_limit_report& server,
                                asio::yield_context yield) {
    return AskForGrant(server, yield);
  };
  if (source_) {
    SpawnTask(context_,
              [this](asio::yield_context yield) { FallbackListLoop(yield); });
  }
}

auto fleet_link::AddSeeds(const std::vector<std::string>& seeds) -> void {
  for (const auto& seed : seeds) AddReplica(seed);
}

auto fleet_link::AddReplica(const std::string& replica) -> void {
  if (replicas_.contains(replica)) return;
  const auto address = AddressOfReplica(replica, settings_.control_port);
  if (!address) return;
  auto& channel = replicas_[replica];
  channel = std::make_unique<rpc_channel>(context_, *address);
  SpawnTask(context_, [this, &channel = *channel](asio::yield_context yield) {
    HeartbeatLoop(channel, yield);
  });
}

auto fleet_link::HasRecentLeader() const -> bool {
  return clock_.Now() - leader_response_ms_ < kLeaderLostMs;
}

auto fleet_link::MakeHeartbeat(bool to_leader) -> entry_heartbeat {
  state_.servers.LogColdTimes(clock_.Now());
  entry_heartbeat heartbeat;
  heartbeat.node = settings_.name;
  heartbeat.zone = settings_.zone;
  heartbeat.incarnation = incarnation_;
  heartbeat.revision = held_.view().revision;
  heartbeat.relay.emplace();
  heartbeat.relay->server_list_number = list_.number;
  heartbeat.relay->replicas_hash = replicas_hash_;
  if (to_leader || leader_.empty()) {
    heartbeat.limits.emplace().servers =
        state_.servers.ServerLimits(clock_.Now());
  }
  if (to_leader) {
    ForgetEndedRollouts();
    // Another leader has none of the counters.
    heartbeat.relay->answers =
        ChangedAnswers(state_.answers, answers_reported_to_ == leader_
                                           ? reported_answers_
                                           : version_answers_table{});
    heartbeat.work = DueWork();
    if (leader_format_ < kFleetLoadsFormat) {
      heartbeat.relay->loads = state_.servers.OwnLoads();
    } else {
      heartbeat.loads = EncodeEntryLoads(
          positions_, state_.servers.OwnLoads(entry_loads::kMaxWorks),
          state_.servers.TakePaces(clock_.Now()));
    }
    heartbeat.confidences = DueConfidences();
    heartbeat.relay->helpers_hash = helpers_hash_;
    // Another leader has no report of this entry.
    const auto reach = OwnReach();
    if (reach_reported_to_ != leader_ || reach != reported_reach_) {
      heartbeat.relay->reach = reach;
    }
    heartbeat.crashes = state_.crashes.UnacknowledgedReports(leader_);
    heartbeat.cleared_suspects = state_.crashes.TakeCleared();
  }
  return heartbeat;
}

auto fleet_link::DueWork() -> std::vector<service_work> {
  const auto now = clock_.Now();
  const bool lacks_share = std::any_of(
      state_.groups.begin(), state_.groups.end(),
      [](const auto& item) { return !item.second.HasFleetShare(); });
  const auto period =
      lacks_share ? kFirstWorkReportPeriodMs : kWorkReportPeriodMs;
  if (work_reported_to_ == leader_ && now - work_reported_ms_ < period) {
    return {};
  }
  auto work = OwnServiceWork(state_.groups, now);
  if (!work.empty()) {
    work_reported_to_ = leader_;
    work_reported_ms_ = now;
  }
  return work;
}

auto fleet_link::DueConfidences() -> std::vector<confidence_report> {
  const auto now = clock_.Now();
  const bool lacks_threshold = std::any_of(
      state_.tiers.begin(), state_.tiers.end(), [](const auto& item) {
        const auto& threshold = item.second.threshold;
        return threshold.unreported() > 0 && !threshold.HasFleetThreshold();
      });
  const auto period = lacks_threshold ? kFirstConfidenceReportPeriodMs
                                      : kConfidenceReportPeriodMs;
  // A leader of an older format would drop the counts.
  if (leader_format_ < kSharedStateFormat ||
      now - confidences_reported_ms_ < period) {
    return {};
  }
  confidences_reported_ms_ = now;
  return TakeConfidenceReports(state_.tiers);
}

auto fleet_link::OwnReach() const -> reach_report {
  reach_report reach;
  reach.unreachable_services = state_.servers.UnreachableServices();
  if (is_helping_ && settings_.entry_port != 0) {
    reach.address =
        settings_.callers.host + ":" + std::to_string(settings_.entry_port);
  }
  return reach;
}

auto fleet_link::MayAsk(const std::string& replica,
                        config_revision told_revision) const -> bool {
  return sender_choice_.MayAsk(replica, leader_, told_revision,
                               held_.view().revision, clock_.Now());
}

auto fleet_link::ForgetEndedRollouts() -> void {
  const auto has_ended = [&](const auto& item) {
    const auto* rollout =
        state_.view ? state_.view->RolloutOf(item.first.service) : nullptr;
    if (rollout == nullptr || !rollout->IsRunning()) return true;
    // Answers in an earlier roll-out to the same version.
    return rollout->phase == service_rollout_phase::kWaiting &&
           item.first.version == rollout->target;
  };
  std::erase_if(state_.answers, has_ended);
  std::erase_if(reported_answers_, has_ended);
}

auto fleet_link::HeartbeatLoop(rpc_channel& channel, asio::yield_context yield)
    -> void {
  const auto& name = channel.address().name;
  bool is_lost = false;
  config_revision told_revision = 0;
  while (!leaving_) {
    auto period = kUnreachablePeriod;
    std::string failure;
    bool is_leader = false;
    auto heartbeat = MakeHeartbeat(leader_ == name);
    const bool asks = MayAsk(name, told_revision);
    const bool asks_follower = asks && leader_ != name;
    if (asks) {
      heartbeat.wanted_update = {held_.position(), assembler_.progress()};
    }
    if (asks_follower) sender_choice_.RecordFollowerAsked();
    try {
      const auto response = Exchange(channel, std::move(heartbeat), yield);
      told_revision = response.revision;
      is_leader = response.is_leader;
      period = is_leader         ? kLeaderPeriod
               : leader_.empty() ? kSearchPeriod
                                 : kFollowerPeriod;
      if (is_leader) {
        if (leader_ != name) {
          log_line(log_level::kInfo, "control_leader").With("replica", name);
        }
        leader_ = name;
        leader_response_ms_ = clock_.Now();
      }
      Adopt(response, name);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (asks_follower) sender_choice_.RecordFollowerEnded();
    LogLoadsChange();
    if (leader_ == name && (!failure.empty() || !is_leader)) {
      leader_.clear();
      // A replica that leads again after a restart has no counters.
      answers_reported_to_.clear();
      reach_reported_to_.clear();
    }
    if (leader_.empty() && !failure.empty()) period = kSearchPeriod;
    if (failure.empty() && MayAsk(name, told_revision)) {
      period = assembler_.IsUnderWay() ? kPartPeriod : kAskPeriod;
    }
    if (!failure.empty() != is_lost) {
      is_lost = !failure.empty();
      log_line(log_level::kInfo, is_lost ? "control_lost" : "control_regained")
          .With("replica", name)
          .With("reason", failure);
    }
    Pause(context_.get_executor(), period, yield);
  }
}

auto fleet_link::Exchange(rpc_channel& channel, entry_heartbeat heartbeat,
                          asio::yield_context yield) -> heartbeat_response {
  const auto& name = channel.address().name;
  const auto began_ms = clock_.Now();
  auto sent_answers = std::move(heartbeat.relay->answers);
  heartbeat.relay->answers = sent_answers;
  const auto sent_crashes = heartbeat.crashes;
  const auto sent_reach = heartbeat.relay->reach;
  auto [response, footer] = DecodeWithFormat<heartbeat_response>(channel.Call(
      Encode(control_request(std::move(heartbeat))), kHeartbeatTimeout, yield));
  state_.prober.ReportControlRoundTrip(began_ms);
  if (!response.is_leader) return response;
  leader_format_ = footer.written;
  state_.crashes.Acknowledge(sent_crashes, name);
  if (sent_reach) {
    reported_reach_ = *sent_reach;
    reach_reported_to_ = name;
  }
  if (answers_reported_to_ != name) {
    reported_answers_.clear();
    answers_reported_to_ = name;
  }
  for (auto& [key, counts] : sent_answers) {
    reported_answers_[key] = std::move(counts);
  }
  return response;
}

auto fleet_link::ReportAtOnce() -> void {
  const auto leader = replicas_.find(leader_);
  if (leader == replicas_.end() || leaving_) return;
  // The regular heartbeat may be waiting for its response.
  SpawnTask(context_, [this,
                       &channel = *leader->second](asio::yield_context yield) {
    const auto& name = channel.address().name;
    try {
      Adopt(Exchange(channel, MakeHeartbeat(/*to_leader=*/true), yield), name);
    } catch (const std::exception& error) {
      // The next regular heartbeat repeats the report.
      log_line(log_level::kInfo, "report_not_sent")
          .With("replica", name)
          .With("reason", error.what());
    }
  });
}

auto fleet_link::AskForGrant(const server_limit_report& server,
                             asio::yield_context yield)
    -> std::optional<server_grant> {
  const auto leader = replicas_.find(leader_);
  if (leader == replicas_.end() || leader_format_ < kGrantFormat || leaving_ ||
      clock_.Now() < no_grants_until_ms_) {
    return std::nullopt;
  }
  const auto answer = std::make_shared<grant_response>();
  const fiber_event answered(context_.get_executor());
  // The channel closes a connection on which a call gets no answer in time, so
  // the call may last as long as a heartbeat, and only the wait ends earlier.
  SpawnTask(context_, [request = grant_request{settings_.name, server}, answer,
                       answered, &channel = *leader->second](
                          asio::yield_context call_yield) {
    try {
      *answer = Decode<grant_response>(channel.Call(
          Encode(control_request(request)), kHeartbeatTimeout, call_yield));
    } catch (const std::exception& error) {
      log_line(log_level::kInfo, "grant_not_received")
          .With("replica", channel.address().name)
          .With("reason", error.what());
    }
    answered.Set();
  });
  answered.Wait(kGrantWait, yield);
  if (!answer->grant) no_grants_until_ms_ = clock_.Now() + kGrantPauseMs;
  return answer->grant;
}

auto fleet_link::AdoptPart(const update_part& part, const std::string& replica)
    -> void {
  sender_choice_.RecordPart(clock_.Now());
  try {
    if (const auto update = assembler_.Add(part)) AdoptUpdate(*update, replica);
  } catch (const codec_error& error) {
    log_line(log_level::kWarning, "update_damaged")
        .With("replica", replica)
        .With("bytes", part.total_bytes)
        .With("reason", error.what());
  }
}

auto fleet_link::AdoptUpdate(const view_update& update,
                             const std::string& replica) -> void {
  if (update.revision <= held_.view().revision) {
    log_line(log_level::kInfo, "update_discarded")
        .With("revision", update.revision)
        .With("held", held_.view().revision)
        .With("replica", replica)
        .With("bytes", update.routes.size());
    return;
  }
  const auto started_ms = clock_.Now();
  if (const auto problem = held_.Apply(update)) {
    log_line(log_level::kWarning, "update_refused")
        .With("revision", update.revision)
        .With("held", held_.view().revision)
        .With("replica", replica)
        .With("form", ToString(update.form))
        .With("reason", *problem);
    return;
  }
  const bool keeps_routes =
      state_.view && update.form == routes_form::kUnchanged;
  state_.view = keeps_routes
                    ? std::make_shared<const routing_view>(held_.view(),
                                                           state_.view->table)
                    : std::make_shared<const routing_view>(held_.view());
  log_line(log_level::kInfo, "routes_adopted")
      .With("revision", state_.view->revision)
      .With("version", state_.view->routes.version())
      .With("routes", state_.view->routes.config().routes.size())
      .With("replica", replica)
      .With("form", ToString(update.form))
      .With("bytes", update.routes.size())
      .With("took_ms", clock_.Now() - started_ms);
  std::set<crash_key> quarantined;
  for (const auto& item : held_.view().quarantines) {
    if (!EvacuatedZone(item)) quarantined.insert(item.fingerprint);
  }
  state_.crashes.SetQuarantined(std::move(quarantined));
  if (update.cold_limits) state_.servers.SetColdLimits(*update.cold_limits);
  AdoptEvacuations();
  on_routes_changed_();
}

auto fleet_link::AdoptEvacuations() -> void {
  auto zones = EvacuatedZones(held_.view().quarantines);
  if (zones == state_.servers.evacuated_zones()) return;
  const auto log_zones = [&](const auto& now, const auto& before,
                             const char* event) {
    for (const auto& zone : now) {
      if (before.contains(zone)) continue;
      log_line(log_level::kInfo, event)
          .With("zone", zone)
          .With("revision", held_.view().revision)
          .With("running", state_.servers.RunningIn(zone));
    }
  };
  const auto before = state_.servers.evacuated_zones();
  state_.servers.SetEvacuatedZones(zones, clock_.Now());
  log_zones(zones, before, "zone_evacuated");
  log_zones(before, zones, "zone_evacuation_withdrawn");
}

auto fleet_link::Adopt(const heartbeat_response& response,
                       const std::string& replica) -> void {
  if (response.update_bytes) AdoptPart(*response.update_bytes, replica);
  sender_choice_.RecordTold(response.revision, held_.view().revision,
                            clock_.Now());
  // A follower may not know all entries yet.
  if (response.is_leader || state_.entries == 0) {
    state_.entries = response.registered_entries;
  }
  if (response.is_leader) {
    state_.settled_entries.Record(response.registered_entries, clock_.Now());
  }
  if (response.limits && (response.is_leader || leader_.empty())) {
    state_.servers.AdoptServerLimits(response.limits->servers, clock_.Now());
  }
  if (!response.relay) return;
  if (response.is_leader) {
    state_.crashes.SetSuspects(response.relay->suspects);
    state_.crashes.SetAlternatives(response.alternatives);
  }
  const auto& replicas = response.relay->replicas;
  if (!replicas.empty()) replicas_hash_ = HashReplicas(replicas);
  for (const auto& replica : replicas) AddReplica(replica);
  if (response.is_leader) {
    AdoptShares(state_.groups, response.heavy_shares);
    AdoptThresholds(state_.tiers, response.thresholds);
  }
  if (response.relay->helpers) {
    helpers_hash_ = HashHelpers(*response.relay->helpers);
    state_.helpers.Set(*response.relay->helpers);
  }
  if (response.relay->servers) {
    AdoptServers(*response.relay->servers, response.cold_servers);
  }
  AdoptLoads(response);
}

auto fleet_link::AdoptLoads(const heartbeat_response& response) -> void {
  if (response.loads) {
    // Those of another list are replaced by the next response.
    const auto decoded = DecodeFleetLoads(positions_, *response.loads);
    if (!decoded) return;
    state_.servers.UpdateLoads(decoded->first, clock_.Now(), decoded->second);
  } else if (response.relay->loads) {
    state_.servers.UpdateLoads(*response.relay->loads, clock_.Now());
  }
}

auto fleet_link::LogLoadsChange() -> void {
  const bool are_fresh = state_.servers.AreLoadsFresh(clock_.Now());
  if (are_fresh == are_loads_fresh_) return;
  are_loads_fresh_ = are_fresh;
  log_line(log_level::kInfo, are_fresh ? "loads_received" : "loads_outdated")
      .With("leader", leader_)
      .With("period_ms", state_.servers.loads_period_ms());
}

auto fleet_link::AdoptServers(const server_list_update& received,
                              const std::vector<cold_server>& cold) -> void {
  if (received.number <= list_.number) return;
  auto update = received;
  SetColdTimes(update.servers, cold, clock_.Now());
  auto list = ApplyListUpdate(list_, update);
  if (!list) {
    // Another response has brought a later list meanwhile.
    log_line(log_level::kInfo, "servers_discarded")
        .With("base", update.base)
        .With("held", list_.number);
    return;
  }
  list_ = std::move(*list);
  positions_ = server_positions(list_);
  UseServers(list_);
  log_line(log_level::kInfo, "servers_adopted")
      .With("number", list_.number)
      .With("base", update.base)
      .With("changed", update.servers.size())
      .With("servers", list_.servers.size());
}

auto fleet_link::UseServers(server_list list) -> void {
  for (auto& server : list.servers) {
    const auto found = settings_.server_addresses.find(
        server.host + ":" + std::to_string(server.port));
    if (found == settings_.server_addresses.end()) continue;
    server.host = found->second.host;
    server.port = found->second.port;
  }
  state_.servers.Update(list);
}

auto fleet_link::FallbackListLoop(asio::yield_context yield) -> void {
  while (!leaving_) {
    Pause(context_.get_executor(), kFallbackListPeriod, yield);
    if (leaving_ || HasRecentLeader()) continue;
    try {
      // The leader's next list has a higher number than its last one, so it
      // replaces this one.
      auto servers = source_(yield);
      RestrictColdTimes(servers, state_.servers.cold_limits(), clock_.Now());
      UseServers({list_.number, std::move(servers)});
      log_line(log_level::kInfo, "servers_read")
          .With("after_number", list_.number)
          .With("servers", state_.servers.All().size());
    } catch (const std::exception& error) {
      log_line(log_level::kWarning, "server_list_read_failed")
          .With("reason", error.what());
    }
  }
}

auto fleet_link::Leave(asio::yield_context yield) -> void {
  leaving_ = true;
  const auto leader = replicas_.find(leader_);
  if (leader == replicas_.end()) return;
  auto heartbeat = MakeHeartbeat(/*to_leader=*/true);
  heartbeat.leaving = true;
  try {
    leader->second->Call(Encode(control_request(heartbeat)), kLeaveTimeout,
                         yield);
  } catch (const std::exception& error) {
    log_line(log_level::kInfo, "leave_not_reported")
        .With("reason", error.what());
  }
}

}  // namespace lovagedale
