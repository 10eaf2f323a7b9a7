#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// What is known of one version on one task class. Counters only grow, so
/// those of several entries are added and a repeated report does no harm.
struct evidence_counts {
  std::uint64_t requests = 0;
  std::uint64_t errors = 0;  ///< failed answers, crashes of the server included
  std::uint64_t ratings = 0;
  double rating_sum = 0;  ///< each rating from 0 to 1
  double rating_square_sum = 0;

  auto operator==(const evidence_counts&) const -> bool = default;
  auto operator+=(const evidence_counts& other) -> evidence_counts&;
  auto operator-=(const evidence_counts& other) -> evidence_counts&;
  auto MeanRating() const -> double {
    return ratings == 0 ? 0 : rating_sum / static_cast<double>(ratings);
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(requests, errors, ratings, rating_sum, rating_square_sum);
  }
};

/// Answers' own confidence signals are counted in this many equal bins of
/// [0, 1]; the evidence key of an answer without a signal has kNoSignal.
inline constexpr std::uint8_t kSignalBins = 8;
inline constexpr std::uint8_t kNoSignal = 255;

auto SignalBin(double signal) -> std::uint8_t;

struct evidence_key {
  std::string version;
  std::string task_class;
  std::uint8_t signal_bin = kNoSignal;

  auto operator<=>(const evidence_key&) const = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, task_class, signal_bin);
  }
};

/// Encoded size of one row, about, in bytes; for pacing.
inline constexpr std::size_t kEvidenceRowBytes = 80;

using evidence_table = std::map<evidence_key, evidence_counts>;

/// Sums of several reporters' cumulative counters. A report replaces the same
/// reporter's earlier one, and a reporter's new incarnation starts beside it.
class evidence_collector {
 public:
  auto Report(const std::string& reporter, std::uint64_t incarnation,
              const evidence_table& cumulative) -> void;
  /// Kept up to date by Report: asking costs nothing.
  auto Total() const -> const evidence_table& { return total_; }
  /// One reporter's own counters.
  auto CumulativeOf(const std::string& reporter,
                    std::uint64_t incarnation) const -> const evidence_table&;
  auto TotalFor(const std::string& version) const -> evidence_table;

 private:
  std::map<std::pair<std::string, std::uint64_t>, evidence_table> reports_;
  evidence_table total_;
};

/// Spaces out messages of varying size so that their mean rate stays within a
/// budget: after `bytes` were sent, the next may follow once they are paid for.
class byte_pacer {
 public:
  byte_pacer(std::int64_t bytes_per_s, monotonic_ms min_interval_ms)
      : bytes_per_s_(bytes_per_s), min_interval_ms_(min_interval_ms) {}

  auto MaySend(monotonic_ms now) const -> bool { return now >= next_at_; }
  auto RecordSent(std::size_t bytes, monotonic_ms now) -> void;

 private:
  std::int64_t bytes_per_s_;
  monotonic_ms min_interval_ms_;
  monotonic_ms next_at_ = 0;
};

}  // namespace lovagedale
