#include "lovagedale/entry/control_link.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/json_reader.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/ledger/messages.h"
#include "lovagedale/rollout/guard.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatTimeout{2'500};
/// Pause between heartbeats to a replica that is not the leader.
constexpr milliseconds kFollowerPeriod{500};
/// The leader delays its responses (long polling), so the next heartbeat may
/// follow immediately.
constexpr milliseconds kLeaderPeriod{20};
/// Pause while an update arrives in parts.
constexpr milliseconds kPartPeriod{1};
constexpr milliseconds kUrgentRetryDelay{50};
constexpr int kUrgentAttempts = 200;
constexpr milliseconds kPresencePeriod{1'000};
constexpr milliseconds kEvidencePeriod{200};
/// Part of this entry's bandwidth budget for control that evidence may use.
constexpr std::int64_t kEvidenceBytesPerSecond = 400;
constexpr monotonic_ms kMinEvidenceIntervalMs = 900;
constexpr milliseconds kLoadPeriod{1'000};
/// Servers of other zones are polled only once in this many rounds.
constexpr std::uint64_t kRemoteLoadRounds = 5;
constexpr milliseconds kLoadTimeout{400};
constexpr milliseconds kLeaveTimeout{500};

/// Sorted hashes of the version names that an engine reports.
auto SortedNameHashes(const boost::json::array& names)
    -> std::shared_ptr<const std::vector<std::uint64_t>> {
  auto hashes = std::make_shared<std::vector<std::uint64_t>>();
  for (const auto& name : names) {
    hashes->push_back(Hash64(std::string_view(name.as_string())));
  }
  std::sort(hashes->begin(), hashes->end());
  return hashes;
}

}  // namespace

control_link::control_link(asio::io_context& context, entry_state& state,
                           process_incarnation incarnation)
    : context_(context),
      state_(state),
      incarnation_(incarnation),
      server_(context, state.settings.host, state.settings.rpc_port,
              [this](const std::string& body, const rpc_reply& reply) {
                Decode<view_request>(body);
                const auto table = state_.table.load();
                reply(Encode(table ? table->view() : fleet_view{}));
              }),
      evidence_pacer_(kEvidenceBytesPerSecond, kMinEvidenceIntervalMs) {
  for (const auto& address : state.settings.control) {
    control_.push_back(std::make_unique<rpc_channel>(context, address));
  }
  for (const auto& address : state.settings.entries) {
    if (address.name == state.settings.name) continue;
    peers_.push_back(std::make_unique<rpc_channel>(context, address));
  }
  // Only ledgers in the same zone wait for this entry before they stop, since
  // its bills are sent there first.
  for (const auto& address : state.settings.ledgers) {
    if (address.zone != state.settings.zone) continue;
    ledgers_.push_back(std::make_unique<rpc_channel>(context, address));
  }
  ApplyView(fleet_view{});
}

auto control_link::Start() -> void {
  for (const auto& channel : control_) {
    SpawnTask(context_, [this, &channel = *channel](asio::yield_context yield) {
      HeartbeatLoop(channel, yield);
    });
  }
  for (const auto& channel : peers_) {
    SpawnTask(context_, [this, &channel = *channel](asio::yield_context yield) {
      FetchPeerView(channel, yield);
    });
  }
  SpawnTask(context_,
            [this](asio::yield_context yield) { PresenceLoop(yield); });
  SpawnTask(context_,
            [this](asio::yield_context yield) { EvidenceLoop(yield); });
  SpawnTask(context_,
            [this](asio::yield_context yield) { HostListLoop(yield); });
  SpawnTask(context_, [this](asio::yield_context yield) { LoadLoop(yield); });
}

auto control_link::FetchPeerView(rpc_channel& channel,
                                 asio::yield_context yield) -> void {
  // After a restart in a partitioned zone, a peer may have a newer revision
  // than the reachable control replicas.
  try {
    const auto view = Decode<fleet_view>(channel.Call(
        Encode(view_request{state_.settings.name}), kHeartbeatTimeout, yield));
    if (view.revision <= held_.view().revision) return;
    held_.Replace(view);
    ApplyView(view);
  } catch (const std::exception& error) {
    // Usually the peer is down or also starting.
    log_line(log_level::kInfo, "peer_configuration_not_read")
        .With("peer", channel.address().name)
        .With("reason", error.what());
  }
}

auto control_link::MakeHeartbeat(bool with_evidence) -> entry_heartbeat {
  entry_heartbeat heartbeat;
  heartbeat.node = state_.settings.name;
  heartbeat.zone = state_.settings.zone;
  heartbeat.incarnation = incarnation_;
  heartbeat.revision = state_.table.load()->revision();
  const auto now = clock_.Now();
  if (with_evidence && !unreported_.empty() && evidence_pacer_.MaySend(now)) {
    heartbeat.evidence.swap(unreported_);
    evidence_pacer_.RecordSent(heartbeat.evidence.size() * kEvidenceRowBytes,
                               now);
  }
  return heartbeat;
}

auto control_link::AddLimits(entry_heartbeat& heartbeat) -> void {
  const auto now = clock_.Now();
  const auto table = state_.table.load();
  heartbeat.limits = {state_.limits.CollectDemands(table->config().customers,
                                                   leader_needs_all_limits_,
                                                   kMaxSharesPerHeartbeat, now),
                      leader_needs_all_limits_, ServerLimits(*table, now)};
}

auto control_link::ServerLimits(const routing_table& table, monotonic_ms now)
    -> std::vector<server_limit_report> {
  std::vector<server_limit_report> reports;
  const auto& servers = table.config().servers;
  for (server_id id = 0; id < servers.size(); ++id) {
    const auto key = ServerKey(Hash64(servers[id].name));
    const auto report = table.StateOf(id).limit.Use(
        [&](server_limit& limit) { return limit.Report(key, now); });
    if (report) reports.push_back(*report);
  }
  limit_turns_.Select(reports);
  return reports;
}

auto control_link::AdoptServerLimits(
    const std::vector<server_limit_status>& statuses) -> void {
  if (statuses.empty()) return;
  const auto now = clock_.Now();
  const auto table = state_.table.load();
  const auto& servers = table->config().servers;
  for (server_id id = 0; id < servers.size(); ++id) {
    const auto key = ServerKey(Hash64(servers[id].name));
    for (const auto& status : statuses) {
      if (status.server != key) continue;
      table->StateOf(id).limit.Use(
          [&](server_limit& limit) { limit.Adopt(status, now); });
    }
  }
}

auto control_link::ApplyLimits(const heartbeat_response& response,
                               monotonic_ms sent_at) -> void {
  state_.limits.SetEntryCount(response.registered_entries);
  state_.registered_entries = response.registered_entries;
  if (!response.limits) return;
  leader_needs_all_limits_ = response.limits->needs_all_customers;
  state_.limits.SetShares(response.limits->shares, sent_at);
}

auto control_link::HeartbeatLoop(rpc_channel& channel,
                                 asio::yield_context yield) -> void {
  const auto& name = channel.address().name;
  config_revision told_revision = 0;
  while (!leaving_) {
    const auto sent_at = clock_.Now();
    bool is_leader = false;
    const bool is_for_leader = leader_ == name;
    const bool asks = MayAsk(name, told_revision);
    if (asks && !is_for_leader) sender_choice_.RecordFollowerAsked();
    try {
      auto heartbeat = MakeHeartbeat(is_for_leader);
      if (asks) {
        heartbeat.wanted_update = {held_.position(), assembler_.progress()};
      }
      if (is_for_leader) {
        AddLimits(heartbeat);
      } else if (leader_.empty()) {
        heartbeat.limits.emplace().servers =
            ServerLimits(*state_.table.load(), clock_.Now());
      }
      const auto response = Decode<heartbeat_response>(channel.Call(
          Encode(control_request(heartbeat)), kHeartbeatTimeout, yield));
      is_leader = response.is_leader;
      told_revision = response.revision;
      if (is_leader && leader_ != name) {
        leader_ = name;
        leader_needs_all_limits_ = true;
      }
      HandleResponse(response, sent_at);
      if (response.limits && (is_leader || leader_.empty())) {
        AdoptServerLimits(response.limits->servers);
      }
      if (is_leader && is_for_leader) ApplyLimits(response, sent_at);
    } catch (const std::exception& error) {
      if (leader_ == name) {
        leader_.clear();
        leader_needs_all_limits_ = true;
        // A new leader has no evidence yet, and the contents of the lost
        // heartbeat must be sent again.
        unreported_ = own_evidence_;
        log_line(log_level::kWarning, "control_leader_lost")
            .With("replica", name)
            .With("reason", error.what());
      }
    }
    if (asks && !is_for_leader) sender_choice_.RecordFollowerEnded();
    const bool is_soon =
        is_leader || (leader_ != name && MayAsk(name, told_revision));
    Pause(context_.get_executor(),
          is_soon && assembler_.IsUnderWay() ? kPartPeriod
          : is_soon                          ? kLeaderPeriod
                                             : kFollowerPeriod,
          yield);
  }
}

auto control_link::HandleResponse(const heartbeat_response& response,
                                  monotonic_ms sent_at) -> void {
  if (response.update_bytes) ApplyPart(*response.update_bytes);
  sender_choice_.RecordTold(response.revision, state_.table.load()->revision(),
                            clock_.Now());
  if (!response.is_leader) return;
  if (response.live_entries > 0) state_.live_entries = response.live_entries;
  if (!response.evidence.empty()) fleet_evidence_ = response.evidence;
  // The permit covers only the revision in the response and later ones.
  if (response.permit_ms > 0 &&
      state_.table.load()->revision() >= response.revision) {
    const auto until = sent_at + response.permit_ms;
    if (until > state_.permit_ends_at.load()) {
      state_.permit_ends_at.store(until);
    }
  }
}

auto control_link::ApplyPart(const update_part& part) -> void {
  sender_choice_.RecordPart(clock_.Now());
  try {
    if (const auto update = assembler_.Add(part)) ApplyUpdate(*update);
  } catch (const codec_error& error) {
    log_line(log_level::kWarning, "update_damaged")
        .With("bytes", part.total_bytes)
        .With("reason", error.what());
  }
}

auto control_link::ApplyUpdate(const view_update& update) -> void {
  if (update.revision <= state_.table.load()->revision()) return;
  if (const auto problem = held_.Apply(update)) {
    log_line(log_level::kWarning, "update_refused")
        .With("revision", update.revision)
        .With("form", ToString(update.form))
        .With("reason", *problem);
    return;
  }
  ApplyView(held_.view());
}

auto control_link::MayAsk(const std::string& replica,
                          config_revision told_revision) const -> bool {
  return sender_choice_.MayAsk(replica, leader_, told_revision,
                               state_.table.load()->revision(), clock_.Now());
}

auto control_link::ApplyView(const fleet_view& view) -> void {
  const auto current = state_.table.load();
  if (current && view.revision <= current->revision()) return;
  try {
    state_.table.store(std::make_shared<const routing_table>(
        view, state_.settings.zone, registry_));
  } catch (const settings_invalid& error) {
    log_line(log_level::kError, "configuration_refused")
        .With("revision", view.revision)
        .With("reason", error.what());
    return;
  }
  log_line(log_level::kInfo, "configuration_in_force")
      .With("revision", view.revision);
  PublishPlans();
}

auto control_link::PublishPlans() -> void {
  state_.plans.store(
      std::make_shared<const plan_table>(state_.table.load(), fleet_evidence_));
  planned_evidence_ = fleet_evidence_;
}

auto control_link::PresenceLoop(asio::yield_context yield) -> void {
  const auto body =
      Encode(ledger_request(entry_presence{state_.settings.name}));
  while (!leaving_) {
    for (const auto& ledger : ledgers_) ledger->SendOneWay(body);
    Pause(context_.get_executor(), kPresencePeriod, yield);
  }
}

auto control_link::EvidenceLoop(asio::yield_context yield) -> void {
  while (!leaving_) {
    Pause(context_.get_executor(), kEvidencePeriod, yield);
    const auto fresh = state_.evidence.Take();
    for (const auto& [key, counts] : fresh) {
      own_evidence_[key] += counts;
      // Own evidence counts at once; control's next totals replace these.
      fleet_evidence_[key] += counts;
      unreported_[key] = own_evidence_[key];
    }
    if (!fresh.empty()) GuardRollouts();
    if (fleet_evidence_ != planned_evidence_) PublishPlans();
  }
}

auto control_link::GuardRollouts() -> void {
  const auto table = state_.table.load();
  auto stopped = *state_.stopped_versions.load();
  const auto count_before = stopped.size();
  for (const auto& status : table->view().versions) {
    const auto id = table->config().FindVersion(status.version);
    if (status.phase != version_phase::kRollout || !id ||
        stopped.contains({status.version, table->revision()})) {
      continue;
    }
    guard_input input;
    for (const auto& [key, counts] : fleet_evidence_) {
      if (key.version == status.version) input.candidate[key] = counts;
    }
    input.baseline = BaselineEvidence(table->config(), table->view(),
                                      status.version, fleet_evidence_);
    input.expected_quality = table->config().versions[*id].expected_quality;
    const auto decision = JudgeRollout(input, {});
    if (decision.verdict != guard_verdict::kWithdraw) continue;
    log_line(log_level::kWarning, "version_stopped_here")
        .With("version", status.version)
        .With("reason", decision.reason);
    stopped.insert({status.version, table->revision()});
  }
  if (stopped.size() == count_before) return;
  state_.stopped_versions.store(
      std::make_shared<const stopped_version_set>(std::move(stopped)));
  auto heartbeat = MakeHeartbeat(/*with_evidence=*/false);
  heartbeat.evidence = own_evidence_;
  SendUrgent(std::move(heartbeat));
}

auto control_link::ReportCrash(const crash_report& report) -> void {
  asio::post(context_, [this, report] {
    auto heartbeat = MakeHeartbeat(/*with_evidence=*/false);
    heartbeat.crashes = {report};
    SendUrgent(std::move(heartbeat));
  });
}

auto control_link::ReportCleared(std::uint64_t fingerprint) -> void {
  asio::post(context_, [this, fingerprint] {
    auto heartbeat = MakeHeartbeat(/*with_evidence=*/false);
    heartbeat.cleared_suspects = {fingerprint};
    SendUrgent(std::move(heartbeat));
  });
}

auto control_link::SendUrgent(entry_heartbeat heartbeat) -> void {
  SpawnTask(context_, [this, heartbeat](asio::yield_context yield) {
    const auto body = Encode(control_request(heartbeat));
    for (int attempt = 0; attempt < kUrgentAttempts; ++attempt) {
      for (const auto& channel : control_) {
        if (!leader_.empty() && channel->address().name != leader_) {
          continue;
        }
        const auto sent_at = clock_.Now();
        try {
          const auto response = Decode<heartbeat_response>(
              channel->Call(body, kHeartbeatTimeout, yield));
          HandleResponse(response, sent_at);
          if (response.is_leader) return;
        } catch (const std::exception&) {
          // Try the next replica, or the same one after a pause.
        }
      }
      Pause(context_.get_executor(), kUrgentRetryDelay, yield);
    }
  });
}

auto control_link::Leave(asio::yield_context yield) -> void {
  leaving_ = true;
  auto heartbeat = MakeHeartbeat(/*with_evidence=*/false);
  heartbeat.evidence = own_evidence_;
  heartbeat.leaving = true;
  for (const auto& channel : control_) {
    try {
      channel->Call(Encode(control_request(heartbeat)), kLeaveTimeout, yield);
    } catch (const rpc_error&) {
      // If no replica receives this, an operator can remove the entry.
    }
  }
}

auto control_link::HostListLoop(asio::yield_context yield) -> void {
  http_request request;
  request.method = "GET";
  request.target = "/hosts";
  const http_deadlines deadlines{kLoadTimeout, kLoadTimeout, kLoadTimeout,
                                 kLoadTimeout};
  for (; !leaving_; Pause(context_.get_executor(), kLoadPeriod, yield)) {
    const auto table = state_.table.load();
    const auto& config = table->config();
    if (!config.host_list) continue;
    try {
      const auto answer =
          HttpCall(context_, config.host_list->host, config.host_list->port,
                   request, deadlines, yield);
      const auto value = boost::json::parse(answer.body);
      for (const auto& item : value.at("hosts").as_array()) {
        const auto id =
            config.FindServer(std::string_view(item.at("name").as_string()));
        if (!id) continue;
        const bool leaving = item.at("state").as_string() == "leaving";
        auto& server = table->StateOf(*id);
        if (server.listed_leaving.exchange(leaving) != leaving) {
          log_line(log_level::kInfo, "host_list_change")
              .With("server", server.name())
              .With("leaving", leaving);
        }
      }
    } catch (const std::exception&) {
      // The list is only a hint: keep the states that it last reported.
    }
  }
}

auto control_link::LoadLoop(asio::yield_context yield) -> void {
  for (std::uint64_t round = 0; !leaving_; ++round) {
    const auto table = state_.table.load();
    const auto& servers = table->config().servers;
    for (server_id id = 0; id < servers.size(); ++id) {
      const auto& server = servers[id];
      const bool is_engine =
          table->config().pools[server.pool].kind == pool_kind::kEngine;
      const bool is_local = server.zone == state_.settings.zone;
      if (!is_engine || (!is_local && round % kRemoteLoadRounds != 0)) continue;
      SpawnTask(context_, [this, table, id](asio::yield_context poll_yield) {
        PollLoad(table->config().servers[id], table->StateOf(id), poll_yield);
      });
    }
    Pause(context_.get_executor(), kLoadPeriod, yield);
  }
}

auto control_link::PollLoad(const backend_server& server, server_state& state,
                            asio::yield_context yield) -> void {
  http_request request;
  request.method = "GET";
  request.target = "/load";
  const http_deadlines deadlines{kLoadTimeout, kLoadTimeout, kLoadTimeout,
                                 kLoadTimeout};
  const auto in_flight = state.in_flight.load();
  try {
    const auto answer =
        HttpCall(context_, server.host, server.port, request, deadlines, yield);
    const auto value = boost::json::parse(answer.body);
    const auto& load = value.as_object();
    state.in_flight_at_report = in_flight;
    state.reported_load =
        static_cast<std::int32_t>(load.at("running").to_number<std::int64_t>() +
                                  load.at("waiting").to_number<std::int64_t>());
    state.load_reported_at = clock_.Now();
    if (server.max_loaded_versions > 0) {
      state.loaded_versions.store(
          SortedNameHashes(load.at("versions").as_array()));
    }
    const auto* leaving = load.if_contains("leaving");
    state.reported_leaving =
        leaving != nullptr && leaving->is_bool() && leaving->get_bool();
  } catch (const std::exception&) {
    // No report: placement uses this entry's own counts.
  }
}

}  // namespace lovagedale
