#pragma once

#include <prometheus/metric_family.h>

#include <boost/histogram.hpp>
#include <string>
#include <vector>

namespace lovagedale {

/// Latencies in milliseconds, in bins that grow by a constant factor.
class latency_histogram {
 public:
  latency_histogram();

  auto Add(double ms) -> void;
  auto operator+=(const latency_histogram& other) -> latency_histogram&;
  /// As a metric of a Prometheus histogram, with cumulative buckets.
  auto ToPrometheusMetric(std::vector<prometheus::ClientMetric::Label> labels)
      const -> prometheus::ClientMetric;

 private:
  using log_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(log_axis(1, 1, 2))) bins_;
  double sum_ms_ = 0;
};

/// A family without metrics yet.
auto MakeMetricFamily(std::string name, prometheus::MetricType type)
    -> prometheus::MetricFamily;

/// Adds a counter or gauge to a family of its type.
auto AddMetricValue(prometheus::MetricFamily& family, double value,
                    std::vector<prometheus::ClientMetric::Label> labels = {})
    -> void;

}  // namespace lovagedale
