// A service is rolled out to v2, then to v3, then the operator orders v2 again.
// The order is acknowledged. After all processes were killed, it must still be
// there.

#include <signal.h>

#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <iostream>

#include "../common/loopback.h"

namespace {

using namespace review;  // NOLINT: a program's main file.
using std::chrono::milliseconds;

constexpr const char* kConfig = R"({"version":1,"routes":[
 {"name":"checks","host":"carts.example","path_prefix":"/checks/",
  "route_type":"idempotent","timeout_ms":3000,"target_latency_ms":300,
  "priority":0,"backend":"cart-ledger","max_attempts":3,"public":true}],
 "backends":[{"name":"cart-ledger","health_check_path":"/healthz",
  "max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";
constexpr milliseconds kTimeLimit{3'000};
constexpr milliseconds kRequestPeriod{20};
constexpr std::int64_t kRolloutSeconds = 8;
constexpr milliseconds kStatePeriod{200};

struct day {
  asio::io_context context{1};
  replica_list replicas;
  std::string replica_host;
  std::uint16_t next_port = 18080;
  std::size_t sent = 0;
  std::size_t answered = 0;
};

struct rollout_state {
  unsigned status = 0;
  std::string state;
  std::string target;
};

auto StartReplicas(day& state, const std::string& version) -> void {
  for (int i = 0; i < 2; ++i) {
    auto item = std::make_shared<replica>();
    item->id = "i-" + RandomId();
    item->service = "cart-ledger";
    item->zone = "akl-a";
    item->version = version;
    item->address = {asio::ip::make_address(state.replica_host),
                     state.next_port++};
    ServeReplica(state.context, item);
    state.replicas.push_back(std::move(item));
  }
}

auto StopOtherReplicas(day& state, const std::string& version) -> void {
  for (const auto& item : state.replicas) {
    if (item->version != version) item->state = "gone";
  }
}

auto ReadRollout(day& state, const case_arguments& arguments,
                 asio::yield_context yield) -> rollout_state {
  const auto result = OperatorCallUntilAnswered(
      state.context, arguments.control, http::verb::get,
      "/api/rollouts/cart-ledger", "", yield);
  rollout_state rollout{result.status, "", ""};
  if (result.status != 200) return rollout;
  const auto document = boost::json::parse(result.body);
  rollout.state = document.at("state").as_string().c_str();
  rollout.target = document.at("target").as_string().c_str();
  return rollout;
}

auto Describe(const rollout_state& rollout) -> std::string {
  return std::to_string(rollout.status) + " state \"" + rollout.state +
         "\" target \"" + rollout.target + "\"";
}

/// Sends the order until it has an answer; returns the status.
auto Order(day& state, const case_arguments& arguments, record_file& record,
           const std::string& target, asio::yield_context yield) -> unsigned {
  const boost::json::value order{{"backend", "cart-ledger"},
                                 {"target", target},
                                 {"duration_s", kRolloutSeconds}};
  const auto status = OperatorCallUntilAnswered(
                          state.context, arguments.control, http::verb::post,
                          "/api/rollouts", boost::json::serialize(order), yield)
                          .status;
  record.Line("order of " + target + ": answered " + std::to_string(status));
  return status;
}

/// Rolls the service out to a version; false if that is not completed.
auto RollOut(day& state, const case_arguments& arguments, record_file& record,
             const std::string& target, asio::yield_context yield) -> bool {
  if (Order(state, arguments, record, target, yield) != 200) return false;
  StartReplicas(state, target);
  const auto deadline = NowMs() + (kRolloutSeconds + 4) * 1'000;
  while (NowMs() < deadline) {
    Sleep(kStatePeriod, yield);
    const auto rollout = ReadRollout(state, arguments, yield);
    if (rollout.target != target || rollout.state != "completed") continue;
    record.Line("roll-out: " + Describe(rollout));
    StopOtherReplicas(state, target);
    return true;
  }
  record.Line("the roll-out to " + target + " is not completed");
  return false;
}

auto SendChecks(day& state, const tcp::endpoint& entry, record_file& record,
                asio::yield_context yield) -> void {
  for (;;) {
    asio::spawn(
        state.context,
        [&state, &record, entry](asio::yield_context call) {
          http_request request(http::verb::get, "/checks/stock", 11);
          request.set(http::field::host, "carts.example");
          ++state.sent;
          const auto result =
              CallOnce(state.context, entry, request, kTimeLimit, call);
          if (result.is_complete && result.status == 200) ++state.answered;
          record.Line("check " + result.id + ": " +
                      std::to_string(result.status) + " " + result.error);
        },
        asio::detached);
    Sleep(kRequestPeriod, yield);
  }
}

auto KillAll(const case_arguments& arguments, record_file& record) -> bool {
  for (const auto& path : arguments.pid_files) {
    int pid = 0;
    std::ifstream(path) >> pid;
    if (pid <= 0 || kill(pid, SIGKILL) != 0) return false;
  }
  record.Line("SIGKILL to all processes; each is started again after 0.3 s");
  return true;
}

auto Play(day& state, const case_arguments& arguments, record_file& record,
          asio::yield_context yield) -> int {
  ServeReplicaList(state.context, arguments.directory, state.replicas);
  const auto& entry = arguments.entries.front();
  if (!PutConfig(state.context, arguments.control, kConfig, yield) ||
      !AwaitReady(state.context, {entry.readiness}, yield)) {
    record.Line("the fleet did not start");
    return kNotRun;
  }
  asio::spawn(
      state.context,
      [&](asio::yield_context call) {
        SendChecks(state, entry.client, record, call);
      },
      asio::detached);
  Sleep(milliseconds(2'000), yield);
  if (arguments.has_trouble) {
    if (!RollOut(state, arguments, record, "v2", yield)) return kNotRun;
    Sleep(milliseconds(2'000), yield);
    if (!RollOut(state, arguments, record, "v3", yield)) return kNotRun;
    Sleep(milliseconds(2'000), yield);
  }
  if (Order(state, arguments, record, "v2", yield) != 200) return kNotRun;
  StartReplicas(state, "v2");
  record.Line("before the final fault: " +
              Describe(ReadRollout(state, arguments, yield)));
  if (!KillAll(arguments, record)) return kNotRun;
  Sleep(milliseconds(1'000), yield);
  const auto rollout = ReadRollout(state, arguments, yield);
  record.Line("after the final fault: " + Describe(rollout));
  if (rollout.status == 0) return kNotRun;
  Sleep(milliseconds((kRolloutSeconds + 2) * 1'000), yield);
  const auto later = ReadRollout(state, arguments, yield);
  record.Line("after the roll-out's time limit: " + Describe(later));
  const bool is_gone = rollout.status != 200 || rollout.target != "v2";
  const auto summary = std::to_string(state.sent) + " checks, " +
                       std::to_string(state.answered) + " answered; " +
                       (is_gone ? "LOST: the acknowledged order of v2 is gone"
                                : "the order of v2 is there");
  RecordRuns(state.replicas, record);
  record.Line(summary);
  std::cout << summary << std::endl;
  return is_gone ? kBroken : kHeld;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const auto arguments = ParseArguments(argc, argv);
  record_file record(arguments.record);
  day state;
  state.replica_host = arguments.replica_host;
  StartReplicas(state, "v1");
  std::_Exit(RunCase(state.context, std::chrono::seconds(100),
                     [&](asio::yield_context yield) {
                       return Play(state, arguments, record, yield);
                     }));
}
