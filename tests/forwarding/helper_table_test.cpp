#include "lovagedale/forwarding/helper_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace lovagedale::testing {
namespace {

constexpr int kEntries = 360;

auto Name(int i) -> std::string { return "entry-" + std::to_string(i); }
auto Address(int i) -> std::string {
  return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) +
         ":7355";
}
auto Fill(helper_table& table, int cut_off) -> void {
  for (int i = 0; i < kEntries; ++i) {
    table.Report(
        Name(i),
        reach_report{Address(i), i < cut_off ? std::vector<std::uint32_t>{1, 2}
                                             : std::vector<std::uint32_t>{}},
        0);
  }
}

}  // namespace

TEST_CASE("helpers reach what the entry does not") {
  helper_table table;
  table.Report("a", reach_report{"10.0.0.1:1", {1}}, 0);
  table.Report("b", reach_report{"10.0.0.2:1", {2}}, 0);
  table.Report("c", reach_report{"10.0.0.3:1", {1, 2}}, 0);
  table.Report("d", reach_report{"", {}}, 0);
  CHECK(table.HelpersFor("a", 0) == std::vector<std::string>{"10.0.0.2:1"});
  CHECK(table.HelpersFor("c", 0).size() == 2);
  // Entries that reach everything keep helpers that do so too.
  table.Report("e", reach_report{"10.0.0.5:1", {}}, 0);
  table.Report("f", reach_report{"10.0.0.6:1", {}}, 0);
  CHECK(table.HelpersFor("e", 0) == std::vector<std::string>{"10.0.0.6:1"});
  CHECK(table.HelpersFor("c", 0).size() == 2);
}

// Guards against cut-off entries that nobody helps because one service, of
// which all servers are down, is reached by nobody.
TEST_CASE("a service that nobody reaches does not keep others from helping") {
  helper_table table;
  table.Report("cut off", reach_report{"10.0.0.1:1", {1, 2, 3}}, 0);
  table.Report("cut off too", reach_report{"10.0.0.2:1", {1, 2, 3}}, 0);
  table.Report("sound", reach_report{"10.0.0.3:1", {3}}, 0);
  table.Report("sound too", reach_report{"10.0.0.4:1", {3}}, 0);
  CHECK(table.HelpersFor("cut off", 0).size() == 2);
  CHECK(table.HelpersFor("sound", 0).empty());
}

TEST_CASE("nobody helps where no entry reaches the servers") {
  helper_table table;
  Fill(table, kEntries);
  for (int i = 0; i < kEntries; ++i) {
    CHECK(table.HelpersFor(Name(i), 0).empty());
  }
}

TEST_CASE("entries that are silent or leave do not help") {
  helper_table table;
  table.Report("a", reach_report{"10.0.0.1:1", {}}, 0);
  table.Report("b", reach_report{"10.0.0.2:1", {}}, 0);
  CHECK(table.HelpersFor("a", helper_table::kReportMaxAgeMs).size() == 1);
  CHECK(table.HelpersFor("a", helper_table::kReportMaxAgeMs + 1).empty());
  // The last report still holds.
  table.Report("b", std::nullopt, helper_table::kReportMaxAgeMs);
  CHECK(table.HelpersFor("a", helper_table::kReportMaxAgeMs + 1).size() == 1);
  table.Forget("b");
  CHECK(table.HelpersFor("a", 0).empty());
}

// Guards against a cut of a third of the entries that the same few others bear.
TEST_CASE("the calls of cut-off entries spread over those that are left") {
  constexpr int kCutOff = kEntries / 3;
  helper_table table;
  Fill(table, kCutOff);
  std::map<std::string, int> uses;
  for (int i = 0; i < kCutOff; ++i) {
    const auto helpers = table.HelpersFor(Name(i), 0);
    CHECK(helpers.size() == helper_table::kMaxHelpers);
    for (const auto& helper : helpers) ++uses[helper];
  }
  int most = 0;
  for (const auto& [address, count] : uses) most = std::max(most, count);
  // The mean is 3: 120 entries with 6 helpers each of 240.
  CHECK(uses.size() >= 200);
  CHECK(most <= 12);
}

}  // namespace lovagedale::testing
