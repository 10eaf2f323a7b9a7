#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/replication/messages.h"

namespace lovagedale {

struct replication_options {
  monotonic_ms heartbeat_ms = 60;
  /// A voter starts an election when it has received no message from a leader
  /// for a random time between these two. For election_min_ms after each such
  /// message it grants no vote.
  monotonic_ms election_min_ms = 300;
  monotonic_ms election_max_ms = 600;
  /// Duration of the leader lease: election_min_ms less the tolerated clock
  /// drift.
  monotonic_ms lease_ms = 270;
  std::size_t max_append_bytes = 1UL << 20U;
  /// Entries that stay in the log after a snapshot, so that replicas that lag
  /// by no more than this need no snapshot.
  std::size_t kept_entries = 1'000;
  /// Number of voters that the leader aims for, spread over the zones: learners
  /// are promoted while fewer voters than this respond. 0: every learner is
  /// promoted.
  std::size_t target_voters = 0;
  std::string zone;  ///< availability zone of this replica
  /// A voter that has not responded for this long may be replaced by a learner.
  monotonic_ms voter_timeout_ms = 2'500;
  /// A learner that has not responded for this long is removed.
  monotonic_ms learner_timeout_ms = 10'000;

  auto operator==(const replication_options&) const -> bool = default;
};

enum class replica_role { kFollower, kCandidate, kLeader };

/// What the driver must do after a step, in this order: store, send, apply.
/// The members before `messages` must be synced before a message is sent.
struct replica_output {
  std::optional<hard_state> hard;
  std::optional<log_snapshot> installed_snapshot;
  /// Stored entries from this index on are removed before `appended` is added.
  std::optional<log_index> truncate_from;
  std::vector<log_entry> appended;
  std::vector<replica_envelope> messages;
  std::vector<log_entry> committed;

  auto NeedsSync() const -> bool {
    return hard || installed_snapshot || truncate_from || !appended.empty();
  }
};

/// A replica of a majority log: leader election with pre-vote, a leader lease,
/// replication, snapshots and one-at-a-time membership changes. Pure logic: it
/// does no I/O and reads no clock; `now` never steps backwards.
///
/// The log is the one of the Raft paper (Ongaro and Ousterhout, 2014). A
/// member that answers under a new incarnation lost its disk: the leader first
/// takes its vote away, then lets it catch up, then gives it a vote again.
class replica_core {
 public:
  /// `stored` is the state read from disk. If its snapshot has no members, the
  /// replica is empty and waits until a leader contacts it.
  replica_core(std::string name, stored_state stored,
               replication_options options, std::uint64_t seed,
               monotonic_ms now);

  auto Tick(monotonic_ms now) -> void;
  auto Receive(const replica_envelope& envelope, monotonic_ms now) -> void;
  /// Appends a command; returns its index, or nothing if not the leader.
  auto Propose(std::string command, monotonic_ms now)
      -> std::optional<log_index>;
  /// Leader: adds a replica, or a new incarnation of one, as a learner. Does
  /// nothing on other replicas or while another membership change is pending.
  auto AddLearner(const std::string& name, incarnation_id incarnation,
                  monotonic_ms now) -> void;
  /// Leader: gives up the lease for the rest of the term and asks the voter
  /// with the highest match index to take over. Used before a planned stop.
  auto TransferLeadership(monotonic_ms now) -> void;
  /// Gives up leadership or a candidacy at once; used when nothing more can be
  /// stored.
  auto StepDown(monotonic_ms now) -> void;
  /// Records that the machine's state up to `index` is in a snapshot, drops
  /// older entries and returns the snapshot to store. `index` must have been
  /// returned as committed.
  auto Compact(log_index index, std::string state) -> log_snapshot;
  /// Returns the output accumulated since the last call.
  auto TakeOutput() -> replica_output;

  auto role() const -> replica_role { return role_; }
  auto term() const -> term_number { return hard_.term; }
  auto leader() const -> const std::string& { return leader_; }
  auto commit_index() const -> log_index { return commit_index_; }
  auto last_index() const -> log_index;
  auto members() const -> const member_set& { return members_; }
  auto snapshot() const -> const log_snapshot& { return snapshot_; }
  auto hard() const -> const hard_state& { return hard_; }
  auto incarnation() const -> incarnation_id { return incarnation_; }
  /// Entries after `index` that are still in the log.
  auto EntriesAfter(log_index index) const -> std::vector<log_entry>;
  /// Monotonic time in ms at which the leader's lease ends; no other leader can
  /// exist before then. 0 if not the leader, if no entry of this term is
  /// committed yet, or during a leadership transfer.
  auto LeaseUntil() const -> monotonic_ms;
  /// Leader: index of the last entry that a member has acknowledged as synced.
  auto MatchIndex(const std::string& member) const -> log_index;

 private:
  struct peer_progress {
    log_index next = 1;
    log_index match = 0;
    monotonic_ms acked_sent_at = -1;  // Send time of the latest acked request.
    monotonic_ms last_sent_at = -1;
    bool snapshot_sent = false;
  };

