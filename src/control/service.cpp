#include "lovagedale/control/service.h"

#include <algorithm>
#include <set>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/configuration/evacuation.h"
#include "lovagedale/configuration/order_ids.h"
#include "lovagedale/configuration/rollout_order.h"
#include "lovagedale/operator_api/operator_api.h"

namespace lovagedale {
namespace {

/// A heartbeat is answered at once if there is an update, otherwise after this
/// time.
constexpr monotonic_ms kHeartbeatDeferralMs = 1'000;
constexpr std::chrono::milliseconds kServiceTickPeriod{50};
/// Entries that relay exchange server loads once per period: 3 ms per
/// registered entry, at least 200 ms and at most kHeartbeatDeferralMs. For up
/// to 333 entries the leader thus answers at most 334 heartbeats per second
/// (docs/CAPACITY.md).
constexpr monotonic_ms kMinLoadPeriodMs = 200;
constexpr monotonic_ms kLoadPeriodPerEntryMs = 3;
/// The leader sums up the reports of all entries at most once per this time,
/// not for each of up to 334 responses per second.
constexpr monotonic_ms kFleetLoadsMaxAgeMs = 20;
/// Entries with a heartbeat within this time share the fleet-wide rating limit.
constexpr monotonic_ms kEntryTimeoutMs = 5'000;
/// Fleet-wide evidence sent to each entry: maximum rate, within the entry's
/// bandwidth budget for control, and minimum interval.
constexpr std::int64_t kEvidenceBytesPerSecond = 800;
constexpr monotonic_ms kMinEvidenceIntervalMs = 900;
constexpr monotonic_ms kOrderPeriodMs = 500;
constexpr monotonic_ms kAllocationPeriodMs = 1'000;
constexpr monotonic_ms kAnswerRanksLogPeriodMs = 1'000;
/// Interval between rounds of join requests, and the time limit of one request.
constexpr std::chrono::milliseconds kJoinPeriod{300};
constexpr std::chrono::milliseconds kJoinTimeout{500};
constexpr std::int64_t kQuarantineDurationMs = 60LL * 60 * 1'000;
/// A suspect is quarantined only after the entries have known it for this time:
/// they answer sound requests, which clear it, more often.
constexpr monotonic_ms kSuspectObservationMs = 600;

auto WrapEnvelope(const replica_envelope& envelope) -> std::string {
  return Encode(control_request(envelope));
}

}  // namespace

control_service::control_service(boost::asio::io_context& context,
                                 replica_settings settings, log_store& store,
                                 server_source source,
                                 cold_limit_parser parse_cold_limits)
    : context_(context),
      settings_(std::move(settings)),
      node_(context, settings_.name, settings_.replicas, settings_.replication,
            store, machine_, WrapEnvelope,
            [this](const std::string& name) {
              return AddressOfReplica(name, settings_.rpc_port);
            }),
      server_(context, settings_.host, settings_.rpc_port,
              [this](std::string body, rpc_reply reply) {
                HandleRpc(body, std::move(reply));
              }),
      timer_(context),
      orders_(context, [this] { return OrderAuthority(); }),
      parse_cold_limits_(std::move(parse_cold_limits)),
      feed_(
          context, WithColdTimes(std::move(source)),
          [this] { return node_.HasLease() ? node_.core().term() : 0; },
          [this] { AnswerDeferred(/*all=*/true); }) {}

auto control_service::Start() -> void {
  node_.Start();
  ScheduleTick();
  feed_.Start();
  if (!settings_.seeds.empty()) {
    SpawnTask(context_,
              [this](boost::asio::yield_context yield) { JoinLoop(yield); });
  }
  log_line(log_level::kInfo, "control_started")
      .With("name", settings_.name)
      .With("zone", settings_.zone)
      .With("incarnation", node_.core().incarnation())
      .With("revision", machine_.view().revision)
      .With("last_index", node_.core().last_index());
}

auto control_service::BeginStop() -> void {
  if (stopped_) return;
  stopped_ = true;
  feed_.Stop();
  node_.TransferLeadership();
  AnswerDeferred(/*all=*/true);
  timer_.cancel();
}

auto control_service::HandleHttp(http_exchange& exchange) -> void {
  operator_api(*this).Handle(exchange);
}

auto control_service::HandleRpc(const std::string& body, rpc_reply reply)
    -> void {
  auto [request, footer] = DecodeWithFormat<control_request>(body);
  if (const auto* envelope = std::get_if<replica_envelope>(&request)) {
    formats_.Report(envelope->from, footer.written);
    node_.Receive(*envelope);
    return;
  }
  if (const auto* join = std::get_if<join_request>(&request)) {
    HandleJoin(*join, footer.written, reply);
    return;
  }
  if (const auto* grant = std::get_if<grant_request>(&request)) {
    formats_.Report(grant->node, footer.written);
    HandleGrant(*grant, reply);
    return;
  }
  auto& heartbeat = std::get<entry_heartbeat>(request);
  formats_.Report(heartbeat.node, footer.written);
  HandleHeartbeat(std::move(heartbeat), std::move(reply));
}

auto control_service::HandleGrant(const grant_request& request,
                                  const rpc_reply& reply) -> void {
  TrackLeadership();
  grant_response response;
  // Two replicas that grant at the same time would grant twice the limit.
  if (tracker_ && node_.HasLease() && !stopped_) {
    const auto now = clock_.Now();
    if (feed_.list().number == 0 && !ColdLimits().empty()) {
      // Without the list a cold limit cannot be told from one that a server
      // names.
      reply(Encode(response));
      return;
    }
    if (const auto cold_limit = ColdLimitOf(request.server.server)) {
      response.grant = cold_grants_.Grant(request.server.server, *cold_limit,
                                          machine_.entries().size(), now);
      reply(Encode(response));
      return;
    }
    if (server_limits_.Report(request.node, {request.server}, now)) {
      AnswerDeferred(/*all=*/true);
    }
    response.grant = server_limits_.Grant(request.node, request.server.server,
                                          CountLiveEntries(),
                                          machine_.entries().size(), now);
  }
  reply(Encode(response));
}

auto control_service::WithColdTimes(server_source source) -> server_source {
  if (!source) return source;
  return [this, source = std::move(source)](boost::asio::yield_context yield) {
    auto servers = source(yield);
    RestrictColdTimes(servers, ColdLimits(), clock_.Now());
    return servers;
  };
}

auto control_service::ColdLimits() -> const std::vector<service_cold_limit>& {
  const auto version = machine_.view().routes.version;
  if (!parse_cold_limits_ || cold_limits_version_ == version) {
    return cold_limits_;
  }
  cold_limits_version_ = version;
  auto limits = parse_cold_limits_(machine_.route_source());
  if (limits == cold_limits_) return cold_limits_;
  cold_limits_ = std::move(limits);
  cold_keys_list_.reset();
  for (const auto& limit : cold_limits_) {
    log_line(log_level::kInfo, "cold_limit_read")
        .With("service", limit.service)
        .With("per_second", limit.per_s)
        .With("start_ms", limit.start_ms)
        .With("version", version);
  }
  if (cold_limits_.empty()) log_line(log_level::kInfo, "cold_limits_ended");
  return cold_limits_;
}

auto control_service::ColdLimitOf(std::uint32_t cold_key)
    -> std::optional<double> {
  const auto& limits = ColdLimits();
  if (cold_keys_list_ != feed_.list().number) {
    cold_keys_list_ = feed_.list().number;
    cold_limit_by_key_.clear();
    for (const auto& server : feed_.list().servers) {
      for (const auto& limit : limits) {
        if (limit.service != server.service) continue;
        cold_limit_by_key_[ColdKey(Hash64(server.id))] = limit.per_s;
      }
    }
  }
  const auto found = cold_limit_by_key_.find(cold_key);
  if (found == cold_limit_by_key_.end()) return std::nullopt;
  return found->second;
}

auto control_service::HandleJoin(const join_request& request,
                                 format_number format, const rpc_reply& reply)
    -> void {
  if (format < machine_.RequiredFormat()) {
    if (refused_joins_.insert(request.name).second) {
      log_line(log_level::kWarning, "join_refused")
          .With("replica", request.name)
          .With("format", format)
          .With("fleet_format", machine_.RequiredFormat());
    }
  } else {
    node_.AddLearner(request.name, request.incarnation);
  }
  reply(Encode(join_response{node_.core().leader()}));
}

auto control_service::RaiseFleetFormat() -> void {
  const auto wanted = settings_.raise_fleet_format_to;
  const auto current = machine_.RequiredFormat();
  if (raise_pending_ || wanted <= current || !node_.IsCurrent()) return;
  std::vector<std::string> processes;
  for (const auto& member : node_.core().members().members) {
    if (member.name != settings_.name) processes.push_back(member.name);
  }
  for (const auto& [name, node] : machine_.entries()) processes.push_back(name);
  if (!formats_.AllRead(wanted, processes)) return;
  raise_pending_ = true;
  log_line(log_level::kInfo, "fleet_format_proposed")
      .With("format", wanted)
      .With("fleet_format", current);
  node_.Propose(Encode(control_command(raise_fleet_format{wanted}), wanted),
                [this](const propose_result& result) {
                  raise_pending_ = false;
                  if (result.status != propose_status::kCommitted) return;
                  log_line(log_level::kInfo, "fleet_format_raised")
                      .With("fleet_format", machine_.RequiredFormat());
                });
}

auto control_service::HandleHeartbeat(entry_heartbeat heartbeat,
                                      rpc_reply reply) -> void {
  const auto now = clock_.Now();
  TrackLeadership();
  if (!heartbeat.evidence.empty()) {
    evidence_.Report(heartbeat.node, heartbeat.incarnation, heartbeat.evidence);
    TrackDemand(heartbeat);
  }
  const bool is_urgent = !heartbeat.crashes.empty() || heartbeat.leaving;
  const auto deferral_ms =
      heartbeat.relay ? LoadExchangePeriod() : kHeartbeatDeferralMs;
  deferred_heartbeat deferred{std::move(heartbeat), std::move(reply),
                              now + deferral_ms};
  if (!deferred.heartbeat.leaving) ReportLimits(deferred.heartbeat);
  if (tracker_) {
    if (deferred.heartbeat.relay) {
      answers_.Report(deferred.heartbeat.node, deferred.heartbeat.incarnation,
                      deferred.heartbeat.relay->answers);
      ReportLoads(deferred.heartbeat);
      thresholds_.Report(deferred.heartbeat.confidences);
      if (!deferred.heartbeat.work.empty()) {
        work_shares_.Report(deferred.heartbeat.node, deferred.heartbeat.work,
                            now);
      }
      helpers_.Report(deferred.heartbeat.node, deferred.heartbeat.relay->reach,
                      now);
    }
    if (deferred.heartbeat.leaving) {
      RemoveNode(deferred.heartbeat.node, [](propose_status) {});
      tracker_->Forget(deferred.heartbeat.node);
      loads_.Forget(deferred.heartbeat.node);
      work_shares_.Forget(deferred.heartbeat.node);
      helpers_.Forget(deferred.heartbeat.node);
      limit_allocator_->RemoveEntry(deferred.heartbeat.node);
      server_limits_.Forget(deferred.heartbeat.node);
      cold_grants_.Forget(deferred.heartbeat.node);
    } else {
      cold_grants_.RecordHeartbeat(deferred.heartbeat.node, now);
      RegisterIfNew(deferred.heartbeat);
      tracker_->RecordHeartbeat(deferred.heartbeat.node,
                                deferred.heartbeat.incarnation,
                                deferred.heartbeat.revision, now);
    }
    HandleCrashes(deferred.heartbeat);
  }
  const bool has_update =
      deferred.heartbeat.revision != machine_.view().revision || !tracker_ ||
      HasStaleList(deferred.heartbeat);
  if (has_update || is_urgent || stopped_) {
    Answer(deferred);
    return;
  }
  deferred_heartbeats_.push_back(std::move(deferred));
}

auto control_service::ReportLimits(const entry_heartbeat& heartbeat) -> void {
  if (!heartbeat.limits) return;
  const auto now = clock_.Now();
  if (tracker_) {
    limit_allocator_->Report(heartbeat.node, heartbeat.limits->customers,
                             heartbeat.limits->has_all_customers, now);
  }
  if (server_limits_.Report(heartbeat.node, heartbeat.limits->servers, now)) {
    AnswerDeferred(/*all=*/true);
  }
}

auto control_service::ReportLoads(const entry_heartbeat& heartbeat) -> void {
  const auto now = clock_.Now();
  if (!heartbeat.loads) {
    loads_.Report(heartbeat.node, heartbeat.relay->loads, now);
    return;
  }
  // The positions are those of another list; the next report replaces this one.
  if (heartbeat.relay->server_list_number != Positions().list_number()) return;
  loads_.Report(heartbeat.node, DecodeWorks(Positions(), *heartbeat.loads),
                now);
  paces_.Record(DecodeAnswers(Positions(), *heartbeat.loads), now);
}

auto control_service::Positions() -> const server_positions& {
  if (positions_.list_number() != feed_.list().number) {
    positions_ = server_positions(feed_.list());
  }
  return positions_;
}

auto control_service::FleetLoads() -> const fleet_loads& {
  const auto now = clock_.Now();
  const auto& positions = Positions();
  if (!fleet_loads_ || now - fleet_loads_at_ >= kFleetLoadsMaxAgeMs ||
      fleet_loads_->list_number != positions.list_number()) {
    fleet_loads_ =
        EncodeFleetLoads(positions, loads_.Total(now), paces_.Paces(now));
    fleet_loads_at_ = now;
  }
  return *fleet_loads_;
}

auto control_service::LoadExchangePeriod() const -> monotonic_ms {
  return std::clamp(static_cast<monotonic_ms>(machine_.entries().size()) *
                        kLoadPeriodPerEntryMs,
                    kMinLoadPeriodMs, kHeartbeatDeferralMs);
}

auto control_service::HasStaleList(const entry_heartbeat& heartbeat) const
    -> bool {
  return heartbeat.relay && feed_.list().number != 0 &&
         heartbeat.relay->server_list_number != feed_.list().number;
}

auto control_service::TrackDemand(const entry_heartbeat& heartbeat) -> void {
  std::map<std::string, std::uint64_t> totals;
  for (const auto& [key, counts] :
       evidence_.CumulativeOf(heartbeat.node, heartbeat.incarnation)) {
    totals[key.version] += counts.requests;
  }
  for (const auto& [version, total] : totals) {
    demand_.Update(heartbeat.node, heartbeat.zone, version, total,
                   clock_.Now());
  }
}

auto control_service::RegisterIfNew(const entry_heartbeat& heartbeat) -> void {
  const register_node node{heartbeat.node, heartbeat.zone};
  const auto existing = machine_.entries().find(node.name);
  if (existing != machine_.entries().end() && existing->second == node) return;
  if (pending_registrations_[node.name]) return;
  pending_registrations_[node.name] = true;
  node_.Propose(Encode(control_command(node)),
                [this, name = node.name](const propose_result&) {
                  pending_registrations_.erase(name);
                  AnswerDeferred(/*all=*/false);
                });
}

auto control_service::RemoveNode(const std::string& name,
                                 std::function<void(propose_status)> done)
    -> void {
  node_.Propose(Encode(control_command(remove_node{name})),
                [done = std::move(done)](const propose_result& result) {
                  done(result.status);
                });
}

auto control_service::HandleCrashes(const entry_heartbeat& heartbeat) -> void {
  const auto now = clock_.Now();
  for (const auto& report : heartbeat.crashes) {
    log_line(log_level::kWarning, "server_crash_reported")
        .With("server", report.server)
        .With("entry", heartbeat.node)
        .With("report", report.report_id)
        .With("candidates", report.candidates.size());
    crashes_.ReportCrash(report, now);
  }
  std::vector<quarantine> lifted;
  for (const auto key : heartbeat.cleared_suspects) {
    crashes_.Clear(key, now);
    const auto& quarantines = machine_.view().quarantines;
    const auto in_force = std::find_if(
        quarantines.begin(), quarantines.end(),
        [&](const quarantine& item) { return item.fingerprint == key; });
    if (in_force != quarantines.end()) lifted.push_back(*in_force);
  }
  if (lifted.empty()) return;
  // What explains the crashes instead is quarantined first: the requests with
  // it must not be let through in between.
  QuarantineCrashers();
  for (const auto& item : lifted) {
    ProposeLift(item, "a request with it was answered");
  }
}

auto control_service::ProposeLift(const quarantine& item,
                                  const std::string& reason) -> void {
  if (!node_.HasLease()) return;
  ProposeAutomaticChange(
      "lift/" + ToHex(item.fingerprint) + "/" + std::to_string(item.until_ms),
      lift_quarantine{item.fingerprint}, reason);
}

auto control_service::QuarantineCrashers() -> void {
  const auto now = clock_.Now();
  const auto wall_ms = WallClockMs();
  std::set<crash_key> in_force;
  for (const auto& item : machine_.view().quarantines) {
    if (EvacuatedZone(item)) continue;
    if (item.until_ms > wall_ms) {
      in_force.insert(item.fingerprint);
    } else {
      ProposeLift(item, "its time has passed");
    }
  }
  crashes_.Expire(now);
  if (crashes_.crashes() == 0) return;
  for (const auto& finding : crashes_.Decide(
           in_force, kSuspectObservationMs + LoadExchangePeriod(), now)) {
    const auto key = ToHex(finding.candidate.key);
    const auto reason = "unanswered at " + std::to_string(finding.crashes) +
                        " crashes of servers; position " +
                        std::to_string(finding.candidate.specificity);
    ProposeAutomaticChange(
        "quarantine/" + key + "/" + std::to_string(wall_ms),
        set_quarantine{finding.candidate.key, kQuarantineDurationMs, reason},
        reason);
  }
}

auto control_service::Answer(const deferred_heartbeat& due) -> void {
  heartbeat_response response;
  response.is_leader = tracker_.has_value() && node_.HasLease();
  response.leader = node_.core().leader();
  response.revision = machine_.view().revision;
  if (due.heartbeat.wanted_update &&
      due.heartbeat.revision < response.revision) {
    if (parse_cold_limits_) updates_.SetColdLimits(ColdLimits());
    response.update_bytes = updates_.PartFor(
        machine_.view(), *due.heartbeat.wanted_update, clock_.Now());
  }
  if (due.heartbeat.relay) {
    response.relay.emplace();
    std::vector<std::string> replicas;
    for (const auto& member : node_.core().members().members) {
      replicas.push_back(member.name);
    }
    if (HashReplicas(replicas) != due.heartbeat.relay->replicas_hash) {
      response.relay->replicas = std::move(replicas);
    }
    if (response.is_leader) {
      if (HasStaleList(due.heartbeat)) {
        response.relay->servers =
            feed_.UpdateFrom(due.heartbeat.relay->server_list_number);
        response.cold_servers =
            ColdServers(response.relay->servers->servers, clock_.Now());
      }
      response.thresholds = thresholds_.Thresholds(due.heartbeat.confidences);
      if (!due.heartbeat.work.empty()) {
        response.heavy_shares = work_shares_.Shares(clock_.Now());
      }
      if (formats_.FormatOf(due.heartbeat.node).value_or(kFirstFormat) <
          kFleetLoadsFormat) {
        response.relay->loads =
            server_load_total::Busiest(loads_.Total(clock_.Now()));
      } else {
        response.loads = FleetLoads();
      }
      response.relay->suspects = crashes_.SharedSuspects();
      response.alternatives = crashes_.Alternatives();
      AddHelpers(due.heartbeat, *response.relay);
    }
  }
  const bool is_registered = machine_.entries().contains(due.heartbeat.node);
  // Only a leader with a valid lease knows that there is no newer revision.
  if (response.is_leader && node_.IsCurrent() && is_registered) {
    response.permit_ms = kPermitLifetimeMs;
    // The permit counts from now here, and at the entry from when it sent the
    // heartbeat. So the entry's permit ends first.
    tracker_->RecordHeartbeat(due.heartbeat.node, due.heartbeat.incarnation,
                              due.heartbeat.revision, clock_.Now());
  }
  response.registered_entries =
      static_cast<std::uint32_t>(machine_.entries().size());
  if (response.is_leader) {
    AddEvidence(due.heartbeat.node, response);
    response.live_entries = static_cast<std::uint32_t>(CountLiveEntries());
  }
  if (due.heartbeat.limits) AddLimits(due.heartbeat.node, response);
  due.reply(Encode(response));
}

auto control_service::CountLiveEntries() const -> std::size_t {
  const auto& entries = machine_.entries();
  return static_cast<std::size_t>(
      std::count_if(entries.begin(), entries.end(), [&](const auto& item) {
        return TimeSinceHeartbeat(item.first) < kEntryTimeoutMs;
      }));
}

auto control_service::AddHelpers(const entry_heartbeat& heartbeat,
                                 relay_update& update) const -> void {
  const auto now = clock_.Now();
  // A new leader has not heard of all entries yet.
  if (now - leading_since_ < helper_table::kReportMaxAgeMs) return;
  auto helpers = helpers_.HelpersFor(heartbeat.node, now);
  if (HashHelpers(helpers) != heartbeat.relay->helpers_hash) {
    update.helpers = std::move(helpers);
  }
}

auto control_service::AddLimits(const std::string& node,
                                heartbeat_response& response) -> void {
  auto& limits = response.limits.emplace();
  // A follower does not know which entries are alive.
  limits.servers = server_limits_.StatusesFor(
      node,
      response.is_leader ? response.live_entries : response.registered_entries,
      clock_.Now());
  if (!response.is_leader) return;
  limits.shares = limit_allocator_->SharesFor(node, kMaxSharesPerHeartbeat);
  limits.needs_all_customers = !limit_allocator_->HasReportedAll(node);
}

auto control_service::AddEvidence(const std::string& node,
                                  heartbeat_response& response) -> void {
  const auto now = clock_.Now();
  auto& pacer =
      evidence_pacers_
          .try_emplace(node, kEvidenceBytesPerSecond, kMinEvidenceIntervalMs)
          .first->second;
  if (!pacer.MaySend(now)) return;
  response.evidence = evidence_.Total();
  pacer.RecordSent(response.evidence.size() * kEvidenceRowBytes, now);
}

auto control_service::AnswerDeferred(bool all) -> void {
  const auto now = clock_.Now();
  const auto revision = machine_.view().revision;
  for (auto deferred = deferred_heartbeats_.begin();
       deferred != deferred_heartbeats_.end();) {
    const bool is_registered =
        machine_.entries().contains(deferred->heartbeat.node);
    const bool is_due = all || now >= deferred->deadline || !is_registered ||
                        deferred->heartbeat.revision != revision;
    if (!is_due) {
      ++deferred;
      continue;
    }
    auto due = std::move(*deferred);
    deferred = deferred_heartbeats_.erase(deferred);
    Answer(due);
  }
}

auto control_service::ScheduleTick() -> void {
  timer_.expires_after(kServiceTickPeriod);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) return;
    Tick();
    ScheduleTick();
  });
}

