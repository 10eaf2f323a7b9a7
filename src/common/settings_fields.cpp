#include "lovagedale/common/settings_fields.h"

#include <charconv>

namespace lovagedale {
namespace {

constexpr std::int64_t kMaxPort = 65'535;

}  // namespace

auto ReadPort(object_reader& reader, std::string_view key) -> std::uint16_t {
  return static_cast<std::uint16_t>(reader.Integer(key, 0, kMaxPort, 0));
}

auto ParseEndpoint(std::string_view text) -> std::optional<ip_endpoint> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  ip_endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const auto digits = text.substr(colon + 1);
  const auto* end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, endpoint.port);
  if (result.ec != std::errc{} || result.ptr != end || endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

auto ReadEndpoint(object_reader& reader, std::string_view key) -> ip_endpoint {
  const auto text = reader.RequiredString(key);
  if (text.empty()) return {};
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) reader.AddError(key, "\"" + text + "\"", "IP:PORT");
  return endpoint.value_or(ip_endpoint{});
}

auto ReadProcesses(object_reader& reader, std::string_view key)
    -> std::vector<process_address> {
  std::vector<process_address> list;
  reader.ForEach(key, [&](object_reader& item) {
    process_address address;
    address.name = item.RequiredString("name");
    address.zone = item.RequiredString("zone");
    address.host = item.RequiredString("host");
    address.port = ReadPort(item, "port");
    for (const auto& other : list) {
      if (other.name == address.name) {
        item.AddError("name", "\"" + address.name + "\"",
                      "a name that no other process has");
      }
    }
    list.push_back(std::move(address));
  });
  return list;
}

auto ReadLogSettings(object_reader& reader, std::string& file,
                     std::string& level) -> void {
  file = reader.String("log_file", "");
  level =
      reader.Choice("log_level", {"debug", "info", "warning", "error"}, "info");
}

auto ParseLogLevel(std::string_view name) -> log_level {
  if (name == "debug") return log_level::kDebug;
  if (name == "warning") return log_level::kWarning;
  if (name == "error") return log_level::kError;
  return log_level::kInfo;
}

}  // namespace lovagedale
