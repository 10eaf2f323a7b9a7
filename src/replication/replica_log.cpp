// The log of replica_core: appending, replicating, committing, snapshots and
// membership. Elections and leases are in replica_core.cpp.

#include <algorithm>
#include <cassert>

#include "lovagedale/common/codec.h"
#include "lovagedale/replication/errors.h"
#include "lovagedale/replication/replica_core.h"

namespace lovagedale {

auto replica_core::last_index() const -> log_index {
  return first_log_index_ + log_.size() - 1;
}

auto replica_core::EntryAt(log_index index) const -> const log_entry& {
  assert(index >= first_log_index_ && index <= last_index());
  return log_[index - first_log_index_];
}

auto replica_core::TermAt(log_index index) const -> std::optional<term_number> {
  if (index + 1 == first_log_index_) return term_before_log_;
  if (index < first_log_index_ || index > last_index()) return std::nullopt;
  return EntryAt(index).term;
}

auto replica_core::EntriesAfter(log_index index) const
    -> std::vector<log_entry> {
  std::vector<log_entry> entries;
  for (auto i = std::max(index + 1, first_log_index_); i <= last_index(); ++i) {
    entries.push_back(EntryAt(i));
  }
  return entries;
}

auto replica_core::MatchIndex(const std::string& member) const -> log_index {
  if (member == name_) return last_index();
  const auto found = peers_.find(member);
  return found == peers_.end() ? 0 : found->second.match;
}

auto replica_core::FollowLeader(const std::string& leader, term_number term,
                                monotonic_ms sent_at, monotonic_ms now)
    -> bool {
  if (term < hard_.term) {
    Send(leader, append_response{hard_.term, false, last_index(), sent_at});
    return false;
  }
  if (term > hard_.term || role_ != replica_role::kFollower) {
    BecomeFollower(term, leader, now);
  }
  RecordLeaderContact(leader, now);
  return true;
}

auto replica_core::Handle(const replica_envelope& envelope,
                          const append_request& request, monotonic_ms now)
    -> void {
  if (!FollowLeader(envelope.from, request.term, request.sent_at, now)) return;
  if (request.prev_index < commit_index_ &&
      request.prev_index + 1 < first_log_index_) {
    // The entry before the request's was compacted, so its term is unknown.
    // Entries up to the commit index always match the leader's log; the leader
    // resumes after them.
    Send(envelope.from,
         append_response{hard_.term, false, commit_index_, request.sent_at});
    return;
  }
  if (TermAt(request.prev_index) != request.prev_term) {
    const auto resume = std::min(
        last_index(), request.prev_index == 0 ? 0 : request.prev_index - 1);
    Send(envelope.from,
         append_response{hard_.term, false, std::max(resume, commit_index_),
                         request.sent_at});
    return;
  }
  for (const auto& entry : request.entries) {
    const auto existing_term = TermAt(entry.index);
    if (existing_term == entry.term) continue;
    if (existing_term) TruncateFrom(entry.index);
    AppendEntry(entry);
  }
  const auto match = request.prev_index + request.entries.size();
  CommitTo(std::min(request.commit, match));
  Send(envelope.from,
       append_response{hard_.term, true, match, request.sent_at});
}

auto replica_core::Handle(const replica_envelope& envelope,
                          const install_request& request, monotonic_ms now)
    -> void {
  if (!FollowLeader(envelope.from, request.term, request.sent_at, now)) return;
  if (request.snapshot.index > commit_index_) {
    snapshot_ = request.snapshot;
    log_.clear();
    first_log_index_ = snapshot_.index + 1;
    term_before_log_ = snapshot_.term;
    commit_index_ = snapshot_.index;
    RecomputeMembers();
    output_.installed_snapshot = snapshot_;
    output_.truncate_from.reset();
    output_.appended.clear();
    output_.committed.clear();
  }
  Send(envelope.from,
       append_response{hard_.term, true, commit_index_, request.sent_at});
}

auto replica_core::Handle(const replica_envelope& envelope,
                          const append_response& response, monotonic_ms now)
    -> void {
  if (response.term > hard_.term) {
    BecomeFollower(response.term, "", now);
    return;
  }
  if (role_ != replica_role::kLeader || response.term < hard_.term) return;
  const auto* member = members_.Find(envelope.from);
  if (member == nullptr || member->incarnation != envelope.from_incarnation) {
    ReconcileMember(envelope);
    return;
  }
  auto& peer = peers_[envelope.from];
  peer.acked_sent_at = std::max(peer.acked_sent_at, response.sent_at);
  if (response.success) {
    peer.snapshot_sent = false;
    peer.match = std::max(peer.match, response.match_index);
    peer.next = std::max(peer.next, peer.match + 1);
    AdvanceCommit();
    PromoteLearners();
  } else {
    // This may be below `match` if the replica's disk lost entries that it had
    // acknowledged; those are sent again.
    peer.next = response.match_index + 1;
  }
  if (peer.next <= last_index()) {
    SendAppendTo(envelope.from, /*heartbeat=*/false, now);
  }
}

auto replica_core::MayChangeMembers() const -> bool {
  return role_ == replica_role::kLeader && !transferring_ &&
         commit_index_ >= members_index_ &&
         commit_index_ >= leader_start_index_;
}

auto replica_core::ReconcileMember(const replica_envelope& envelope) -> void {
  // A replica that is not a member joins by request or is added by operators
  // (see AddLearner).
  if (members_.Find(envelope.from) == nullptr || !MayChangeMembers()) return;
  peers_[envelope.from] = peer_progress{};
  ProposeMembers(members_.With(
      {envelope.from, envelope.from_incarnation, /*voter=*/false}));
}

auto replica_core::AddLearner(const std::string& name,
                              incarnation_id incarnation, monotonic_ms now)
    -> void {
  const auto* existing = members_.Find(name);
  if (existing != nullptr && existing->incarnation == incarnation) return;
  if (!MayChangeMembers() || name == name_) return;
  now_ = now;
  peers_[name] = peer_progress{};
  peers_[name].acked_sent_at = now;
  ProposeMembers(members_.With({name, incarnation, /*voter=*/false}));
}

auto replica_core::TimeSinceAck(const std::string& member) const
    -> monotonic_ms {
  if (member == name_) return 0;
  const auto peer = peers_.find(member);
  const auto last_ack = peer == peers_.end() ? -1 : peer->second.acked_sent_at;
  return now_ - std::max(last_ack, leader_since_);
}

auto replica_core::ResponsiveVoterCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      members_.members.begin(), members_.members.end(),
      [&](const auto& member) {
        return member.voter &&
               TimeSinceAck(member.name) < options_.voter_timeout_ms;
      }));
}

