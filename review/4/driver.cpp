// A route with model tiers is added by a config. Then one consumer sends each
// entry one request that names a model which the replicas do not have. The
// other consumers of that route must be served as before.

#include <boost/asio/detached.hpp>
#include <iostream>

#include "../common/loopback.h"

namespace {

using namespace review;  // NOLINT: a program's main file.
using std::chrono::milliseconds;

constexpr const char* kOrdersRoute = R"(
 {"name":"orders","host":"carts.example","path_prefix":"/orders/",
  "route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,
  "priority":0,"backend":"cart-ledger","max_attempts":3,"public":true})";
constexpr const char* kDraftsRoute = R"(
 {"name":"drafts","host":"carts.example","path_prefix":"/drafts/",
  "route_type":"streaming","timeout_ms":8000,"target_latency_ms":1500,
  "itl_target_ms":800,"priority":0,"backend":"lovage-pool","max_attempts":3,
  "public":true,"session_affinity":true,"stream_resume":true,
  "model_tiers":["small","large"]})";
constexpr const char* kServices = R"(
 {"name":"cart-ledger","health_check_path":"/healthz","max_connections":96},
 {"name":"lovage-pool","health_check_path":"/healthz","max_connections":360,
  "runtime":{"capacity":64,"models":[{"name":"small","cost":0.019},
  {"name":"large","cost":0.28}]}})";
constexpr const char* kLimits = R"({"max_header_bytes":16384,
 "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000})";

