#include "lovagedale/scheduling/shared_thresholds.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "lovagedale/relay/tier_choice.h"

namespace lovagedale::testing {

// Load pattern: 78 entries, each of which sees few answers of a model. Guards
// against entries that keep the middle of the range for most of the day.
TEST_CASE("entries that see few answers each learn the fleet's threshold") {
  std::mt19937_64 random(3);
  std::normal_distribution<double> poor(0.15, 0.05);
  std::normal_distribution<double> good(0.65, 0.08);
  shared_thresholds control;
  std::vector<tier_table> entries(78);
  for (auto& entry : entries) {
    for (int i = 0; i < 6; ++i) {
      entry[{"route", "small"}].threshold.Add(i % 3 == 0 ? poor(random)
                                                         : good(random));
    }
  }
  for (auto& entry : entries) {
    control.Report(TakeConfidenceReports(entry));
  }
  for (auto& entry : entries) {
    auto& threshold = entry[{"route", "small"}].threshold;
    CHECK(threshold.Threshold() == 0.5);
    threshold.Add(0.6);
    const auto reports = TakeConfidenceReports(entry);
    REQUIRE(reports.size() == 1);
    AdoptThresholds(entry, control.Thresholds(reports));
    CHECK(threshold.Threshold() > 0.2);
    CHECK(threshold.Threshold() < 0.5);
  }
}

TEST_CASE("few answers, or answers of one bin, give no threshold") {
  shared_thresholds control;
  confidence_report report{7, {}};
  report.counts[3] = 50;
  report.counts[12] = 50;
  control.Report({report});
  CHECK(control.Thresholds({report}).empty());
  control.Report({report});
  CHECK(control.Thresholds({report}).size() == 1);
  CHECK(control.Thresholds({{8, {}}}).empty());
  confidence_report uniform{9, {}};
  uniform.counts[3] = 200;
  control.Report({uniform});
  CHECK(control.Thresholds({uniform}).empty());
}

// Guards against a threshold of a former version that stays for the day.
TEST_CASE("the threshold follows when the confidences change") {
  shared_thresholds control;
  confidence_report before{7, {}};
  before.counts[2] = before.counts[8] = 100;
  for (int i = 0; i < 200; ++i) control.Report({before});
  CHECK(control.Thresholds({before})[0].Value() <= 0.4);
  confidence_report after{7, {}};
  after.counts[14] = after.counts[19] = 100;
  for (int i = 0; i < 200; ++i) control.Report({after});
  CHECK(control.Thresholds({after})[0].Value() > 0.7);
}

// Guards against reports that exceed control's budget, and against models that
// are never reported beside busier ones.
TEST_CASE("a report is bounded, and no model is left out for long") {
  tier_table tiers;
  const auto name = [](std::size_t i) { return std::to_string(i); };
  constexpr std::size_t kModels = 2 * kMaxConfidenceReports;
  for (std::size_t i = 0; i < kModels; ++i) {
    tiers[{"route", name(i)}].threshold.Add(0.5);
  }
  CHECK(TakeConfidenceReports(tiers).size() == kMaxConfidenceReports);
  CHECK(TakeConfidenceReports(tiers).size() == kMaxConfidenceReports);
  CHECK(TakeConfidenceReports(tiers).empty());
}

}  // namespace lovagedale::testing
