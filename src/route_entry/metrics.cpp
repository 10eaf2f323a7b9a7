#include <prometheus/text_serializer.h>

#include "lovagedale/common/latency_histogram.h"
#include "lovagedale/route_entry/route_entry.h"

namespace lovagedale {

namespace {

using prometheus::MetricType;

/// Figures of the servers that name a limit, or have named one.
struct limit_metrics {
  prometheus::MetricFamily requests = MakeMetricFamily(
      "lovagedale_limited_requests_total", MetricType::Counter);
  prometheus::MetricFamily limit =
      MakeMetricFamily("lovagedale_server_limit_per_second", MetricType::Gauge);
  prometheus::MetricFamily demand = MakeMetricFamily(
      "lovagedale_server_demand_per_second", MetricType::Gauge);

  auto Add(const server_record& server, monotonic_ms now) -> void {
    const auto& name = server.listed.id;
    const auto& counts = server.limited;
    const auto add = [&](std::uint64_t count, const char* result) {
      AddMetricValue(requests, static_cast<double>(count),
                     {{"server", name}, {"result", result}});
    };
    add(counts.passed_first, "passed_first");
    add(counts.passed_other, "passed_other");
    add(counts.held_back, "held_back");
    AddMetricValue(limit, server.limit.limit_per_s(), {{"server", name}});
    AddMetricValue(demand, server.limit.OwnDemand(now),
                   {{"server", name}, {"of", "entry"}});
    if (const auto fleet = server.limit.FleetDemand()) {
      AddMetricValue(demand, *fleet, {{"server", name}, {"of", "fleet"}});
    }
  }
};

/// Figures of the servers that are cold, or have been.
struct cold_metrics {
  prometheus::MetricFamily requests =
      MakeMetricFamily("lovagedale_cold_requests_total", MetricType::Counter);
  prometheus::MetricFamily limit = MakeMetricFamily(
      "lovagedale_cold_server_limit_per_second", MetricType::Gauge);

  auto Add(const server_record& server, monotonic_ms now) -> void {
    const auto& counts = server.cold.requests;
    const bool is_cold = server.IsCold(now);
    if (!is_cold && counts == cold_requests{}) return;
    const auto& name = server.listed.id;
    const auto add = [&](std::uint64_t count, const char* result) {
      AddMetricValue(requests, static_cast<double>(count),
                     {{"server", name}, {"result", result}});
    };
    add(counts.granted, "granted");
    add(counts.shared, "shared");
    add(counts.held_back, "held_back");
    AddMetricValue(limit, is_cold ? server.cold.limit.per_s : 0,
                   {{"server", name}});
  }
};

/// Requests that have waited or were refused for lack of capacity.
struct admission_metrics {
  explicit admission_metrics(const admission_gate& gate) {
    for (const auto& [key, counts] : gate.counts()) {
      AddMetricValue(held, static_cast<double>(counts.held),
                     {{"route", key.first}, {"customer", key.second}});
      AddRefused(key, "beyond_time_limit", counts.refused_beyond_limit);
      AddRefused(key, "late", counts.refused_late);
    }
    for (const auto& [route, times] : gate.held_ms()) {
      held_ms.metric.push_back(times.ToPrometheusMetric({{"route", route}}));
    }
    AddMetricValue(waiting, static_cast<double>(gate.waiting()));
  }

  /// `key`: route and customer.
  auto AddRefused(const std::pair<std::string, std::string>& key,
                  const char* reason, std::uint64_t count) -> void {
    AddMetricValue(
        refused, static_cast<double>(count),
        {{"route", key.first}, {"customer", key.second}, {"reason", reason}});
  }

