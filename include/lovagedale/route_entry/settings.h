#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/common/settings_fields.h"
#include "lovagedale/relay/relay_state.h"

namespace lovagedale {

/// Settings of an entry that relays by routes to discovered servers.
struct route_entry_settings {
  std::string name;
  std::string zone;
  ip_endpoint callers;  ///< where callers' connections come in
  ip_endpoint ready;    ///< where the balancer asks whether to send any
  std::uint16_t metrics_port = 0;  ///< on the same host as `ready`
  std::uint16_t control_port = 0;  ///< where control replicas take our calls
  std::vector<std::string> seeds;  ///< control replicas, as IP:HTTP_PORT
  relay_settings relay;
  /// Time for the balancer to move after this entry says that it leaves.
  std::chrono::milliseconds drain_delay{2'500};
  /// Time in all after which the platform ends a process that still runs.
  std::chrono::milliseconds grace{8'000};
  std::string log_file;
  std::string log_level;

  auto operator==(const route_entry_settings&) const -> bool = default;
};

/// Parses the JSON settings. Throws settings_invalid.
auto ParseRouteEntrySettings(std::string_view text) -> route_entry_settings;

}  // namespace lovagedale
