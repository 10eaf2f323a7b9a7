#include "lovagedale/control/format_census.h"

#include <doctest/doctest.h>

namespace lovagedale {

// Guards against a feature that is switched on beside a process that does not
// understand it.
TEST_CASE("a format is read by all only when each process has reported it") {
  format_census census;
  CHECK_FALSE(census.AllRead(2, {"c1", "e0"}));
  CHECK(census.AllRead(kFirstFormat, {"c1", "e0"}));
  census.Report("c1", 2);
  CHECK_FALSE(census.AllRead(2, {"c1", "e0"}));
  census.Report("e0", kFirstFormat);
  CHECK_FALSE(census.AllRead(2, {"c1", "e0"}));
  census.Report("e0", 3);
  CHECK(census.AllRead(2, {"c1", "e0"}));
}

TEST_CASE("a process that went back to an older build counts as that") {
  format_census census;
  census.Report("e0", 2);
  census.Report("e0", kFirstFormat);
  CHECK_FALSE(census.AllRead(2, {"e0"}));
  CHECK(census.FormatOf("e0") == kFirstFormat);
  CHECK_FALSE(census.FormatOf("e1"));
}

}  // namespace lovagedale
