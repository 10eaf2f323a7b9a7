#include "scale/scale_fleet.h"

#include <sstream>

namespace lovagedale::benchmark {
namespace {

constexpr std::size_t kZones = 7;

template <typename WriteItem>
auto WriteList(std::ostream& out, std::size_t count, WriteItem write) -> void {
  out << "[";
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0) out << ",";
    write(i);
  }
  out << "]";
}

}  // namespace

auto MakeFleetView(const fleet_size& size) -> fleet_view {
  std::ostringstream out;
  const auto write_versions = [&] {
    WriteList(out, size.versions,
              [&](std::size_t v) { out << "\"model@" << v << "\""; });
  };
  out << "{\"zones\":";
  WriteList(out, kZones, [&](std::size_t z) {
    out << R"({"name":"zone-)" << z << R"(","region":"region-)" << z % 2
        << "\"}";
  });
  out << R"(,"models":[{"name":"model","versions":)";
  WriteList(out, size.versions, [&](std::size_t v) {
    out << "{\"name\":\"" << v
        << "\",\"price_micros_per_1k_tokens\":" << 100 * (v + 1)
        << ",\"expected_quality\":0.7}";
  });
  out << R"(}],"pools":[{"name":"pool","servers":)";
  WriteList(out, size.servers, [&](std::size_t s) {
    out << "{\"name\":\"server-" << s << "\",\"zone\":\"zone-" << s % kZones
        << "\",\"host\":\"127.0.0.1\",\"port\":" << 1'024 + s
        << ",\"slots\":64,\"versions\":";
    write_versions();
    out << "}";
  });
  out << R"(}],"customers":)";
  WriteList(out, size.customers, [&](std::size_t c) {
    out << R"({"name":"customer-)" << c << R"(","key":"key-)" << c
        << R"(","target_quality":0.75,"versions":)";
    write_versions();
    out << "}";
  });
  out << "}";
  fleet_view view;
  view.revision = 1;
  view.document = out.str();
  return view;
}

auto MakeEvidence(const routing_table& table, std::size_t classes)
    -> evidence_table {
  evidence_table evidence;
  for (const auto& version : table.config().versions) {
    for (std::size_t c = 0; c < classes; ++c) {
      for (std::uint8_t bin = 0; bin < kSignalBins; ++bin) {
        evidence[{version.name, "class-" + std::to_string(c), bin}] = {
            1'000, 5, 50, 30.0 + bin, 30.0 + bin};
      }
    }
  }
  return evidence;
}

}  // namespace lovagedale::benchmark
