#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Work at one server of prompts that have not had their first event: those of
/// one entry, or of all entries.
struct server_load {
  /// ServerKey of its id. Loads are sent often, and ids are long.
  std::uint32_t server = 0;
  std::uint32_t work = 0;  ///< see server_candidate, rounded

  auto operator==(const server_load&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(server, work);
  }
};

/// Fraction of the reported work that counts if reports arrive every
/// `period_ms`: by the time a report is used, most of its prompts have started
/// and others have arrived. In a model of 57 entries and 48 servers 0.4 at 200
/// ms and 0.1 at 400 ms gave the fewest late prompts; 0.4 at a second gave more
/// than no reports (docs/PLATFORM.md).
inline auto ReportFraction(monotonic_ms period_ms) -> double {
  constexpr double kFraction = 0.4;
  constexpr double kReferencePeriodMs = 200;
  const auto ratio =
      kReferencePeriodMs /
      std::max(kReferencePeriodMs, static_cast<double>(period_ms));
  return kFraction * ratio * ratio;
}

/// Sums, by server, of the loads that entries have last reported.
class server_load_total {
 public:
  /// Replaces what the entry reported before.
  auto Report(const std::string& entry, std::vector<server_load> loads,
              monotonic_ms now) -> void;
  auto Forget(const std::string& entry) -> void { by_entry_.erase(entry); }
  /// Over entries with a recent report, ascending by server.
  auto Total(monotonic_ms now) const -> std::vector<server_load>;
  /// The busiest servers of a total, for entries of formats before
  /// kFleetLoadsFormat.
  static auto Busiest(std::vector<server_load> total)
      -> std::vector<server_load>;

  /// Most servers of Busiest: half a kilobyte in each heartbeat response, so
  /// that loads fit into what control may send to an entry.
  static constexpr std::size_t kMaxServers = 62;

 private:
  /// Requests of an entry that has not reported for longer have ended or moved.
  static constexpr monotonic_ms kReportMaxAgeMs = 2'000;

  struct entry_loads {
    std::vector<server_load> loads;
    monotonic_ms at = 0;
  };
  std::map<std::string, entry_loads> by_entry_;
};

}  // namespace lovagedale
