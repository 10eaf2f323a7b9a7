#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/common/settings_fields.h"
#include "lovagedale/http/connection_settings.h"
#include "lovagedale/relay/relay_state.h"

namespace lovagedale {

/// Settings of an entry that relays by routes to discovered servers.
struct route_entry_settings {
  std::string name;
  std::string zone;
  ip_endpoint callers;  ///< listens for callers
  ip_endpoint ready;    ///< listens for readiness checks of the balancer
  std::uint16_t metrics_port = 0;  ///< on the same host as `ready`
  /// Listens for calls of other entries, on the same host as `callers`; 0:
  /// takes none.
  std::uint16_t entry_port = 0;
  std::uint16_t control_port = 0;  ///< RPC port of the control replicas
  std::vector<std::string> seeds;  ///< control replicas, as IP:HTTP_PORT
  /// By listed address (IP:PORT): the address under which this host reaches the
  /// server, where it differs.
  std::map<std::string, ip_endpoint> server_addresses;
  relay_settings relay;
  connection_settings connections;
  /// Time for the balancer to stop sending connections once a drain has
  /// started.
  std::chrono::milliseconds drain_delay{2'500};
  /// Total time after which the platform kills a process that is stopping.
  std::chrono::milliseconds grace{8'000};
  std::string log_file;
  std::string log_level;

  auto operator==(const route_entry_settings&) const -> bool = default;
};

/// Parses the JSON settings. Throws settings_invalid.
auto ParseRouteEntrySettings(std::string_view text) -> route_entry_settings;

}  // namespace lovagedale
