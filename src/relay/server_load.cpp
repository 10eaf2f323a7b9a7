#include "lovagedale/relay/server_load.h"

#include <algorithm>
#include <utility>

namespace lovagedale {

auto server_load_total::Report(const std::string& entry,
                               std::vector<server_load> loads, monotonic_ms now)
    -> void {
  by_entry_[entry] = {std::move(loads), now};
}

auto server_load_total::Total(monotonic_ms now) const
    -> std::vector<server_load> {
  std::map<std::uint32_t, std::uint32_t> sums;
  for (const auto& [entry, reported] : by_entry_) {
    if (now - reported.at > kReportMaxAgeMs) continue;
    for (const auto& load : reported.loads) {
      sums[load.server] += load.work;
    }
  }
  std::vector<server_load> total;
  total.reserve(sums.size());
  for (const auto& [server, work] : sums) total.push_back({server, work});
  return total;
}

auto server_load_total::Busiest(std::vector<server_load> total)
    -> std::vector<server_load> {
  if (total.size() > kMaxServers) {
    const auto end = total.begin() + kMaxServers;
    std::nth_element(
        total.begin(), end, total.end(),
        [](const auto& a, const auto& b) { return a.work > b.work; });
    total.erase(end, total.end());
  }
  return total;
}

}  // namespace lovagedale
