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

auto evidence_counts::operator-=(const evidence_counts& other)
    -> evidence_counts& {
  requests -= other.requests;
  errors -= other.errors;
  ratings -= other.ratings;
  rating_sum -= other.rating_sum;
  rating_square_sum -= other.rating_square_sum;
  return *this;
}

auto byte_pacer::RecordSent(std::size_t bytes, monotonic_ms now) -> void {
  constexpr std::int64_t kMsPerSecond = 1'000;
  const auto send_ms =
      static_cast<std::int64_t>(bytes) * kMsPerSecond / bytes_per_s_;
  next_at_ = now + std::max(min_interval_ms_, send_ms);
}

auto evidence_collector::Report(const std::string& reporter,
                                std::uint64_t incarnation,
                                const evidence_table& cumulative) -> void {
  auto& table = reports_[{reporter, incarnation}];
  for (const auto& [key, counts] : cumulative) {
    auto& previous = table[key];
    // Counters only grow, so a report with lower ones is older, arrived late
    // and is ignored.
    if (counts.requests + counts.ratings + counts.errors >=
        previous.requests + previous.ratings + previous.errors) {
      auto& sum = total_[key];
      sum -= previous;
      sum += counts;
      previous = counts;
    }
  }
}

auto evidence_collector::CumulativeOf(const std::string& reporter,
                                      std::uint64_t incarnation) const
    -> const evidence_table& {
  static const evidence_table none;
  const auto found = reports_.find({reporter, incarnation});
  return found == reports_.end() ? none : found->second;
}

auto evidence_collector::TotalFor(const std::string& version) const
    -> evidence_table {
  evidence_table found;
  for (auto row = total_.lower_bound({version, "", 0});
       row != total_.end() && row->first.version == version; ++row) {
    found.insert(*row);
  }
  return found;
}

}  // namespace lovagedale
