#pragma once

#include <string>

#include "decisions/report.h"

namespace lovagedale::benchmark {

/// Requests that a bad version answers before it is withdrawn, beside fixed
/// stages of 1, 10, 50 and 100% that are judged at their end on the same
/// evidence; and the share of good versions that are withdrawn.
auto RunGuardStudy(figure_report& report) -> void;

/// Writes `false-alarm-rate exposure` lines for a version 20 points worse and
/// one with 5% errors to `folder`/exposure.dat.
auto WriteExposureCurve(const std::string& folder) -> void;

}  // namespace lovagedale::benchmark