auto control_service::Tick() -> void {
  TrackLeadership();
  updates_.Observe(machine_.view());
  const bool has_new_revision = answered_revision_ != machine_.view().revision;
  answered_revision_ = machine_.view().revision;
  AnswerDeferred(/*all=*/has_new_revision || !tracker_);
  TrackServiceRollouts();
  if (!tracker_) return;
  QuarantineCrashers();
  EvaluateRollouts();
  EvaluateServiceRollouts();
  SendEngineOrders();
  AllocateLimits();
  RaiseFleetFormat();
}

auto control_service::AllocateLimits() -> void {
  const auto now = clock_.Now();
  if (!node_.IsCurrent() || now - allocated_at_ < kAllocationPeriodMs) return;
  allocated_at_ = now;
  std::map<std::string, double> rates;
  for (const auto& item : ParsedCatalog()->customers) {
    if (item.rate_per_s > 0) rates[item.name] = item.rate_per_s;
  }
  std::vector<std::string> names;
  for (const auto& [name, node] : machine_.entries()) names.push_back(name);
  limit_allocator_->Allocate(rates, names, now);
}

auto control_service::OrderAuthority() const -> order_authority {
  // A new leader first waits until every order of an earlier leader has been
  // answered or has timed out.
  if (!tracker_ || clock_.Now() - leading_since_ < 2 * kOrderTimeoutMs) {
    return {};
  }
  return {node_.LeaseRemainingMs(), node_.core().term()};
}

