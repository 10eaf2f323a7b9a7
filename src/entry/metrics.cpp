#include "lovagedale/entry/metrics.h"

#include <prometheus/text_serializer.h>

#include "lovagedale/common/latency_histogram.h"

namespace lovagedale {
namespace {

constexpr std::size_t kCounters =
    static_cast<std::size_t>(entry_counter::kCount);
constexpr std::size_t kLatencies =
    static_cast<std::size_t>(entry_latency::kCount);

constexpr std::array<const char*, kCounters> kCounterNames = {
    "requests",        "refused",        "retries",
    "resumed_streams", "escalations",    "connect_failures",
    "server_errors",   "server_crashes", "stopped_before_dispatch",
    "quarantined",     "bills_delayed",  "bills_on_one_disk",
    "partial_answers", "ratings"};
constexpr std::array<const char*, kLatencies> kLatencyNames = {
    "first_byte", "whole_answer", "bill"};

}  // namespace

struct thread_metrics::impl {
  mutable std::mutex mutex;
  std::array<std::uint64_t, kCounters> counters{};
  std::array<latency_histogram, kLatencies> histograms;
};

thread_metrics::thread_metrics() : impl_(std::make_unique<impl>()) {}
thread_metrics::~thread_metrics() = default;

auto thread_metrics::Count(entry_counter counter, std::uint64_t by) -> void {
  const std::lock_guard lock(impl_->mutex);
  impl_->counters[static_cast<std::size_t>(counter)] += by;
}

auto thread_metrics::Observe(entry_latency latency, double ms) -> void {
  const std::lock_guard lock(impl_->mutex);
  impl_->histograms[static_cast<std::size_t>(latency)].Add(ms);
}

auto FormatMetrics(const std::vector<std::shared_ptr<thread_metrics>>& threads)
    -> std::string {
  std::array<std::uint64_t, kCounters> counters{};
  std::array<latency_histogram, kLatencies> histograms;
  for (const auto& thread : threads) {
    const std::lock_guard lock(thread->impl_->mutex);
    for (std::size_t i = 0; i < kCounters; ++i) {
      counters[i] += thread->impl_->counters[i];
    }
    for (std::size_t i = 0; i < kLatencies; ++i) {
      histograms[i] += thread->impl_->histograms[i];
    }
  }
  std::vector<prometheus::MetricFamily> families;
  for (std::size_t i = 0; i < kCounters; ++i) {
    families.push_back(MakeMetricFamily(
        std::string("lovagedale_") + kCounterNames[i] + "_total",
        prometheus::MetricType::Counter));
    AddMetricValue(families.back(), static_cast<double>(counters[i]));
  }
  for (std::size_t i = 0; i < kLatencies; ++i) {
    families.push_back(
        MakeMetricFamily(std::string("lovagedale_") + kLatencyNames[i] + "_ms",
                         prometheus::MetricType::Histogram));
    families.back().metric.push_back(histograms[i].ToPrometheusMetric({}));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace lovagedale
