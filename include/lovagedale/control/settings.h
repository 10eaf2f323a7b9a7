#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/common/format.h"
#include "lovagedale/http/connection_settings.h"
#include "lovagedale/replication/replica_core.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// Settings of a process that runs a replica: lovagedale-control or
/// lovagedale-ledger.
struct replica_settings {
  std::string name;
  std::string zone;
  std::string host;
  std::uint16_t rpc_port = 0;
  std::uint16_t http_port = 0;
  std::string data_folder;
  std::vector<process_address> replicas;  ///< the group, including this one
  /// Names (IP:HTTP_PORT) of replicas that a new replica asks to join the
  /// group; used instead of `replicas`. All replicas of the group then have the
  /// same `rpc_port`.
  std::vector<std::string> seeds;
  /// Set for the first start of a new group: the seeds are its initial voters.
  bool bootstrap = false;
  replication_options replication;
  connection_settings connections;
  /// Highest format that this replica, as the leader, raises the fleet to.
  format_number raise_fleet_format_to = kFirstFormat;
  /// For so long operators send an order that has no id again, at most.
  std::chrono::milliseconds order_resend{4'000};
  std::string log_file;
  std::string log_level;

  auto operator==(const replica_settings&) const -> bool = default;
};

/// Parses the JSON settings of lovagedale-control and lovagedale-ledger.
/// Throws settings_invalid.
auto ParseReplicaSettings(std::string_view text) -> replica_settings;

/// RPC address of the replica whose name has the form IP:HTTP_PORT; nothing for
/// other names.
auto AddressOfReplica(const std::string& name, std::uint16_t rpc_port)
    -> std::optional<process_address>;

}  // namespace lovagedale
