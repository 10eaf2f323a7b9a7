#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lovagedale/replication/replica_core.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// Settings shared by the processes that keep a replicated log.
struct replica_settings {
  std::string name;
  std::string zone;
  std::string host;
  std::uint16_t rpc_port = 0;
  std::uint16_t http_port = 0;
  std::string data_folder;
  std::vector<process_address> replicas;  ///< all of the group, this one too
  /// Names, as IP:HTTP_PORT, of replicas that know the group, in place of
  /// `replicas`. The group's replicas then have one `rpc_port` and join by
  /// themselves.
  std::vector<std::string> seeds;
  /// The whole group starts for the first time: the seeds form it.
  bool bootstrap = false;
  replication_options replication;
  std::string log_file;
  std::string log_level;

  auto operator==(const replica_settings&) const -> bool = default;
};

/// Parses the JSON settings of lovagedale-control and lovagedale-ledger.
/// Throws settings_invalid.
auto ParseReplicaSettings(std::string_view text) -> replica_settings;

/// Where the replica with a name of the form IP:HTTP_PORT takes calls of our
/// processes; nothing for other names.
auto AddressOfReplica(const std::string& name, std::uint16_t rpc_port)
    -> std::optional<process_address>;

}  // namespace lovagedale
