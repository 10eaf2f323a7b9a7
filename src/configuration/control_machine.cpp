#include "lovagedale/configuration/control_machine.h"

#include <algorithm>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/json_reader.h"

namespace lovagedale {
namespace {

template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

/// State of the machine as a snapshot stores it.
struct snapshot_content {
  static constexpr std::uint16_t kFleetFormatField = 1;

  fleet_view view;
  std::string route_source;
  std::vector<register_node> nodes;
  std::vector<change_record> records;
  std::uint64_t evicted_records = 0;
  format_number fleet_format = kFirstFormat;

  auto AddedFields() const -> added_fields {
    return {{kFleetFormatField, EncodeFixed(fleet_format)}};
  }
  auto SetAddedFields(const added_fields& fields) -> void {
    const auto found = fields.find(kFleetFormatField);
    if (found == fields.end()) return;
    fleet_format = DecodeFixed<format_number>(found->second);
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(view, route_source, nodes, records, evicted_records);
  }
};

constexpr std::size_t kMaxStages = 16;
constexpr std::ptrdiff_t kMaxQuarantines = 1'000;

auto CheckStages(const std::vector<double>& shares)
    -> std::optional<std::string> {
  if (shares.empty() || shares.size() > kMaxStages) {
    return "stage_shares: got " + std::to_string(shares.size()) +
           " stages; allowed: 1 to " + std::to_string(kMaxStages);
  }
  double previous = 0;
  for (const auto share : shares) {
    if (!(share > previous && share <= 1)) {
      return "stage_shares: each must be greater than the one before it and "
             "at most 1";
    }
    previous = share;
  }
  return std::nullopt;
}

auto CheckDocument(const std::string& document) -> std::optional<std::string> {
  try {
    ParseCatalog(document);
    return std::nullopt;
  } catch (const settings_invalid& error) {
    return error.what();
  }
}

auto HasVersion(const std::string& document, const std::string& version)
    -> bool {
  if (document.empty()) return false;
  return ParseCatalog(document).FindVersion(version).has_value();
}

auto UnknownVersion(const std::string& version) -> std::string {
  return "version: got \"" + version +
         "\"; allowed: a model@version of the configuration";
}

}  // namespace

auto version_status::Share() const -> double {
  if (phase == version_phase::kWithdrawn || phase == version_phase::kStaged) {
    return 0;
  }
  if (phase == version_phase::kSteady || stage >= stage_shares.size()) return 1;
  return stage_shares[stage];
}

auto fleet_view::StatusOf(const std::string& version) const
    -> const version_status* {
  const auto found = std::find_if(
      versions.begin(), versions.end(),
      [&](const auto& status) { return status.version == version; });
  return found == versions.end() ? nullptr : &*found;
}

auto fleet_view::RolloutOf(const std::string& service) const
    -> const service_rollout* {
  const auto found = std::find_if(
      service_rollouts.begin(), service_rollouts.end(),
      [&](const auto& rollout) { return rollout.service == service; });
  return found == service_rollouts.end() ? nullptr : &*found;
}

auto DescribeAction(const change_action& action) -> std::string {
  return std::visit(
      overloaded{
          [](const set_configuration&) {
            return std::string("set_configuration");
          },
          [](const start_rollout& a) { return "start_rollout " + a.version; },
          [](const advance_rollout& a) {
            return "advance_rollout " + a.version + " to stage " +
                   std::to_string(a.to_stage);
          },
          [](const pause_rollout& a) {
            return (a.paused ? "pause_rollout " : "resume_rollout ") +
                   a.version;
          },
          [](const withdraw_version& a) {
            return "withdraw_version " + a.version;
          },
          [](const restore_version& a) {
            return "restore_version " + a.version;
          },
          [](const set_quarantine& a) {
            return "set_quarantine " + ToHex(a.fingerprint);
          },
          [](const lift_quarantine& a) {
            return "lift_quarantine " + ToHex(a.fingerprint);
          },
          [](const set_routes& a) {
            return "set_routes " + std::to_string(a.config.version);
          },
          [](const begin_service_rollout& a) {
            return "begin_service_rollout " + a.service + " " + a.target;
          },
          [](const move_service_rollout& a) {
            return "move_service_rollout " + a.service + " " + a.target +
                   " to " + PhaseName(a.phase);
          }},
      action);
}

auto ContentHash(const change_action& action) -> std::uint64_t {
  return Hash64(EncodeFixed(action));
}

auto control_machine::Apply(const log_entry& entry) -> std::string {
  const auto command = Decode<control_command>(entry.payload);
  return Encode(std::visit(
      overloaded{
          [&](const change& proposed) {
            return ApplyChange(proposed, entry.index);
          },
          [&](const register_node& node) {
            entries_[node.name] = node;
            return change_result{change_status::kApplied, view_.revision, ""};
          },
          [&](const remove_node& node) {
            entries_.erase(node.name);
            return change_result{change_status::kApplied, view_.revision, ""};
          },
          [&](const raise_fleet_format& raise) {
            fleet_format_ = std::max(fleet_format_, raise.format);
            return change_result{change_status::kApplied, view_.revision, ""};
          }},
      command));
}

auto control_machine::ApplyChange(const change& proposed, log_index index)
    -> change_result {
  const auto content_hash = ContentHash(proposed.action);
  if (const auto* record = FindRecord(proposed.change_id)) {
    if (record->content_hash == content_hash) return record->result;
    return {change_status::kInvalid, view_.revision,
            "change_id: \"" + proposed.change_id +
                "\" was already used for another change"};
  }
  change_result result;
  const bool permit_gated = IsPermitGated(proposed.action);
  if (proposed.expected_revision != kAnyRevision &&
      proposed.expected_revision != view_.revision) {
    result = {
        change_status::kConflict, view_.revision,
        "expected_revision: got " + std::to_string(proposed.expected_revision) +
            "; the current revision is " + std::to_string(view_.revision)};
  } else if (const auto problem = Check(proposed)) {
    result = {change_status::kInvalid, view_.revision, *problem};
  } else {
    Perform(proposed.action, proposed.at_ms);
    ++view_.revision;
    result = {change_status::kApplied, view_.revision, ""};
  }
  AddToHistory({proposed.change_id, proposed.author, proposed.at_ms,
                DescribeAction(proposed.action), content_hash, permit_gated,
                index, result});
  return result;
}

auto control_machine::Check(const change& proposed) const
    -> std::optional<std::string> {
  const auto check_version =
      [&](const std::string& version) -> std::optional<std::string> {
    if (!HasVersion(view_.document, version)) return UnknownVersion(version);
    return std::nullopt;
  };
  const auto check_rollout =
      [&](const std::string& version) -> std::optional<std::string> {
    const auto* status = view_.StatusOf(version);
    if (status == nullptr || status->phase != version_phase::kRollout) {
      return "version: \"" + version + "\" is not under roll-out";
    }
    return std::nullopt;
  };
  using problem = std::optional<std::string>;
  return std::visit(
      overloaded{
          [&](const set_configuration& a) { return CheckDocument(a.document); },
          [&](const start_rollout& a) -> problem {
            if (auto unknown = check_version(a.version)) return unknown;
            return CheckStages(a.stage_shares);
          },
          [&](const advance_rollout& a) -> problem {
            if (auto reason = check_rollout(a.version)) return reason;
            const auto* status = view_.StatusOf(a.version);
            if (a.to_stage == status->stage + 1) return std::nullopt;
            return "to_stage: got " + std::to_string(a.to_stage) +
                   "; allowed: " + std::to_string(status->stage + 1);
          },
          [&](const pause_rollout& a) { return check_rollout(a.version); },
          [&](const withdraw_version& a) -> problem {
            if (auto unknown = check_version(a.version)) return unknown;
            if (a.successor.empty()) return std::nullopt;
            if (a.successor == a.version) {
              return "successor: must differ from the withdrawn version";
            }
            return check_version(a.successor);
          },
          [&](const restore_version& a) { return check_version(a.version); },
          [&](const set_quarantine&) -> problem {
            const auto active_quarantines = std::count_if(
                view_.quarantines.begin(), view_.quarantines.end(),
                [&](const auto& existing) {
                  return existing.until_ms > proposed.at_ms;
                });
            if (active_quarantines < kMaxQuarantines) return std::nullopt;
            return "quarantines: the limit is " +
                   std::to_string(kMaxQuarantines);
          },
          [](const lift_quarantine&) -> problem { return std::nullopt; },
          [](const set_routes& a) { return FindConfigProblem(a.config); },
          [&](const begin_service_rollout& a) { return CheckRolloutStart(a); },
          [&](const move_service_rollout& a) -> problem {
            const auto* rollout = view_.RolloutOf(a.service);
            if (rollout != nullptr && rollout->target == a.target &&
                rollout->IsRunning()) {
              return std::nullopt;
            }
            return "service: \"" + a.service +
                   "\" has no running roll-out to \"" + a.target + "\"";
          }},
      proposed.action);
}

auto control_machine::IsPermitGated(const change_action& action) const -> bool {
  const auto is_gated = [&](const std::string& version) {
    const auto* status = view_.StatusOf(version);
    if (status != nullptr && status->phase == version_phase::kRollout) {
      return true;
    }
    if (view_.document.empty()) return false;
    const auto parsed = ParseCatalog(view_.document);
    const auto id = parsed.FindVersion(version);
    return id && parsed.versions[*id].when_cut_off == cut_off_policy::kRefuse;
  };
  if (const auto* a = std::get_if<withdraw_version>(&action)) {
    return is_gated(a->version);
  }
  if (const auto* a = std::get_if<pause_rollout>(&action)) {
    return is_gated(a->version);
  }
  return false;
}

auto control_machine::MutableStatus(const std::string& version)
    -> version_status& {
  auto& list = view_.versions;
  const auto position =
      std::lower_bound(list.begin(), list.end(), version,
                       [](const auto& status, const auto& name) {
                         return status.version < name;
                       });
  if (position != list.end() && position->version == version) return *position;
  version_status added;
  added.version = version;
  return *list.insert(position, std::move(added));
}

auto control_machine::ReplaceDocument(const std::string& document) -> void {
  const auto before =
      view_.document.empty() ? catalog{} : ParseCatalog(view_.document);
  const auto after = ParseCatalog(document);
  for (const auto& version : after.versions) {
    const bool is_model_used = std::any_of(
        before.versions.begin(), before.versions.end(),
        [&](const auto& existing) { return existing.model == version.model; });
    const bool is_new = !before.FindVersion(version.name).has_value();
    // A new version of a model in use is untested and must not take all the
    // work at once: it gets none until its roll-out starts.
    if (is_model_used && is_new && view_.StatusOf(version.name) == nullptr) {
      MutableStatus(version.name).phase = version_phase::kStaged;
    }
  }
  view_.document = document;
}

auto control_machine::Perform(const change_action& action, std::int64_t at_ms)
    -> void {
  std::visit(
      overloaded{
          [&](const set_configuration& a) { ReplaceDocument(a.document); },
          [&](const start_rollout& a) {
            MutableStatus(a.version) = {a.version, version_phase::kRollout,
                                        0,         a.stage_shares,
                                        false,     "",
                                        ""};
          },
          [&](const advance_rollout& a) {
            auto& status = MutableStatus(a.version);
            status.stage = a.to_stage;
            if (a.to_stage >= status.stage_shares.size()) {
              status.phase = version_phase::kSteady;
              status.stage_shares.clear();
              status.stage = 0;
            }
          },
          [&](const pause_rollout& a) {
            MutableStatus(a.version).paused = a.paused;
          },
          [&](const withdraw_version& a) {
            auto& status = MutableStatus(a.version);
            status.phase = version_phase::kWithdrawn;
            status.successor = a.successor;
            status.reason = a.reason;
          },
          [&](const restore_version& a) {
            MutableStatus(a.version) = {
                a.version, version_phase::kSteady, 0, {}, false, "", ""};
          },
          [&](const set_quarantine& a) {
            std::erase_if(view_.quarantines, [&](const auto& existing) {
              return existing.fingerprint == a.fingerprint ||
                     existing.until_ms <= at_ms;
            });
            view_.quarantines.push_back(
                {a.fingerprint, at_ms + a.duration_ms, a.reason});
          },
          [&](const lift_quarantine& a) {
            std::erase_if(view_.quarantines, [&](const auto& existing) {
              return existing.fingerprint == a.fingerprint;
            });
          },
          [&](const set_routes& a) { ReplaceRoutes(a); },
          [&](const begin_service_rollout& a) { StartServiceRollout(a); },
          [&](const move_service_rollout& a) { MoveServiceRollout(a); }},
      action);
}

auto control_machine::ReplaceRoutes(const set_routes& action) -> void {
  if (!route_source_.empty() && action.config.version <= view_.routes.version) {
    return;
  }
  view_.routes = action.config;
  route_source_ = action.source;
}

auto control_machine::CheckRolloutStart(
    const begin_service_rollout& action) const -> std::optional<std::string> {
  const auto has_service = std::any_of(
      view_.routes.services.begin(), view_.routes.services.end(),
      [&](const auto& service) { return service.name == action.service; });
  if (!has_service) {
    return "service: got \"" + action.service +
           "\"; allowed: a service of the routes";
  }
  if (action.target.empty()) return "target: missing; allowed: a version";
  return std::nullopt;
}

auto control_machine::StartServiceRollout(const begin_service_rollout& action)
    -> void {
  service_rollout started;
  started.service = action.service;
  started.target = action.target;
  started.duration_ms = action.duration_ms;
  auto& rollouts = view_.service_rollouts;
  const auto* latest = view_.RolloutOf(action.service);
  // The same roll-out may have been requested again under another change id.
  if (latest != nullptr && latest->target == action.target) return;
  std::erase_if(rollouts, [&](const auto& rollout) {
    return rollout.service == action.service &&
           (rollout.phase != service_rollout_phase::kReverted ||
            rollout.target == action.target);
  });
  const auto reverted = std::count_if(
      rollouts.begin(), rollouts.end(),
      [&](const auto& rollout) { return rollout.service == action.service; });
  if (static_cast<std::size_t>(reverted) >= kMaxRevertedPerService) {
    // The last one of the service is the oldest.
    const auto oldest = std::find_if(
        rollouts.rbegin(), rollouts.rend(),
        [&](const auto& rollout) { return rollout.service == action.service; });
    rollouts.erase(std::next(oldest).base());
  }
  rollouts.insert(rollouts.begin(), started);
}

auto control_machine::MoveServiceRollout(const move_service_rollout& action)
    -> void {
  auto& rollouts = view_.service_rollouts;
  const auto latest = std::find_if(
      rollouts.begin(), rollouts.end(),
      [&](const auto& rollout) { return rollout.service == action.service; });
  latest->phase = action.phase;
  latest->share = action.share;
  latest->reason = action.reason;
  if (action.phase != service_rollout_phase::kCompleted) return;
  // From now on only the target is used.
  rollouts.erase(std::remove_if(std::next(latest), rollouts.end(),
                                [&](const auto& rollout) {
                                  return rollout.service == action.service;
                                }),
                 rollouts.end());
}

auto control_machine::AddToHistory(change_record record) -> void {
  by_id_[record.change_id] = evicted_records_ + history_.size();
  history_.push_back(std::move(record));
  while (history_.size() > kMaxHistoryRecords) {
    by_id_.erase(history_.front().change_id);
    history_.pop_front();
    ++evicted_records_;
  }
}

auto control_machine::FindRecord(const std::string& change_id) const
    -> const change_record* {
  const auto found = by_id_.find(change_id);
  if (found == by_id_.end()) return nullptr;
  return &history_[found->second - evicted_records_];
}

auto control_machine::RecordOfRevision(config_revision revision) const
    -> const change_record* {
  const auto found =
      std::find_if(history_.rbegin(), history_.rend(), [&](const auto& record) {
        return record.result.status == change_status::kApplied &&
               record.result.revision == revision;
      });
  return found == history_.rend() ? nullptr : &*found;
}

auto control_machine::TakeSnapshot() const -> std::string {
  snapshot_content content{view_, route_source_, {}, {}, evicted_records_};
  for (const auto& [name, node] : entries_) content.nodes.push_back(node);
  content.records.assign(history_.begin(), history_.end());
  content.fleet_format = fleet_format_;
  // Before the first raise, older builds must get the same bytes.
  if (fleet_format_ == kFirstFormat) return EncodeFixed(content);
  return Encode(content, fleet_format_);
}

auto control_machine::Restore(const std::string& state) -> void {
  *this = control_machine{};
  if (state.empty()) return;
  auto content = Decode<snapshot_content>(state);
  view_ = std::move(content.view);
  route_source_ = std::move(content.route_source);
  fleet_format_ = content.fleet_format;
  evicted_records_ = content.evicted_records;
  for (auto& node : content.nodes) entries_[node.name] = node;
  for (auto& record : content.records) {
    by_id_[record.change_id] = evicted_records_ + history_.size();
    history_.push_back(std::move(record));
  }
}

}  // namespace lovagedale
