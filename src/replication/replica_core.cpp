// Elections, leases and timers of replica_core; its log is in replica_log.cpp.

#include "lovagedale/replication/replica_core.h"

#include <algorithm>
#include <cassert>

namespace lovagedale {

replica_core::replica_core(std::string name, stored_state stored,
                           replication_options options, std::uint64_t seed,
                           monotonic_ms now)
    : name_(std::move(name)),
      incarnation_(stored.incarnation),
      options_(options),
      random_(seed),
      hard_(std::move(stored.hard)),
      snapshot_(std::move(stored.snapshot)),
      first_log_index_(snapshot_.index + 1),
      term_before_log_(snapshot_.term),
      log_(stored.entries.begin(), stored.entries.end()),
      commit_index_(snapshot_.index),
      // A restarted replica does not know when it last received a leader's
      // message, and that leader's lease may still be valid. It counts the
      // start as that time, so it grants no vote for election_min_ms.
      last_leader_contact_(now),
      now_(now) {
  RecomputeMembers();
  ResetElectionTimer(now);
}

auto replica_core::Send(const std::string& to, replica_message message)
    -> void {
  output_.messages.push_back(
      {name_, incarnation_, options_.zone, to, std::move(message)});
}

auto replica_core::SetHardState(term_number term, std::string voted_for)
    -> void {
  hard_ = {term, std::move(voted_for)};
  output_.hard = hard_;
}

auto replica_core::ResetElectionTimer(monotonic_ms now) -> void {
  std::uniform_int_distribution<monotonic_ms> delay(options_.election_min_ms,
                                                    options_.election_max_ms);
  election_due_at_ = now + delay(random_);
}

auto replica_core::RecordLeaderContact(const std::string& leader,
                                       monotonic_ms now) -> void {
  leader_ = leader;
  last_leader_contact_ = now;
  ResetElectionTimer(now);
}

auto replica_core::BecomeFollower(term_number term, std::string leader,
                                  monotonic_ms now) -> void {
  if (term > hard_.term) SetHardState(term, "");
  role_ = replica_role::kFollower;
  leader_ = std::move(leader);
  collecting_pre_votes_ = false;
  transferring_ = false;
  votes_.clear();
  ResetElectionTimer(now);
}

auto replica_core::Tick(monotonic_ms now) -> void {
  now_ = now;
  if (role_ == replica_role::kLeader) {
    const bool has_transfer_timed_out =
        transferring_ && now - transfer_started_at_ >= options_.election_min_ms;
    if (has_transfer_timed_out || !HasQuorumContact(now)) {
      // The leader cannot reach a majority, or the transfer target did not
      // take over. It steps down so that callers do not wait for it; it cannot
      // get a lease again in this term.
      BecomeFollower(hard_.term, "", now);
      return;
    }
    PruneMembers();
    if (now >= heartbeat_due_at_) SendAppends(/*heartbeat=*/true, now);
    return;
  }
  if (now < election_due_at_) return;
  if (IsVoter()) {
    StartElection(/*pre_vote=*/true, /*transfer=*/false, now);
  } else {
    // The leader has failed or has removed this learner.
    leader_.clear();
  }
}

auto replica_core::HasQuorumContact(monotonic_ms now) const -> bool {
  if (now - leader_since_ < options_.election_max_ms) return true;
  std::size_t reached = 0;
  for (const auto& member : members_.members) {
    if (!member.voter) continue;
    const auto peer = peers_.find(member.name);
    const bool is_self = member.name == name_;
    if (is_self ||
        (peer != peers_.end() &&
         peer->second.acked_sent_at >= now - options_.election_max_ms)) {
      ++reached;
    }
  }
  return reached >= members_.Majority();
}

auto replica_core::StartElection(bool pre_vote, bool transfer, monotonic_ms now)
    -> void {
  role_ = replica_role::kCandidate;
  leader_.clear();
  collecting_pre_votes_ = pre_vote;
  transfer_election_ = transfer;
  votes_ = {name_};
  // The election timeout has passed already, so a retry may follow soon. The
  // random delay keeps two candidates from colliding again.
  const auto max_delay =
      pre_vote ? options_.election_min_ms / 2 : options_.election_min_ms;
  std::uniform_int_distribution<monotonic_ms> delay(
      std::min(options_.heartbeat_ms, max_delay), max_delay);
  election_due_at_ = now + delay(random_);
  if (!pre_vote) SetHardState(hard_.term + 1, name_);
  const auto term = pre_vote ? hard_.term + 1 : hard_.term;
  for (const auto& member : members_.members) {
    if (!member.voter || member.name == name_) continue;
    Send(member.name, vote_request{term, last_index(), *TermAt(last_index()),
                                   pre_vote, transfer});
  }
  if (!HasWonVote()) return;
  if (pre_vote) {
    StartElection(/*pre_vote=*/false, transfer, now);
  } else {
    BecomeLeader(now);
  }
}

auto replica_core::HasWonVote() const -> bool {
  return IsVoter() && votes_.size() >= members_.Majority();
}

auto replica_core::BecomeLeader(monotonic_ms now) -> void {
  role_ = replica_role::kLeader;
  leader_ = name_;
  leader_since_ = now;
  transferring_ = false;
  peers_.clear();
  for (const auto& member : members_.members) {
    if (member.name != name_) peers_[member.name].next = last_index() + 1;
  }
  leader_start_index_ = AppendAsLeader(entry_kind::kNoOp, "");
  SendAppends(/*heartbeat=*/true, now);
}

auto replica_core::Receive(const replica_envelope& envelope, monotonic_ms now)
    -> void {
  if (envelope.to != name_) return;
  now_ = now;
  zones_by_member_[envelope.from] = envelope.from_zone;
  std::visit([&](const auto& message) { Handle(envelope, message, now); },
             envelope.message);
}

auto replica_core::Handle(const replica_envelope& envelope,
                          const vote_request& request, monotonic_ms now)
    -> void {
  const auto last_term = *TermAt(last_index());
  const bool is_log_up_to_date =
      request.last_term > last_term ||
      (request.last_term == last_term && request.last_index >= last_index());
  // The leader lease depends on this: for election_min_ms after the leader's
  // last message no vote is granted, in any term, unless the leader itself
  // requested the transfer.
  const bool is_leader_live =
      !request.transfer &&
      (role_ == replica_role::kLeader ||
       now - last_leader_contact_ < options_.election_min_ms);
  if (request.pre_vote) {
    const bool granted =
        request.term > hard_.term && is_log_up_to_date && !is_leader_live;
    Send(envelope.from,
         vote_response{granted ? request.term : hard_.term, granted,
                       /*pre_vote=*/true});
    return;
  }
  if (is_leader_live) {
    Send(envelope.from, vote_response{hard_.term, false, false});
    return;
  }
  if (request.term > hard_.term) BecomeFollower(request.term, "", now);
  const bool may_vote_for_sender =
      hard_.voted_for.empty() || hard_.voted_for == envelope.from;
  const bool granted =
      request.term == hard_.term && is_log_up_to_date && may_vote_for_sender;
  if (granted && hard_.voted_for.empty()) {
    SetHardState(hard_.term, envelope.from);
    ResetElectionTimer(now);
  }
  Send(envelope.from, vote_response{hard_.term, granted, false});
}

auto replica_core::Handle(const replica_envelope& envelope,
                          const vote_response& response, monotonic_ms now)
    -> void {
  if (!response.granted && response.term > hard_.term) {
    BecomeFollower(response.term, "", now);
    return;
  }
  if (role_ != replica_role::kCandidate || !response.granted ||
      response.pre_vote != collecting_pre_votes_) {
    return;
  }
  const auto expected_term = response.pre_vote ? hard_.term + 1 : hard_.term;
  if (response.term != expected_term) return;
  if (!members_.IsVoter(envelope.from, envelope.from_incarnation)) return;
  votes_.insert(envelope.from);
  if (!HasWonVote()) return;
  if (collecting_pre_votes_) {
    StartElection(/*pre_vote=*/false, transfer_election_, now);
  } else {
    BecomeLeader(now);
  }
}

auto replica_core::Handle(const replica_envelope& envelope,
                          const transfer_request& body, monotonic_ms now)
    -> void {
  if (body.term != hard_.term || envelope.from != leader_ || !IsVoter()) return;
  StartElection(/*pre_vote=*/false, /*transfer=*/true, now);
}

auto replica_core::TransferLeadership(monotonic_ms now) -> void {
  if (role_ != replica_role::kLeader || transferring_) return;
  const replica_member* best = nullptr;
  for (const auto& member : members_.members) {
    if (!member.voter || member.name == name_) continue;
    if (best == nullptr || MatchIndex(member.name) > MatchIndex(best->name)) {
      best = &member;
    }
  }
  if (best == nullptr) return;
  transferring_ = true;
  transfer_started_at_ = now;
  SendAppendTo(best->name, /*heartbeat=*/true, now);
  Send(best->name, transfer_request{hard_.term});
}

auto replica_core::StepDown(monotonic_ms now) -> void {
  BecomeFollower(hard_.term, "", now);
}

auto replica_core::LeaseUntil() const -> monotonic_ms {
  if (role_ != replica_role::kLeader || transferring_ ||
      commit_index_ < leader_start_index_) {
    return 0;
  }
  std::vector<monotonic_ms> ack_times;
  bool is_self_voter = false;
  for (const auto& member : members_.members) {
    if (!member.voter) continue;
    if (member.name == name_) {
      is_self_voter = true;
      continue;
    }
    const auto peer = peers_.find(member.name);
    ack_times.push_back(peer == peers_.end() ? -1 : peer->second.acked_sent_at);
  }
  const auto needed = members_.Majority() - (is_self_voter ? 1 : 0);
  // A sole voter's lease in effect never ends.
  if (needed == 0) return leader_since_ + (1LL << 40U);
  if (ack_times.size() < needed) return 0;
  std::sort(ack_times.begin(), ack_times.end(), std::greater<>());
  const auto quorum_ack_time = ack_times[needed - 1];
  return quorum_ack_time < 0 ? 0 : quorum_ack_time + options_.lease_ms;
}

auto replica_core::TakeOutput() -> replica_output {
  if (role_ == replica_role::kLeader && !output_.appended.empty()) {
    for (const auto& member : members_.members) {
      if (member.name == name_) continue;
      SendAppendTo(member.name, /*heartbeat=*/false, now_);
    }
  }
  auto output = std::move(output_);
  output_ = {};
  return output;
}

}  // namespace lovagedale