constexpr milliseconds kTimeLimit{8'000};
/// Of each route; the entries take turns.
constexpr milliseconds kRequestPeriod{25};
/// connected_ms of the settings.
constexpr milliseconds kConnected{3'000};
constexpr milliseconds kMeasured{6'000};
constexpr std::size_t kMinRequests = 20;
constexpr double kMinServedRatio = 0.25;

struct route_counts {
  std::size_t sent = 0;
  std::size_t served = 0;

  auto ServedFraction() const -> double {
    return sent == 0 ? 0
                     : static_cast<double>(served) / static_cast<double>(sent);
  }
};

struct day {
  asio::io_context context{1};
  replica_list replicas;
  bool is_measured = false;
  route_counts orders;
  route_counts drafts;
  std::size_t in_progress = 0;
};

auto ConfigDocument(int version, bool has_drafts) -> std::string {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         kOrdersRoute + (has_drafts ? std::string(",") + kDraftsRoute : "") +
         R"(],"backends":[)" + kServices + R"(],"limits":)" + kLimits + "}";
}

auto MakeOrder() -> http_request {
  http_request request(http::verb::post, "/orders/new", 11);
  request.set(http::field::host, "carts.example");
  request.body() = "40 crates";
  return request;
}

auto MakeDraft(const std::string& model) -> http_request {
  http_request request(http::verb::post, "/drafts/new", 11);
  request.set(http::field::host, "carts.example");
  request.set("X-Lovagedale-Model", model);
  request.set("X-Lovagedale-Token-Usage", "150,20");
  request.set("X-Lovagedale-Prefix-Hash", "5c1e07a2:100," + RandomId() + ":50");
  request.body() = "permit";
  return request;
}

auto Send(day& state, const tcp::endpoint& entry, http_request request,
          route_counts& counts, record_file& record, asio::yield_context yield)
    -> void {
  const bool is_measured = state.is_measured;
  ++state.in_progress;
  const auto result =
      CallOnce(state.context, entry, request, kTimeLimit, yield);
  --state.in_progress;
  const bool is_served = result.is_complete && result.status == 200;
  record.Line(std::string(request.target()) + " " + result.id + " to " +
              ToString(entry) + ": " + std::to_string(result.status) + " " +
              result.error);
  if (!is_measured) return;
  ++counts.sent;
  counts.served += is_served ? 1 : 0;
}

auto SendBoth(day& state, const case_arguments& arguments, record_file& record,
              bool has_drafts, milliseconds duration, asio::yield_context yield)
    -> void {
  const auto until_ms = NowMs() + duration.count();
  for (std::size_t turn = 0; NowMs() < until_ms; ++turn) {
    const auto entry =
        arguments.entries[turn % arguments.entries.size()].client;
    asio::spawn(
        state.context,
        [&, entry](asio::yield_context call) {
          Send(state, entry, MakeOrder(), state.orders, record, call);
        },
        asio::detached);
    if (has_drafts) {
      asio::spawn(
          state.context,
          [&, entry](asio::yield_context call) {
            Send(state, entry, MakeDraft("*"), state.drafts, record, call);
          },
          asio::detached);
    }
    Sleep(kRequestPeriod, yield);
  }
  while (state.in_progress > 0) Sleep(milliseconds(20), yield);
}

auto Play(day& state, const case_arguments& arguments, record_file& record,
          asio::yield_context yield) -> int {
  std::vector<tcp::endpoint> readiness;
  for (const auto& node : arguments.entries) {
    readiness.push_back(node.readiness);
  }
  if (!PutConfig(state.context, arguments.control, ConfigDocument(1, false),
                 yield) ||
      !AwaitReady(state.context, readiness, yield)) {
    record.Line("the fleet did not start");
    return kNotRun;
  }
  SendBoth(state, arguments, record, false, milliseconds(2'000), yield);
  if (!PutConfig(state.context, arguments.control, ConfigDocument(2, true),
                 yield)) {
    return kNotRun;
  }
  record.Line("version 2 is acknowledged: it adds the route of the drafts");
  Sleep(kConnected, yield);
  SendBoth(state, arguments, record, true, milliseconds(2'000), yield);
  if (arguments.has_trouble) {
    for (const auto& node : arguments.entries) {
      const auto result = CallOnce(state.context, node.client,
                                   MakeDraft("medium"), kTimeLimit, yield);
      record.Line("one draft with the model medium to " +
                  ToString(node.client) + ": " + std::to_string(result.status));
    }
  }
  Sleep(kConnected, yield);
  state.is_measured = true;
  SendBoth(state, arguments, record, true, kMeasured, yield);
  const bool is_broken = state.drafts.sent >= kMinRequests &&
                         state.drafts.ServedFraction() <
                             kMinServedRatio * state.orders.ServedFraction();
  const auto summary =
      "first route: " + std::to_string(state.orders.served) + " of " +
      std::to_string(state.orders.sent) +
      " served; added route: " + std::to_string(state.drafts.served) + " of " +
      std::to_string(state.drafts.sent);
  RecordRuns(state.replicas, record);
  record.Line(summary);
  std::cout << summary << std::endl;
  if (state.orders.ServedFraction() < 0.5) return kNotRun;
  return is_broken ? kBroken : kHeld;
}

auto MakeReplica(const case_arguments& arguments, const std::string& service,
                 int number) -> std::shared_ptr<replica> {
  auto item = std::make_shared<replica>();
  item->id = "i-" + RandomId();
  item->service = service;
  item->zone = "akl-a";
  item->address = {asio::ip::make_address(arguments.replica_host),
                   static_cast<std::uint16_t>(18080 + number)};
  return item;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const auto arguments = ParseArguments(argc, argv);
  record_file record(arguments.record);
  day state;
  for (int i = 0; i < 3; ++i) {
    state.replicas.push_back(MakeReplica(arguments, "cart-ledger", i));
    auto engine = MakeReplica(arguments, "lovage-pool", 10 + i);
    engine->capacity = 64;
    engine->rejects = [](const http_request& request) {
      const auto model = request["X-Lovagedale-Model"];
      return model != "small" && model != "large";
    };
    engine->more_headers = [](const http_request&) {
      return "Content-Type: text/event-stream\r\n";
    };
    engine->body = [](const http_request&) {
      return "id: 1\ndata: dear\n\nid: 2\ndata: council\n\n";
    };
    state.replicas.push_back(std::move(engine));
  }
  for (const auto& item : state.replicas) ServeReplica(state.context, item);
  ServeReplicaList(state.context, arguments.directory, state.replicas);
  std::_Exit(RunCase(state.context, std::chrono::seconds(60),
                     [&](asio::yield_context yield) {
                       return Play(state, arguments, record, yield);
                     }));
}
