// lovagedalectl: the operators' command-line client.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <boost/json.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <thread>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/json_reader.h"
#include "lovagedale/operator_client/operator_client.h"
#include "lovagedale/process/process.h"
#include "lovagedale/questionnaire/questionnaire.h"

ABSL_FLAG(std::string, config, "lovagedalectl.json",
          "path of the JSON settings file that lists the fleet's processes");
ABSL_FLAG(bool, json, false, "print JSON as received");
ABSL_FLAG(bool, wait, false, "wait until the change is accepted");
ABSL_FLAG(int, timeout_s, 10, "seconds to wait for a leader or acceptance");
ABSL_FLAG(std::string, change_id, "",
          "id of the change; repeating an id returns its first result");
ABSL_FLAG(int64_t, expect, -1,
          "revision that the change is based on; -1 means the current one");
ABSL_FLAG(std::string, author, "operator", "who makes the change");
ABSL_FLAG(std::string, answers, "", "answers file of the questionnaire");
ABSL_FLAG(std::string, out, "", "output file for the generated configuration");
ABSL_FLAG(std::string, explain, "",
          "output file for the explanation of the configuration");
ABSL_FLAG(std::string, stages, "",
          "traffic share of each roll-out stage, such as 0.01,0.1,0.5,1");
ABSL_FLAG(std::string, successor, "",
          "version that takes over the sessions of a withdrawn one");
ABSL_FLAG(std::string, reason, "", "why a version is withdrawn");
ABSL_FLAG(std::string, customer, "", "limits the bills to one customer");

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.
namespace json = boost::json;

/// Exit codes beyond those of all programs; see docs/OPERATIONS.md.
constexpr int kExitNotAccepted = 3;
constexpr int kExitConflict = 4;
constexpr int kExitOutcomeUnknown = 5;

constexpr std::chrono::milliseconds kAcceptancePollInterval{50};
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusConflict = 409;

constexpr const char* kUsage = R"(usage: lovagedalectl [flags] COMMAND
  questionnaire                    generate a configuration (--answers, --out)
  config check FILE                check a configuration document
  config show | history            current document; recent changes
  config apply FILE                propose a document (--expect, --wait)
  customer list                    customers of the current document
  rollout start VERSION            (--stages)
  rollout pause|resume|advance VERSION
  rollout withdraw VERSION         (--successor, --reason)
  version restore VERSION          return a withdrawn version to steady state
  quarantine lift FINGERPRINT
  node remove NAME                 remove an entry that will not return
  status                           control replicas, entries, versions
  evidence                         ratings and errors by version
  bills                            (--customer)
  explain REQUEST                  routing decisions of one request)";

using arguments = std::vector<std::string>;

auto Timeout() -> std::chrono::milliseconds {
  return std::chrono::seconds(absl::GetFlag(FLAGS_timeout_s));
}

auto MakeClient() -> operator_client {
  return operator_client(
      ParseOperatorSettings(ReadFile(absl::GetFlag(FLAGS_config))));
}

auto NewChangeId() -> std::string {
  auto id = absl::GetFlag(FLAGS_change_id);
  if (!id.empty()) return id;
  std::random_device device;
  return "ctl-" + ToHex((std::uint64_t{device()} << 32U) | device());
}

auto WriteFile(const std::string& path, const std::string& text) -> void {
  std::ofstream out(path, std::ios::trunc);
  out << text;
  if (!out.flush()) throw std::runtime_error("cannot write " + path);
}

auto PrintJson(const http_answer& answer) -> int {
  std::cout << answer.body << "\n";
  return answer.head.status == kStatusOk ? kExitOk : kExitFailure;
}

auto ErrorMessage(const http_answer& answer) -> std::string {
  boost::system::error_code error;
  const auto value = json::parse(answer.body, error);
  if (error) return answer.body;
  const auto* object = value.if_object();
  const auto* item = object ? object->if_contains("error") : nullptr;
  if (item == nullptr || !item->is_object()) return answer.body;
  const auto* message = item->get_object().if_contains("message");
  return message != nullptr && message->is_string()
             ? std::string(message->get_string())
             : answer.body;
}

