#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "lovagedale/admission/customer_limits.h"
#include "lovagedale/control/messages.h"
#include "lovagedale/entry/metrics.h"
#include "lovagedale/entry/routing_table.h"
#include "lovagedale/entry/settings.h"

namespace lovagedale {

/// Collects evidence from the traffic threads for the control thread.
class evidence_buffer {
 public:
  auto Add(const evidence_key& key, const evidence_counts& counts) -> void;
  /// Returns the collected evidence and clears it.
  auto Take() -> evidence_table;

 private:
  std::mutex mutex_;
  evidence_table pending_;
};

/// Fingerprints of this entry's requests that were running on a server when it
/// crashed.
class suspect_set {
 public:
  auto Add(std::uint64_t fingerprint) -> void;
  auto Contains(std::uint64_t fingerprint) const -> bool;
  /// Returns whether the fingerprint was present.
  auto Remove(std::uint64_t fingerprint) -> bool;

 private:
  mutable std::mutex mutex_;
  std::unordered_set<std::uint64_t> fingerprints_;
};

/// The latest routing decisions, for `lovagedalectl explain`.
class decision_log {
 public:
  auto Add(const std::string& request_id, const std::string& json) -> void;
  /// The decisions of one request as JSON objects, oldest first.
  auto Find(const std::string& request_id) const -> std::vector<std::string>;

 private:
  struct decision {
    std::string request_id;
    std::string json;
  };
  mutable std::mutex mutex_;
  std::deque<decision> decisions_;
};

/// A version that this entry has stopped using on its own evidence. This holds
/// only at `revision`; a later revision contains control's decision.
struct stopped_version {
  std::string version;
  config_revision revision = 0;
  auto operator<=>(const stopped_version&) const = default;
};
using stopped_version_set = std::set<stopped_version>;

/// State shared by an entry's threads. The routing table and the plans are
/// immutable snapshots that the control thread replaces and the traffic threads
/// read.
class entry_state {
 public:
  explicit entry_state(entry_settings entry_settings_value)
      : settings(std::move(entry_settings_value)),
        limits(settings.entries.size()),
        registered_entries(
            static_cast<std::uint32_t>(settings.entries.size())) {}

  const entry_settings settings;
  std::atomic<std::shared_ptr<const routing_table>> table;
  std::atomic<std::shared_ptr<const plan_table>> plans;
  std::atomic<std::shared_ptr<const stopped_version_set>> stopped_versions{
      std::make_shared<const stopped_version_set>()};
  /// Monotonic time until which versions that need a permit may run.
  std::atomic<monotonic_ms> permit_ends_at{0};
  std::atomic<std::uint32_t> live_entries{1};
  std::atomic<bool> draining{false};
  evidence_buffer evidence;
  suspect_set suspects;
  customer_limits limits;
  std::atomic<std::uint32_t> registered_entries;  ///< in the fleet
  decision_log decisions;
  /// Called from any thread when a server has crashed; set before the traffic
  /// threads start.
  std::function<void(crash_report)> report_crash;
  /// Called from any thread when a suspect request ran without a crash.
  std::function<void(std::uint64_t)> report_cleared;

  auto HasPermit(monotonic_ms now) const -> bool {
    return now < permit_ends_at.load(std::memory_order_acquire);
  }
  /// Whether a version may receive new work here and now.
  auto MayRun(const routing_table& routes, version_id version,
              monotonic_ms now) const -> bool;
};

}  // namespace lovagedale
