#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/common/json_reader.h"
#include "lovagedale/common/log.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// A port from 0 to 65535; 0 lets the kernel choose a free one.
auto ReadPort(object_reader& reader, std::string_view key) -> std::uint16_t;

/// An IP address and a port, written as IP:PORT.
struct ip_endpoint {
  std::string host;
  std::uint16_t port = 0;

  auto operator==(const ip_endpoint&) const -> bool = default;
};

/// std::nullopt unless `text` has a host and a port of 1 to 65535. Does not
/// check that the host is an IP address.
auto ParseEndpoint(std::string_view text) -> std::optional<ip_endpoint>;

/// A required string of the form IP:PORT.
auto ReadEndpoint(object_reader& reader, std::string_view key) -> ip_endpoint;

/// A list of this system's processes: name, zone, host and port of each.
auto ReadProcesses(object_reader& reader, std::string_view key)
    -> std::vector<process_address>;

/// Reads `log_file` (default empty: standard output) and `log_level` (default
/// `info`).
auto ReadLogSettings(object_reader& reader, std::string& file,
                     std::string& level) -> void;

/// Returns kInfo for an unknown name.
auto ParseLogLevel(std::string_view name) -> log_level;

}  // namespace lovagedale
