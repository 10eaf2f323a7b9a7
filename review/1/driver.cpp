// Two of three entries of a zone get SIGTERM under traffic, and late in their
// grace period one sound replica is silent for a second. Consumers that the
// stopping entries have taken must get their answers.

#include <signal.h>

#include <boost/asio/detached.hpp>
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
/// 140 requests a second for three entries.
constexpr milliseconds kRequestPeriod{7};
constexpr std::int64_t kWarmUpMs = 6'000;
/// grace_period_s of the settings.
constexpr std::int64_t kGraceMs = 8'000;
/// A stop counts as planned work until this time after the grace period.
constexpr std::int64_t kPlannedAfterMs = 1'000;
/// Requests sent later than this after SIGTERM are not excused by the replica's
/// work at the end of the grace period.
constexpr std::int64_t kExcusedMs = 3'000;
constexpr std::int64_t kSilenceBeginsMs = 6'650;  ///< after SIGTERM
constexpr std::int64_t kSilenceMs = 1'000;
/// The provider asks each node once a second and takes it out after two misses.
constexpr milliseconds kReadinessPeriod{1'000};
constexpr int kMaxMisses = 2;

struct node_state {
  entry_node node;
  int misses = 0;
  bool is_stopped = false;  ///< it got SIGTERM
};

struct day {
  asio::io_context context{1};
  std::vector<node_state> nodes;
  replica_list replicas;
  std::int64_t stopped_ms = -1;  ///< when SIGTERM was sent; -1 before
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t lost = 0;
  std::size_t excused = 0;
  std::size_t in_progress = 0;
  std::size_t turn = 0;
};

auto HasReachedReplica(const day& state, const std::string& id) -> bool {
  for (const auto& item : state.replicas) {
    if (item->arrivals.contains(id)) return true;
  }
  return false;
}

/// The node for the next connection, as the provider selects it: if fewer than
/// half of the zone's nodes are in rotation, all are used.
auto SelectNode(day& state) -> node_state& {
  std::vector<node_state*> in_rotation;
  for (auto& item : state.nodes) {
    if (item.misses < kMaxMisses) in_rotation.push_back(&item);
  }
  const auto turn = state.turn++;
  if (2 * in_rotation.size() < state.nodes.size()) {
    return state.nodes[turn % state.nodes.size()];
  }
  return *in_rotation[turn % in_rotation.size()];
}

auto PollReadiness(day& state, node_state& item, asio::yield_context yield)
    -> void {
  for (;;) {
    const bool is_ready = IsReady(state.context, item.node.readiness, yield);
    item.misses = is_ready ? 0 : item.misses + 1;
    Sleep(kReadinessPeriod, yield);
  }
}

auto PlaceOrder(day& state, record_file& record, asio::yield_context yield)
    -> void {
  auto& item = SelectNode(state);
  http_request request(http::verb::post, "/orders/new", 11);
  request.set(http::field::host, "carts.example");
  request.body() = "40 crates";
  ++state.sent;
  ++state.in_progress;
  const auto result =
      CallOnce(state.context, item.node.client, request, kTimeLimit, yield);
  --state.in_progress;
  const auto after_stop =
      state.stopped_ms < 0 ? -1 : result.sent_ms - state.stopped_ms;
  std::string outcome;
  if (result.is_complete) {
    ++(result.status == 200 ? state.answered : state.refused);
    outcome = "answered " + std::to_string(result.status);
  } else if (!result.was_sent || result.has_timed_out ||
             !HasReachedReplica(state, result.id)) {
    outcome = "not counted: " + result.error;
  } else if (!item.is_stopped || after_stop <= kExcusedMs ||
             result.ended_ms - state.stopped_ms > kGraceMs + kPlannedAfterMs) {
    ++state.excused;
    outcome = "excused: " + result.error;
  } else {
    ++state.lost;
    outcome = "LOST: a replica has it; " + result.error;
  }
  record.Line("order " + result.id + " to " + ToString(item.node.client) +
              " sent at " + std::to_string(result.sent_ms) + " (" +
              std::to_string(after_stop) + " ms after SIGTERM): " + outcome);
}

auto SendOrders(day& state, record_file& record, std::int64_t until_ms,
                asio::yield_context yield) -> void {
  while (NowMs() < until_ms) {
    asio::spawn(
        state.context,
        [&](asio::yield_context call) { PlaceOrder(state, record, call); },
        asio::detached);
    Sleep(kRequestPeriod, yield);
  }
}

auto Play(day& state, const case_arguments& arguments, record_file& record,
          asio::yield_context yield) -> int {
  std::vector<tcp::endpoint> readiness;
  for (const auto& item : state.nodes) {
    readiness.push_back(item.node.readiness);
  }
  if (!PutConfig(state.context, arguments.control, kConfig, yield) ||
      !AwaitReady(state.context, readiness, yield)) {
    record.Line("the fleet did not start");
    return kNotRun;
  }
  for (auto& item : state.nodes) {
    asio::spawn(
        state.context,
        [&](asio::yield_context poll) { PollReadiness(state, item, poll); },
        asio::detached);
  }
  SendOrders(state, record, NowMs() + kWarmUpMs, yield);
  if (state.answered * 10 < state.sent * 9) {
    record.Line("the fleet does not serve");
    return kNotRun;
  }
  state.stopped_ms = NowMs();
  if (arguments.has_trouble) {
    for (std::size_t i = 0; i < 2; ++i) {
      record.Line("SIGTERM to " + ToString(state.nodes[i].node.client));
      if (kill(state.nodes[i].node.pid, SIGTERM) != 0) return kNotRun;
      state.nodes[i].is_stopped = true;
    }
  }
  SendOrders(state, record, state.stopped_ms + kSilenceBeginsMs, yield);
  state.replicas.front()->silent_until_ms = NowMs() + kSilenceMs;
  record.Line("replica " + state.replicas.front()->id + " is silent for " +
              std::to_string(kSilenceMs) + " ms");
  SendOrders(state, record, state.stopped_ms + kGraceMs + 1'000, yield);
  while (state.in_progress > 0) Sleep(milliseconds(50), yield);
  const auto summary = std::to_string(state.sent) + " orders, " +
                       std::to_string(state.answered) + " answered, " +
                       std::to_string(state.refused) + " refused, " +
                       std::to_string(state.excused) + " excused, " +
                       std::to_string(state.lost) + " lost";
  RecordRuns(state.replicas, record);
  record.Line(summary);
  std::cout << summary << std::endl;
  return state.lost > 0 ? kBroken : kHeld;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const auto arguments = ParseArguments(argc, argv);
  record_file record(arguments.record);
  day state;
  for (const auto& node : arguments.entries) state.nodes.push_back({node});
  for (int i = 0; i < 3; ++i) {
    auto item = std::make_shared<replica>();
    item->id = "i-" + RandomId();
    item->service = "cart-ledger";
    item->zone = "akl-a";
    item->address = {asio::ip::make_address(arguments.replica_host),
                     static_cast<std::uint16_t>(18080 + i)};
    ServeReplica(state.context, item);
    state.replicas.push_back(std::move(item));
  }
  ServeReplicaList(state.context, arguments.directory, state.replicas);
  std::_Exit(RunCase(state.context, std::chrono::seconds(70),
                     [&](asio::yield_context yield) {
                       return Play(state, arguments, record, yield);
                     }));
}
