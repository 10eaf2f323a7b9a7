#include <doctest/doctest.h>

#include "support/relaying_fleet.h"

namespace lovagedale::testing {

using std::chrono::seconds;

// Guards against servers that get more than the limits that they name, because
// requests that one of them does not take count nowhere as demand for the next.
TEST_CASE("requests that overflow to other servers keep to their limits too") {
  constexpr double kLimit = 2;
  constexpr std::size_t kMostAllowed = 17;  // 1.5 times in 4 s, and 5.
  constexpr monotonic_ms kFirstWindowMs = arrival_windows::kWindowMs + 500;
  // All entries prefer the only server of their zone.
  relaying_fleet fleet({30, 1});
  fleet.Run(seconds(6));
  for (std::size_t i = 0; i < kRelayedServers; ++i) {
    fleet.Server(i).limit = "2";
    fleet.CountFrom(fleet.Server(i), kFirstWindowMs);
  }
  fleet.Run(seconds(20));
  for (std::size_t i = 0; i < kRelayedServers; ++i) {
    CAPTURE(i);
    const auto& arrivals = fleet.Server(i).arrivals;
    CHECK(arrivals.most() <= kMostAllowed);
    CHECK(static_cast<double>(arrivals.total()) >= kLimit * 15 / 3);
  }
}

}  // namespace lovagedale::testing