auto BaseRevision(operator_client& client) -> std::int64_t {
  const auto expected = absl::GetFlag(FLAGS_expect);
  if (expected >= 0) return expected;
  const auto answer =
      client.CallLeader("GET", "/v1/config?current=true", "", Timeout());
  return json::parse(answer.body).at("revision").to_number<std::int64_t>();
}

/// Polls until every entry follows the revision, so that it counts as accepted,
/// or the timeout has passed. Prints which entries are missing and returns the
/// exit code.
auto WaitForAcceptance(operator_client& client, std::int64_t revision) -> int {
  const auto deadline = std::chrono::steady_clock::now() + Timeout();
  json::value status;
  do {
    const auto answer = client.CallLeader(
        "GET", "/v1/force?revision=" + std::to_string(revision), "", Timeout());
    status = json::parse(answer.body);
    if (status.at("accepted").as_bool()) {
      std::cout << "accepted: revision " << revision << " is in force on "
                << status.at("in_force") << " of " << status.at("entries")
                << " entries";
      if (status.at("without_permit").to_number<int>() > 0) {
        std::cout << ", " << status.at("without_permit") << " without a permit";
      }
      std::cout << "\n";
      return kExitOk;
    }
    std::this_thread::sleep_for(kAcceptancePollInterval);
  } while (std::chrono::steady_clock::now() < deadline);
  std::cout << "decided, not accepted: revision " << revision
            << " is in force on " << status.at("in_force") << " of "
            << status.at("entries") << " entries; waiting for "
            << status.at("waiting_for") << "\n";
  return kExitNotAccepted;
}

auto ProposeChange(json::object change) -> int {
  auto client = MakeClient();
  const auto id = NewChangeId();
  change["change_id"] = id;
  change["author"] = absl::GetFlag(FLAGS_author);
  change["expected_revision"] = BaseRevision(client);
  http_answer answer;
  try {
    answer = client.CallLeader("POST", "/v1/changes", json::serialize(change),
                               Timeout());
  } catch (const fleet_unreachable& error) {
    std::cerr << "unknown: " << error.what() << "; repeat with --change_id "
              << id << "\n";
    return kExitOutcomeUnknown;
  }
  if (answer.head.status == kStatusConflict) {
    std::cerr << "conflict: " << ErrorMessage(answer) << "\n";
    return kExitConflict;
  }
  if (answer.head.status != kStatusOk) {
    std::cerr << ErrorMessage(answer) << "\n";
    return answer.head.status == kStatusBadRequest ? kExitBadSettings
                                                   : kExitFailure;
  }
  const auto revision =
      json::parse(answer.body).at("revision").to_number<std::int64_t>();
  std::cout << "decided: revision " << revision << "\n";
  return absl::GetFlag(FLAGS_wait) ? WaitForAcceptance(client, revision)
                                   : kExitOk;
}

auto RunQuestionnaire(const arguments& /*args*/) -> int {
  auto answers = ReadFile(absl::GetFlag(FLAGS_answers));
  if (!json::parse(answers).as_object().contains("customers")) {
    answers = AskCustomers(answers, [](const std::string& question) {
      std::cout << question << ": " << std::flush;
      std::string line;
      std::getline(std::cin, line);
      return line;
    });
  }
  const auto generated = GenerateConfiguration(answers);
  const auto document_path = absl::GetFlag(FLAGS_out);
  if (document_path.empty()) {
    std::cout << generated.document << "\n";
  } else {
    WriteFile(document_path, generated.document);
  }
  const auto page_path = absl::GetFlag(FLAGS_explain);
  if (!page_path.empty()) WriteFile(page_path, generated.explanation);
  return kExitOk;
}

auto CheckDocument(const std::string& path) -> int {
  ParseCatalog(ReadFile(path));
  std::cout << path << ": accepted\n";
  return kExitOk;
}