auto control_service::SendEngineOrders() -> void {
  const auto now = clock_.Now();
  if (!node_.IsCurrent() || now - last_orders_at_ < kOrderPeriodMs ||
      OrderAuthority().lease_remaining_ms <= kOrderTimeoutMs) {
    return;
  }
  last_orders_at_ = now;
  const auto config = ParsedCatalog();
  orders_.Run(config, machine_.view(), demand_.Demand(*config, now));
}

auto control_service::TrackLeadership() -> void {
  const bool leads = node_.core().role() == replica_role::kLeader;
  if (leads && !tracker_) {
    leading_since_ = clock_.Now();
    tracker_.emplace(leading_since_);
    limit_allocator_.emplace(leading_since_);
  }
  if (!leads && tracker_) {
    tracker_.reset();
    limit_allocator_.reset();
    requests_at_stage_start_.clear();
    crashes_ = {};
    cold_grants_ = {};
  }
}

auto control_service::PropagationStatusOf(config_revision revision) const
    -> propagation_status {
  if (!tracker_) return {revision, machine_.entries().size(), 0, 0, {"leader"}};
  const auto* record = machine_.RecordOfRevision(revision);
  const bool permit_gated = record != nullptr && record->permit_gated;
  auto status = tracker_->StatusOf(revision, permit_gated, machine_.entries(),
                                   clock_.Now());
  // An entry that restarts in an isolated zone reads its configuration from the
  // zone's control replica, so that replica must have stored the revision too.
  // A permit-gated change does not need this: it concerns versions that need a
  // permit, which an isolated replica cannot give.
  if (record == nullptr || permit_gated) return status;
  for (const auto& member : node_.core().members().members) {
    if (!member.voter || node_.core().MatchIndex(member.name) < record->index) {
      status.waiting_for.push_back(member.name);
    }
  }
  return status;
}

