#pragma once

#include "decisions/report.h"

namespace lovagedale::benchmark {

/// Time without a leader after 100 kills of it, on a virtual clock; and the
/// disk use and recovery of a control replica after 100,000 changes.
auto RunRecoveryStudy(figure_report& report) -> void;

}  // namespace lovagedale::benchmark
