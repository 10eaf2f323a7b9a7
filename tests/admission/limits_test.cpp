#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

#include "lovagedale/admission/customer_limits.h"
#include "lovagedale/admission/token_bucket.h"

namespace lovagedale::testing {

TEST_CASE("a bucket admits no more than its burst and rate") {
  CHECK(rc::check([](std::uint64_t seed) {
    const auto rate = *rc::gen::inRange(1, 100);
    const auto burst = *rc::gen::inRange(1, 50);
    token_bucket bucket(rate, burst, 0);
    std::mt19937_64 random(seed);
    monotonic_ms now = 0;
    int admitted = 0;
    for (int i = 0; i < 500; ++i) {
      now += static_cast<monotonic_ms>(random() % 20);
      if (bucket.TryTake(now)) ++admitted;
    }
    RC_ASSERT(admitted <= burst + rate * now / 1'000.0 + 1e-6);
  }));
}

TEST_CASE("a token is available after the bucket's wait time") {
  token_bucket bucket(3, 1, 0);
  REQUIRE(bucket.TryTake(0));
  REQUIRE_FALSE(bucket.TryTake(0));
  CHECK(bucket.TryTake(bucket.WaitMs(0)));
}

TEST_CASE("retries stay within their budget when all requests fail") {
  retry_token_bucket budget(0.1, 5);
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.RecordRequest();
    if (budget.TryRetry()) ++retries;
  }
  CHECK(retries <= 1'005);
  CHECK(retries >= 990);
}

TEST_CASE("an entry admits its share of a customer's limit") {
  customer_limits limits(4);
  customer item;
  item.name = "carts";
  item.rate_per_s = 100;
  item.burst_requests = 40;
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    if (limits.TryAdmit(item, 0) == 0) ++admitted;
  }
  CHECK(admitted == 10);
  CHECK(limits.TryAdmit(item, 0) > 0);
}

TEST_CASE("a customer's first request finds a full token bucket") {
  customer_limits limits(4);
  customer item;
  item.name = "carts";
  item.rate_per_s = 0.1;
  item.burst_requests = 8;
  item.max_concurrent_requests = 2;
  // Demand is collected before the customer's first request.
  limits.CollectDemands({item}, /*all=*/true, 1, 0);
  REQUIRE(limits.TryAcquireSlot(item));
  CHECK(limits.TryAdmit(item, 0) == 0);
  CHECK(limits.TryAdmit(item, 0) == 0);
  CHECK(limits.TryAdmit(item, 0) > 0);
}

TEST_CASE("a customer's concurrent requests are limited and released") {
  customer_limits limits(1);
  customer item;
  item.name = "carts";
  item.max_concurrent_requests = 2;
  CHECK(limits.TryAcquireSlot(item));
  CHECK(limits.TryAcquireSlot(item));
  CHECK_FALSE(limits.TryAcquireSlot(item));
  limits.ReleaseSlot(item.name);
  CHECK(limits.TryAcquireSlot(item));
}

}  // namespace lovagedale::testing