auto control_service::TimeSinceHeartbeat(const std::string& node) const
    -> monotonic_ms {
  return tracker_ ? tracker_->TimeSinceHeartbeat(node, clock_.Now()) : 0;
}

auto control_service::SubmitChange(
    const change& proposed, std::function<void(const change_outcome&)> done)
    -> void {
  if (!node_.HasLease()) {
    done({propose_status::kNotLeader, {}});
    return;
  }
  log_line(log_level::kInfo, "change_proposed")
      .With("change_id", proposed.change_id)
      .With("author", proposed.author)
      .With("expected_revision", proposed.expected_revision)
      .With("action", DescribeAction(proposed.action));
  node_.Propose(
      Encode(control_command(proposed)),
      [this, proposed, done = std::move(done)](const propose_result& proposal) {
        change_outcome outcome{proposal.status, {}};
        if (proposal.status == propose_status::kCommitted) {
          outcome.result = Decode<change_result>(proposal.result);
        }
        log_line(log_level::kInfo, "change_decided")
            .With("change_id", proposed.change_id)
            .With("committed", proposal.status == propose_status::kCommitted)
            .With("applied", outcome.result.status == change_status::kApplied)
            .With("revision", outcome.result.revision)
            .With("message", outcome.result.message);
        done(outcome);
        AnswerDeferred(/*all=*/false);
      });
}

