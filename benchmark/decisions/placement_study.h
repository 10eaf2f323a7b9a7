#pragma once

#include "decisions/report.h"

namespace lovagedale::benchmark {

/// Prefix-cache hits under late and lossy cache events, and the balance of
/// queues under lagging load reports, each beside its baseline.
auto RunPlacementStudy(figure_report& report) -> void;

}  // namespace lovagedale::benchmark