  auto Handle(const replica_envelope& envelope, const vote_request& request,
              monotonic_ms now) -> void;
  auto Handle(const replica_envelope& envelope, const vote_response& response,
              monotonic_ms now) -> void;
  auto Handle(const replica_envelope& envelope, const append_request& request,
              monotonic_ms now) -> void;
  auto Handle(const replica_envelope& envelope, const append_response& response,
              monotonic_ms now) -> void;
  auto Handle(const replica_envelope& envelope, const install_request& request,
              monotonic_ms now) -> void;
  auto Handle(const replica_envelope& envelope, const transfer_request& body,
              monotonic_ms now) -> void;

  auto BecomeFollower(term_number term, std::string leader, monotonic_ms now)
      -> void;
  auto StartElection(bool pre_vote, bool transfer, monotonic_ms now) -> void;
  auto BecomeLeader(monotonic_ms now) -> void;
  auto HasWonVote() const -> bool;
  /// Follows the sender of a leader's message and returns true; rejects a
  /// message of an earlier term and returns false.
  auto FollowLeader(const std::string& leader, term_number term,
                    monotonic_ms sent_at, monotonic_ms now) -> bool;
  auto RecordLeaderContact(const std::string& leader, monotonic_ms now) -> void;
  auto ResetElectionTimer(monotonic_ms now) -> void;
  auto HasQuorumContact(monotonic_ms now) const -> bool;
  auto SendAppends(bool heartbeat, monotonic_ms now) -> void;
  auto SendAppendTo(const std::string& peer, bool heartbeat, monotonic_ms now)
      -> void;
  auto AdvanceCommit() -> void;
  auto CommitTo(log_index index) -> void;
  /// Demotes a member that responds under a new incarnation to a learner.
  auto ReconcileMember(const replica_envelope& envelope) -> void;
  auto PromoteLearners() -> void;
  /// Number of voters that responded within voter_timeout_ms, in total and by
  /// zone.
  auto ResponsiveVoterCount() const -> std::size_t;
  auto VotersByZone() const -> std::map<std::string, std::size_t>;
  auto ZoneOf(const std::string& member) const -> std::string;
  /// The learner whose promotion spreads the voters best over the zones; null
  /// if none should be promoted.
  auto LearnerToPromote() const -> const replica_member*;
  /// Time in ms since the leader sent the latest request that the member has
  /// acknowledged, or since this leader's start if that is later.
  auto TimeSinceAck(const std::string& member) const -> monotonic_ms;
  /// Removes a learner, or a voter beyond target_voters, that does not respond.
  /// If all respond, demotes a voter beyond target_voters.
  auto PruneMembers() -> void;
  /// Whether this replica may propose a membership change: it is the leader, is
  /// not handing over, and has committed the previous change and its first
  /// entry of this term.
  auto MayChangeMembers() const -> bool;
  auto ProposeMembers(const member_set& members) -> void;
  auto AppendAsLeader(entry_kind kind, std::string payload) -> log_index;
  auto AppendEntry(const log_entry& entry) -> void;
  auto TruncateFrom(log_index index) -> void;
  auto RecomputeMembers() -> void;
  auto MembersAt(log_index index) const -> member_set;
  auto TermAt(log_index index) const -> std::optional<term_number>;
  auto EntryAt(log_index index) const -> const log_entry&;
  auto SetHardState(term_number term, std::string voted_for) -> void;
  auto Send(const std::string& to, replica_message message) -> void;
  auto IsVoter() const -> bool { return members_.IsVoter(name_, incarnation_); }

  std::string name_;
  incarnation_id incarnation_;
  replication_options options_;
  std::mt19937_64 random_;

  hard_state hard_;
  log_snapshot snapshot_;  // Latest; sent to replicas that lag behind it.
  log_index first_log_index_ = 1;
  term_number term_before_log_ = 0;
  std::deque<log_entry> log_;
  member_set members_;
  log_index members_index_ = 0;  // Entry or snapshot that members_ is from.
  log_index commit_index_ = 0;

  replica_role role_ = replica_role::kFollower;
  std::string leader_;
  monotonic_ms last_leader_contact_;
  monotonic_ms election_due_at_ = 0;
  monotonic_ms heartbeat_due_at_ = 0;
  bool collecting_pre_votes_ = false;
  bool transfer_election_ = false;
  bool transferring_ = false;
  monotonic_ms transfer_started_at_ = 0;
  std::set<std::string> votes_;
  std::map<std::string, peer_progress> peers_;
  /// From received messages.
  std::map<std::string, std::string> zones_by_member_;
  monotonic_ms leader_since_ = 0;
  log_index leader_start_index_ = 0;  // No-op entry of this leader's start.
  monotonic_ms now_ = 0;              // Time of the latest step.

  replica_output output_;
};

}  // namespace lovagedale