auto control_service::ServedVersions(const std::string& service) const
    -> std::set<std::string> {
  std::set<std::string> versions;
  for (const auto& server : feed_.list().servers) {
    if (server.service == service && !server.leaving) {
      versions.insert(server.version);
    }
  }
  return versions;
}

auto control_service::OrderServiceRollout(
    const begin_service_rollout& order,
    std::function<void(const change_outcome&)> done) -> void {
  if (!node_.HasLease()) {
    done({propose_status::kNotLeader, {}});
    return;
  }
  const auto now_ms = WallClockMs();
  const auto identity = IdentifyOrder(
      {"service_rollout/" + order.service + "/" + order.target + "/begin",
       ContentHash(order), now_ms},
      machine_.history(), settings_.order_resend.count());
  const auto* latest = machine_.view().RolloutOf(order.service);
  const bool is_replaced = latest != nullptr && latest->target != order.target;
  const bool is_pending = services_with_pending_order_.contains(order.service);
  if (is_pending || (identity.may_be_copy && is_replaced)) {
    // If it is a copy, carrying it out would undo a later order; if it is a new
    // order, it is recognized as one when it is sent again after a while.
    log_line(log_level::kInfo, "rollout_order_unclear")
        .With("service", order.service)
        .With("target", order.target)
        .With("pending", is_pending);
    done({propose_status::kUnknown, {}});
    return;
  }
  rollout_order_plan plan;
  if (!identity.may_be_copy) {
    plan =
        PlanRolloutOrder(order, machine_.view(), ServedVersions(order.service));
  }
  const auto propose = [&](const std::string& id, change_action action,
                           std::function<void(const change_outcome&)> decided) {
    SubmitChange({id, kAnyRevision, "operator", now_ms, std::move(action)},
                 std::move(decided));
  };
  std::size_t part = 0;
  const auto propose_parts = [&](std::vector<change_action>& actions) {
    for (auto& action : actions) {
      propose(identity.change_id + "/part/" + std::to_string(++part),
              std::move(action), [](const change_outcome&) {});
    }
  };
  services_with_pending_order_.insert(order.service);
  propose_parts(plan.before);
  propose(identity.change_id, order,
          [this, service = order.service,
           done = std::move(done)](const change_outcome& outcome) {
            services_with_pending_order_.erase(service);
            done(outcome);
          });
  propose_parts(plan.after);
}