auto replica_core::ZoneOf(const std::string& member) const -> std::string {
  if (member == name_) return options_.zone;
  const auto zone = zones_by_member_.find(member);
  return zone == zones_by_member_.end() ? "" : zone->second;
}

auto replica_core::VotersByZone() const -> std::map<std::string, std::size_t> {
  std::map<std::string, std::size_t> voters;
  for (const auto& member : members_.members) {
    if (member.voter && TimeSinceAck(member.name) < options_.voter_timeout_ms) {
      ++voters[ZoneOf(member.name)];
    }
  }
  return voters;
}

auto replica_core::PruneMembers() -> void {
  if (options_.target_voters == 0 || !MayChangeMembers()) return;
  const auto is_unresponsive = [&](const replica_member& member) {
    return TimeSinceAck(member.name) >= (member.voter
                                             ? options_.voter_timeout_ms
                                             : options_.learner_timeout_ms);
  };
  const bool has_surplus = members_.VoterCount() > options_.target_voters;
  for (const auto& member : members_.members) {
    if (!is_unresponsive(member) || (member.voter && !has_surplus)) continue;
    ProposeMembers(members_.Without(member.name));
    return;
  }
  if (!has_surplus) return;
  // All members respond: demote a voter of the zone with the most voters.
  const auto voters = VotersByZone();
  const replica_member* to_demote = nullptr;
  for (const auto& member : members_.members) {
    if (!member.voter || member.name == name_) continue;
    if (to_demote == nullptr ||
        voters.at(ZoneOf(member.name)) > voters.at(ZoneOf(to_demote->name))) {
      to_demote = &member;
    }
  }
  if (to_demote == nullptr) return;
  ProposeMembers(members_.With(
      {to_demote->name, to_demote->incarnation, /*voter=*/false}));
}

auto replica_core::LearnerToPromote() const -> const replica_member* {
  const auto voters = VotersByZone();
  const auto voters_in = [&](const replica_member& member) {
    const auto found = voters.find(ZoneOf(member.name));
    return found == voters.end() ? 0 : found->second;
  };
  const replica_member* best = nullptr;
  for (const auto& member : members_.members) {
    if (member.voter || MatchIndex(member.name) < commit_index_) continue;
    if (TimeSinceAck(member.name) >= options_.voter_timeout_ms) continue;
    if (best == nullptr || voters_in(member) < voters_in(*best)) best = &member;
  }
  if (best == nullptr || options_.target_voters == 0) return best;
  if (ResponsiveVoterCount() < options_.target_voters) return best;
  // There are enough voters, but a zone may have at least two more than this
  // learner's zone.
  std::size_t most = 0;
  for (const auto& [zone, count] : voters) most = std::max(most, count);
  return voters_in(*best) + 1 < most ? best : nullptr;
}

auto replica_core::PromoteLearners() -> void {
  if (!MayChangeMembers()) return;
  const auto* learner = LearnerToPromote();
  if (learner == nullptr) return;
  ProposeMembers(
      members_.With({learner->name, learner->incarnation, /*voter=*/true}));
}

auto replica_core::ProposeMembers(const member_set& members) -> void {
  AppendAsLeader(entry_kind::kMembers, Encode(members));
}

auto replica_core::Propose(std::string command, monotonic_ms now)
    -> std::optional<log_index> {
  if (role_ != replica_role::kLeader || transferring_) return std::nullopt;
  now_ = now;
  return AppendAsLeader(entry_kind::kCommand, std::move(command));
}

