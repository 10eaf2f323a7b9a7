#include "lovagedale/relay/recent_durations.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {

TEST_CASE("the longest call is known once calls have ended for long enough") {
  recent_durations durations;
  CHECK_FALSE(durations.Longest(1'000));
  for (int i = 0; i < 60; ++i) durations.Add(i == 7 ? 2'000 : 100, 1'000 + i);
  // Longer ones may have begun and not ended yet.
  CHECK_FALSE(durations.Longest(5'000));
  CHECK(durations.Longest(9'000) == 2'000);
}

TEST_CASE("a few calls give no longest duration") {
  recent_durations durations;
  for (int i = 0; i < 49; ++i) durations.Add(100, 1'000);
  CHECK_FALSE(durations.Longest(100'000));
}

TEST_CASE("only the latest calls count") {
  recent_durations durations;
  durations.Add(9'000, 1'000);
  for (int i = 0; i < 200; ++i) durations.Add(100, 2'000);
  CHECK(durations.Longest(60'000) == 100);
}

// Load pattern: a rolling restart; callers reach a stopping entry until it
// exits. One digest of a few hundred takes 3.3 s, all others less than 1.6 s.
TEST_CASE("a stopping process begins no stream that may outlast it") {
  constexpr monotonic_ms kStop = 12'600;
  const call_bounds stream{9'356, 14'356, /*is_stream=*/true, 1'500};
  CHECK_FALSE(EndsBefore(stream, kStop));
  CHECK(EndsBefore({7'000, 12'000, true, 1'500}, kStop));
  CHECK(EndsBefore({9'356, 12'356, false, 450}, kStop));
  CHECK(EndsBefore({11'000, 14'000, false, 450}, kStop));
  CHECK_FALSE(EndsBefore({11'800, 14'800, false, 450}, kStop));
  CHECK_FALSE(EndsBefore({11'000, 14'000, false, std::nullopt}, kStop));
}

}  // namespace lovagedale::testing
