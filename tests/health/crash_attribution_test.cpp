#include "lovagedale/health/crash_attribution.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {

TEST_CASE("a request is to be quarantined after its second crash") {
  crash_attribution crashes;
  CHECK(crashes.ReportCrash("r1", "s1", {1, 2, 3}, 0).empty());
  CHECK(crashes.IsSuspect(2));
  CHECK(crashes.ReportCrash("r2", "s2", {2, 9}, 5'000) ==
        std::vector<request_fingerprint>{2});
  CHECK_FALSE(crashes.IsSuspect(2));
  CHECK(crashes.IsSuspect(9));
}

TEST_CASE("a crash that several entries report counts once") {
  crash_attribution crashes;
  CHECK(crashes.ReportCrash("entry-a/1", "s1", {1}, 0).empty());
  CHECK(crashes.ReportCrash("entry-b/1", "s1", {1}, 50).empty());
  CHECK(crashes.ReportCrash("entry-a/1", "s1", {1}, 60'000).empty());
}

TEST_CASE("a later crash of the same server counts again") {
  crash_attribution crashes;
  crashes.ReportCrash("r1", "s1", {1}, 0);
  CHECK(crashes.ReportCrash("r2", "s1", {1}, 10'000).size() == 1);
}

TEST_CASE("a suspect that finishes elsewhere is cleared") {
  crash_attribution crashes;
  crashes.ReportCrash("r1", "s1", {1, 2}, 0);
  crashes.Clear(2);
  CHECK(crashes.ReportCrash("r2", "s2", {1, 2}, 5'000) ==
        std::vector<request_fingerprint>{1});
}

TEST_CASE("suspects are cleared after some time") {
  crash_attribution crashes;
  crashes.ReportCrash("r1", "s1", {1}, 0);
  crashes.Expire(crash_attribution::kSuspicionLifetimeMs + 1);
  CHECK(crashes.suspects().empty());
}

}  // namespace lovagedale::testing
