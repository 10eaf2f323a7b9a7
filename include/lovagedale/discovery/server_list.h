#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// A backend server as the platform lists it. A restarted server counts as
/// another server: its id or its `started_at_ms` differs.
struct listed_server {
  std::string id;
  std::string service;
  std::string host;  ///< IP address
  std::uint16_t port = 0;
  std::string zone;
  std::string version;             ///< software version
  std::uint32_t capacity = 1;      ///< concurrent requests
  bool leaving = false;            ///< shutting down; gets no new work
  std::int64_t started_at_ms = 0;  ///< wall clock; 0 if unknown

  auto operator==(const listed_server&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(id, service, host, port, zone, version, capacity, leaving,
            started_at_ms);
  }
};

/// All servers as read at one time. Numbers increase with each changed list; a
/// later leader's numbers are greater than those of earlier ones.
struct server_list {
  std::uint64_t number = 0;
  std::vector<listed_server> servers;

  auto operator==(const server_list&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(number, servers);
  }
};

}  // namespace lovagedale
