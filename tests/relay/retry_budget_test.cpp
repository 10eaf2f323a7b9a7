#include "lovagedale/relay/retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

namespace lovagedale::testing {

// Load pattern: half of the servers fail and every caller's request is sent
// again at once.
TEST_CASE("a retry storm stays within its fraction of the requests") {
  CHECK(rc::check([] {
    constexpr monotonic_ms kWindow = 10'000;
    retry_budget budget(0.5, kWindow, 3);
    std::deque<monotonic_ms> retries;
    std::deque<monotonic_ms> requests;
    monotonic_ms now = 1'000'000;
    for (int i = 0; i < 400; ++i) {
      now += *rc::gen::inRange<monotonic_ms>(0, 120);
      budget.CountRequest(now);
      requests.push_back(now);
      if (budget.TryRetry(now)) retries.push_back(now);
      // The budget's window may be one slot shorter than the one checked here.
      while (retries.front() <= now - kWindow * 9 / 10) retries.pop_front();
      while (requests.front() <= now - kWindow) requests.pop_front();
      RC_ASSERT(static_cast<double>(retries.size()) <=
                0.5 * static_cast<double>(requests.size()) + 3);
    }
  }));
}

TEST_CASE("an idle entry may retry a few times, and again after the window") {
  retry_budget budget(0.5, 10'000, 2);
  CHECK(budget.TryRetry(50'000));
  CHECK(budget.TryRetry(50'000));
  CHECK_FALSE(budget.TryRetry(50'000));
  CHECK(budget.TryRetry(60'000));
}

}  // namespace lovagedale::testing
