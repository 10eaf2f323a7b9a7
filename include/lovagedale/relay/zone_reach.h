#pragma once

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>

namespace lovagedale {

/// Whether a zone can be reached. A zone is lost when connections to
/// kMinUnreachableServers of its servers, or to all if it has fewer, have
/// failed with no successful one to the zone in between.
class zone_reach {
 public:
  /// `servers` is how many the zone has; true if the zone is lost by this
  /// failure.
  auto RecordUnreachable(const std::string& server_id, std::size_t servers)
      -> bool {
    unreachable_servers_.insert(server_id);
    if (is_lost_ || unreachable_servers_.size() <
                        std::min(kMinUnreachableServers, servers)) {
      return false;
    }
    is_lost_ = true;
    return true;
  }
  /// A server of the zone was reached; true if the zone was lost before.
  auto RecordReached() -> bool {
    unreachable_servers_.clear();
    const bool was_lost = is_lost_;
    is_lost_ = false;
    return was_lost;
  }
  auto IsSuspected() const -> bool { return !unreachable_servers_.empty(); }
  auto IsLost() const -> bool { return is_lost_; }

 private:
  /// One or two servers that are down do not indicate a network partition.
  static constexpr std::size_t kMinUnreachableServers = 3;

  std::set<std::string> unreachable_servers_;  ///< since the last connection
  bool is_lost_ = false;
};

}  // namespace lovagedale
