#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

using log_index = std::uint64_t;
using term_number = std::uint64_t;
/// Identifies one creation of a replica's data folder. A replica that lost its
/// disk restarts under a new incarnation and has no vote until it has caught
/// up.
using incarnation_id = std::uint64_t;

/// A replica of the group. Learners receive the log but have no vote.
struct replica_member {
  std::string name;
  incarnation_id incarnation = 0;
  bool voter = false;

  auto operator==(const replica_member&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, incarnation, voter);
  }
};

struct member_set {
  std::vector<replica_member> members;

  auto operator==(const member_set&) const -> bool = default;
  auto Find(const std::string& name) const -> const replica_member*;
  auto IsVoter(const std::string& name, incarnation_id incarnation) const
      -> bool;
  auto VoterCount() const -> std::size_t;
  /// Number of votes or acknowledgements that forms a majority.
  auto Majority() const -> std::size_t { return VoterCount() / 2 + 1; }
  /// Returns a copy in which `member` replaces the member of the same name, or
  /// is added.
  auto With(const replica_member& member) const -> member_set;
  auto Without(const std::string& name) const -> member_set;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(members);
  }
};

enum class entry_kind : std::uint8_t { kNoOp, kCommand, kMembers };

struct log_entry {
  log_index index = 0;
  term_number term = 0;
  entry_kind kind = entry_kind::kNoOp;
  std::string payload;  ///< a command, or an encoded member_set

  auto operator==(const log_entry&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(index, term, kind, payload);
  }
};

/// Raft's persistent election state; synced before any message that depends on
/// it is sent.
struct hard_state {
  term_number term = 0;
  std::string voted_for;

  auto operator==(const hard_state&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(term, voted_for);
  }
};

/// State of the replicated machine after all entries up to `index`.
struct log_snapshot {
  log_index index = 0;
  term_number term = 0;
  member_set members;
  std::string state;

  auto operator==(const log_snapshot&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(index, term, members, state);
  }
};

/// Everything that a replica recovers from its disk.
struct stored_state {
  incarnation_id incarnation = 0;
  hard_state hard;
  log_snapshot snapshot;
  std::vector<log_entry> entries;  ///< the log after the snapshot

  auto operator==(const stored_state&) const -> bool = default;
};

struct vote_request {
  term_number term = 0;
  log_index last_index = 0;
  term_number last_term = 0;
  bool pre_vote = false;
  /// Set if the leader asked the sender to take over (see transfer_request).
  bool transfer = false;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(term, last_index, last_term, pre_vote, transfer);
  }
};

struct vote_response {
  term_number term = 0;
  bool granted = false;
  bool pre_vote = false;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(term, granted, pre_vote);
  }
};

struct append_request {
  term_number term = 0;
  log_index prev_index = 0;
  term_number prev_term = 0;
  log_index commit = 0;
  monotonic_ms sent_at = 0;  ///< leader's clock; copied to the response
  std::vector<log_entry> entries;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(term, prev_index, prev_term, commit, sent_at, entries);
  }
};

struct append_response {
  term_number term = 0;
  bool success = false;
  /// On success: last entry that matches the leader's log. On failure: the
  /// leader resumes with the entry after this one.
  log_index match_index = 0;
  monotonic_ms sent_at = 0;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(term, success, match_index, sent_at);
  }
};

struct install_request {
  term_number term = 0;
  monotonic_ms sent_at = 0;
  log_snapshot snapshot;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(term, sent_at, snapshot);
  }
};

/// Sent by a leader that has given up its lease; the receiver starts an
/// election at once.
struct transfer_request {
  term_number term = 0;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(term);
  }
};

using replica_message =
    std::variant<vote_request, vote_response, append_request, append_response,
                 install_request, transfer_request>;

struct replica_envelope {
  std::string from;
  incarnation_id from_incarnation = 0;
  std::string from_zone;
  std::string to;
  replica_message message;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(from, from_incarnation, from_zone, to, message);
  }
};

}  // namespace lovagedale
