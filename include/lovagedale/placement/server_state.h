#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// What this entry knows of one back-end server. Shared by its threads and
/// kept across configuration changes.
class server_state {
 public:
  explicit server_state(std::string name) : name_(std::move(name)) {}

  auto name() const -> const std::string& { return name_; }

  std::atomic<std::int32_t> in_flight{0};
  /// Requests at the server by its latest report, this entry's included.
  std::atomic<std::int32_t> reported_load{0};
  /// This entry's requests in flight when the report was taken.
  std::atomic<std::int32_t> in_flight_at_report{0};
  std::atomic<monotonic_ms> load_reported_at{-1};
  /// No new work before this time; set when it cannot be reached.
  std::atomic<monotonic_ms> ejected_until{0};
  std::atomic<bool> reported_leaving{false};  ///< by its own report
  std::atomic<bool> listed_leaving{false};    ///< by the platform's list
  auto IsLeaving() const -> bool {
    return reported_leaving.load(std::memory_order_relaxed) ||
           listed_leaving.load(std::memory_order_relaxed);
  }
  std::atomic<std::uint32_t> consecutive_failures{0};
  std::atomic<std::uint32_t> suspects_running{0};

  /// Versions that the server says it holds, as sorted name hashes; null if it
  /// always holds those it is configured for.
  std::atomic<std::shared_ptr<const std::vector<std::uint64_t>>>
      loaded_versions;
  auto Holds(std::uint64_t version_hash) const -> bool;

  /// Requests that run there, for blame if it crashes.
  auto AddRunning(std::uint64_t fingerprint) -> void;
  auto RemoveRunning(std::uint64_t fingerprint) -> void;
  auto Running() const -> std::vector<std::uint64_t>;

 private:
  std::string name_;
  mutable std::mutex mutex_;
  std::vector<std::uint64_t> running_;
};

/// The states of all servers by name. Used by the control thread, which puts
/// pointers into each routing table.
class server_registry {
 public:
  auto Get(const std::string& name) -> std::shared_ptr<server_state>;

 private:
  std::unordered_map<std::string, std::shared_ptr<server_state>> states_;
};

}  // namespace lovagedale