auto RunConfig(const arguments& args) -> int {
  if (args.size() == 2 && args[0] == "check") return CheckDocument(args[1]);
  if (args.size() == 2 && args[0] == "apply") {
    const auto document = ReadFile(args[1]);
    ParseCatalog(document);
    return ProposeChange(
        {{"action", "set_configuration"}, {"document", document}});
  }
  if (args.size() != 1) throw std::invalid_argument("config");
  auto client = MakeClient();
  if (args[0] == "history") {
    return PrintJson(client.CallAnyControlReplica("/v1/config/history"));
  }
  if (args[0] != "show") throw std::invalid_argument("config");
  const auto answer = client.CallAnyControlReplica("/v1/config");
  if (absl::GetFlag(FLAGS_json)) return PrintJson(answer);
  const auto value = json::parse(answer.body);
  std::cout << "revision " << value.at("revision") << "\n"
            << value.at("document").as_string().c_str() << "\n";
  return kExitOk;
}

auto RunCustomer(const arguments& args) -> int {
  if (args.size() != 1 || args[0] != "list") {
    throw std::invalid_argument("customer");
  }
  const auto answer = MakeClient().CallAnyControlReplica("/v1/config");
  const auto value = json::parse(answer.body);
  const auto config = ParseCatalog(value.at("document").as_string());
  for (const auto& item : config.customers) {
    std::cout << item.name << " target_quality=" << item.target_quality
              << " rate_per_s=" << item.rate_per_s << " versions=";
    for (const auto version : item.versions) {
      std::cout << config.versions[version].name << " ";
    }
    std::cout << "\n";
  }
  return kExitOk;
}

auto ParseStages() -> json::array {
  json::array stages;
  std::istringstream in(absl::GetFlag(FLAGS_stages));
  std::string share;
  while (std::getline(in, share, ',')) {
    stages.push_back(json::object{{"share", std::stod(share)}});
  }
  return stages;
}

auto NextStage(const std::string& version) -> std::int64_t {
  const auto answer =
      MakeClient().CallLeader("GET", "/v1/status?current=true", "", Timeout());
  const auto status = json::parse(answer.body);
  for (const auto& item : status.at("versions").as_array()) {
    if (item.at("version").as_string() == version) {
      return item.at("stage").to_number<std::int64_t>() + 1;
    }
  }
  return 0;
}

auto RunRollout(const arguments& args) -> int {
  if (args.size() != 2) throw std::invalid_argument("rollout");
  const auto& verb = args[0];
  json::object change = {{"version", args[1]}};
  if (verb == "start") {
    change["action"] = "start_rollout";
    change["stages"] = ParseStages();
  } else if (verb == "pause" || verb == "resume") {
    change["action"] = verb + "_rollout";
  } else if (verb == "advance") {
    change["action"] = "advance_rollout";
    change["to_stage"] = NextStage(args[1]);
  } else if (verb == "withdraw") {
    change["action"] = "withdraw_version";
    change["successor"] = absl::GetFlag(FLAGS_successor);
    const auto reason = absl::GetFlag(FLAGS_reason);
    if (!reason.empty()) change["reason"] = reason;
  } else {
    throw std::invalid_argument("rollout");
  }
  return ProposeChange(std::move(change));
}

auto RunVersion(const arguments& args) -> int {
  if (args.size() != 2 || args[0] != "restore") {
    throw std::invalid_argument("version");
  }
  return ProposeChange({{"action", "restore_version"}, {"version", args[1]}});
}

auto RunQuarantine(const arguments& args) -> int {
  if (args.size() != 2 || args[0] != "lift") {
    throw std::invalid_argument("quarantine");
  }
  return ProposeChange(
      {{"action", "lift_quarantine"}, {"fingerprint", args[1]}});
}

auto RunNode(const arguments& args) -> int {
  if (args.size() != 2 || args[0] != "remove") {
    throw std::invalid_argument("node");
  }
  return PrintJson(MakeClient().CallLeader(
      "POST", "/v1/nodes/remove",
      json::serialize(json::value{{"name", args[1]}}), Timeout()));
}

