// Measures the decisions on workloads with fixed seeds; see docs/POLICY.md.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "decisions/cost_study.h"
#include "decisions/guard_study.h"
#include "decisions/placement_study.h"
#include "decisions/planner_study.h"
#include "decisions/recovery_study.h"
#include "decisions/report.h"

ABSL_FLAG(std::string, study, "all",
          "cost, interactive, guard, placement, planner, recovery or "
          "all");
ABSL_FLAG(std::string, shape, "", "one workload shape only");
ABSL_FLAG(uint64_t, seed, 1000, "first seed of the customers");
ABSL_FLAG(double, confidence_z, -1, "overrides planning_options");
ABSL_FLAG(double, min_rating_share, -1, "overrides exploration_options");
ABSL_FLAG(double, rating_knee, -1, "overrides exploration_options");
ABSL_FLAG(double, max_share, -1, "overrides exploration_options");
ABSL_FLAG(int, wanted_ratings, -1, "overrides exploration_options");
ABSL_FLAG(std::string, curves, "",
          "folder for the plots' data; nothing else runs");
ABSL_FLAG(std::string, json, "", "file for the figures");

namespace {

auto CostOptions() -> lovagedale::benchmark::cost_study_options {
  lovagedale::benchmark::cost_study_options options;
  options.only_shape = absl::GetFlag(FLAGS_shape);
  options.first_seed = absl::GetFlag(FLAGS_seed);
  const auto override_with = [](auto& value, auto flag) {
    if (flag >= 0) value = static_cast<std::decay_t<decltype(value)>>(flag);
  };
  override_with(options.planning.confidence_z,
                absl::GetFlag(FLAGS_confidence_z));
  auto& exploration = options.exploration;
  override_with(exploration.min_rating_share,
                absl::GetFlag(FLAGS_min_rating_share));
  override_with(exploration.rating_knee, absl::GetFlag(FLAGS_rating_knee));
  override_with(exploration.max_share, absl::GetFlag(FLAGS_max_share));
  override_with(exploration.wanted_ratings,
                absl::GetFlag(FLAGS_wanted_ratings));
  return options;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  absl::SetProgramUsageMessage("Measures lovagedale's decisions.");
  absl::ParseCommandLine(argc, argv);
  const auto folder = absl::GetFlag(FLAGS_curves);
  if (!folder.empty()) {
    lovagedale::benchmark::WriteCostCurve(folder, CostOptions());
    lovagedale::benchmark::WriteExposureCurve(folder);
    return 0;
  }
  const auto study = absl::GetFlag(FLAGS_study);
  const auto wanted = [&](const std::string& name) {
    return study == "all" || study == name;
  };
  lovagedale::benchmark::figure_report report;
  if (wanted("cost")) {
    lovagedale::benchmark::RunCostStudy(report, CostOptions());
  }
  if (wanted("interactive")) {
    lovagedale::benchmark::RunInteractiveStudy(report, CostOptions());
  }
  if (wanted("guard")) lovagedale::benchmark::RunGuardStudy(report);
  if (wanted("placement")) lovagedale::benchmark::RunPlacementStudy(report);
  if (wanted("planner")) lovagedale::benchmark::RunPlannerStudy(report);
  if (wanted("recovery")) lovagedale::benchmark::RunRecoveryStudy(report);
  report.Print();
  const auto path = absl::GetFlag(FLAGS_json);
  if (!path.empty()) report.WriteJson(path);
  return report.AreAllMet() ? 0 : 1;
}