auto replica_core::AppendAsLeader(entry_kind kind, std::string payload)
    -> log_index {
  AppendEntry({last_index() + 1, hard_.term, kind, std::move(payload)});
  AdvanceCommit();
  return last_index();
}

auto replica_core::AppendEntry(const log_entry& entry) -> void {
  assert(entry.index == last_index() + 1);
  log_.push_back(entry);
  output_.appended.push_back(entry);
  if (entry.kind == entry_kind::kMembers) {
    members_ = Decode<member_set>(entry.payload);
    members_index_ = entry.index;
  }
}

auto replica_core::TruncateFrom(log_index index) -> void {
  if (index <= commit_index_) {
    throw storage_error(
        "entry " + std::to_string(index) +
        " is committed here and differs from the leader's: a disk of the group "
        "has lost what it had synced");
  }
  log_.resize(index - first_log_index_);
  std::erase_if(output_.appended,
                [&](const auto& entry) { return entry.index >= index; });
  output_.truncate_from =
      std::min(output_.truncate_from.value_or(index), index);
  if (members_index_ >= index) RecomputeMembers();
}

auto replica_core::MembersAt(log_index index) const -> member_set {
  for (auto i = std::min(index, last_index()); i >= first_log_index_; --i) {
    const auto& entry = EntryAt(i);
    if (entry.kind == entry_kind::kMembers) {
      return Decode<member_set>(entry.payload);
    }
  }
  return snapshot_.members;
}

auto replica_core::RecomputeMembers() -> void {
  members_index_ = snapshot_.index;
  members_ = snapshot_.members;
  for (auto i = last_index(); i >= first_log_index_ && i > snapshot_.index;
       --i) {
    const auto& entry = EntryAt(i);
    if (entry.kind != entry_kind::kMembers) continue;
    members_ = Decode<member_set>(entry.payload);
    members_index_ = i;
    return;
  }
}

auto replica_core::AdvanceCommit() -> void {
  if (role_ != replica_role::kLeader) return;
  std::vector<log_index> matches;
  for (const auto& member : members_.members) {
    if (member.voter) matches.push_back(MatchIndex(member.name));
  }
  const auto majority = members_.Majority();
  if (matches.size() < majority) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const auto candidate = matches[majority - 1];
  // Only entries of this term are committed by counting acknowledgements; that
  // commits the entries before them too (Raft, section 5.4.2).
  if (candidate > commit_index_ && TermAt(candidate) == hard_.term) {
    CommitTo(candidate);
  }
}

auto replica_core::CommitTo(log_index index) -> void {
  while (commit_index_ < index) {
    ++commit_index_;
    output_.committed.push_back(EntryAt(commit_index_));
  }
}

auto replica_core::SendAppends(bool heartbeat, monotonic_ms now) -> void {
  if (heartbeat) heartbeat_due_at_ = now + options_.heartbeat_ms;
  for (const auto& member : members_.members) {
    if (member.name == name_) continue;
    SendAppendTo(member.name, heartbeat, now);
  }
}

auto replica_core::SendAppendTo(const std::string& peer_name, bool heartbeat,
                                monotonic_ms now) -> void {
  auto& peer = peers_[peer_name];
  const auto prev_term = TermAt(peer.next - 1);
  if (!prev_term) {
    if (peer.snapshot_sent && !heartbeat) return;
    // Resent at most once per election_max_ms: a snapshot may be large.
    if (peer.snapshot_sent &&
        now - peer.last_sent_at < options_.election_max_ms) {
      return;
    }
    peer.snapshot_sent = true;
    peer.last_sent_at = now;
    Send(peer_name, install_request{hard_.term, now, snapshot_});
    return;
  }
  append_request request;
  request.term = hard_.term;
  request.prev_index = peer.next - 1;
  request.prev_term = *prev_term;
  request.commit = commit_index_;
  request.sent_at = now;
  std::size_t bytes = 0;
  for (auto i = peer.next; i <= last_index(); ++i) {
    const auto& entry = EntryAt(i);
    bytes += entry.payload.size();
    if (bytes > options_.max_append_bytes && !request.entries.empty()) break;
    request.entries.push_back(entry);
  }
  if (request.entries.empty() && !heartbeat) return;
  // Pipelining: sent entries count as received until a response says
  // otherwise, so the next batch does not wait for a round trip.
  peer.next += request.entries.size();
  peer.last_sent_at = now;
  Send(peer_name, std::move(request));
}

auto replica_core::Compact(log_index index, std::string state) -> log_snapshot {
  assert(index <= commit_index_ && index >= snapshot_.index);
  const auto term = *TermAt(index);
  snapshot_ = {index, term, MembersAt(index), std::move(state)};
  const auto keep_from =
      index > options_.kept_entries ? index - options_.kept_entries + 1 : 1;
  while (first_log_index_ < keep_from && !log_.empty()) {
    term_before_log_ = log_.front().term;
    log_.pop_front();
    ++first_log_index_;
  }
  return snapshot_;
}

}  // namespace lovagedale
