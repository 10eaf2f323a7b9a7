#include "lovagedale/admission/expiring_places.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {

TEST_CASE("places come into being at their rate") {
  constexpr double kPerSecond = 2;
  expiring_places places(0, kPerSecond, 0, 0);
  int taken = 0;
  for (monotonic_ms now = 0; now <= 10'010; now += 10) {
    places.Update(kPerSecond, now);
    taken += places.TryTake(0, now) ? 1 : 0;
  }
  CHECK(taken == 1 + 20);
}

// Guards against places that are saved while there is no demand.
TEST_CASE("places end after two seconds") {
  constexpr double kPerSecond = 10;
  expiring_places places(0, kPerSecond, 0, 0);
  places.Update(kPerSecond, 60'000);
  int taken = 0;
  while (places.TryTake(0, 60'000)) ++taken;
  CHECK(taken == 20);
}

TEST_CASE("the newest place may last longer") {
  constexpr double kPerSecond = 0.1;
  expiring_places places(/*phase=*/0.5, kPerSecond, 0, 0);
  // The first one was 5 s old at the start, when it might not be older than 0.
  CHECK_FALSE(places.TryTake(10'000, 0));
  CHECK(places.NextInMs() == 5'001);
  places.Update(kPerSecond, 5'001);
  CHECK(places.TryTake(10'000, 5'001));
  places.Update(kPerSecond, 18'000);
  CHECK(places.TryTake(4'000, 18'000));
  CHECK_FALSE(places.TryTake(4'000, 18'000));
}

// Guards against a saved place that is used at a higher rate than it came at.
TEST_CASE("a change of the rate keeps the part of the next place") {
  expiring_places places(0, 1, 0, 0);
  CHECK(places.TryTake(0, 0));
  places.Update(10, 500);
  CHECK_FALSE(places.TryTake(0, 500));
  CHECK(places.NextInMs() == 51);
}

}  // namespace lovagedale::testing
