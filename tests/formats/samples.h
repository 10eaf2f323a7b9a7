#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

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

/// Sets the fields that were added to the message up to `format`.
inline auto AddFieldsOf(format_number format, entry_heartbeat& heartbeat)
    -> void {
  if (format < kFleetLoadsFormat) return;
  heartbeat.loads = MakeSample<entry_loads>();
  heartbeat.work = MakeSample<std::vector<service_work>>();
  heartbeat.confidences = MakeSample<std::vector<confidence_report>>();
}

inline auto AddFieldsOf(format_number format, heartbeat_response& response)
    -> void {
  if (format < kFleetLoadsFormat) return;
  response.cold_servers = MakeSample<std::vector<cold_server>>();
  response.loads = MakeSample<fleet_loads>();
  response.heavy_shares = MakeSample<std::vector<heavy_work_share>>();
  response.thresholds = MakeSample<std::vector<fleet_threshold>>();
  if (format < kAlternativesFormat) return;
  response.alternatives = MakeSample<std::vector<quarantine_alternatives>>();
}

inline auto AddFieldsOf(format_number format, view_update& update) -> void {
  if (format < kFleetLoadsFormat) return;
  update.cold_limits.emplace(MakeSample<std::vector<service_cold_limit>>());
}

/// A sample of a message to which later formats have added fields.
template <typename Message>
auto MakeSampleOf(format_number format) -> Message {
  auto message = MakeSample<Message>();
  AddFieldsOf(format, message);
  return message;
}

/// Calls `visit` with a name and a sample of each message and stored item that
/// the first format has, with the fields that were added up to `format`.
template <typename Visitor>
auto ForEachSample(Visitor visit, format_number format = kFirstFormat) -> void {
  for (std::size_t i = 0; i < kFirstFormatReplicaMessages; ++i) {
    const auto envelope = MakeSample<replica_envelope>(i);
    visit("control_replica_message_" + std::to_string(i),
          control_request(envelope));
    visit("ledger_replica_message_" + std::to_string(i),
          ledger_request(envelope));
  }
  visit("heartbeat", control_request(MakeSampleOf<entry_heartbeat>(format)));
  visit("join", control_request(MakeSample<join_request>()));
  visit("heartbeat_response", MakeSampleOf<heartbeat_response>(format));
  VisitSample<join_response>("join_response", visit);
  visit("view_update", MakeSampleOf<view_update>(format));
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
  ForEachSample(visit, format);
  if (format < kGrantFormat) return;
  visit("grant_request", control_request(MakeSample<grant_request>()));
  VisitSample<grant_response>("grant_response", visit);
}

}  // namespace lovagedale::testing
