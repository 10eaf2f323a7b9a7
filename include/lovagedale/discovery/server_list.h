#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lovagedale/admission/cold_limit.h"
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
  /// Until then the server is cold, by the monotonic clock of this process; 0
  /// if it is not cold. Sent as cold_server, not as a part of this.
  monotonic_ms cold_until_ms = 0;

  auto operator==(const listed_server&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(id, service, host, port, zone, version, capacity, leaving,
            started_at_ms);
  }
};

/// Whether a list need not be sent again for this server at `now`. The
/// platform's list is up to 2 s old, so the same end of a cold time is read
/// differently.
auto IsSameListing(const listed_server& before, const listed_server& after,
                   monotonic_ms now) -> bool;

/// The rest of a listed server's cold time; control sends it beside a
/// server_list_update.
struct cold_server {
  std::uint32_t server = 0;        ///< ServerKey of its id
  std::uint16_t remaining_ds = 0;  ///< tenths of a second

  auto operator==(const cold_server&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(server, remaining_ds);
  }
};

/// The cold times of those servers that are cold at `now`.
auto ColdServers(const std::vector<listed_server>& servers, monotonic_ms now)
    -> std::vector<cold_server>;
/// Sets the servers' cold times from what ColdServers returned. Servers that
/// are not among `cold` are not cold.
auto SetColdTimes(std::vector<listed_server>& servers,
                  const std::vector<cold_server>& cold, monotonic_ms now)
    -> void;
/// Drops the cold times of servers whose service has no limit for them, and
/// caps the others at MaxColdMs.
auto RestrictColdTimes(std::vector<listed_server>& servers,
                       const std::vector<service_cold_limit>& limits,
                       monotonic_ms now) -> void;

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