auto control_service::EvacuationState(const std::string& zone) const
    -> evacuation_state {
  evacuation_state state;
  state.is_server_list_read = feed_.list().number != 0;
  state.evacuated = EvacuatedZones(machine_.view().quarantines);
  state.is_pending = zones_with_pending_order_.contains(zone);
  for (const auto& server : feed_.list().servers) {
    state.known_zones.insert(server.zone);
  }
  for (const auto& [name, entry] : machine_.entries()) {
    state.known_zones.insert(entry.zone);
    // One that has sent nothing to this leader may be gone for good.
    if (formats_.FormatOf(name).value_or(kEvacuationFormat) <
        kEvacuationFormat) {
      state.entries_without_support.insert(name);
    }
  }
  return state;
}

auto control_service::JudgeEvacuation(const evacuation_order& order) const
    -> evacuation_decision {
  return DecideEvacuation(order, EvacuationState(order.zone),
                          machine_.history(), WallClockMs(),
                          settings_.order_resend.count());
}

auto control_service::OrderEvacuation(
    const evacuation_order& order,
    std::function<void(const change_outcome&)> done) -> void {
  if (!node_.HasLease()) {
    done({propose_status::kNotLeader, {}});
    return;
  }
  const auto decision = JudgeEvacuation(order);
  if (decision.verdict != evacuation_verdict::kPropose) {
    log_line(log_level::kInfo, "evacuation_order_unclear")
        .With("zone", order.zone)
        .With("evacuates", order.evacuates)
        .With("reason", decision.reason);
    done({propose_status::kUnknown, {}});
    return;
  }
  zones_with_pending_order_.insert(order.zone);
  SubmitChange({decision.change_id, kAnyRevision, "operator", WallClockMs(),
                decision.action},
               [this, zone = order.zone,
                done = std::move(done)](const change_outcome& outcome) {
                 zones_with_pending_order_.erase(zone);
                 done(outcome);
               });
}

