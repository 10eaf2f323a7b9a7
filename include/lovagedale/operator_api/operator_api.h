#pragma once

#include <string>
#include <string_view>

#include "lovagedale/configuration/changes.h"
#include "lovagedale/control/service.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// The HTTP API for operators on a control replica:
///   GET  /health, /ready
///   GET  /v1/status             role, members, entries, propagation status
///   GET  /v1/config             current revision and document
///   GET  /v1/config/history     recent changes, newest first
///   GET  /v1/force?revision=N   propagation status of a revision
///   GET  /v1/evidence           fleet-wide evidence by version and task class
///   POST /v1/changes            proposes a change
///   POST /v1/nodes/remove       removes an entry that has failed for good
/// Requests that need the leader are answered with 421 and the leader's name by
/// other replicas. So is any request with `current=true` on a replica whose
/// state may be out of date. 503 for a change or a removal means that the
/// outcome is unknown; a change may be sent again with the same change_id.
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
  /// Answers 421 with the name of the leader; empty if none is known.
  auto RespondNotLeader(http_exchange& exchange) -> void;

  control_service& service_;
};

/// Parses a proposed change (JSON) and sets its time to now. Throws
/// settings_invalid.
auto ParseChange(std::string_view text) -> change;

}  // namespace lovagedale
