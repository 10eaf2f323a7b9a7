#include <prometheus/text_serializer.h>

#include "lovagedale/common/latency_histogram.h"
#include "lovagedale/route_entry/route_entry.h"

namespace lovagedale {

auto FormatRelayMetrics(const relay_state& state) -> std::string {
  using prometheus::MetricType;
  auto calls = MakeMetricFamily("lovagedale_calls_total", MetricType::Counter);
  for (const auto& [key, count] : state.call_counts) {
    AddMetricValue(calls, static_cast<double>(count),
                   {{"route", key.route}, {"outcome", key.outcome}});
  }
  auto attempts =
      MakeMetricFamily("lovagedale_attempts_total", MetricType::Counter);
  for (const auto& [result, count] : state.attempt_counts) {
    AddMetricValue(attempts, static_cast<double>(count), {{"result", result}});
  }
  auto durations =
      MakeMetricFamily("lovagedale_call_ms", MetricType::Histogram);
  for (const auto& [route, times] : state.call_duration_histograms) {
    durations.metric.push_back(times.ToPrometheusMetric({{"route", route}}));
  }
  auto first_events =
      MakeMetricFamily("lovagedale_first_event_ms", MetricType::Histogram);
  for (const auto& [key, times] : state.first_event_histograms) {
    first_events.metric.push_back(times.ToPrometheusMetric(
        {{"route", key.first}, {"model", key.second}}));
  }
  auto ejected =
      MakeMetricFamily("lovagedale_servers_held_out", MetricType::Gauge);
  std::map<std::string, int> ejected_by_service;
  const auto now = system_monotonic_clock{}.Now();
  for (const auto& [id, server] : state.servers.All()) {
    ejected_by_service[server->listed.service] +=
        server->health.IsEjected(now) ? 1 : 0;
  }
  for (const auto& [service, count] : ejected_by_service) {
    AddMetricValue(ejected, count, {{"service", service}});
  }
  auto forwarded =
      MakeMetricFamily("lovagedale_forwarded_calls_total", MetricType::Counter);
  AddMetricValue(forwarded, static_cast<double>(state.forwarded_calls));
  auto active = MakeMetricFamily("lovagedale_calls_active", MetricType::Gauge);
  AddMetricValue(active, static_cast<double>(state.active_calls));
  auto answer_memory =
      MakeMetricFamily("lovagedale_answer_memory_bytes", MetricType::Gauge);
  AddMetricValue(answer_memory,
                 static_cast<double>(state.answer_memory.used_bytes()));
  auto revision = MakeMetricFamily("lovagedale_revision", MetricType::Gauge);
  AddMetricValue(revision,
                 static_cast<double>(state.view ? state.view->revision : 0));
  auto list =
      MakeMetricFamily("lovagedale_server_list_number", MetricType::Gauge);
  AddMetricValue(list, static_cast<double>(state.servers.number()));
  auto suppressed = MakeMetricFamily("lovagedale_log_lines_left_out_total",
                                     MetricType::Counter);
  AddMetricValue(suppressed, static_cast<double>(state.log.suppressed()));
  auto crashes = MakeMetricFamily("lovagedale_server_crashes_detected_total",
                                  MetricType::Counter);
  AddMetricValue(crashes, static_cast<double>(state.crashes.crashes()));
  return prometheus::TextSerializer().Serialize(
      {calls, attempts, durations, first_events, ejected, forwarded, active,
       answer_memory, revision, list, suppressed, crashes});
}

}  // namespace lovagedale
