#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/configuration/changes.h"
#include "lovagedale/configuration/fleet_view.h"
#include "lovagedale/replication/messages.h"

namespace lovagedale {

/// Entry of the change history.
struct change_record {
  std::string change_id;
  std::string author;
  std::int64_t at_ms = 0;
  std::string summary;
  std::uint64_t content_hash = 0;
  /// Whether the change withdraws, pauses or resumes a version that needs a
  /// permit. An entry whose permit has expired does not use that version, so
  /// the change counts as accepted without that entry.
  bool permit_gated = false;
  log_index index = 0;
  change_result result;

  auto operator==(const change_record&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(change_id, author, at_ms, summary, content_hash, permit_gated,
            index, result);
  }
};

/// Control's replicated state: the fleet's configuration, the registered
/// entries and the results of past changes. Deterministic: the same log gives
/// the same state on each replica. Satisfies replicated_machine.
class control_machine {
 public:
  /// Number of past changes whose results are kept; a change that is resent
  /// later than that is treated as a new one.
  static constexpr std::size_t kMaxHistoryRecords = 20'000;
  /// Reverted roll-outs that are remembered for each service.
  static constexpr std::size_t kMaxRevertedPerService = 8;

  /// Applies a control_command; returns an encoded change_result.
  /// Throws codec_error for a command that this build does not know.
  auto Apply(const log_entry& entry) -> std::string;
  /// The same state gives the same bytes with every build.
  auto TakeSnapshot() const -> std::string;
  auto Restore(const std::string& state) -> void;

  /// The fleet's format: what needs a later one is not used yet.
  auto RequiredFormat() const -> format_number { return fleet_format_; }

  auto view() const -> const fleet_view& { return view_; }
  /// The registered entries, by name.
  auto entries() const -> const std::map<std::string, register_node>& {
    return entries_;
  }
  /// Oldest first.
  auto history() const -> const std::deque<change_record>& { return history_; }
  /// The operator's document of the current routes; empty before the first.
  auto route_source() const -> const std::string& { return route_source_; }
  auto FindRecord(const std::string& change_id) const -> const change_record*;
  /// The change that created a revision; null if the history no longer has it.
  auto RecordOfRevision(config_revision revision) const -> const change_record*;

 private:
  auto ApplyChange(const change& proposed, log_index index) -> change_result;
  auto Check(const change& proposed) const -> std::optional<std::string>;
  auto Perform(const change_action& action, std::int64_t at_ms) -> void;
  auto ReplaceDocument(const std::string& document) -> void;
  auto ReplaceRoutes(const set_routes& action) -> void;
  auto CheckRolloutStart(const begin_service_rollout& action) const
      -> std::optional<std::string>;
  auto StartServiceRollout(const begin_service_rollout& action) -> void;
  auto MoveServiceRollout(const move_service_rollout& action) -> void;
  auto IsPermitGated(const change_action& action) const -> bool;
  auto AddToHistory(change_record record) -> void;
  auto MutableStatus(const std::string& version) -> version_status&;

  fleet_view view_;
  format_number fleet_format_ = kFirstFormat;
  std::string route_source_;
  std::map<std::string, register_node> entries_;
  std::deque<change_record> history_;
  /// Number of records dropped from the front of history_.
  std::uint64_t evicted_records_ = 0;
  /// By change id: number of records that were added to history_ before it.
  std::map<std::string, std::uint64_t> by_id_;
};

/// As stored in change_record::content_hash.
auto ContentHash(const change_action& action) -> std::uint64_t;

/// The action's name and its subject (such as a version or a fingerprint), for
/// logs and the history.
auto DescribeAction(const change_action& action) -> std::string;

}  // namespace lovagedale
