#include "lovagedale/route_entry/settings.h"

#include "lovagedale/common/json_reader.h"
#include "lovagedale/common/settings_fields.h"

namespace lovagedale {
namespace {

constexpr std::int64_t kMaxStopTimeMs = 600'000;
constexpr std::int64_t kMaxRetryWindowMs = 600'000;
constexpr double kMaxRetryRatio = 10;
constexpr double kMaxRetryFloor = 10'000;

}  // namespace

auto ParseRouteEntrySettings(std::string_view text) -> route_entry_settings {
  route_entry_settings settings;
  ReadSettings(text, [&](object_reader& root) {
    settings.name = root.RequiredString("name");
    settings.zone = root.RequiredString("zone");
    settings.callers = ReadEndpoint(root, "callers");
    settings.ready = ReadEndpoint(root, "ready");
    settings.metrics_port = ReadPort(root, "metrics_port");
    if (root.Has("entry_port")) {
      settings.entry_port = ReadPort(root, "entry_port");
    }
    settings.control_port = ReadPort(root, "control_port");
    settings.seeds = root.StringList("seeds");
    root.ForEach("server_addresses", [&](object_reader& item) {
      const auto listed = item.RequiredString("listed");
      settings.server_addresses[listed] = ReadEndpoint(item, "reached_at");
    });
    settings.drain_delay = std::chrono::milliseconds(root.Integer(
        "drain_delay_ms", 0, kMaxStopTimeMs, settings.drain_delay.count()));
    settings.grace = std::chrono::milliseconds(static_cast<std::int64_t>(
        root.Number("grace_s", 0, kMaxStopTimeMs / 1'000.0,
                    static_cast<double>(settings.grace.count()) / 1'000) *
        1'000));
    ReadLogSettings(root, settings.log_file, settings.log_level);
    settings.connections = ReadConnectionSettings(root);
    root.Object("retries", [&](object_reader& reader) {
      auto& relay = settings.relay;
      relay.retry_ratio =
          reader.Number("ratio", 0, kMaxRetryRatio, relay.retry_ratio);
      relay.retry_window_ms = reader.Integer("window_ms", 10, kMaxRetryWindowMs,
                                             relay.retry_window_ms);
      relay.retry_floor =
          reader.Number("floor", 0, kMaxRetryFloor, relay.retry_floor);
    });
    settings.relay.admission = root.Bool("admission", settings.relay.admission);
    settings.relay.admission_strict =
        root.Bool("admission_strict", settings.relay.admission_strict);
    settings.relay.zone = settings.zone;
    if (settings.seeds.empty()) {
      root.AddError("seeds", "an empty list", "at least one IP:PORT");
    }
  });
  return settings;
}

}  // namespace lovagedale
