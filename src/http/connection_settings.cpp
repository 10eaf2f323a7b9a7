#include "lovagedale/http/connection_settings.h"

#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <limits>

namespace lovagedale {
namespace {

/// Room for a body of 4 MiB, its copy and the connections beside it.
constexpr std::int64_t kMinMemoryBytes = 16LL << 20U;
constexpr std::int64_t kMinConnections = 16;
/// A relayed request takes a descriptor towards the caller and one towards the
/// server; the rest is for the process's files and its connections to control.
constexpr double kConnectionsPerDescriptor = 0.6;
constexpr std::size_t kReservedConnectionsPart = 16;
constexpr std::size_t kMinReservedConnections = 8;
constexpr std::size_t kReservedMemoryPart = 8;

auto LimitOf(int resource) -> std::size_t {
  rlimit limit{};
  if (::getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::size_t>::max();
  }
  return limit.rlim_cur;
}

/// A control group's limit; without one, the largest number.
auto ControlGroupBytes(const char* path) -> std::size_t {
  std::ifstream file(path);
  std::size_t bytes = 0;
  return file >> bytes && bytes > 0 ? bytes
                                    : std::numeric_limits<std::size_t>::max();
}

}  // namespace

auto MaxDescriptors() -> std::size_t { return LimitOf(RLIMIT_NOFILE); }

auto HostMemoryBytes() -> std::size_t {
  const auto machine = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) *
                       static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return std::min(
      {machine, LimitOf(RLIMIT_AS), LimitOf(RLIMIT_DATA),
       ControlGroupBytes("/sys/fs/cgroup/memory.max"),
       ControlGroupBytes("/sys/fs/cgroup/memory/memory.limit_in_bytes")});
}

auto ReadConnectionSettings(object_reader& root) -> connection_settings {
  connection_settings settings;
  root.Object("connections", [&](object_reader& reader) {
    constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
    const auto descriptors = static_cast<std::int64_t>(
        std::min<std::size_t>(MaxDescriptors(), kMax));
    const auto memory = static_cast<std::int64_t>(
        std::min<std::size_t>(HostMemoryBytes(), kMax));
    if (reader.Has("max")) {
      settings.max_connections = static_cast<std::size_t>(
          reader.Integer("max", kMinConnections, descriptors, kMinConnections));
    }
    settings.max_memory_bytes = static_cast<std::size_t>(
        reader.Integer("max_memory_bytes", kMinMemoryBytes, memory,
                       static_cast<std::int64_t>(settings.max_memory_bytes)));
  });
  return settings;
}

auto MakeAccountLimits(const connection_settings& settings,
                       std::size_t max_descriptors, bool has_reserved_ports)
    -> account_limits {
  const auto connections =
      settings.max_connections > 0
          ? settings.max_connections
          : static_cast<std::size_t>(kConnectionsPerDescriptor *
                                     static_cast<double>(max_descriptors));
  const port_limits all{connections, settings.max_memory_bytes};
  if (!has_reserved_ports) return {all, all};
  const port_limits reserved{
      std::max(connections / kReservedConnectionsPart, kMinReservedConnections),
      settings.max_memory_bytes / kReservedMemoryPart};
  return {{connections - std::min(connections, reserved.max_connections),
           all.max_bytes - reserved.max_bytes},
          reserved};
}

auto FormatConnectionMetrics(const connection_account& account) -> std::string {
  using prometheus::MetricType;
  const auto family = [](const char* name, MetricType type) {
    prometheus::MetricFamily result;
    result.name = name;
    result.type = type;
    return result;
  };
  const auto add = [](prometheus::MetricFamily& to, double value,
                      std::vector<prometheus::ClientMetric::Label> labels) {
    prometheus::ClientMetric metric;
    metric.label = std::move(labels);
    (to.type == MetricType::Gauge ? metric.gauge.value : metric.counter.value) =
        value;
    to.metric.push_back(std::move(metric));
  };
  auto open = family("lovagedale_connections", MetricType::Gauge);
  auto max_open = family("lovagedale_connections_max", MetricType::Gauge);
  auto memory = family("lovagedale_connection_memory_bytes", MetricType::Gauge);
  auto max_memory =
      family("lovagedale_connection_memory_max_bytes", MetricType::Gauge);
  auto closed =
      family("lovagedale_connections_closed_total", MetricType::Counter);
  auto refused = family("lovagedale_requests_refused_for_memory_total",
                        MetricType::Counter);
  for (const auto ports : {port_class::kGeneral, port_class::kReserved}) {
    const bool is_general = ports == port_class::kGeneral;
    const std::string name = is_general ? "general" : "reserved";
    const auto& limits =
        is_general ? account.limits().general : account.limits().reserved;
    const auto& counts = account.counts(ports);
    add(open, static_cast<double>(counts.connections), {{"ports", name}});
    add(max_open, static_cast<double>(limits.max_connections),
        {{"ports", name}});
    add(memory, static_cast<double>(counts.bytes), {{"ports", name}});
    add(max_memory, static_cast<double>(limits.max_bytes), {{"ports", name}});
    const auto add_closed = [&](const char* reason, std::uint64_t count) {
      add(closed, static_cast<double>(count),
          {{"ports", name}, {"reason", reason}});
    };
    add_closed("connections", counts.closed_for_connections);
    add_closed("memory", counts.closed_for_bytes);
    add_closed("descriptors", counts.closed_for_descriptors);
    add_closed("refused", counts.refused_connections);
    add(refused, static_cast<double>(counts.refused_requests),
        {{"ports", name}});
  }
  return prometheus::TextSerializer().Serialize(
      {open, max_open, memory, max_memory, closed, refused});
}

}  // namespace lovagedale
