#include "lovagedale/control/settings.h"

#include "lovagedale/common/json_reader.h"
#include "lovagedale/common/settings_fields.h"

namespace lovagedale {
namespace {

constexpr std::int64_t kMaxMs = 60'000;
constexpr std::int64_t kMaxHostFaults = 4;
constexpr std::int64_t kMaxOrderResendMs = 600'000;
constexpr std::int64_t kMaxKeptEntries = 1'000'000;

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
  // 2n + 1 voters keep a majority when n hosts fail.
  const auto host_faults = reader.Integer("host_faults", 0, kMaxHostFaults, 0);
  options.target_voters =
      host_faults == 0 ? 0 : static_cast<std::size_t>(2 * host_faults + 1);
  options.kept_entries = static_cast<std::size_t>(
      reader.Integer("kept_entries", 0, kMaxKeptEntries,
                     static_cast<std::int64_t>(options.kept_entries)));
  return options;
}

}  // namespace

auto AddressOfReplica(const std::string& name, std::uint16_t rpc_port)
    -> std::optional<process_address> {
  const auto endpoint = ParseEndpoint(name);
  if (!endpoint) return std::nullopt;
  return process_address{name, endpoint->host, rpc_port, ""};
}

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
    settings.seeds = root.StringList("seeds");
    settings.bootstrap = root.Bool("bootstrap", false);
    ReadLogSettings(root, settings.log_file, settings.log_level);
    settings.connections = ReadConnectionSettings(root);
    root.Object("replication", [&](object_reader& reader) {
      settings.replication = ReadReplication(reader);
    });
    settings.replication.zone = settings.zone;
    settings.raise_fleet_format_to = static_cast<format_number>(root.Integer(
        "raise_fleet_format_to", kFirstFormat, kFormat, kFirstFormat));
    settings.order_resend = std::chrono::milliseconds(
        root.Integer("order_resend_ms", 0, kMaxOrderResendMs,
                     settings.order_resend.count()));
    if (!settings.seeds.empty() && settings.http_port == 0) {
      const auto own = ParseEndpoint(settings.name);
      if (own) {
        settings.http_port = own->port;
      } else {
        root.AddError("name", "\"" + settings.name + "\"",
                      "IP:HTTP_PORT where seeds are given");
      }
    }
    bool is_listed = !settings.seeds.empty();
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
