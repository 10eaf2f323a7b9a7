#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// What prompts have left to do at one server before their first events: those
/// of one entry, or of all.
struct server_load {
  /// Identifies the server: a hash of its id. Loads travel often, ids are long.
  std::uint32_t server = 0;
  std::uint32_t work = 0;  ///< see server_candidate, rounded

  auto operator==(const server_load&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(server, work);
  }
};

/// The key of a server in server_load, from the hash of its id. Two servers of
/// a few hundred share one about once in 100,000 fleets; both then look busier.
inline auto LoadKey(std::uint64_t id_hash) -> std::uint32_t {
  return static_cast<std::uint32_t>(id_hash >> 32U);
}

/// Part of the reported work that counts where reports come every `period_ms`:
/// by the time that one is used, most of the prompts in it have begun and
/// others have come. In a model of 57 entries and 48 servers 0.4 at 200 ms and
/// 0.1 at 400 ms gave the fewest late prompts; 0.4 at a second gave more than
/// no reports (docs/PLATFORM.md).
inline auto ReportFraction(monotonic_ms period_ms) -> double {
  constexpr double kPart = 0.4;
  constexpr double kAtPeriodMs = 200;
  const auto ratio =
      kAtPeriodMs / std::max(kAtPeriodMs, static_cast<double>(period_ms));
  return kPart * ratio * ratio;
}

/// Sums of the latest loads that each entry has reported.
class server_load_total {
 public:
  /// Replaces what the entry reported before.
  auto Report(const std::string& entry, std::vector<server_load> loads,
              monotonic_ms now) -> void;
  auto Forget(const std::string& entry) -> void { by_entry_.erase(entry); }
  /// Of entries that were heard of late; the busiest servers if there are many.
  auto Total(monotonic_ms now) const -> std::vector<server_load>;

  /// Servers in a total: half a kilobyte an answer to a heartbeat, so that
  /// loads fit into what control may send to an entry.
  static constexpr std::size_t kMaxServers = 64;

 private:
  /// Requests of an entry that is silent for longer have ended or moved.
  static constexpr monotonic_ms kReportMaxAgeMs = 2'000;

  struct entry_loads {
    std::vector<server_load> loads;
    monotonic_ms at = 0;
  };
  std::map<std::string, entry_loads> by_entry_;
};

}  // namespace lovagedale
