#include "lovagedale/quality/evidence.h"

#include <algorithm>

namespace lovagedale {

auto SignalBin(double signal) -> std::uint8_t {
  const auto scaled = std::clamp(signal, 0.0, 1.0) * kSignalBins;
  return static_cast<std::uint8_t>(std::min<double>(scaled, kSignalBins - 1));
}

auto evidence_counts::operator+=(const evidence_counts& other)
    -> evidence_counts& {
  requests += other.requests;
  errors += other.errors;
  ratings += other.ratings;
  rating_sum += other.rating_sum;
  rating_square_sum += other.rating_square_sum;
  return *this;
}

auto evidence_collector::Report(const std::string& reporter,
                                std::uint64_t incarnation,
                                const evidence_table& cumulative) -> void {
  auto& table = reports_[{reporter, incarnation}];
  for (const auto& [key, counts] : cumulative) {
    auto& known = table[key];
    // Counters only grow: an older report that arrives late is ignored.
    if (counts.requests + counts.ratings + counts.errors >=
        known.requests + known.ratings + known.errors) {
      known = counts;
    }
  }
}

auto evidence_collector::Total() const -> evidence_table {
  evidence_table total;
  for (const auto& [reporter, table] : reports_) {
    for (const auto& [key, counts] : table) total[key] += counts;
  }
  return total;
}

auto evidence_collector::TotalFor(const std::string& version) const
    -> evidence_table {
  evidence_table total;
  for (const auto& [reporter, table] : reports_) {
    for (const auto& [key, counts] : table) {
      if (key.version == version) total[key] += counts;
    }
  }
  return total;
}

}  // namespace lovagedale
