#pragma once

#include <string>

#include "decisions/report.h"
#include "lovagedale/cascade/exploration.h"
#include "lovagedale/cascade/plan.h"

namespace lovagedale::benchmark {

/// What the learned cascade is run with.
struct cost_study_options {
  std::string only_shape;
  std::uint64_t first_seed = 1'000;
  planning_options planning;
  exploration_options exploration;
};

/// Cost at the quality target for patient customers: the learned cascade
/// beside always best, always cheapest, a fixed cascade, the informed oracle
/// and the clairvoyant. All shapes if `only_shape` is empty.
auto RunCostStudy(figure_report& report, const cost_study_options& options)
    -> void;

/// Latency of impatient customers on the first shape, beside always the
/// fastest version that meets the target, and their cost beside always best.
auto RunInteractiveStudy(figure_report& report,
                         const cost_study_options& options) -> void;

/// Writes `target quality cost` lines of the first shape to `folder`/cost.dat:
/// ours and the informed oracle over a range of targets, in always best's cost.
auto WriteCostCurve(const std::string& folder,
                    const cost_study_options& options) -> void;

}  // namespace lovagedale::benchmark
