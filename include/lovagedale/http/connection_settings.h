#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "lovagedale/common/json_reader.h"
#include "lovagedale/http/connection_account.h"

namespace lovagedale {

/// Limits of a process's HTTP connections.
struct connection_settings {
  /// Connections of all HTTP ports; 0: by the descriptors that the process may
  /// open.
  std::size_t max_connections = 0;
  /// Memory of all HTTP ports' connections and requests. Two fifths of the
  /// smallest host's 120 MB.
  std::size_t max_memory_bytes = 48UL << 20U;

  auto operator==(const connection_settings&) const -> bool = default;
};

/// Descriptors that this process may open (RLIMIT_NOFILE).
auto MaxDescriptors() -> std::size_t;
/// Memory that this process may use: the least of the machine's, the process's
/// limits and its control group's.
auto HostMemoryBytes() -> std::size_t;

/// Reads the optional object `connections`. A limit above what the host has is
/// an error.
auto ReadConnectionSettings(object_reader& root) -> connection_settings;

/// `has_reserved_ports`: a sixteenth of the connections, and a fifth of the
/// memory, are kept for readiness, metrics and operators.
auto MakeAccountLimits(const connection_settings& settings,
                       std::size_t max_descriptors, bool has_reserved_ports)
    -> account_limits;

/// An account's metrics in the Prometheus text format.
auto FormatConnectionMetrics(const connection_account& account) -> std::string;

}  // namespace lovagedale
