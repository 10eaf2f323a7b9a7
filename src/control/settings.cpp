#include "lovagedale/control/settings.h"

#include "lovagedale/common/json_reader.h"
#include "lovagedale/common/settings_fields.h"

namespace lovagedale {
namespace {

constexpr std::int64_t kMaxMs = 60'000;

auto ReadReplication(object_reader& reader) -> replication_options {
  replication_options options;
  options.heartbeat_ms =
      reader.Integer("heartbeat_ms", 5, kMaxMs, options.heartbeat_ms);
  options.election_min_ms =
      reader.Integer("election_min_ms", 20, kMaxMs, options.election_min_ms);
  options.election_max_ms =
      reader.Integer("election_max_ms", 40, kMaxMs, options.election_max_ms);
  options.lease_ms = reader.Integer("lease_ms", 10, kMaxMs, options.lease_ms);
  if (options.lease_ms >= options.election_min_ms) {
    reader.AddError("lease_ms", std::to_string(options.lease_ms),
                    "less than election_min_ms");
  }
  if (options.heartbeat_ms * 2 >= options.lease_ms) {
    reader.AddError("heartbeat_ms", std::to_string(options.heartbeat_ms),
                    "less than half of lease_ms");
  }
  if (options.election_max_ms <= options.election_min_ms) {
    reader.AddError("election_max_ms", std::to_string(options.election_max_ms),
                    "more than election_min_ms");
  }
  return options;
}

}  // namespace

auto ParseReplicaSettings(std::string_view text) -> replica_settings {
  replica_settings settings;
  ReadSettings(text, [&](object_reader& root) {
    settings.name = root.RequiredString("name");
    settings.zone = root.RequiredString("zone");
    settings.host = root.RequiredString("host");
    settings.rpc_port = ReadPort(root, "rpc_port");
    settings.http_port = ReadPort(root, "http_port");
    settings.data_folder = root.RequiredString("data_folder");
    settings.replicas = ReadProcesses(root, "replicas");
    ReadLogSettings(root, settings.log_file, settings.log_level);
    root.Object("replication", [&](object_reader& reader) {
      settings.replication = ReadReplication(reader);
    });
    bool is_listed = false;
    for (const auto& replica : settings.replicas) {
      is_listed = is_listed || replica.name == settings.name;
    }
    if (!is_listed) {
      root.AddError("replicas", "a list without \"" + settings.name + "\"",
                    "a list with this process's own name");
    }
  });
  return settings;
}

}  // namespace lovagedale
