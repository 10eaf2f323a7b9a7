#include "lovagedale/forwarding/helper_table.h"

#include <algorithm>
#include <utility>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

auto HaveCommonElement(const std::vector<std::uint32_t>& ascending,
                       const std::vector<std::uint32_t>& keys) -> bool {
  return std::any_of(keys.begin(), keys.end(), [&](std::uint32_t key) {
    return std::binary_search(ascending.begin(), ascending.end(), key);
  });
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
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  for (const auto& [name, stored] : reports_) {
    const auto& report = stored.report;
    if (name == entry || report.address.empty() ||
        now - stored.at_ms > kReportMaxAgeMs) {
      continue;
    }
    const bool is_cut_off = own != reports_.end() &&
                            !own->second.report.unreachable_services.empty();
    const bool helps =
        is_cut_off ? !HaveCommonElement(report.unreachable_services,
                                        own->second.report.unreachable_services)
                   : report.unreachable_services.empty();
    if (helps) {
      ranked.emplace_back(MixBits(stored.name_hash ^ MixBits(own_hash)),
                          &report.address);
    }
  }
  const auto count = std::min(kMaxHelpers, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<std::string> helpers;
  for (std::size_t i = 0; i < count; ++i) helpers.push_back(*ranked[i].second);
  return helpers;
}

}  // namespace lovagedale
