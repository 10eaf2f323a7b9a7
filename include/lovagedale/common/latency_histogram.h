#pragma once

#include <prometheus/metric_family.h>

#include <boost/histogram.hpp>
#include <string>
#include <vector>

namespace lovagedale {

/// Latencies in milliseconds, in bins of logarithmically increasing width.
class latency_histogram {
 public:
  latency_histogram();

  auto Add(double ms) -> void;
  auto operator+=(const latency_histogram& other) -> latency_histogram&;
  /// Converts to a Prometheus histogram, whose buckets are cumulative.
  auto ToPrometheusMetric(std::vector<prometheus::ClientMetric::Label> labels)
      const -> prometheus::ClientMetric;

 private:
  using log_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(log_axis(1, 1, 2))) bins_;
  double sum_ms_ = 0;
};

/// Returns a family without metrics.
auto MakeMetricFamily(std::string name, prometheus::MetricType type)
    -> prometheus::MetricFamily;

/// Adds a metric to a family of type Counter or Gauge.
auto AddMetricValue(prometheus::MetricFamily& family, double value,
                    std::vector<prometheus::ClientMetric::Label> labels = {})
    -> void;

}  // namespace lovagedale
