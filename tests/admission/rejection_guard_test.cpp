#include "lovagedale/admission/rejection_guard.h"

#include <doctest/doctest.h>

#include <vector>

namespace lovagedale::testing {

TEST_CASE("a number of rejections is a whole number of 1 or more") {
  CHECK(ParseMaxRejections("3") == 3);
  CHECK_FALSE(ParseMaxRejections("0"));
  CHECK_FALSE(ParseMaxRejections("-1"));
  CHECK_FALSE(ParseMaxRejections("2.5"));
  CHECK_FALSE(ParseMaxRejections("many"));
  CHECK_FALSE(ParseMaxRejections(""));
}

TEST_CASE("a server that names nothing gets all requests") {
  rejection_guard guard;
  guard.RecordAnswer(std::nullopt, 0);
  guard.RecordRejection(6, 0);
  CHECK(guard.MaySend(1'000, 6, 6, 0));
}

TEST_CASE("a brittle server's slots are shared, and it recovers") {
  rejection_guard guard;
  guard.RecordAnswer(4, 1'000);
  CHECK(guard.MaySend(9, 60, 6, 1'000));
  CHECK_FALSE(guard.MaySend(10, 60, 6, 1'000));
  // With more entries than slots each may still send one.
  CHECK(guard.MaySend(0, 4, 360, 1'000));
  CHECK(guard.MaySend(1'000, 60, 6, 6'000));
}

// Guards against a brittle server that entries make fall over again and again:
// each of them repeats what it has rejected.
TEST_CASE("the rejections of a brittle server stay below what it names") {
  constexpr std::uint32_t kMaxPerSecond = 3;
  constexpr std::size_t kEntries = 8;
  constexpr monotonic_ms kStepMs = 10;
  constexpr monotonic_ms kEndMs = 60'000;
  std::vector<rejection_guard> guards(kEntries);
  std::vector<monotonic_ms> rejections;
  // The server is full, and every entry always has a request for it.
  for (monotonic_ms now = 0; now < kEndMs; now += kStepMs) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      if (now == 0) guards[i].RecordAnswer(kMaxPerSecond, now);
      const auto start_ms = static_cast<monotonic_ms>(i) * 700;
      if (now < start_ms || !guards[i].MaySend(0, 4, kEntries, now)) continue;
      guards[i].RecordAnswer(kMaxPerSecond, now);
      guards[i].RecordRejection(kEntries, now);
      rejections.push_back(now);
    }
  }
  for (const auto begin : rejections) {
    const auto in_second = std::count_if(
        rejections.begin(), rejections.end(),
        [&](auto at) { return at >= begin && at < begin + 1'000; });
    CHECK(in_second <= kMaxPerSecond);
  }
  CHECK(rejections.size() > kEntries);
}

}  // namespace lovagedale::testing
