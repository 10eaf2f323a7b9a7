#include <doctest/doctest.h>

#include "lovagedale/configuration/evacuation.h"
#include "support/cold_fleet.h"
#include "support/relaying_fleet.h"

namespace lovagedale::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLimit = 11;
constexpr monotonic_ms kColdStartMs = 3'000;
/// Until a change of the list has reached all entries.
constexpr monotonic_ms kKnownAfterMs = 1'500;
constexpr monotonic_ms kSecondMs = 1'000;

auto ColdLoad() -> relaying_load {
  relaying_load load;
  load.requests_per_s = 200;
  load.cold_limits = {{"engines", kLimit, kColdStartMs}};
  return load;
}

}  // namespace

// Guards against a server that crashes as it gets its usual part of the load
// while it is cold.
TEST_CASE("a server that is listed as cold gets its limit from all entries") {
  relaying_fleet fleet(ColdLoad());
  fleet.Run(seconds(3));
  auto& cold = fleet.Server(0);
  fleet.BeginCold(cold, 10'000);
  fleet.CountSecondsFrom(cold, kKnownAfterMs + kSecondMs);
  fleet.Run(milliseconds(8'500));
  CHECK(cold.arrivals_by_second.most() <= MostAllowedCold(kLimit));
  CHECK(static_cast<double>(cold.arrivals_by_second.total()) >=
        kLimit * 6 * 0.8);
  CHECK(fleet.refused() == 0);
  const auto metrics = fleet.Entry(0).Metrics();
  for (const auto* text :
       {"lovagedale_cold_server_limit_per_second{server=\"s0\"} 11",
        "lovagedale_cold_requests_total{server=\"s0\",result=\"granted\"}",
        "lovagedale_cold_requests_total{server=\"s0\",result=\"held_back\"}"}) {
    CAPTURE(text);
    CHECK(metrics.find(text) != std::string::npos);
  }
  fleet.CountSecondsFrom(cold, 3'000);
  fleet.Run(seconds(6));
  // Half of an even part of the load.
  CHECK(static_cast<double>(cold.arrivals_by_second.total()) >=
        fleet.load().requests_per_s / kRelayedServers * 3 / 2);
}

// Guards against a cold server that gets its cold limit although it names a
// lower one, and against answers without a named limit that end the cold one.
TEST_CASE("a cold server that names a limit gets the lower of the two") {
  constexpr std::size_t kMostNamed = 17;  // 1.5 times 2 a second in 4 s, and 5.
  relaying_fleet fleet(ColdLoad());
  fleet.Run(seconds(3));
  auto& cold = fleet.Server(0);
  fleet.BeginCold(cold, 60'000);
  fleet.Run(milliseconds(kKnownAfterMs));
  cold.limit = "2";
  fleet.CountFrom(cold, arrival_windows::kWindowMs + 1'000);
  fleet.CountSecondsFrom(cold, 0);
  fleet.Run(seconds(10));
  CHECK(cold.arrivals.most() <= kMostNamed);
  CHECK(cold.arrivals.total() >= 2);
  cold.limit.clear();
  fleet.Run(seconds(5));
  CHECK(cold.arrivals_by_second.most() <= MostAllowedCold(kLimit));
}

// Guards against entries that start together and take the whole limit each.
TEST_CASE("entries that start together keep to the limits of cold servers") {
  auto load = ColdLoad();
  load.cold_at_start_ms = 30'000;
  relaying_fleet fleet(load);
  for (std::size_t i = 0; i < kRelayedServers; ++i) {
    fleet.CountSecondsFrom(fleet.Server(i), 0);
  }
  fleet.Run(seconds(6));
  for (std::size_t i = 0; i < kRelayedServers; ++i) {
    CAPTURE(i);
    const auto& arrivals = fleet.Server(i).arrivals_by_second;
    CHECK(arrivals.most() <= MostAllowedCold(kLimit));
    CHECK(static_cast<double>(arrivals.total()) >= kLimit * 6 * 0.8);
  }
}

// Guards against cold servers that get all requests without a limit as soon as
// there is nobody to grant them.
TEST_CASE("entries without control keep to the limits of cold servers") {
  auto load = ColdLoad();
  load.cold_at_start_ms = 60'000;
  relaying_fleet fleet(load);
  fleet.Run(seconds(5));
  for (std::size_t i = 0; i < kRelayedServers; ++i) {
    fleet.CountSecondsFrom(fleet.Server(i), 0);
  }
  fleet.Control().Stop();
  fleet.Run(seconds(10));
  for (std::size_t i = 0; i < kRelayedServers; ++i) {
    CAPTURE(i);
    const auto& arrivals = fleet.Server(i).arrivals_by_second;
    CHECK(arrivals.most() <= MostAllowedCold(kLimit));
    CHECK(static_cast<double>(arrivals.total()) >= kLimit * 10 * 0.2);
  }
}

// Guards against servers of a zone that crash when its evacuation is withdrawn,
// before the list shows that they are cold.
TEST_CASE("servers are cold when the evacuation of their zone is withdrawn") {
  auto load = ColdLoad();
  load.local_servers = 0;
  relaying_fleet fleet(load);
  fleet.Run(seconds(3));
  fleet.Control().Apply(EvacuateZone("zone-b"));
  fleet.Run(seconds(2));
  for (std::size_t i = 0; i < kRelayedServers; ++i) {
    fleet.CountSecondsFrom(fleet.Server(i), 0);
  }
  fleet.Control().Apply(WithdrawEvacuation("zone-b"));
  fleet.Run(milliseconds(kColdStartMs - 500));
  for (std::size_t i = 0; i < kRelayedServers; ++i) {
    CAPTURE(i);
    const auto& arrivals = fleet.Server(i).arrivals_by_second;
    CHECK(arrivals.most() <= MostAllowedCold(kLimit));
    CHECK(static_cast<double>(arrivals.total()) >= kLimit);
  }
}

}  // namespace lovagedale::testing
