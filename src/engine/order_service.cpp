#include "lovagedale/engine/order_service.h"

#include <boost/json.hpp>

#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/http/client.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr http_deadlines kDeadlines{
    milliseconds(kOrderTimeoutMs), milliseconds(kOrderTimeoutMs),
    milliseconds(kOrderTimeoutMs), milliseconds(kOrderTimeoutMs)};

auto ReadVersions(const catalog& config, const json::value& names)
    -> std::set<version_id> {
  std::set<version_id> versions;
  for (const auto& name : names.as_array()) {
    const auto id = config.FindVersion(std::string_view(name.as_string()));
    if (id) versions.insert(*id);
  }
  return versions;
}

}  // namespace

order_service::order_service(asio::io_context& context,
                             std::function<order_authority()> authority)
    : context_(context), authority_(std::move(authority)) {}

auto order_service::Run(std::shared_ptr<const catalog> config,
                        const fleet_view& view, const zone_demand& demand)
    -> void {
  if (running_) return;
  running_ = true;
  SpawnTask(context_, [this, config = std::move(config), view,
                       demand](asio::yield_context yield) {
    RunOnce(config, view, demand, yield);
    running_ = false;
  });
}

auto order_service::RunOnce(std::shared_ptr<const catalog> config,
                            const fleet_view& view, const zone_demand& demand,
                            asio::yield_context yield) -> void {
  planner_input input{config.get(), &view, {}, demand};
  for (server_id id = 0; id < config->servers.size(); ++id) {
    if (config->servers[id].max_loaded_versions == 0) continue;
    if (auto report = ReadReport(*config, id, yield)) {
      input.reports[id] = std::move(*report);
    }
  }
  for (const auto& order : PlanOrders(input)) {
    if (authority_().lease_remaining_ms <= kOrderTimeoutMs) return;
    SendOrder(*config, order, yield);
  }
}

auto order_service::ReadReport(const catalog& config, server_id id,
                               asio::yield_context yield)
    -> std::optional<engine_report> {
  const auto& server = config.servers[id];
  http_request request;
  request.method = "GET";
  request.target = "/load";
  try {
    const auto answer = HttpCall(context_, server.host, server.port, request,
                                 kDeadlines, yield);
    const auto value = json::parse(answer.body);
    return engine_report{ReadVersions(config, value.at("versions")),
                         ReadVersions(config, value.at("loading"))};
  } catch (const std::exception&) {
    return std::nullopt;  // Without a report, the engine gets no orders.
  }
}

auto order_service::SendOrder(const catalog& config, const engine_order& order,
                              asio::yield_context yield) -> void {
  const auto& server = config.servers[order.server];
  const auto fence = authority_().fence;
  const auto* action = order.action == order_action::kLoad ? "load" : "unload";
  const auto& version = config.versions[order.version].name;
  http_request request;
  request.method = "POST";
  request.target = "/orders";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = json::serialize(
      json::value{{"fence", fence}, {"action", action}, {"version", version}});
  unsigned status = 0;  // Logged as 0 if there is no answer.
  try {
    status =
        HttpCall(context_, server.host, server.port, request, kDeadlines, yield)
            .head.status;
  } catch (const http_call_error&) {
    // The next report shows whether the order was carried out.
  }
  log_line(log_level::kInfo, "engine_order")
      .With("server", server.name)
      .With("action", action)
      .With("version", version)
      .With("fence", fence)
      .With("status", status)
      .With("reason", order.reason);
}

}  // namespace lovagedale
