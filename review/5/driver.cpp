// A service is being rolled out to a bad version, and the operator orders the
// version before again. The bad version must not get more than a canary's share
// of the requests.

#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <iostream>

#include "../common/loopback.h"

namespace {

using namespace review;  // NOLINT: a program's main file.
using std::chrono::milliseconds;

constexpr const char* kConfig = R"({"version":1,"routes":[
 {"name":"orders","host":"carts.example","path_prefix":"/orders/",
  "route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,
  "priority":0,"backend":"cart-ledger","max_attempts":3,"public":true}],
 "backends":[{"name":"cart-ledger","health_check_path":"/healthz",
  "max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";
constexpr milliseconds kTimeLimit{3'000};
constexpr milliseconds kRequestPeriod{16};
constexpr std::int64_t kRolloutSeconds = 12;
/// When the operator orders the version before, after the order of the new one.
constexpr milliseconds kSecondOrderAfter{1'500};
/// canary_share and canary_tolerance of the settings.
constexpr double kCanaryShare = 0.15;
constexpr double kCanaryTolerance = 30;
/// Part of its requests that the bad version fails, and the largest one of the
/// sites' days.
constexpr std::size_t kFailsEvery = 2;

struct day {
  asio::io_context context{1};
  replica_list replicas;
  std::string replica_host;
  std::uint16_t next_port = 18080;
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t failed = 0;
};

auto StartReplicas(day& state, const std::string& version) -> void {
  for (int i = 0; i < 3; ++i) {
    auto item = std::make_shared<replica>();
    item->id = "i-" + RandomId();
    item->service = "cart-ledger";
    item->zone = "akl-a";
    item->version = version;
    item->address = {asio::ip::make_address(state.replica_host),
                     state.next_port++};
    if (version == "v2") {
      item->fails = [count = std::size_t{0}](const http_request&) mutable {
        return ++count % kFailsEvery == 0;
      };
    }
    ServeReplica(state.context, item);
    state.replicas.push_back(std::move(item));
  }
}

auto SendOrders(day& state, const tcp::endpoint& entry, record_file& record,
                asio::yield_context yield) -> void {
  for (;;) {
    asio::spawn(
        state.context,
        [&state, &record, entry](asio::yield_context call) {
          http_request request(http::verb::post, "/orders/new", 11);
          request.set(http::field::host, "carts.example");
          request.body() = "40 crates";
          ++state.sent;
          const auto result =
              CallOnce(state.context, entry, request, kTimeLimit, call);
          const bool is_success = result.is_complete && result.status == 200;
          ++(is_success ? state.answered : state.failed);
          record.Line("order " + result.id + ": " +
                      std::to_string(result.status) + " " + result.error);
        },
        asio::detached);
    Sleep(kRequestPeriod, yield);
  }
}

/// Orders a roll-out until that has an answer; returns the status.
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

/// Requests that replicas of the version began from `from_ms` on.
auto CountRuns(const day& state, const std::string& version,
               std::int64_t from_ms) -> std::size_t {
  std::size_t count = 0;
  for (const auto& item : state.replicas) {
    if (item->version != version) continue;
    for (const auto& run : item->runs) count += run.began_ms >= from_ms ? 1 : 0;
  }
  return count;
}

auto Play(day& state, const case_arguments& arguments, record_file& record,
          asio::yield_context yield) -> int {
  const auto& entry = arguments.entries.front();
  if (!PutConfig(state.context, arguments.control, kConfig, yield) ||
      !AwaitReady(state.context, {entry.readiness}, yield)) {
    record.Line("the fleet did not start");
    return kNotRun;
  }
  asio::spawn(
      state.context,
      [&](asio::yield_context call) {
        SendOrders(state, entry.client, record, call);
      },
      asio::detached);
  Sleep(milliseconds(3'000), yield);
  if (state.failed * 10 > state.sent) return kNotRun;
  if (Order(state, arguments, record, "v2", yield) != 200) return kNotRun;
  const auto ordered_ms = NowMs();
  const auto failed_before = state.failed;
  StartReplicas(state, "v2");
  Sleep(kSecondOrderAfter, yield);
  if (arguments.has_trouble &&
      Order(state, arguments, record, "v1", yield) != 200) {
    return kNotRun;
  }
  for (auto from_ms = NowMs(); NowMs() < ordered_ms + kRolloutSeconds * 1'000;
       from_ms = NowMs()) {
    Sleep(milliseconds(1'000), yield);
    const auto result = OperatorCallUntilAnswered(
        state.context, arguments.control, http::verb::get,
        "/api/rollouts/cart-ledger", "", yield);
    record.Line("in a second: v1 ran " +
                std::to_string(CountRuns(state, "v1", from_ms)) + ", v2 ran " +
                std::to_string(CountRuns(state, "v2", from_ms)) +
                "; roll-out " + result.body);
  }
  const auto bad = CountRuns(state, "v2", ordered_ms);
  const auto all = bad + CountRuns(state, "v1", ordered_ms);
  const auto allowed =
      kCanaryShare * static_cast<double>(all) + kCanaryTolerance;
  const bool is_broken = static_cast<double>(bad) > allowed;
  const auto summary = "from the order of v2 to its time limit " +
                       std::to_string(all) + " orders reached the service, " +
                       std::to_string(bad) + " the bad version, allowed " +
                       std::to_string(static_cast<int>(allowed)) + "; " +
                       std::to_string(state.failed - failed_before) + " failed";
  RecordRuns(state.replicas, record);
  record.Line(summary);
  std::cout << summary << std::endl;
  return is_broken ? kBroken : kHeld;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const auto arguments = ParseArguments(argc, argv);
  record_file record(arguments.record);
  day state;
  state.replica_host = arguments.replica_host;
  StartReplicas(state, "v1");
  ServeReplicaList(state.context, arguments.directory, state.replicas);
  std::_Exit(RunCase(state.context, std::chrono::seconds(80),
                     [&](asio::yield_context yield) {
                       return Play(state, arguments, record, yield);
                     }));
}
