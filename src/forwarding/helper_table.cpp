#include "lovagedale/forwarding/helper_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

auto CountCommon(const std::vector<std::uint32_t>& ascending,
                 const std::vector<std::uint32_t>& keys) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(keys.begin(), keys.end(), [&](std::uint32_t key) {
        return std::binary_search(ascending.begin(), ascending.end(), key);
      }));
}

}  // namespace

auto ServiceKey(const std::string& service) -> std::uint32_t {
  return static_cast<std::uint32_t>(Hash64(service));
}

auto HashHelpers(const std::vector<std::string>& helpers) -> std::uint32_t {
  std::uint64_t hash = 0;
  for (const auto& helper : helpers) hash = MixBits(hash ^ Hash64(helper));
  return static_cast<std::uint32_t>(hash);
}

auto helper_table::Report(const std::string& entry,
                          std::optional<reach_report> report, monotonic_ms now)
    -> void {
  if (report) {
    reports_[entry] = {std::move(*report), Hash64(entry), now};
    return;
  }
  const auto known = reports_.find(entry);
  if (known != reports_.end()) known->second.at_ms = now;
}

auto helper_table::HelpersFor(const std::string& entry, monotonic_ms now) const
    -> std::vector<std::string> {
  const auto own = reports_.find(entry);
  const auto own_hash = Hash64(entry);
  const auto& needed = own == reports_.end()
                           ? std::vector<std::uint32_t>{}
                           : own->second.report.unreachable_services;
  struct candidate {
    std::size_t unreachable = 0;  ///< services that it does not reach either
    std::uint64_t rank = 0;
    const std::string* address = nullptr;
  };
  std::vector<candidate> candidates;
  for (const auto& [name, stored] : reports_) {
    const auto& report = stored.report;
    if (name == entry || report.address.empty() ||
        now - stored.at_ms > kReportMaxAgeMs) {
      continue;
    }
    const auto unreachable =
        needed.empty() ? report.unreachable_services.size()
                       : CountCommon(report.unreachable_services, needed);
    if (!needed.empty() && unreachable == needed.size()) continue;
    candidates.push_back({unreachable,
                          MixBits(stored.name_hash ^ MixBits(own_hash)),
                          &report.address});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) {
              return std::tie(a.unreachable, b.rank) <
                     std::tie(b.unreachable, a.rank);
            });
  std::vector<std::string> helpers;
  for (const auto& item : candidates) {
    if (helpers.size() == kMaxHelpers ||
        item.unreachable > candidates.front().unreachable) {
      break;
    }
    helpers.push_back(*item.address);
  }
  return helpers;
}

}  // namespace lovagedale
