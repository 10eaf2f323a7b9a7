#pragma once

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/replication/errors.h"
#include "lovagedale/replication/replica_node.h"

namespace lovagedale {

inline constexpr std::chrono::milliseconds kReplicaTickPeriod{15};
/// A snapshot is taken after this many entries or payload bytes.
inline constexpr log_index kSnapshotEveryEntries = 10'000;
inline constexpr std::size_t kSnapshotEveryBytes = 16UL << 20U;
/// Interval between attempts to store while the disk fails.
inline constexpr monotonic_ms kStorageRetryMs = 200;
/// A snapshot is larger than the entries of the log, which may still have room.
inline constexpr monotonic_ms kSnapshotRetryMs = 5'000;

inline auto RoleName(replica_role role) -> const char* {
  switch (role) {
    case replica_role::kFollower:
      return "follower";
    case replica_role::kCandidate:
      return "candidate";
    case replica_role::kLeader:
      return "leader";
  }
  return "unknown";
}

template <replicated_machine Machine, durable_disk Disk>
replica_node<Machine, Disk>::replica_node(
    boost::asio::io_context& context, std::string name,
    const std::vector<process_address>& peers, replication_options options,
    basic_log_store<Disk>& store, Machine& machine,
    std::function<std::string(const replica_envelope&)> wrap,
    resolve_member resolve)
    : context_(context),
      store_(store),
      machine_(machine),
      wrap_(std::move(wrap)),
      resolve_(std::move(resolve)),
      core_(name, store.recovered(), options,
            HashFields(name) ^ store.recovered().incarnation, clock_.Now()),
      timer_(context),
      applied_index_(store.recovered().snapshot.index) {
  if (!store.recovered().snapshot.state.empty()) {
    machine_.Restore(store.recovered().snapshot.state);
  }
  for (const auto& peer : peers) {
    if (peer.name == name) continue;
    peers_.emplace(peer.name, std::make_unique<rpc_channel>(context, peer));
  }
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::Start() -> void {
  ScheduleTick();
  ScheduleFlush();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::Stop() -> void {
  stopped_ = true;
  timer_.cancel();
  for (auto& [name, channel] : peers_) channel->Close();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::ScheduleTick() -> void {
  timer_.expires_after(kReplicaTickPeriod);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) return;
    if (unstored_) {
      RetryStorage();
    } else {
      core_.Tick(clock_.Now());
      Flush();
    }
    ScheduleTick();
  });
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::Receive(const replica_envelope& envelope)
    -> void {
  if (stopped_ || unstored_) return;
  core_.Receive(envelope, clock_.Now());
  ScheduleFlush();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::Propose(std::string command,
                                          propose_callback done) -> void {
  const auto index = core_.Propose(std::move(command), clock_.Now());
  if (!index) {
    done({propose_status::kNotLeader, ""});
    return;
  }
  pending_proposals_[*index] = {core_.term(), std::move(done)};
  ScheduleFlush();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::AddLearner(const std::string& name,
                                             incarnation_id incarnation)
    -> void {
  core_.AddLearner(name, incarnation, clock_.Now());
  ScheduleFlush();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::ChannelTo(const std::string& member)
    -> rpc_channel* {
  const auto existing = peers_.find(member);
  if (existing != peers_.end()) return existing->second.get();
  if (!resolve_) return nullptr;
  const auto address = resolve_(member);
  if (!address) return nullptr;
  return peers_
      .emplace(member, std::make_unique<rpc_channel>(context_, *address))
      .first->second.get();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::TransferLeadership() -> void {
  core_.TransferLeadership(clock_.Now());
  Flush();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::LeaseRemainingMs() const -> monotonic_ms {
  return core_.LeaseUntil() - clock_.Now();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::IsCurrent() const -> bool {
  return HasLease() && applied_index_ == core_.commit_index();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::ScheduleFlush() -> void {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  // Deferred until the handlers that are ready now have run, so that their
  // entries share one sync.
  boost::asio::post(context_, [this] {
    flush_scheduled_ = false;
    if (!stopped_) Flush();
  });
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::Flush() -> void {
  if (unstored_) return;
  auto output = core_.TakeOutput();
  if (output.NeedsSync() && !Store(output)) {
    Suspend(std::move(output));
    return;
  }
  Execute(output);
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::Store(const replica_output& output) -> bool {
  try {
    store_.Persist(output);
    return true;
  } catch (const storage_error& error) {
    storage_failure_ = error.what();
    return false;
  }
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::Suspend(replica_output output) -> void {
  const auto now = clock_.Now();
  storage_failed_at_ = now;
  storage_retry_at_ = now + kStorageRetryMs;
  // The messages must not be sent before the output is stored, and are outdated
  // by then.
  output.messages.clear();
  unstored_ = std::move(output);
  core_.StepDown(now);
  log_line(log_level::kError, "storage_failed")
      .With("reason", storage_failure_)
      .With("last_index", core_.last_index());
  LogRole();
  FailLostProposals();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::RetryStorage() -> void {
  const auto now = clock_.Now();
  if (now < storage_retry_at_) return;
  storage_retry_at_ = now + kStorageRetryMs;
  if (!Store(*unstored_)) return;
  const auto output = *std::exchange(unstored_, std::nullopt);
  log_line(log_level::kInfo, "storage_recovered")
      .With("after_ms", now - storage_failed_at_);
  Execute(output);
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::StorageFailingMs() const -> monotonic_ms {
  if (!unstored_) return 0;
  return std::max<monotonic_ms>(1, clock_.Now() - storage_failed_at_);
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::Execute(const replica_output& output)
    -> void {
  if (output.installed_snapshot) {
    machine_.Restore(output.installed_snapshot->state);
    applied_index_ = output.installed_snapshot->index;
    log_line(log_level::kInfo, "snapshot_installed")
        .With("index", applied_index_);
  }
  for (const auto& envelope : output.messages) {
    if (auto* peer = ChannelTo(envelope.to)) peer->SendOneWay(wrap_(envelope));
  }
  ApplyCommitted(output.committed);
  if (core_.role() != replica_role::kLeader) FailLostProposals();
  LogRole();
  MarkRequiredFormat();
  MaybeCompact();
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::MarkRequiredFormat() -> void {
  const auto format = machine_.RequiredFormat();
  if (format <= store_.required_format() || clock_.Now() < mark_retry_at_) {
    return;
  }
  try {
    store_.RequireFormat(format);
  } catch (const storage_error& error) {
    mark_retry_at_ = clock_.Now() + kSnapshotRetryMs;
    log_line(log_level::kError, "folder_format_not_stored")
        .With("format", format)
        .With("reason", error.what());
    return;
  }
  log_line(log_level::kInfo, "folder_format_raised").With("format", format);
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::LogRole() -> void {
  if (core_.role() == logged_role_) return;
  logged_role_ = core_.role();
  log_line(log_level::kInfo, "replica_role")
      .With("role", RoleName(logged_role_))
      .With("term", core_.term())
      .With("leader", core_.leader())
      .With("last_index", core_.last_index());
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::ApplyCommitted(
    const std::vector<log_entry>& entries) -> void {
  for (const auto& entry : entries) {
    std::string result;
    if (entry.kind == entry_kind::kCommand) result = machine_.Apply(entry);
    applied_index_ = entry.index;
    bytes_since_snapshot_ += entry.payload.size();
    const auto found = pending_proposals_.find(entry.index);
    if (found == pending_proposals_.end()) continue;
    auto proposal = std::move(found->second);
    pending_proposals_.erase(found);
    // If another leader's entry took this index, the command was not committed.
    const bool is_ours = proposal.term == entry.term;
    proposal.done(
        {is_ours ? propose_status::kCommitted : propose_status::kNotLeader,
         std::move(result)});
  }
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::FailLostProposals() -> void {
  auto lost = std::move(pending_proposals_);
  pending_proposals_.clear();
  for (auto& [index, proposal] : lost) {
    proposal.done({propose_status::kUnknown, ""});
  }
}

template <replicated_machine Machine, durable_disk Disk>
auto replica_node<Machine, Disk>::MaybeCompact() -> void {
  const auto entries = applied_index_ - core_.snapshot().index;
  const bool is_due = entries >= kSnapshotEveryEntries ||
                      bytes_since_snapshot_ >= kSnapshotEveryBytes;
  if (snapshot_retry_at_) {
    if (clock_.Now() < *snapshot_retry_at_) return;
  } else if (!is_due || entries == 0) {
    return;
  }
  bytes_since_snapshot_ = 0;
  snapshot_retry_at_.reset();
  const auto snapshot = core_.Compact(applied_index_, machine_.TakeSnapshot());
  try {
    store_.SaveSnapshot(snapshot, core_.hard(),
                        core_.EntriesAfter(applied_index_));
  } catch (const storage_error& error) {
    snapshot_retry_at_ = clock_.Now() + kSnapshotRetryMs;
    log_line(log_level::kError, "snapshot_failed")
        .With("index", snapshot.index)
        .With("reason", error.what());
    return;
  }
  log_line(log_level::kInfo, "snapshot_saved")
      .With("index", snapshot.index)
      .With("bytes", snapshot.state.size());
}

}  // namespace lovagedale
