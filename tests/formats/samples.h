#pragma once

#include <string>
#include <utility>
#include <variant>

#include "formats/sample_archive.h"
#include "lovagedale/configuration/changes.h"
#include "lovagedale/configuration/view_update.h"
#include "lovagedale/control/messages.h"
#include "lovagedale/ledger/messages.h"
#include "lovagedale/replication/log_store-inl.h"

namespace lovagedale::testing {

/// Alternatives that the variants had in the first format.
inline constexpr std::size_t kFirstFormatChangeActions = 11;
inline constexpr std::size_t kFirstFormatReplicaMessages = 6;
inline constexpr std::size_t kFirstFormatClaimCommands = 4;

template <typename Message, typename Visitor>
auto VisitSample(const std::string& name, Visitor& visit) -> void {
  visit(name, MakeSample<Message>());
}

/// Routes that control accepts.
inline auto MakeRoutes() -> route_config {
  auto routes = MakeSample<route_config>();
  for (auto& route : routes.routes) {
    route.prefix = "/" + route.name + "/";
    route.services = {{routes.services.front().name, 1}};
    route.models = {routes.services.front().models.front().name};
  }
  return routes;
}

/// A heartbeat with the fields that were added since the first format.
inline auto MakeHeartbeat() -> entry_heartbeat {
  auto heartbeat = MakeSample<entry_heartbeat>();
  heartbeat.work = MakeSample<std::vector<service_work>>();
  heartbeat.confidences = MakeSample<std::vector<confidence_report>>();
  return heartbeat;
}

/// The same of its response.
inline auto MakeHeartbeatResponse() -> heartbeat_response {
  auto response = MakeSample<heartbeat_response>();
  response.heavy_shares = MakeSample<std::vector<heavy_work_share>>();
  response.thresholds = MakeSample<std::vector<fleet_threshold>>();
  return response;
}

/// Calls `visit` with a name and a sample of each message and stored item that
/// the first format has.
template <typename Visitor>
auto ForEachSample(Visitor visit) -> void {
  for (std::size_t i = 0; i < kFirstFormatReplicaMessages; ++i) {
    const auto envelope = MakeSample<replica_envelope>(i);
    visit("control_replica_message_" + std::to_string(i),
          control_request(envelope));
    visit("ledger_replica_message_" + std::to_string(i),
          ledger_request(envelope));
  }
  visit("heartbeat", control_request(MakeHeartbeat()));
  visit("join", control_request(MakeSample<join_request>()));
  visit("heartbeat_response", MakeHeartbeatResponse());
  VisitSample<join_response>("join_response", visit);
  VisitSample<view_update>("view_update", visit);
  VisitSample<route_changes>("route_changes", visit);
  VisitSample<fleet_view>("fleet_view", visit);
  for (std::size_t i = 0; i < kFirstFormatChangeActions; ++i) {
    visit("change_" + std::to_string(i),
          control_command(MakeSample<change>(i)));
  }
  visit("register_node", control_command(MakeSample<register_node>()));
  visit("remove_node", control_command(MakeSample<remove_node>()));
  VisitSample<change_result>("change_result", visit);
  for (std::size_t i = 0; i < kFirstFormatClaimCommands; ++i) {
    visit("claim_" + std::to_string(i),
          ledger_request(MakeSample<claim_request>(i)));
  }
  visit("bill_batch", ledger_request(MakeSample<bill_batch>()));
  visit("exchange", ledger_request(MakeSample<exchange_request>()));
  visit("presence", ledger_request(MakeSample<entry_presence>()));
  VisitSample<claim_response>("claim_response", visit);
  VisitSample<exchange_response>("exchange_response", visit);
  VisitSample<log_batch>("log_batch", visit);
  VisitSample<log_snapshot>("log_snapshot", visit);
  VisitSample<member_set>("member_set", visit);
  visit("bill_records", MakeSample<bill_batch>().records);
}

/// The same for all messages and stored items that `format` has.
template <typename Visitor>
auto ForEachSampleOf(format_number format, Visitor visit) -> void {
  ForEachSample(visit);
  if (format < kGrantFormat) return;
  visit("grant_request", control_request(MakeSample<grant_request>()));
  VisitSample<grant_response>("grant_response", visit);
}

}  // namespace lovagedale::testing
