#include "lovagedale/relay/log_budget.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {

// Load pattern: four times the peak, and every call fails.
TEST_CASE(
    "log lines about calls are limited, and suppressed ones are counted") {
  log_budget budget;
  std::uint64_t lines = 0;
  constexpr std::uint64_t kCalls = 40'000;
  for (std::uint64_t i = 0; i < kCalls; ++i) {
    if (budget.AllowFailure(static_cast<monotonic_ms>(i / 4))) ++lines;
  }
  CHECK(lines == 80 * 10);
  CHECK(budget.suppressed() == kCalls - lines);
}

TEST_CASE("successful calls do not use up the limit of failures") {
  log_budget budget;
  std::uint64_t successes = 0;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    if (budget.AllowSuccess(i, 500)) ++successes;
  }
  CHECK(successes == 20);
  CHECK(budget.AllowFailure(500));
  CHECK_FALSE(budget.AllowSuccess(1, 1'500));
  CHECK(budget.AllowSuccess(16, 1'500));
}

}  // namespace lovagedale::testing
