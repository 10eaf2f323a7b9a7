#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Key of a service in heartbeats.
auto ServiceKey(const std::string& service) -> std::uint32_t;

/// Hash that identifies a list of helpers.
auto HashHelpers(const std::vector<std::string>& helpers) -> std::uint32_t;

/// What an entry reports about its ways to the servers.
struct reach_report {
  /// IP:PORT at which it takes calls of other entries; empty if it takes none.
  std::string address;
  /// Keys of the services of which it reaches no server, ascending.
  std::vector<std::uint32_t> unreachable_services;

  auto operator==(const reach_report&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(address, unreachable_services);
  }
};

/// The entries that can pass calls on to servers which others do not reach.
/// Pure; used by the control leader.
class helper_table {
 public:
  /// Nothing: the entry's last report still holds.
  auto Report(const std::string& entry, std::optional<reach_report> report,
              monotonic_ms now) -> void;
  auto Forget(const std::string& entry) -> void { reports_.erase(entry); }
  /// Addresses of up to kMaxHelpers other entries: of those that reach most of
  /// the services which `entry` does not, one at least; while it reaches all,
  /// most services at all. Each entry gets its own selection, which changes
  /// little when entries come and go.
  auto HelpersFor(const std::string& entry, monotonic_ms now) const
      -> std::vector<std::string>;

  /// Enough that one is left when a zone is cut off, and 0.2 KB in a heartbeat.
  static constexpr std::size_t kMaxHelpers = 6;
  /// Three reports are missing, at one a second.
  static constexpr monotonic_ms kReportMaxAgeMs = 3'000;

 private:
  struct stored_report {
    reach_report report;
    std::uint64_t name_hash = 0;
    monotonic_ms at_ms = 0;
  };

  std::map<std::string, stored_report> reports_;  ///< by entry
};

}  // namespace lovagedale
