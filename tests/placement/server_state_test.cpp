#include "lovagedale/placement/server_state.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {

// Guards against a crash that is not reported because a connection to the
// server failed first: the request that caused it then crashes further servers.
TEST_CASE("a crash is reported once, also of a server that is held out") {
  constexpr monotonic_ms kHoldMs = 1'000;
  server_state server("s1");
  server.ejected_until = 10'200;
  CHECK(server.TryReportCrash(10'000, kHoldMs));
  CHECK_FALSE(server.TryReportCrash(10'001, kHoldMs));
  // The server has started again and crashes again.
  CHECK(server.TryReportCrash(11'500, kHoldMs));
}

}  // namespace lovagedale::testing
