#include "lovagedale/common/latency_histogram.h"

namespace lovagedale {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBinCount = 40;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 100'000;

}  // namespace

latency_histogram::latency_histogram()
    : bins_(bh::make_histogram(log_axis(kBinCount, kMinMs, kMaxMs))) {}

auto latency_histogram::Add(double ms) -> void {
  bins_(ms);
  sum_ms_ += ms;
}

auto latency_histogram::operator+=(const latency_histogram& other)
    -> latency_histogram& {
  bins_ += other.bins_;
  sum_ms_ += other.sum_ms_;
  return *this;
}

auto latency_histogram::ToPrometheusMetric(
    std::vector<prometheus::ClientMetric::Label> labels) const
    -> prometheus::ClientMetric {
  prometheus::ClientMetric metric;
  metric.label = std::move(labels);
  std::uint64_t cumulative = 0;
  const auto& axis = bins_.axis(0);
  for (int bin = -1; bin <= axis.size(); ++bin) {
    cumulative += static_cast<std::uint64_t>(bins_.at(bin));
    metric.histogram.bucket.emplace_back();
    metric.histogram.bucket.back().cumulative_count = cumulative;
    metric.histogram.bucket.back().upper_bound = axis.value(bin + 1);
  }
  metric.histogram.sample_count = cumulative;
  metric.histogram.sample_sum = sum_ms_;
  return metric;
}

auto MakeMetricFamily(std::string name, prometheus::MetricType type)
    -> prometheus::MetricFamily {
  prometheus::MetricFamily family;
  family.name = std::move(name);
  family.type = type;
  return family;
}

auto AddMetricValue(prometheus::MetricFamily& family, double value,
                    std::vector<prometheus::ClientMetric::Label> labels)
    -> void {
  family.metric.emplace_back();
  auto& metric = family.metric.back();
  metric.label = std::move(labels);
  if (family.type == prometheus::MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
}

}  // namespace lovagedale