auto control_service::ProposeAutomaticChange(const std::string& change_id,
                                             change_action action,
                                             const std::string& reason)
    -> void {
  if (machine_.FindRecord(change_id) != nullptr) return;
  log_line(log_level::kInfo, "rollout_decision")
      .With("action", DescribeAction(action))
      .With("reason", reason);
  SubmitChange({change_id, kAnyRevision, settings_.name, WallClockMs(),
                std::move(action)},
               [](const change_outcome&) {});
}

auto control_service::ParsedCatalog() -> std::shared_ptr<const catalog> {
  const auto hash = Hash64(machine_.view().document);
  if (parsed_document_hash_ != hash) {
    parsed_catalog_ = std::make_shared<const catalog>(
        machine_.view().document.empty()
            ? catalog{}
            : ParseCatalog(machine_.view().document));
    parsed_document_hash_ = hash;
  }
  return parsed_catalog_;
}

auto control_service::EvaluateRollouts() -> void {
  if (!node_.IsCurrent()) return;
  // Copied since a decision may modify the list.
  const auto versions = machine_.view().versions;
  for (const auto& status : versions) {
    if (status.phase == version_phase::kRollout) EvaluateVersion(status);
  }
}

auto control_service::TrackServiceRollouts() -> void {
  using phase = service_rollout_phase;
  const auto& view = machine_.view();
  for (const auto& rollout : view.service_rollouts) {
    if (&rollout != view.RolloutOf(rollout.service)) continue;
    auto& seen = seen_rollouts_[rollout.service];
    const bool has_begun_again =
        rollout.phase == phase::kWaiting && seen.phase != phase::kWaiting;
    if (seen.target != rollout.target || has_begun_again) {
      seen = {rollout.target, rollout.phase, clock_.Now()};
    }
    seen.phase = rollout.phase;
  }
}

