#include <prometheus/text_serializer.h>

#include "lovagedale/common/latency_histogram.h"
#include "lovagedale/route_entry/route_entry.h"

namespace lovagedale {

auto FormatRelayMetrics(const relay_state& state) -> std::string {
  using prometheus::MetricType;
  auto calls = MetricFamily("lovagedale_calls_total", MetricType::Counter);
  for (const auto& [key, count] : state.call_counts) {
    AddValue(calls, static_cast<double>(count),
             {{"route", key.route}, {"outcome", key.outcome}});
  }
  auto attempts =
      MetricFamily("lovagedale_attempts_total", MetricType::Counter);
  for (const auto& [result, count] : state.attempt_counts) {
    AddValue(attempts, static_cast<double>(count), {{"result", result}});
  }
  auto durations = MetricFamily("lovagedale_call_ms", MetricType::Histogram);
  for (const auto& [route, times] : state.call_duration_histograms) {
    durations.metric.push_back(times.ToMetric({{"route", route}}));
  }
  auto first_events =
      MetricFamily("lovagedale_first_event_ms", MetricType::Histogram);
  for (const auto& [key, times] : state.first_event_histograms) {
    first_events.metric.push_back(
        times.ToMetric({{"route", key.first}, {"model", key.second}}));
  }
  auto ejected = MetricFamily("lovagedale_servers_held_out", MetricType::Gauge);
  std::map<std::string, int> ejected_by_service;
  const auto now = system_monotonic_clock{}.Now();
  for (const auto& [id, server] : state.servers.All()) {
    ejected_by_service[server->listed.service] +=
        server->health.IsEjected(now) ? 1 : 0;
  }
  for (const auto& [service, count] : ejected_by_service) {
    AddValue(ejected, count, {{"service", service}});
  }
  auto active = MetricFamily("lovagedale_calls_active", MetricType::Gauge);
  AddValue(active, static_cast<double>(state.active_calls));
  auto revision = MetricFamily("lovagedale_revision", MetricType::Gauge);
  AddValue(revision,
           static_cast<double>(state.view ? state.view->revision : 0));
  auto list = MetricFamily("lovagedale_server_list_number", MetricType::Gauge);
  AddValue(list, static_cast<double>(state.servers.number()));
  auto suppressed =
      MetricFamily("lovagedale_log_lines_left_out_total", MetricType::Counter);
  AddValue(suppressed, static_cast<double>(state.log.suppressed()));
  return prometheus::TextSerializer().Serialize({calls, attempts, durations,
                                                 first_events, ejected, active,
                                                 revision, list, suppressed});
}

}  // namespace lovagedale
