#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/http/client.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// Addresses that lovagedalectl uses: the operators' HTTP ports of all
/// processes.
struct operator_settings {
  std::vector<process_address> control;
  std::vector<process_address> ledgers;
  std::vector<process_address> entries;

  auto operator==(const operator_settings&) const -> bool = default;
};

/// Parses lovagedalectl's settings (JSON). Throws settings_invalid.
auto ParseOperatorSettings(std::string_view text) -> operator_settings;

/// Thrown if no process has answered the operator's call.
class fleet_unreachable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Blocking client of the operators' HTTP APIs, for command-line programs.
class operator_client {
 public:
  explicit operator_client(operator_settings settings)
      : settings_(std::move(settings)) {}

  /// Calls the control replicas in turn until the leader answers; a replica
  /// that answers 421 or 503 is not the leader or cannot answer yet. May send a
  /// request several times; this is safe for changes because of their
  /// change_id. Throws fleet_unreachable if `timeout` has passed after a round
  /// of calls.
  auto CallLeader(const std::string& method, const std::string& target,
                  const std::string& body, std::chrono::milliseconds timeout)
      -> http_answer;
  /// Returns the answer of the first control replica that answers. Throws
  /// fleet_unreachable.
  auto CallAnyControlReplica(const std::string& target) -> http_answer;
  /// Returns the answer of the first ledger that answers. Throws
  /// fleet_unreachable.
  auto CallAnyLedger(const std::string& target) -> http_answer;
  /// Returns the answers of all entries that can be reached.
  auto CallEntries(const std::string& target) -> std::vector<http_answer>;

 private:
  operator_settings settings_;
};

}  // namespace lovagedale
