#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lovagedale {

/// Counters of one traffic thread.
enum class entry_counter : std::uint8_t {
  kRequests,
  kRefused,
  kRetries,
  kResumedStreams,
  kEscalations,
  kConnectFailures,
  kServerErrors,
  kServerCrashes,
  kStoppedBeforeDispatch,  ///< version withdrawn or disallowed, server leaving
  kQuarantined,
  kBillsDelayed,    ///< answers ended before their bill was durable
  kBillsOnOneDisk,  ///< no second ledger stored the bill in time
  kPartialAnswers,
  kRatings,
  kCount,
};

enum class entry_latency : std::uint8_t { kFirstByte, kTotal, kBill, kCount };

/// Counters and latency histograms of one traffic thread. Only a scrape of
/// /metrics contends for the mutex.
class thread_metrics {
 public:
  thread_metrics();
  ~thread_metrics();
  thread_metrics(const thread_metrics&) = delete;
  auto operator=(const thread_metrics&) -> thread_metrics& = delete;

  auto Count(entry_counter counter, std::uint64_t by = 1) -> void;
  auto Observe(entry_latency latency, double ms) -> void;

 private:
  friend auto FormatMetrics(
      const std::vector<std::shared_ptr<thread_metrics>>& threads)
      -> std::string;
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Sum of the threads' metrics in the Prometheus text format.
auto FormatMetrics(const std::vector<std::shared_ptr<thread_metrics>>& threads)
    -> std::string;

}  // namespace lovagedale