auto control_service::EvaluateServiceRollouts() -> void {
  if (!node_.IsCurrent()) return;
  // Copied since a decision may modify the list.
  const auto rollouts = machine_.view().service_rollouts;
  std::set<std::string> running;
  for (const auto& rollout : rollouts) {
    if (rollout.IsRunning()) running.insert(rollout.service);
  }
  answers_.KeepOnly(running);
  if (running.empty()) return;
  const auto now = clock_.Now();
  const bool is_ranks_log_due =
      now - answer_ranks_logged_at_ >= kAnswerRanksLogPeriodMs;
  if (is_ranks_log_due) answer_ranks_logged_at_ = now;
  for (const auto& rollout : rollouts) {
    if (!rollout.IsRunning() ||
        services_with_pending_order_.contains(rollout.service)) {
      continue;
    }
    // What the target's servers answered in an earlier roll-out says nothing of
    // this one.
    if (rollout.phase == service_rollout_phase::kWaiting) {
      answers_.Forget(rollout.service, rollout.target);
    }
    auto& seen = seen_rollouts_[rollout.service];
    service_rollout_observations observations;
    observations.answers = answers_.Total();
    observations.elapsed_ms = clock_.Now() - seen.since;
    for (const auto& server : feed_.list().servers) {
      if (server.service != rollout.service || server.leaving ||
          IsReverted(rollouts, server.service, server.version)) {
        continue;
      }
      ++(server.version == rollout.target ? observations.target_servers
                                          : observations.former_servers);
    }
    seen.had_former_servers |= observations.former_servers > 0;
    observations.had_former_servers = seen.had_former_servers;
    const auto decision =
        JudgeServiceRollout(rollout, observations, service_rollout_limits_);
    if (is_ranks_log_due || decision) {
      log_line(log_level::kInfo, "rollout_answers")
          .With("service", rollout.service)
          .With("target", rollout.target)
          .With("phase", PhaseName(rollout.phase))
          .With("elapsed_ms", observations.elapsed_ms)
          .With("ranks", DescribeRanks(rollout, observations.answers,
                                       service_rollout_limits_));
    }
    if (!decision) continue;
    // With the revision, as a version may be rolled out more than once.
    ProposeAutomaticChange(
        "service_rollout/" + rollout.service + "/" + rollout.target + "/" +
            PhaseName(decision->phase) + "/" +
            std::to_string(machine_.view().revision),
        move_service_rollout{rollout.service, rollout.target, decision->phase,
                             decision->share, decision->reason},
        decision->reason);
  }
}

auto control_service::JoinLoop(boost::asio::yield_context yield) -> void {
  while (!stopped_) {
    Pause(context_.get_executor(), kJoinPeriod, yield);
    // A replica that is already a member is contacted by its leader.
    if (stopped_ || !node_.core().leader().empty()) continue;
    for (const auto& seed : settings_.seeds) {
      if (seed != settings_.name) RequestMembership(seed, yield);
      if (stopped_ || !node_.core().leader().empty()) break;
    }
  }
}

auto control_service::JoinChannel(const std::string& name) -> rpc_channel* {
  const auto address = AddressOfReplica(name, settings_.rpc_port);
  if (!address) return nullptr;
  auto& channel = join_channels_[name];
  if (!channel) channel = std::make_unique<rpc_channel>(context_, *address);
  return channel.get();
}

auto control_service::RequestMembership(const std::string& name,
                                        boost::asio::yield_context yield)
    -> void {
  const auto request = Encode(control_request(
      join_request{settings_.name, node_.core().incarnation()}));
  auto* channel = JoinChannel(name);
  if (channel == nullptr) return;
  try {
    const auto leader =
        Decode<join_response>(channel->Call(request, kJoinTimeout, yield))
            .leader;
    const bool is_other_leader =
        !leader.empty() && leader != name && leader != settings_.name;
    auto* to_leader = is_other_leader ? JoinChannel(leader) : nullptr;
    if (to_leader != nullptr) to_leader->Call(request, kJoinTimeout, yield);
  } catch (const std::exception& error) {
    log_line(log_level::kDebug, "join_request_failed")
        .With("replica", name)
        .With("reason", error.what());
  }
}

auto control_service::EvaluateVersion(const version_status& status) -> void {
  const auto parsed = ParsedCatalog();
  const auto& config = *parsed;
  const auto id = config.FindVersion(status.version);
  if (!id) return;
  guard_input input;
  input.candidate = evidence_.TotalFor(status.version);
  input.baseline = BaselineEvidence(config, machine_.view(), status.version,
                                    evidence_.Total());
  input.expected_quality = config.versions[*id].expected_quality;
  input.stage = status.stage;
  std::uint64_t requests = 0;
  for (const auto& [key, counts] : input.candidate) requests += counts.requests;
  auto& start = requests_at_stage_start_[status.version];
  if (start.first != status.stage) start = {status.stage, requests};
  input.requests_at_stage_start = std::min(start.second, requests);

  const auto decision = JudgeRollout(input, guard_options_);
  const auto change_id = "rollout/" + status.version + "/" +
                         std::to_string(machine_.view().revision);
  if (decision.verdict == guard_verdict::kWithdraw) {
    ProposeAutomaticChange(
        change_id,
        withdraw_version{
            status.version,
            DefaultSuccessor(config, machine_.view(), status.version),
            decision.reason},
        decision.reason);
  } else if (decision.verdict == guard_verdict::kAdvance && !status.paused) {
    ProposeAutomaticChange(change_id,
                           advance_rollout{status.version, status.stage + 1},
                           decision.reason);
  }
}

}  // namespace lovagedale
