#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/discovery/server_list.h"
#include "lovagedale/relay/server_choice.h"
#include "lovagedale/relay/server_health.h"

namespace lovagedale {

/// A discovered server and what this entry knows of it. Requests under way
/// keep their record alive after the server has left the list.
struct server_record {
  listed_server listed;
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;
  double work = 0;  ///< see server_candidate
  server_health health;
  bool gone = false;  ///< its address belongs to another server by now
};

using server_handle = std::shared_ptr<server_record>;

/// Whether a zone's servers can be reached at all: after several in a row could
/// not, the zone gets no work but a trial from time to time.
class zone_reach {
 public:
  auto Unreachable(monotonic_ms now) -> void {
    if (++in_a_row_ < kInARow) return;
    lost_until_ = now + kTrialPeriodMs;
  }
  auto Reached() -> void {
    in_a_row_ = 0;
    lost_until_ = 0;
  }
  auto IsLost(monotonic_ms now) const -> bool { return now < lost_until_; }

 private:
  /// A single server that is down is no sign of a cut.
  static constexpr int kInARow = 3;
  static constexpr monotonic_ms kTrialPeriodMs = 700;

  int in_a_row_ = 0;
  monotonic_ms lost_until_ = 0;
};

/// The discovered servers by service. One thread only.
class server_table {
 public:
  /// Takes the servers of a list; what is known of those that stay is kept.
  auto Update(const server_list& list) -> void;
  /// A server of the zone could not be reached, or answered.
  auto Unreachable(const std::string& zone, monotonic_ms now) -> void {
    zones_[zone].Unreachable(now);
  }
  auto Reached(const std::string& zone) -> void { zones_[zone].Reached(); }
  /// Whether the zone is cut off from here, as far as can be told.
  auto IsZoneLost(const std::string& zone, monotonic_ms now) const -> bool {
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.IsLost(now);
  }
  auto number() const -> std::uint64_t { return number_; }
  auto Servers(const std::string& service) const
      -> const std::vector<server_handle>&;
  auto All() const -> const std::unordered_map<std::string, server_handle>& {
    return by_id_;
  }

 private:
  std::uint64_t number_ = 0;
  std::unordered_map<std::string, server_handle> by_id_;
  std::map<std::string, std::vector<server_handle>> by_service_;
  std::map<std::string, zone_reach> zones_;
};

}  // namespace lovagedale
