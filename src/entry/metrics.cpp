#include "lovagedale/entry/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <boost/histogram.hpp>

namespace lovagedale {
namespace {

namespace bh = boost::histogram;

constexpr std::size_t kCounters =
    static_cast<std::size_t>(entry_counter::kCount);
constexpr std::size_t kLatencies =
    static_cast<std::size_t>(entry_latency::kCount);
constexpr unsigned kBins = 40;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 100'000;

constexpr std::array<const char*, kCounters> kCounterNames = {
    "requests",        "refused",        "retries",
    "resumed_streams", "escalations",    "connect_failures",
    "server_errors",   "server_crashes", "stopped_before_dispatch",
    "quarantined",     "bills_delayed",  "bills_on_one_disk",
    "partial_answers", "ratings"};
constexpr std::array<const char*, kLatencies> kLatencyNames = {
    "first_byte", "whole_answer", "bill"};

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram =
    decltype(bh::make_histogram(log_axis(kBins, kMinMs, kMaxMs)));

auto MakeHistogram() -> latency_histogram {
  return bh::make_histogram(log_axis(kBins, kMinMs, kMaxMs));
}

auto CounterFamily(std::size_t index, double value)
    -> prometheus::MetricFamily {
  prometheus::MetricFamily family;
  family.name = std::string("lovagedale_") + kCounterNames[index] + "_total";
  family.type = prometheus::MetricType::Counter;
  family.metric.emplace_back();
  family.metric.back().counter.value = value;
  return family;
}

auto HistogramFamily(std::size_t index, const latency_histogram& histogram,
                     double sum_ms) -> prometheus::MetricFamily {
  prometheus::MetricFamily family;
  family.name = std::string("lovagedale_") + kLatencyNames[index] + "_ms";
  family.type = prometheus::MetricType::Histogram;
  family.metric.emplace_back();
  auto& metric = family.metric.back().histogram;
  std::uint64_t cumulative = 0;
  const auto& axis = histogram.axis(0);
  for (int bin = -1; bin <= axis.size(); ++bin) {
    cumulative += static_cast<std::uint64_t>(histogram.at(bin));
    metric.bucket.emplace_back();
    metric.bucket.back().cumulative_count = cumulative;
    metric.bucket.back().upper_bound = axis.value(bin + 1);
  }
  metric.sample_count = cumulative;
  metric.sample_sum = sum_ms;
  return family;
}

}  // namespace

struct thread_metrics::impl {
  mutable std::mutex mutex;
  std::array<std::uint64_t, kCounters> counters{};
  std::vector<latency_histogram> histograms =
      std::vector<latency_histogram>(kLatencies, MakeHistogram());
  std::array<double, kLatencies> sums{};
};

thread_metrics::thread_metrics() : impl_(std::make_unique<impl>()) {}
thread_metrics::~thread_metrics() = default;

auto thread_metrics::Count(entry_counter counter, std::uint64_t by) -> void {
  const std::lock_guard lock(impl_->mutex);
  impl_->counters[static_cast<std::size_t>(counter)] += by;
}

auto thread_metrics::Observe(entry_latency latency, double ms) -> void {
  const auto index = static_cast<std::size_t>(latency);
  const std::lock_guard lock(impl_->mutex);
  impl_->histograms[index](ms);
  impl_->sums[index] += ms;
}

auto FormatMetrics(const std::vector<std::shared_ptr<thread_metrics>>& threads)
    -> std::string {
  std::array<std::uint64_t, kCounters> counters{};
  std::vector<latency_histogram> histograms(kLatencies, MakeHistogram());
  std::array<double, kLatencies> sums{};
  for (const auto& thread : threads) {
    const std::lock_guard lock(thread->impl_->mutex);
    for (std::size_t i = 0; i < kCounters; ++i) {
      counters[i] += thread->impl_->counters[i];
    }
    for (std::size_t i = 0; i < kLatencies; ++i) {
      histograms[i] += thread->impl_->histograms[i];
      sums[i] += thread->impl_->sums[i];
    }
  }
  std::vector<prometheus::MetricFamily> families;
  for (std::size_t i = 0; i < kCounters; ++i) {
    families.push_back(CounterFamily(i, static_cast<double>(counters[i])));
  }
  for (std::size_t i = 0; i < kLatencies; ++i) {
    families.push_back(HistogramFamily(i, histograms[i], sums[i]));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace lovagedale
