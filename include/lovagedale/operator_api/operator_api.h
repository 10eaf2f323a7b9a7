#pragma once

#include <string>
#include <string_view>

#include "lovagedale/configuration/changes.h"
#include "lovagedale/control/service.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// The operators' HTTP API of a control replica:
///   GET  /health, /ready
///   GET  /v1/status             role, members, entries, spread of the revision
///   GET  /v1/config             current revision and document
///   GET  /v1/config/history     recent changes, newest first
///   GET  /v1/force?revision=N   how far a revision has spread
///   GET  /v1/evidence           fleet-wide evidence by version and task class
///   POST /v1/changes            proposes a change
///   POST /v1/nodes/remove       removes a dead entry
/// Requests that need the leader answer 421 with its name elsewhere, and so
/// does any request with `current=true` on a replica that may be behind.
class operator_api {
 public:
  explicit operator_api(control_service& service) : service_(service) {}

  auto Handle(http_exchange& exchange) -> void;

 private:
  auto HandleStatus(http_exchange& exchange) -> void;
  auto HandleConfig(http_exchange& exchange) -> void;
  auto HandleHistory(http_exchange& exchange) -> void;
  auto HandlePropagation(http_exchange& exchange) -> void;
  auto HandleEvidence(http_exchange& exchange) -> void;
  auto HandleChange(http_exchange& exchange) -> void;
  auto HandleRemoveNode(http_exchange& exchange) -> void;
  auto RespondNotLeader(http_exchange& exchange) -> void;

  control_service& service_;
};

/// Reads a proposed change from JSON. Throws settings_invalid.
auto ParseChange(std::string_view text) -> change;

}  // namespace lovagedale
