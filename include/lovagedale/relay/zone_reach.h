#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Whether a zone can be reached. A zone is lost when connections to
/// kMinUnreachableServers of its servers, or to all if it has fewer, have
/// failed and nothing was received from the zone since they were begun.
class zone_reach {
 public:
  /// A connection begun at `began_ms` failed without an answer. `servers` is
  /// how many the zone has; true if the zone is lost by this failure.
  auto RecordUnreachable(const std::string& server_id, std::size_t servers,
                         monotonic_ms began_ms) -> bool {
    if (last_received_ms_ && *last_received_ms_ > began_ms) return false;
    unreachable_servers_.insert(server_id);
    if (is_lost_ || unreachable_servers_.size() <
                        std::min(kMinUnreachableServers, servers)) {
      return false;
    }
    is_lost_ = true;
    return true;
  }
  /// Marks the zone as lost; false if it was lost before.
  auto Lose() -> bool { return !std::exchange(is_lost_, true); }
  /// Bytes of a server of the zone arrived; true if the zone was lost before.
  auto RecordReceived(monotonic_ms now) -> bool {
    last_received_ms_ = now;
    unreachable_servers_.clear();
    const bool was_lost = is_lost_;
    is_lost_ = false;
    return was_lost;
  }
  /// Like RecordReceived, for an answer to what was sent at `began_ms`.
  auto RecordRoundTrip(monotonic_ms began_ms, monotonic_ms now) -> bool {
    round_trip_began_ms_ =
        std::max(round_trip_began_ms_.value_or(began_ms), began_ms);
    return RecordReceived(now);
  }
  /// Whether something sent to the zone at `began_ms` or later was answered.
  auto HasRoundTripSince(monotonic_ms began_ms) const -> bool {
    return round_trip_began_ms_ && *round_trip_began_ms_ >= began_ms;
  }
  /// Nothing if no byte was ever received.
  auto last_received_ms() const -> std::optional<monotonic_ms> {
    return last_received_ms_;
  }
  auto IsSuspected() const -> bool { return !unreachable_servers_.empty(); }
  auto IsLost() const -> bool { return is_lost_; }

 private:
  /// One or two servers that are down do not indicate a network partition.
  static constexpr std::size_t kMinUnreachableServers = 3;

  std::set<std::string> unreachable_servers_;  ///< since the last byte
  std::optional<monotonic_ms> last_received_ms_;
  /// When the latest answered connection or request was begun.
  std::optional<monotonic_ms> round_trip_began_ms_;
  bool is_lost_ = false;
};

}  // namespace lovagedale
