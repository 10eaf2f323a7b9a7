#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/replication/log_store.h"
#include "lovagedale/replication/replica_core.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// A deterministic state machine that executes the replicated commands. `Apply`
/// must depend only on the machine's state and the entry. `RequiredFormat` is
/// the oldest format whose builds understand the machine's state and commands.
template <typename T>
concept replicated_machine = requires(T& machine, const log_entry& entry,
                                      const std::string& state) {
  { machine.Apply(entry) } -> std::same_as<std::string>;
  { machine.TakeSnapshot() } -> std::same_as<std::string>;
  { machine.Restore(state) } -> std::same_as<void>;
  { machine.RequiredFormat() } -> std::same_as<format_number>;
};

enum class propose_status {
  kCommitted,  ///< committed and applied; `result` is what Apply returned
  kNotLeader,  ///< not executed; may be proposed to the leader
  kUnknown,    ///< leadership was lost; it may still be committed
};

struct propose_result {
  propose_status status = propose_status::kNotLeader;
  std::string result;
};

using propose_callback = std::function<void(const propose_result&)>;

/// Returns the address of a member that was added at run time, or nothing if
/// its name contains none.
using resolve_member =
    std::function<std::optional<process_address>(const std::string& name)>;

/// Drives a replica_core with a timer, a store and RPC channels to its peers.
/// Runs on one thread, the control thread. While the disk fails, the replica
/// does not lead, sends nothing and ignores what it receives; it goes on once
/// its last output is stored.
template <replicated_machine Machine, durable_disk Disk = posix_disk>
class replica_node {
 public:
  /// `peers` are the other replicas. `store` and `machine` outlive the node.
  /// `wrap` encodes an envelope into this process's RPC message.
  replica_node(boost::asio::io_context& context, std::string name,
               const std::vector<process_address>& peers,
               replication_options options, basic_log_store<Disk>& store,
               Machine& machine,
               std::function<std::string(const replica_envelope&)> wrap,
               resolve_member resolve = {});

  auto Start() -> void;
  auto Stop() -> void;
  auto Receive(const replica_envelope& envelope) -> void;
  /// Replicates a command; `done` is called once, on this thread. Commands
  /// proposed by handlers of the same event loop pass share one disk sync.
  auto Propose(std::string command, propose_callback done) -> void;
  /// On the leader: adds a replica, or a new incarnation of one, as a learner.
  auto AddLearner(const std::string& name, incarnation_id incarnation) -> void;
  /// On the leader: hands leadership to another voter before a planned stop.
  auto TransferLeadership() -> void;

  auto core() const -> const replica_core& { return core_; }
  /// Whether this replica is the leader and its lease is valid.
  auto HasLease() const -> bool { return LeaseRemainingMs() > 0; }
  auto LeaseRemainingMs() const -> monotonic_ms;
  /// Whether the lease is valid and every committed entry is applied. Reads
  /// that must see the latest committed state check this first.
  auto IsCurrent() const -> bool;
  /// How long the disk has failed; 0 if it does not.
  auto StorageFailingMs() const -> monotonic_ms;

 private:
  struct pending_proposal {
    term_number term;
    propose_callback done;
  };

  auto ScheduleTick() -> void;
  auto ChannelTo(const std::string& member) -> rpc_channel*;
  auto ScheduleFlush() -> void;
  auto Flush() -> void;
  /// Stores the output; false if the disk fails.
  auto Store(const replica_output& output) -> bool;
  /// Stops taking part until `output` is stored.
  auto Suspend(replica_output output) -> void;
  auto RetryStorage() -> void;
  /// Sends and applies what has been stored.
  auto Execute(const replica_output& output) -> void;
  auto LogRole() -> void;
  auto ApplyCommitted(const std::vector<log_entry>& entries) -> void;
  auto FailLostProposals() -> void;
  auto MaybeCompact() -> void;
  /// Marks the data folder if the machine needs a later format than before.
  auto MarkRequiredFormat() -> void;

  boost::asio::io_context& context_;
  basic_log_store<Disk>& store_;
  Machine& machine_;
  std::function<std::string(const replica_envelope&)> wrap_;
  resolve_member resolve_;
  system_monotonic_clock clock_;
  replica_core core_;
  std::map<std::string, std::unique_ptr<rpc_channel>> peers_;
  std::map<log_index, pending_proposal> pending_proposals_;
  boost::asio::steady_timer timer_;
  log_index applied_index_ = 0;
  std::size_t bytes_since_snapshot_ = 0;
  /// Present while the disk fails: what is to be stored next.
  std::optional<replica_output> unstored_;
  std::string storage_failure_;  ///< the latest
  monotonic_ms storage_failed_at_ = 0;
  monotonic_ms storage_retry_at_ = 0;
  /// When a snapshot that could not be stored is tried again.
  std::optional<monotonic_ms> snapshot_retry_at_;
  /// When marking the data folder is tried again after it failed.
  monotonic_ms mark_retry_at_ = 0;
  replica_role logged_role_ = replica_role::kFollower;
  bool flush_scheduled_ = false;
  bool stopped_ = false;
};

}  // namespace lovagedale

#include "lovagedale/replication/replica_node-inl.h"