  prometheus::MetricFamily held =
      MakeMetricFamily("lovagedale_held_requests_total", MetricType::Counter);
  prometheus::MetricFamily held_ms =
      MakeMetricFamily("lovagedale_held_ms", MetricType::Histogram);
  prometheus::MetricFamily refused = MakeMetricFamily(
      "lovagedale_requests_refused_total", MetricType::Counter);
  prometheus::MetricFamily waiting =
      MakeMetricFamily("lovagedale_requests_waiting", MetricType::Gauge);
};

}  // namespace

auto FormatRelayMetrics(const relay_state& state) -> std::string {
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
  auto given_up = MakeMetricFamily("lovagedale_escalations_given_up_total",
                                   MetricType::Counter);
  for (const auto& [key, count] : state.escalations_given_up) {
    AddMetricValue(given_up, static_cast<double>(count),
                   {{"customer", key.customer},
                    {"model", key.model},
                    {"reason", ToString(key.reason)}});
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
  auto prediction_errors = MakeMetricFamily("lovagedale_first_event_error_ms",
                                            MetricType::Histogram);
  for (const auto& [key, errors] : state.first_event_errors) {
    const auto add = [&, &tier = key](const latency_histogram& times,
                                      const char* actual) {
      prediction_errors.metric.push_back(times.ToPrometheusMetric(
          {{"route", tier.first}, {"model", tier.second}, {"actual", actual}}));
    };
    add(errors.earlier, "earlier");
    add(errors.later, "later");
  }
  auto paces = MakeMetricFamily("lovagedale_server_pace", MetricType::Gauge);
  auto ejected =
      MakeMetricFamily("lovagedale_servers_held_out", MetricType::Gauge);
  std::map<std::string, int> ejected_by_service;
  limit_metrics limits;
  cold_metrics cold;
  const auto now = system_monotonic_clock{}.Now();
  for (const auto& [id, server] : state.servers.All()) {
    ejected_by_service[server->listed.service] +=
        server->health.IsEjected(now) ? 1 : 0;
    cold.Add(*server, now);
    if (server->pace != 1) {
      AddMetricValue(paces, server->pace, {{"server", id}});
    }
    if (server->limit.IsLimited() || server->limited != limited_requests{}) {
      limits.Add(*server, now);
    }
  }
  for (const auto& [service, count] : ejected_by_service) {
    AddMetricValue(ejected, count, {{"service", service}});
  }
  auto evacuated =
      MakeMetricFamily("lovagedale_evacuated_zone_requests", MetricType::Gauge);
  for (const auto& zone : state.servers.evacuated_zones()) {
    AddMetricValue(evacuated,
                   static_cast<double>(state.servers.RunningIn(zone)),
                   {{"zone", zone}});
  }
  auto heavy_work =
      MakeMetricFamily("lovagedale_heavy_work_fraction", MetricType::Gauge);
  auto boundary =
      MakeMetricFamily("lovagedale_heavy_group_boundary", MetricType::Gauge);
  for (const auto& [service, groups] : state.groups) {
    if (const auto share = groups.HeavyShare(now)) {
      AddMetricValue(heavy_work, *share, {{"service", service}});
    }
    if (groups.groups()) {
      AddMetricValue(boundary, groups.groups()->boundary,
                     {{"service", service}});
    }
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
  auto trials = MakeMetricFamily("lovagedale_quarantine_trials_total",
                                 MetricType::Counter);
  AddMetricValue(trials, static_cast<double>(state.crashes.trials()));
  const admission_metrics admission(state.admission);
  return prometheus::TextSerializer().Serialize({calls,
                                                 attempts,
                                                 given_up,
                                                 durations,
                                                 first_events,
                                                 prediction_errors,
                                                 paces,
                                                 ejected,
                                                 evacuated,
                                                 heavy_work,
                                                 boundary,
                                                 forwarded,
                                                 active,
                                                 answer_memory,
                                                 revision,
                                                 list,
                                                 suppressed,
                                                 crashes,
                                                 trials,
                                                 limits.requests,
                                                 limits.limit,
                                                 limits.demand,
                                                 cold.requests,
                                                 cold.limit,
                                                 admission.held,
                                                 admission.held_ms,
                                                 admission.refused,
                                                 admission.waiting});
}

}  // namespace lovagedale
