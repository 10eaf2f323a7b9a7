#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/http/client.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// Where lovagedalectl finds the fleet: operators' HTTP ports.
struct operator_settings {
  std::vector<process_address> control;
  std::vector<process_address> ledgers;
  std::vector<process_address> entries;

  auto operator==(const operator_settings&) const -> bool = default;
};

auto ParseOperatorSettings(std::string_view text) -> operator_settings;

/// Nobody could answer the operator's call.
class fleet_unreachable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Calls the operators' HTTP APIs. Blocks; for a command-line program.
class operator_client {
 public:
  explicit operator_client(operator_settings settings)
      : settings_(std::move(settings)) {}

  /// Calls control replicas in turn until the leader answers. A change may be
  /// sent again: its change id makes that safe. Throws fleet_unreachable.
  auto CallLeader(const std::string& method, const std::string& target,
                  const std::string& body, std::chrono::milliseconds timeout)
      -> http_answer;
  /// First control replica that answers.
  auto CallAnyControlReplica(const std::string& target) -> http_answer;
  /// First ledger that answers.
  auto CallAnyLedger(const std::string& target) -> http_answer;
  /// Answers of all entries that can be reached.
  auto CallEntries(const std::string& target) -> std::vector<http_answer>;

 private:
  operator_settings settings_;
};

}  // namespace lovagedale
