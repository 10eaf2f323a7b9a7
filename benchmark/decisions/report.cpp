#include "decisions/report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>

namespace lovagedale::benchmark {

auto figure::IsMet() const -> bool {
  switch (kind) {
    case bound_kind::kAtMost:
      return value <= bound;
    case bound_kind::kAtLeast:
      return value >= bound;
    case bound_kind::kNone:
      return true;
  }
  return true;
}

auto figure_report::AtMost(const std::string& name, double value, double bound,
                           const std::string& note) -> void {
  Add({name, value, bound_kind::kAtMost, bound, note});
}

auto figure_report::AtLeast(const std::string& name, double value, double bound,
                            const std::string& note) -> void {
  Add({name, value, bound_kind::kAtLeast, bound, note});
}

auto figure_report::Plain(const std::string& name, double value,
                          const std::string& note) -> void {
  Add({name, value, bound_kind::kNone, 0, note});
}

auto figure_report::Print() const -> void {
  for (const auto& item : figures_) {
    std::printf("%-46s %12.4g", item.name.c_str(), item.value);
    if (item.kind == bound_kind::kAtMost) {
      std::printf("  <= %-8.4g %s", item.bound,
                  item.IsMet() ? "met" : "MISSED");
    } else if (item.kind == bound_kind::kAtLeast) {
      std::printf("  >= %-8.4g %s", item.bound,
                  item.IsMet() ? "met" : "MISSED");
    }
    std::printf("  %s\n", item.note.c_str());
  }
}

auto figure_report::WriteJson(const std::string& path) const -> void {
  boost::json::array rows;
  for (const auto& item : figures_) {
    boost::json::object row = {{"name", item.name}, {"value", item.value}};
    if (item.kind != bound_kind::kNone) {
      row["bound"] = item.bound;
      row["at_most"] = item.kind == bound_kind::kAtMost;
      row["met"] = item.IsMet();
    }
    rows.emplace_back(std::move(row));
  }
  std::ofstream(path) << boost::json::serialize(rows) << "\n";
}

auto figure_report::AreAllMet() const -> bool {
  return std::all_of(figures_.begin(), figures_.end(),
                     [](const auto& item) { return item.IsMet(); });
}

}  // namespace lovagedale::benchmark
