#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lovagedale/common/hash.h"
#include "lovagedale/replication/errors.h"
#include "lovagedale/replication/replica_core.h"

namespace lovagedale::testing {

/// Faults injected into the simulation to show that the checks detect them.
enum class injected_fault {
  kNone,
  kDiskForgetsSyncs,      ///< a crash undoes the disk's latest sync
  kLostDiskKeepsIdentity  ///< a replica with a lost disk keeps its vote
};

/// Replicas on a virtual clock, an in-memory network and in-memory disks, with
/// the invariants of the log checked after every step.
class replica_cluster {
 public:
  replica_cluster(std::size_t size, std::uint64_t seed,
                  injected_fault fault = injected_fault::kNone)
      : replica_cluster(size, size, {}, seed, fault) {}

  /// The first `founders` replicas form the group; the others start empty and
  /// become members through JoinAll.
  replica_cluster(std::size_t size, std::size_t founders,
                  std::vector<std::string> zones, std::uint64_t seed,
                  injected_fault fault = injected_fault::kNone)
      : random_(seed), fault_(fault), zones_(std::move(zones)), nodes_(size) {
    member_set members;
    for (std::size_t i = 0; i < founders; ++i) {
      members.members.push_back({Name(i), 1, true});
    }
    for (std::size_t i = 0; i < size; ++i) {
      auto& disk = nodes_[i].disk;
      disk.incarnation = i < founders ? 1 : ++last_incarnation_;
      if (i < founders) disk.snapshot.members = members;
    }
    for (std::size_t i = 0; i < size; ++i) Start(i);
  }

