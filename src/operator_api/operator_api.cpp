#include "lovagedale/operator_api/operator_api.h"

#include <boost/json.hpp>
#include <charconv>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/json_reader.h"

namespace lovagedale {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kProposeTimeout{5'000};
constexpr std::int64_t kMsPerMinute = 60'000;
constexpr std::int64_t kMaxQuarantineMinutes = 60LL * 24 * 30;
constexpr std::size_t kMaxHistoryRecords = 200;

auto ErrorBody(std::string_view type, std::string_view message) -> std::string {
  return json::serialize(json::value{
      {"error",
       {{"type", std::string(type)}, {"message", std::string(message)}}}});
}

auto PhaseName(version_phase phase) -> const char* {
  switch (phase) {
    case version_phase::kSteady:
      return "steady";
    case version_phase::kRollout:
      return "rollout";
    case version_phase::kWithdrawn:
      return "withdrawn";
    case version_phase::kStaged:
      return "staged";
  }
  return "unknown";
}

auto ToJson(const propagation_status& status) -> json::object {
  json::array waiting(status.waiting_for.begin(), status.waiting_for.end());
  return {{"revision", status.revision},
          {"entries", status.nodes},
          {"in_force", status.following},
          {"without_permit", status.without_permit},
          {"waiting_for", std::move(waiting)},
          {"accepted", status.IsAccepted()}};
}

auto ToJson(const version_status& status) -> json::object {
  return {{"version", status.version}, {"phase", PhaseName(status.phase)},
          {"stage", status.stage},     {"share", status.Share()},
          {"paused", status.paused},   {"successor", status.successor},
          {"reason", status.reason}};
}

auto ToJson(const change_record& record) -> json::object {
  return {{"change_id", record.change_id},
          {"author", record.author},
          {"at_ms", record.at_ms},
          {"summary", record.summary},
          {"applied", record.result.status == change_status::kApplied},
          {"revision", record.result.revision},
          {"message", record.result.message}};
}

/// Format of a process's build; null if it has not sent a message here.
auto FormatJson(const control_service& service, const std::string& process)
    -> json::value {
  const auto format = service.formats().FormatOf(process);
  return format ? json::value(*format) : json::value(nullptr);
}

auto ParseUnsigned(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

auto ParseFingerprint(object_reader& reader) -> std::uint64_t {
  const auto text = reader.RequiredString("fingerprint");
  std::uint64_t number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
    reader.AddError("fingerprint", "\"" + text + "\"", "16 hexadecimal digits");
  }
  return number;
}

constexpr std::int64_t kMaxStageNumber = 16;

auto ReadShares(object_reader& reader) -> std::vector<double> {
  std::vector<double> shares;
  reader.ForEach("stages", [&](object_reader& stage) {
    shares.push_back(stage.Number("share", 0, 1, 0));
  });
  if (shares.empty()) shares = {0.01, 0.1, 0.5, 1.0};
  return shares;
}

auto ReadAction(object_reader& root) -> change_action {
  const auto kind =
      root.Choice("action",
                  {"set_configuration", "start_rollout", "advance_rollout",
                   "pause_rollout", "resume_rollout", "withdraw_version",
                   "restore_version", "set_quarantine", "lift_quarantine"},
                  "");
  if (kind.empty()) {
    if (!root.Has("action")) root.AddError("action", "", "an action's name");
    return set_configuration{};
  }
  if (kind == "set_configuration") {
    return set_configuration{root.RequiredString("document")};
  }
  if (kind == "set_quarantine") {
    const auto minutes = root.Integer("minutes", 1, kMaxQuarantineMinutes, 60);
    return set_quarantine{ParseFingerprint(root), minutes * kMsPerMinute,
                          root.String("reason", "set by an operator")};
  }
  if (kind == "lift_quarantine") return lift_quarantine{ParseFingerprint(root)};
  const auto version = root.RequiredString("version");
  if (kind == "start_rollout") return start_rollout{version, ReadShares(root)};
  if (kind == "advance_rollout") {
    return advance_rollout{version, static_cast<std::uint32_t>(root.Integer(
                                        "to_stage", 0, kMaxStageNumber, 0))};
  }
  if (kind == "pause_rollout") return pause_rollout{version, true};
  if (kind == "resume_rollout") return pause_rollout{version, false};
  if (kind == "restore_version") return restore_version{version};
  return withdraw_version{version, root.String("successor", ""),
                          root.String("reason", "withdrawn by an operator")};
}

}  // namespace

auto ParseChange(std::string_view text) -> change {
  change item;
  ReadSettings(text, [&](object_reader& root) {
    item.change_id = root.RequiredString("change_id");
    item.author = root.String("author", "operator");
    item.expected_revision = static_cast<config_revision>(
        root.Integer("expected_revision", 0, INT64_MAX, 0));
    if (!root.Has("expected_revision")) {
      root.AddError("expected_revision", "",
                    "the revision that the change is based on");
    }
    item.at_ms = WallClockMs();
    item.action = ReadAction(root);
  });
  return item;
}

auto operator_api::Handle(http_exchange& exchange) -> void {
  const auto& request = exchange.request();
  const auto path = request.Path();
  // Other requests are answered from the state of any replica, which may be out
  // of date.
  if (request.Query("current") == "true" && !service_.node().IsCurrent()) {
    return RespondNotLeader(exchange);
  }
  if (request.method == "GET") {
    if (path == "/health") return exchange.RespondJson(200, R"({"ok":true})");
    if (path == "/ready") {
      const bool ready = !service_.node().core().leader().empty();
      return exchange.RespondJson(
          ready ? 200 : 503,
          ready ? R"({"ready":true})" : R"({"ready":false})");
    }
    if (path == "/v1/status") return HandleStatus(exchange);
    if (path == "/v1/config") return HandleConfig(exchange);
    if (path == "/v1/config/history") return HandleHistory(exchange);
    if (path == "/v1/force") return HandlePropagation(exchange);
    if (path == "/v1/evidence") return HandleEvidence(exchange);
  }
  if (request.method == "POST") {
    if (path == "/v1/changes") return HandleChange(exchange);
    if (path == "/v1/nodes/remove") return HandleRemoveNode(exchange);
  }
  exchange.RespondJson(
      404, ErrorBody("not_found", "no such operator call: " + request.method +
                                      " " + std::string(path)));
}

auto operator_api::RespondNotLeader(http_exchange& exchange) -> void {
  const auto& leader = service_.node().core().leader();
  exchange.RespondJson(
      421, json::serialize(
               json::value{{"error",
                            {{"type", "not_leader"},
                             {"message", "this control replica does not lead"},
                             {"leader", leader}}}}));
}

auto operator_api::HandleStatus(http_exchange& exchange) -> void {
  const auto& core = service_.node().core();
  json::array members;
  for (const auto& member : core.members().members) {
    members.push_back({{"name", member.name},
                       {"voter", member.voter},
                       {"incarnation", member.incarnation},
                       {"format", member.name == service_.settings().name
                                      ? json::value(kFormat)
                                      : FormatJson(service_, member.name)},
                       {"match_index", core.MatchIndex(member.name)}});
  }
  json::array entries;
  for (const auto& [name, node] : service_.machine().entries()) {
    entries.push_back({{"name", name},
                       {"zone", node.zone},
                       {"format", FormatJson(service_, name)},
                       {"silent_ms", service_.TimeSinceHeartbeat(name)}});
  }
  json::array versions;
  for (const auto& status : service_.machine().view().versions) {
    versions.push_back(ToJson(status));
  }
  json::array quarantines;
  for (const auto& item : service_.machine().view().quarantines) {
    quarantines.push_back({{"fingerprint", ToHex(item.fingerprint)},
                           {"until_ms", item.until_ms},
                           {"reason", item.reason}});
  }
  const auto revision = service_.machine().view().revision;
  exchange.RespondJson(
      200, json::serialize(json::value{
               {"name", service_.settings().name},
               {"zone", service_.settings().zone},
               {"role", RoleName(core.role())},
               {"incarnation", core.incarnation()},
               {"format", kFormat},
               {"fleet_format", service_.machine().RequiredFormat()},
               {"unreadable_messages", service_.unreadable_messages()},
               {"has_lease", service_.node().HasLease()},
               {"storage_failing_ms", service_.node().StorageFailingMs()},
               {"leader", core.leader()},
               {"term", core.term()},
               {"commit_index", core.commit_index()},
               {"state_hash", ToHex(Hash64(service_.machine().TakeSnapshot()))},
               {"revision", revision},
               {"spread", ToJson(service_.PropagationStatusOf(revision))},
               {"members", std::move(members)},
               {"entries", std::move(entries)},
               {"versions", std::move(versions)},
               {"quarantines", std::move(quarantines)}}));
}

auto operator_api::HandleConfig(http_exchange& exchange) -> void {
  const auto& view = service_.machine().view();
  exchange.RespondJson(
      200, json::serialize(json::value{{"revision", view.revision},
                                       {"current", service_.node().IsCurrent()},
                                       {"document", view.document}}));
}

auto operator_api::HandleHistory(http_exchange& exchange) -> void {
  json::array records;
  const auto& history = service_.machine().history();
  for (auto record = history.rbegin();
       record != history.rend() && records.size() < kMaxHistoryRecords;
       ++record) {
    records.push_back(ToJson(*record));
  }
  exchange.RespondJson(
      200, json::serialize(json::value{{"changes", std::move(records)}}));
}

auto operator_api::HandlePropagation(http_exchange& exchange) -> void {
  if (!service_.node().HasLease()) return RespondNotLeader(exchange);
  const auto text = exchange.request().Query("revision");
  const auto revision = ParseUnsigned(text);
  if (!revision) {
    return exchange.RespondJson(
        400, ErrorBody("invalid", "revision: got \"" + std::string(text) +
                                      "\"; allowed: a whole number"));
  }
  exchange.RespondJson(
      200, json::serialize(ToJson(service_.PropagationStatusOf(*revision))));
}

auto operator_api::HandleEvidence(http_exchange& exchange) -> void {
  json::array rows;
  for (const auto& [key, counts] : service_.evidence()) {
    rows.push_back({{"version", key.version},
                    {"task_class", key.task_class},
                    {"requests", counts.requests},
                    {"errors", counts.errors},
                    {"ratings", counts.ratings},
                    {"mean_rating", counts.MeanRating()}});
  }
  exchange.RespondJson(
      200, json::serialize(json::value{{"evidence", std::move(rows)}}));
}

auto operator_api::HandleChange(http_exchange& exchange) -> void {
  change item;
  try {
    item = ParseChange(exchange.request().body);
  } catch (const settings_invalid& error) {
    return exchange.RespondJson(400, ErrorBody("invalid", error.what()));
  }
  if (!service_.node().HasLease()) return RespondNotLeader(exchange);
  fiber_event decided(exchange.yield().get_executor());
  auto outcome = std::make_shared<std::optional<change_outcome>>();
  service_.SubmitChange(item, [decided, outcome](const change_outcome& result) {
    *outcome = result;
    decided.Set();
  });
  decided.Wait(kProposeTimeout, exchange.yield());
  if (!*outcome || (*outcome)->proposal == propose_status::kUnknown) {
    return exchange.RespondJson(
        503, ErrorBody("unknown",
                       "not known whether the change was decided; send it "
                       "again with the same change_id"));
  }
  if ((*outcome)->proposal == propose_status::kNotLeader) {
    return RespondNotLeader(exchange);
  }
  const auto& result = (*outcome)->result;
  switch (result.status) {
    case change_status::kApplied:
      return exchange.RespondJson(
          200, json::serialize(json::value{{"revision", result.revision}}));
    case change_status::kConflict:
      return exchange.RespondJson(
          409,
          json::serialize(json::value{
              {"error", {{"type", "conflict"}, {"message", result.message}}},
              {"revision", result.revision}}));
    case change_status::kInvalid:
      return exchange.RespondJson(400, ErrorBody("invalid", result.message));
  }
}

auto operator_api::HandleRemoveNode(http_exchange& exchange) -> void {
  std::string name;
  try {
    ReadSettings(exchange.request().body, [&](object_reader& root) {
      name = root.RequiredString("name");
    });
  } catch (const settings_invalid& error) {
    return exchange.RespondJson(400, ErrorBody("invalid", error.what()));
  }
  if (!service_.node().HasLease()) return RespondNotLeader(exchange);
  if (!service_.machine().entries().contains(name)) {
    return exchange.RespondJson(
        404, ErrorBody("not_found", "no registered entry \"" + name + "\""));
  }
  fiber_event decided(exchange.yield().get_executor());
  auto status = std::make_shared<propose_status>(propose_status::kUnknown);
  service_.RemoveNode(name, [decided, status](propose_status result) {
    *status = result;
    decided.Set();
  });
  decided.Wait(kProposeTimeout, exchange.yield());
  if (*status != propose_status::kCommitted) {
    return exchange.RespondJson(
        503, ErrorBody("unknown", "not known whether the entry was removed"));
  }
  exchange.RespondJson(200, R"({"removed":true})");
}

}  // namespace lovagedale
