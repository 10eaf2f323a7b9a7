#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Cumulative counters of one version on one task class. As they only grow,
/// those of several entries can be added, and a repeated report changes
/// nothing.
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

/// Number of equal bins of [0, 1] by which the answers' confidence signals are
/// counted.
inline constexpr std::uint8_t kSignalBins = 8;
/// `evidence_key::signal_bin` of answers without a signal.
inline constexpr std::uint8_t kNoSignal = 255;

/// The bin of a signal; values outside [0, 1] are clamped.
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

/// Approximate encoded size of one row, used to pace reports.
inline constexpr std::size_t kEvidenceRowBytes = 80;

using evidence_table = std::map<evidence_key, evidence_counts>;

/// Sums the cumulative counters of several reporters. A report replaces the
/// earlier one of the same incarnation of the reporter; the counters of earlier
/// incarnations are kept and added.
class evidence_collector {
 public:
  auto Report(const std::string& reporter, std::uint64_t incarnation,
              const evidence_table& cumulative) -> void;
  /// Sum over all reporters, maintained by Report.
  auto Total() const -> const evidence_table& { return total_; }
  /// Counters of one incarnation of a reporter; empty if it never reported.
  auto CumulativeOf(const std::string& reporter,
                    std::uint64_t incarnation) const -> const evidence_table&;
  /// The rows of Total() for one version.
  auto TotalFor(const std::string& version) const -> evidence_table;

 private:
  std::map<std::pair<std::string, std::uint64_t>, evidence_table> reports_;
  evidence_table total_;
};

/// Limits the mean rate of messages of varying size: a message of n bytes
/// delays the next one by n / `bytes_per_s`, and at least by `min_interval_ms`.
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
