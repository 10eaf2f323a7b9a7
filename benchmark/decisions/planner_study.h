#pragma once

#include "decisions/report.h"

namespace lovagedale::benchmark {

/// How soon and with how many loads the planner follows a shift of demand,
/// beside a planner that knows the demand.
auto RunPlannerStudy(figure_report& report) -> void;

}  // namespace lovagedale::benchmark
