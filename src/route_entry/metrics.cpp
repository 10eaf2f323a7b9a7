#include <prometheus/text_serializer.h>

#include "lovagedale/common/latency_histogram.h"
#include "lovagedale/route_entry/route_entry.h"

namespace lovagedale {

auto FormatRelayMetrics(const relay_state& state) -> std::string {
  using prometheus::MetricType;
  auto calls = MetricFamily("lovagedale_calls_total", MetricType::Counter);
  for (const auto& [key, count] : state.counts) {
    AddValue(calls, static_cast<double>(count),
             {{"route", key.route}, {"outcome", key.outcome}});
  }
  auto attempts =
      MetricFamily("lovagedale_attempts_total", MetricType::Counter);
  for (const auto& [result, count] : state.attempts) {
    AddValue(attempts, static_cast<double>(count), {{"result", result}});
  }
  auto whole = MetricFamily("lovagedale_call_ms", MetricType::Histogram);
  for (const auto& [route, times] : state.whole_times) {
    whole.metric.push_back(times.ToMetric({{"route", route}}));
  }
  auto first = MetricFamily("lovagedale_first_event_ms", MetricType::Histogram);
  for (const auto& [key, times] : state.first_event_times) {
    first.metric.push_back(
        times.ToMetric({{"route", key.first}, {"model", key.second}}));
  }
  auto held = MetricFamily("lovagedale_servers_held_out", MetricType::Gauge);
  std::map<std::string, int> held_out;
  const auto now = system_monotonic_clock{}.Now();
  for (const auto& [id, server] : state.servers.All()) {
    held_out[server->listed.service] += server->health.IsHeldOut(now) ? 1 : 0;
  }
  for (const auto& [service, count] : held_out) {
    AddValue(held, count, {{"service", service}});
  }
  auto active = MetricFamily("lovagedale_calls_active", MetricType::Gauge);
  AddValue(active, static_cast<double>(state.active));
  auto revision = MetricFamily("lovagedale_revision", MetricType::Gauge);
  AddValue(revision,
           static_cast<double>(state.view ? state.view->revision : 0));
  auto list = MetricFamily("lovagedale_server_list_number", MetricType::Gauge);
  AddValue(list, static_cast<double>(state.servers.number()));
  auto left_out =
      MetricFamily("lovagedale_log_lines_left_out_total", MetricType::Counter);
  AddValue(left_out, static_cast<double>(state.log.left_out()));
  return prometheus::TextSerializer().Serialize(
      {calls, attempts, whole, first, held, active, revision, list, left_out});
}

}  // namespace lovagedale
