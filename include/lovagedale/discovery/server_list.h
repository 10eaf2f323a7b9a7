#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// A back-end server as the platform lists it. Another start of a server is
/// another one, with another id or another `born_ms`.
struct listed_server {
  std::string id;
  std::string service;
  std::string host;  ///< IP number
  std::uint16_t port = 0;
  std::string zone;
  std::string version;             ///< of its software
  std::uint32_t capacity = 1;      ///< requests that it works on at once
  bool leaving = false;            ///< gets no new work
  std::int64_t started_at_ms = 0;  ///< wall clock of its start; 0 if not told

  auto operator==(const listed_server&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(id, service, host, port, zone, version, capacity, leaving,
            started_at_ms);
  }
};

/// All servers at one reading. Readings are numbered in the order in which
/// they were made; a later leader's numbers are greater.
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
