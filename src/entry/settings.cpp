#include "lovagedale/entry/settings.h"

#include "lovagedale/common/settings_fields.h"

namespace lovagedale {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxTimeMs = 3'600'000;
constexpr std::int64_t kMaxBodyBytes = 256LL << 20U;
constexpr std::int64_t kMaxHeaderBytes = 1LL << 20U;

auto ReadMs(object_reader& reader, std::string_view key, milliseconds fallback)
    -> milliseconds {
  return milliseconds(reader.Integer(key, 1, kMaxTimeMs, fallback.count()));
}

auto ReadLimits(object_reader& reader, http_limits& limits) -> void {
  limits.max_body_bytes = static_cast<std::size_t>(
      reader.Integer("max_body_bytes", 1, kMaxBodyBytes,
                     static_cast<std::int64_t>(limits.max_body_bytes)));
  limits.max_header_bytes = static_cast<std::size_t>(
      reader.Integer("max_header_bytes", 1'024, kMaxHeaderBytes,
                     static_cast<std::int64_t>(limits.max_header_bytes)));
  limits.header_timeout =
      ReadMs(reader, "header_timeout_ms", limits.header_timeout);
  limits.body_timeout = ReadMs(reader, "body_timeout_ms", limits.body_timeout);
  limits.write_timeout =
      ReadMs(reader, "write_timeout_ms", limits.write_timeout);
  limits.idle_timeout = ReadMs(reader, "idle_timeout_ms", limits.idle_timeout);
}

auto ReadDeadlines(object_reader& reader, http_deadlines& deadlines) -> void {
  deadlines.connect = ReadMs(reader, "connect_ms", deadlines.connect);
  deadlines.first_byte = ReadMs(reader, "first_byte_ms", deadlines.first_byte);
  deadlines.between_reads =
      ReadMs(reader, "between_reads_ms", deadlines.between_reads);
  deadlines.body = ReadMs(reader, "body_ms", deadlines.body);
}

}  // namespace

auto ParseEntrySettings(std::string_view text) -> entry_settings {
  entry_settings settings;
  ReadSettings(text, [&](object_reader& root) {
    settings.name = root.RequiredString("name");
    settings.zone = root.RequiredString("zone");
    settings.host = root.RequiredString("host");
    settings.http_port = ReadPort(root, "http_port");
    settings.admin_port = ReadPort(root, "admin_port");
    settings.rpc_port = ReadPort(root, "rpc_port");
    settings.traffic_threads = static_cast<std::size_t>(
        root.Integer("traffic_threads", 1, kMaxThreads, 2));
    settings.control = ReadProcesses(root, "control");
    settings.ledgers = ReadProcesses(root, "ledgers");
    settings.entries = ReadProcesses(root, "entries");
    if (settings.control.empty()) {
      root.AddError("control", "", "at least one control replica");
    }
    if (settings.ledgers.empty()) {
      root.AddError("ledgers", "", "at least one ledger");
    }
    root.Object("limits", [&](object_reader& reader) {
      ReadLimits(reader, settings.limits);
    });
    root.Object("deadlines", [&](object_reader& reader) {
      ReadDeadlines(reader, settings.deadlines);
    });
    settings.drain_delay = ReadMs(root, "drain_delay_ms", settings.drain_delay);
    settings.drain_limit = ReadMs(root, "drain_limit_ms", settings.drain_limit);
    settings.retry_fraction =
        root.Number("retry_share", 0, 1, settings.retry_fraction);
    ReadLogSettings(root, settings.log_file, settings.log_level);
  });
  return settings;
}

}  // namespace lovagedale
