#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagedale {

/// Number that the operator gives a route configuration; the highest wins.
using route_config_version = std::uint64_t;

/// How often backend servers may be asked to run one request of a route.
enum class route_kind : std::uint8_t {
  kRepeatable,  ///< any number of times
  kOnce,        ///< at most once; retried only if the server did not run it
  kStream,      ///< an event stream; resumed at another server if `resumable`
};

/// One of the services among which a route's requests are divided.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 0;

  auto operator==(const weighted_service&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, weight);
  }
};

/// Requests of one host whose path begins with `prefix`.
struct route {
  std::string name;
  std::string host;
  std::string prefix;  ///< begins and ends with a slash
  route_kind kind = route_kind::kRepeatable;
  bool resumable = false;  ///< streams: can resume after an event id
  bool open = false;       ///< needs no customer key
  bool prompts = false;    ///< requests describe their prompt and its parts
  std::int64_t timeout_ms = 0;  ///< longest time that a caller is kept waiting
  std::int64_t objective_ms = 0;  ///< time to the answer or to its first event
  std::int64_t pause_ms = 0;      ///< streams: longest pause between events
  std::uint32_t priority = 0;     ///< 0 is the most urgent
  /// Attempts per request that a server may have run.
  std::uint32_t max_attempts = 1;
  std::vector<weighted_service> services;
  std::vector<std::string> models;  ///< cascade, smallest first; may be empty

  auto operator==(const route&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, host, prefix, kind, resumable, open, prompts, timeout_ms,
            objective_ms, pause_ms, priority, max_attempts, services, models);
  }
};

/// A model that a service's servers can run.
struct service_model {
  std::string name;
  double cost = 0;  ///< per 1,000 generated tokens

  auto operator==(const service_model&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, cost);
  }
};

struct routed_service {
  std::string name;
  std::uint32_t max_connections = 0;  ///< per server, of all callers together
  std::vector<service_model> models;

  auto operator==(const routed_service&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, max_connections, models);
  }
};

struct route_customer {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  ///< overrides the route's

  auto operator==(const route_customer&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, keys, priority);
  }
};

/// Limits on callers' requests and connections.
struct caller_limits {
  std::uint64_t header_bytes = 16UL << 10U;
  std::uint64_t body_bytes = 4UL << 20U;
  std::int64_t header_timeout_ms = 10'000;
  std::int64_t idle_timeout_ms = 60'000;

  auto operator==(const caller_limits&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(header_bytes, body_bytes, header_timeout_ms, idle_timeout_ms);
  }
};

/// One version of the complete route configuration.
struct route_config {
  route_config_version version = 0;
  std::vector<route> routes;
  std::vector<routed_service> services;
  /// Without customers no route needs a key. Where keys are needed but none is
  /// valid, there is a customer without keys.
  std::vector<route_customer> customers;
  caller_limits limits;

  auto operator==(const route_config&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, routes, services, customers, limits);
  }
};

/// Describes the first error in a configuration, with the field and the allowed
/// values; nothing if it is valid.
auto FindConfigProblem(const route_config& config)
    -> std::optional<std::string>;

}  // namespace lovagedale
