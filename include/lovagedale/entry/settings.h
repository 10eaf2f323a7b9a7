#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/http/client.h"
#include "lovagedale/http/server.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// Settings of lovagedale-entry.
struct entry_settings {
  std::string name;
  std::string zone;
  std::string host;
  std::uint16_t http_port = 0;   ///< callers
  std::uint16_t admin_port = 0;  ///< operators and metrics
  std::uint16_t rpc_port = 0;    ///< other entries
  std::size_t traffic_threads = 2;
  std::vector<process_address> control;
  std::vector<process_address> ledgers;
  std::vector<process_address> entries;
  http_limits limits;
  http_deadlines deadlines;
  /// Time that the load balancer needs to notice that this entry is leaving.
  std::chrono::milliseconds drain_delay{2'000};
  /// Maximum time for running requests to finish in a graceful shutdown.
  std::chrono::milliseconds drain_limit{600'000};
  /// Retries allowed per request, from 0 to 1.
  double retry_fraction = 0.1;
  std::string log_file;
  std::string log_level;
};

/// Parses the JSON settings. Throws settings_invalid.
auto ParseEntrySettings(std::string_view text) -> entry_settings;

}  // namespace lovagedale