auto RunStatus(const arguments& /*args*/) -> int {
  const auto answer =
      MakeClient().CallLeader("GET", "/v1/status?current=true", "", Timeout());
  if (absl::GetFlag(FLAGS_json)) return PrintJson(answer);
  const auto value = json::parse(answer.body);
  std::cout << "leader " << value.at("leader") << " term " << value.at("term")
            << " revision " << value.at("revision") << "\n";
  for (const auto* key :
       {"spread", "members", "entries", "versions", "quarantines"}) {
    std::cout << key << ": " << value.at(key) << "\n";
  }
  return kExitOk;
}

auto RunEvidence(const arguments& /*args*/) -> int {
  return PrintJson(
      MakeClient().CallLeader("GET", "/v1/evidence", "", Timeout()));
}

auto RunBills(const arguments& /*args*/) -> int {
  // The first answer gives the number of parts into which the bills are split.
  const auto target = "/v1/bills?customer=" + absl::GetFlag(FLAGS_customer);
  auto client = MakeClient();
  auto answer = client.CallAnyLedger(target);
  json::array bills;
  for (std::int64_t part = 0;; ++part) {
    if (answer.head.status != kStatusOk) return PrintJson(answer);
    auto value = json::parse(answer.body);
    const auto parts = value.at("parts").to_number<std::int64_t>();
    for (auto& bill : value.at("bills").as_array()) {
      bills.push_back(std::move(bill));
    }
    if (part + 1 == parts) break;
    answer = client.CallAnyLedger(target + "&parts=" + std::to_string(parts) +
                                  "&part=" + std::to_string(part + 1));
  }
  std::cout << json::value{{"bills", std::move(bills)}} << "\n";
  return kExitOk;
}

auto RunExplain(const arguments& args) -> int {
  if (args.size() != 1) throw std::invalid_argument("explain");
  bool found = false;
  for (const auto& answer :
       MakeClient().CallEntries("/v1/decisions?request=" + args[0])) {
    const auto value = json::parse(answer.body);
    for (const auto& decision : value.at("decisions").as_array()) {
      std::cout << decision << "\n";
      found = true;
    }
  }
  if (found) return kExitOk;
  std::cerr << "no entry has a recorded decision for request " << args[0]
            << "\n";
  return kExitFailure;
}

auto RunCommand(const std::string& command, const arguments& args) -> int {
  static const std::map<std::string, std::function<int(const arguments&)>>
      kCommands = {{"questionnaire", RunQuestionnaire},
                   {"config", RunConfig},
                   {"customer", RunCustomer},
                   {"rollout", RunRollout},
                   {"version", RunVersion},
                   {"quarantine", RunQuarantine},
                   {"node", RunNode},
                   {"status", RunStatus},
                   {"evidence", RunEvidence},
                   {"bills", RunBills},
                   {"explain", RunExplain}};
  const auto found = kCommands.find(command);
  if (found == kCommands.end()) throw std::invalid_argument(command);
  return found->second(args);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  absl::SetProgramUsageMessage(kUsage);
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("lovagedalectl " LOVAGEDALE_VERSION "\n");
  };
  absl::SetFlagsUsageConfig(usage);
  const auto rest = absl::ParseCommandLine(argc, argv);
  arguments args(rest.begin() + 1, rest.end());
  if (args.empty()) {
    std::cerr << kUsage << "\n";
    return kExitBadSettings;
  }
  const auto command = args.front();
  args.erase(args.begin());
  try {
    return RunCommand(command, args);
  } catch (const settings_invalid& error) {
    std::cerr << error.what() << "\n";
    return kExitBadSettings;
  } catch (const std::invalid_argument&) {
    std::cerr << kUsage << "\n";
    return kExitBadSettings;
  } catch (const std::exception& error) {
    std::cerr << "lovagedalectl: " << error.what() << "\n";
    return kExitFailure;
  }
}
