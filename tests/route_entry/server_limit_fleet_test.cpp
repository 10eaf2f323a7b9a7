#include <doctest/doctest.h>

#include "support/relaying_fleet.h"

namespace lovagedale::testing {

using std::chrono::seconds;

// Guards against a server in need that gets more from entries that relay than
// the limit that it names, though each entry knows of it.
TEST_CASE("entries that relay keep to the limits that servers name") {
  constexpr double kLimit = 2;
  constexpr std::size_t kMostAllowed = 17;  // 1.5 times in 4 s, and 5.
  constexpr monotonic_ms kFirstWindowMs = arrival_windows::kWindowMs + 500;
  relaying_fleet fleet;
  fleet.Run(seconds(6));
  auto& limited = fleet.Server(0);
  limited.limit = "2";
  fleet.CountFrom(limited, kFirstWindowMs);
  fleet.Run(seconds(20));
  CHECK(limited.arrivals.most() <= kMostAllowed);
  CHECK(static_cast<double>(limited.arrivals.total()) >= kLimit * 15 / 3);
  CHECK(fleet.refused() == 0);
  const auto metrics = fleet.Entry(0).Metrics();
  for (const auto* text :
       {"lovagedale_server_limit_per_second{server=\"s0\"} 2",
        "lovagedale_server_demand_per_second{server=\"s0\",of=\"fleet\"}",
        "lovagedale_limited_requests_total{server=\"s0\",result=\"held_"
        "back\"}"}) {
    CAPTURE(text);
    CHECK(metrics.find(text) != std::string::npos);
  }

  limited.limit.clear();
  fleet.CountFrom(limited, /*delay=*/5'000);
  fleet.Run(seconds(9));
  // Half of an even part of the load.
  CHECK(static_cast<double>(limited.arrivals.total()) >=
        fleet.load().requests_per_s / kRelayedServers * 4 / 2);
}

}  // namespace lovagedale::testing