  /// Each replica without a leader sends a join request to every other one, as
  /// control replicas do.
  auto JoinAll() -> void {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].core || !nodes_[i].core->leader().empty()) continue;
      for (std::size_t j = 0; j < nodes_.size(); ++j) {
        if (i == j || !nodes_[j].core || cut_links_.contains(Link(i, j)))
          continue;
        nodes_[j].core->AddLearner(Name(i), nodes_[i].disk.incarnation, now_);
        Process(j);
      }
    }
  }

  auto Run(monotonic_ms duration) -> void {
    for (const auto end = now_ + duration; now_ < end; now_ += kStepMs) {
      DeliverDue();
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i].core) continue;
        nodes_[i].core->Tick(now_);
        Process(i);
      }
      CheckLeases();
    }
  }

  auto Start(std::size_t i) -> void {
    auto& node = nodes_[i];
    if (node.core) return;
    auto node_options = options();
    if (!zones_.empty()) {
      node_options.zone = zones_[i];
      node_options.target_voters = target_voters_;
    }
    node.core.emplace(Name(i), node.disk, node_options, random_(), now_);
    node.state = node.disk.snapshot.state;
    node.applied = node.disk.snapshot.index;
  }

  auto Crash(std::size_t i) -> void {
    auto& node = nodes_[i];
    node.core.reset();
    if (fault_ == injected_fault::kDiskForgetsSyncs)
      node.disk = node.disk_before_last_sync;
  }

  /// Crashes the replica and undoes its disk's latest sync, whose entries it
  /// had acknowledged.
  auto CrashLosingLastSync(std::size_t i) -> void {
    Crash(i);
    nodes_[i].disk = nodes_[i].disk_before_last_sync;
  }

  /// The replica loses its disk and restarts with an empty one.
  auto LoseDisk(std::size_t i) -> void {
    Crash(i);
    auto& node = nodes_[i];
    const auto members = node.disk.snapshot.members;
    node.disk = stored_state{};
    node.disk.incarnation = ++last_incarnation_;
    if (fault_ == injected_fault::kLostDiskKeepsIdentity) {
      node.disk.incarnation = 1;
      node.disk.snapshot.members = members;
    }
    node.disk_before_last_sync = node.disk;
    Start(i);
  }

  auto SetTargetVoters(std::size_t count) -> void { target_voters_ = count; }

  /// Drops all messages between the two replicas, in both directions.
  auto CutLink(std::size_t a, std::size_t b) -> void {
    cut_links_.insert(Link(a, b));
  }
  auto Isolate(std::size_t a) -> void {
    for (std::size_t b = 0; b < nodes_.size(); ++b) {
      if (a != b) CutLink(a, b);
    }
  }
  auto HealLinks() -> void { cut_links_.clear(); }
  auto SetLoss(double fraction) -> void { message_loss_ = fraction; }

  auto Propose(std::size_t i, const std::string& command)
      -> std::optional<log_index> {
    if (!nodes_[i].core) return std::nullopt;
    const auto index = nodes_[i].core->Propose(command, now_);
    Process(i);
    return index;
  }

  auto Transfer(std::size_t i) -> void {
    if (!nodes_[i].core) return;
    nodes_[i].core->TransferLeadership(now_);
    Process(i);
  }

  auto Compact(std::size_t i) -> void {
    auto& node = nodes_[i];
    if (!node.core || node.applied == node.core->snapshot().index) return;
    const auto snapshot = node.core->Compact(node.applied, node.state);
    node.disk.snapshot = snapshot;
    node.disk.entries = node.core->EntriesAfter(snapshot.index);
  }

  auto Leader() const -> std::optional<std::size_t> {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].core && nodes_[i].core->LeaseUntil() > now_) return i;
    }
    return std::nullopt;
  }

  /// Whether every replica has a vote under the incarnation of its present disk
  /// and the leader has committed this, as `status` shows after a repair.
  auto IsRepairComplete() const -> bool {
    const auto leader = Leader();
    if (!leader) return false;
    const auto& core = *nodes_[*leader].core;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!core.members().IsVoter(Name(i), nodes_[i].disk.incarnation)) {
        return false;
      }
    }
    return core.commit_index() == core.last_index();
  }

  auto HealEverything() -> void {
    HealLinks();
    message_loss_ = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
  }

  auto HaveConverged() const -> bool {
    for (const auto& node : nodes_) {
      if (!node.core || node.applied != nodes_[0].applied ||
          node.state != nodes_[0].state) {
        return false;
      }
    }
    return true;
  }

  auto core(std::size_t i) const -> const replica_core& {
    return *nodes_[i].core;
  }
  auto IsUp(std::size_t i) const -> bool { return nodes_[i].core.has_value(); }
  auto size() const -> std::size_t { return nodes_.size(); }
  auto now() const -> monotonic_ms { return now_; }
  auto committed() const -> const std::map<log_index, log_entry>& {
    return committed_;
  }
  /// Description of the first violated invariant; empty if there is none.
  auto violation() const -> const std::string& { return violation_; }

  static auto Name(std::size_t i) -> std::string {
    return "r" + std::to_string(i);
  }

  static auto options() -> replication_options {
    replication_options value;
    value.kept_entries = 5;
    return value;
  }

 private:
  static constexpr monotonic_ms kStepMs = 10;
  static constexpr monotonic_ms kMaxDelayMs = 40;

  struct node_state {
    std::optional<replica_core> core;
    stored_state disk;
    stored_state disk_before_last_sync;
    std::string state;
    log_index applied = 0;
  };
  struct in_flight_message {
    monotonic_ms due = 0;
    std::size_t from = 0;
    replica_envelope envelope;
  };

  static auto Link(std::size_t a, std::size_t b)
      -> std::pair<std::size_t, std::size_t> {
    return {std::min(a, b), std::max(a, b)};
  }

  auto Process(std::size_t i) -> void {
    auto& node = nodes_[i];
    const auto output = node.core->TakeOutput();
    if (output.NeedsSync()) Persist(node, output);
    for (const auto& envelope : output.messages) Send(i, envelope);
    if (output.installed_snapshot) {
      node.state = output.installed_snapshot->state;
      node.applied = output.installed_snapshot->index;
      CheckState(node);
    }
    for (const auto& entry : output.committed) Apply(node, entry);
  }

  auto Persist(node_state& node, const replica_output& output) -> void {
    node.disk_before_last_sync = node.disk;
    auto& disk = node.disk;
    if (output.hard) disk.hard = *output.hard;
    if (output.installed_snapshot) {
      disk.snapshot = *output.installed_snapshot;
      disk.entries.clear();
    }
    if (output.truncate_from) {
      std::erase_if(disk.entries, [&](const auto& entry) {
        return entry.index >= *output.truncate_from;
      });
    }
    disk.entries.insert(disk.entries.end(), output.appended.begin(),
                        output.appended.end());
  }

  auto Send(std::size_t from, const replica_envelope& envelope) -> void {
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < message_loss_) return;
    std::uniform_int_distribution<monotonic_ms> delay(1, kMaxDelayMs);
    network_.push_back({now_ + delay(random_), from, envelope});
    // With the same probability the network duplicates a message.
    if (chance(random_) < message_loss_) {
      network_.push_back({now_ + delay(random_), from, envelope});
    }
  }

  auto DeliverDue() -> void {
    auto waiting = std::move(network_);
    network_.clear();
    for (auto& message : waiting) {
      if (message.due > now_) {
        network_.push_back(std::move(message));
        continue;
      }
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (Name(i) != message.envelope.to || !nodes_[i].core ||
            cut_links_.contains(Link(i, message.from))) {
          continue;
        }
        try {
          nodes_[i].core->Receive(message.envelope, now_);
        } catch (const storage_error& error) {
          RecordViolation(error.what());
          nodes_[i].core.reset();
          continue;
        }
        Process(i);
      }
    }
  }

  auto Apply(node_state& node, const log_entry& entry) -> void {
    const auto [recorded, is_new] = committed_.emplace(entry.index, entry);
    if (!is_new && recorded->second != entry) {
      RecordViolation("two entries committed at index " +
                      std::to_string(entry.index));
    }
    if (entry.index != node.applied + 1)
      RecordViolation("an entry was skipped");
    node.applied = entry.index;
    node.state = ToHex(HashFields(node.state, entry.payload));
    CheckState(node);
  }

  auto CheckState(const node_state& node) -> void {
    const auto [recorded, is_new] = states_.emplace(node.applied, node.state);
    if (!is_new && recorded->second != node.state) {
      RecordViolation("states differ at index " + std::to_string(node.applied));
    }
  }

  auto CheckLeases() -> void {
    std::size_t lease_holders = 0;
    for (const auto& node : nodes_) {
      if (!node.core) continue;
      if (node.core->LeaseUntil() > now_) ++lease_holders;
      if (node.core->role() != replica_role::kLeader) continue;
      const auto [recorded, is_new] =
          leaders_.emplace(node.core->term(), node.core->leader());
      if (!is_new && recorded->second != node.core->leader()) {
        RecordViolation("two leaders in term " +
                        std::to_string(node.core->term()));
      }
    }
    if (lease_holders > 1) RecordViolation("two leases at once");
  }

  auto RecordViolation(const std::string& what) -> void {
    if (violation_.empty()) violation_ = what;
  }

  std::mt19937_64 random_;
  injected_fault fault_;
  std::vector<std::string> zones_;
  std::size_t target_voters_ = 3;
  monotonic_ms now_ = 1'000;
  double message_loss_ = 0;
  incarnation_id last_incarnation_ = 1;
  std::vector<node_state> nodes_;
  std::deque<in_flight_message> network_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  std::map<log_index, log_entry> committed_;
  std::map<log_index, std::string> states_;
  std::map<term_number, std::string> leaders_;
  std::string violation_;
};

}  // namespace lovagedale::testing
