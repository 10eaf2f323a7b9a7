#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/admission/server_limit.h"
#include "lovagedale/common/time.h"

namespace lovagedale {

/// State of one backend server as seen by this entry. Shared by the entry's
/// threads and kept across configuration changes.
class server_state {
 public:
  explicit server_state(std::string name) : name_(std::move(name)) {}

  auto name() const -> const std::string& { return name_; }

  /// This entry's requests in flight at the server.
  std::atomic<std::int32_t> in_flight{0};
  /// Requests of all entries at the server, by its latest report.
  std::atomic<std::int32_t> reported_load{0};
  /// Value of `in_flight` when the report was requested.
  std::atomic<std::int32_t> in_flight_at_report{0};
  std::atomic<monotonic_ms> load_reported_at{-1};
  /// The server gets no new requests before this time. Set when it cannot be
  /// reached, crashes or refuses requests because it is leaving.
  std::atomic<monotonic_ms> ejected_until{0};
  std::atomic<bool> reported_leaving{false};  ///< from its own reports
  std::atomic<bool> listed_leaving{false};    ///< from the platform's list
  auto IsLeaving() const -> bool {
    return reported_leaving.load(std::memory_order_relaxed) ||
           listed_leaving.load(std::memory_order_relaxed);
  }
  /// Whether a crash detected at `now` is to be reported, as none was reported
  /// in the `hold_ms` before. Independent of ejected_until: a failed connection
  /// may have ejected the server before the crash is detected.
  auto TryReportCrash(monotonic_ms now, monotonic_ms hold_ms) -> bool;
  std::atomic<std::uint32_t> consecutive_failures{0};
  std::atomic<std::uint32_t> suspects_running{0};
  shared_server_limit limit;  ///< that the server names

  /// Sorted hashes of the names of the versions that the server reports as
  /// loaded; null if it always holds its configured versions.
  std::atomic<std::shared_ptr<const std::vector<std::uint64_t>>>
      loaded_versions;
  auto Holds(std::uint64_t version_hash) const -> bool;

  /// Fingerprints of this entry's requests running at the server: the suspects
  /// if it crashes.
  auto AddRunning(std::uint64_t fingerprint) -> void;
  auto RemoveRunning(std::uint64_t fingerprint) -> void;
  auto Running() const -> std::vector<std::uint64_t>;

 private:
  std::string name_;
  std::atomic<monotonic_ms> crash_reported_until_{0};
  mutable std::mutex mutex_;
  std::vector<std::uint64_t> running_;
};

/// The states of all servers by name. Used only by the thread that builds the
/// routing tables, which hold pointers to the states.
class server_registry {
 public:
  auto Get(const std::string& name) -> std::shared_ptr<server_state>;

 private:
  std::unordered_map<std::string, std::shared_ptr<server_state>> states_;
};

}  // namespace lovagedale
