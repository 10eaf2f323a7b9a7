#include "lovagedale/admission/server_limit.h"

#include <doctest/doctest.h>

#include <set>

#include "support/limit_fleet.h"

namespace lovagedale::testing {
namespace {

constexpr std::uint32_t kServer = 7;
/// Entries must keep to a limit from this time after it was first named.
constexpr monotonic_ms kConnectedMs = 3'000;
/// Requests of an entry count from this time after it was told.
constexpr monotonic_ms kToldMs = 500;

constexpr limit_fleet_size kFleetSizes[] = {{6, 200}, {60, 200}, {360, 1'000}};

}  // namespace

// Guards against a server in need that gets the requests that it got before.
TEST_CASE("entries keep to a limit together and use it") {
  constexpr monotonic_ms kRunMs = 60'000;
  for (const auto& size : kFleetSizes) {
    const auto entries = size.entries;
    for (const double limit : {1.0, 2.0, 2.4, 20.0}) {
      for (const double demand : {3.0, 10.0, 40.0}) {
        CAPTURE(entries);
        CAPTURE(limit);
        CAPTURE(demand);
        limit_fleet all(size);
        all.SetDemand(demand, entries);
        all.Run(10'000);
        all.limit_per_s = limit;
        all.Run(kToldMs + kLimitWindowMs);
        all.RestartCount();
        all.Run(kRunMs);
        CHECK(all.most() <= MostAllowed(limit));
        const auto useful = std::min(limit, demand) * kRunMs / 1'000;
        CHECK(static_cast<double>(all.passed()) >= useful / 2);
      }
    }
  }
}

// Guards against shares that leave out what the server got before it named its
// limit: the first window reaches back to a second before.
TEST_CASE("entries make up for what a server got before it named its limit") {
  for (const auto& size : kFleetSizes) {
    const auto entries = size.entries;
    for (const double limit : {2.1, 2.4, 20.0}) {
      CAPTURE(entries);
      CAPTURE(limit);
      limit_fleet all(size);
      all.SetDemand(7, entries);
      all.Run(10'000);
      all.limit_per_s = limit;
      all.Run(kConnectedMs);
      all.RestartCount();
      all.Run(20'000);
      CHECK(all.most() <= MostAllowed(limit));
    }
  }
}

// Guards against shares that stay where there is no demand.
TEST_CASE("the share of a limit follows the demand to the entry that sends") {
  constexpr double kLimit = 2;
  for (const auto& size : kFleetSizes) {
    const auto entries = size.entries;
    CAPTURE(entries);
    limit_fleet all(size);
    all.limit_per_s = kLimit;
    all.SetDemand(10, entries);
    all.Run(10'000);
    all.SetDemand(10, 1);
    // The average of the former demand fades.
    all.Run(10'000);
    all.RestartCount();
    all.Run(30'000);
    CHECK(all.most() <= MostAllowed(kLimit));
    CHECK(static_cast<double>(all.passed()) >= kLimit * 30 / 2);
  }
}

TEST_CASE("entries that lose control keep to the limit, with more demand too") {
  constexpr double kLimit = 2;
  for (const auto& size : kFleetSizes) {
    const auto entries = size.entries;
    CAPTURE(entries);
    limit_fleet all(size);
    all.limit_per_s = kLimit;
    all.SetDemand(8, entries);
    all.Run(20'000);
    all.CutFromControl(entries);
    all.RestartCount();
    all.Run(20'000);
    CHECK(all.most() <= MostAllowed(kLimit));
    CHECK(static_cast<double>(all.passed()) >= kLimit * 20 / 3);
    all.SetDemand(16, entries);
    all.Run(20'000);
    CHECK(all.most() <= MostAllowed(kLimit));
  }
}

TEST_CASE("entries without control keep to a limit that is named then") {
  constexpr double kLimit = 2;
  constexpr monotonic_ms kRunMs = 40'000;
  for (const auto& size : kFleetSizes) {
    const auto entries = size.entries;
    // At 360 entries with 10 requests a second hardly any entry hears of it.
    if (entries > 60) continue;
    CAPTURE(entries);
    limit_fleet all(size);
    all.CutFromControl(entries);
    all.SetDemand(10, entries);
    all.Run(20'000);
    all.limit_per_s = kLimit;
    // Each entry hears of the limit from the server itself.
    while (all.LimitedEntries() < static_cast<std::ptrdiff_t>(entries)) {
      all.Run(1'000);
    }
    all.RestartCount();
    all.Run(kRunMs);
    CHECK(all.most() <= MostAllowed(kLimit));
    CHECK(static_cast<double>(all.passed()) >= kLimit * kRunMs / 1'000 / 3);
  }
}

TEST_CASE("a limit ends at all entries once an answer names none") {
  for (const auto& size : kFleetSizes) {
    const auto entries = size.entries;
    CAPTURE(entries);
    limit_fleet all(size);
    all.limit_per_s = 2;
    all.SetDemand(10, entries);
    all.Run(20'000);
    all.limit_per_s.reset();
    all.Run(5'000);
    CHECK(all.LimitedEntries() == 0);
    all.RestartCount();
    all.Run(10'000);
    CHECK(all.passed() >= 70);
  }
}

TEST_CASE("a limit ends at the entries without control too") {
  limit_fleet all({6, 200});
  all.limit_per_s = 2;
  all.SetDemand(10, 6);
  all.Run(20'000);
  all.CutFromControl(6);
  all.limit_per_s.reset();
  // Each entry asks the server at the rate of its share, once in some seconds.
  all.Run(60'000);
  CHECK(all.LimitedEntries() == 0);
}

// Guards against callers that are told to come back when they would be refused
// again, or much later than needed.
TEST_CASE("the time to retry is when the share has a place") {
  constexpr monotonic_ms kDemandPeriodMs = 100;
  server_limit limit;
  monotonic_ms now = 0;
  const auto run_until = [&](monotonic_ms until) {
    for (; now < until; now += kDemandPeriodMs) limit.RecordDemand(now);
  };
  run_until(20'000);
  limit.RecordAnswer({1.0}, now);
  // First what exceeded the limit is made up for, then the share is paced.
  for (int i = 0; i < 3; ++i) {
    CAPTURE(i);
    CHECK_FALSE(limit.TryTake(0, 1, now));
    const auto wait_ms = limit.RetryAfterMs(1, now);
    const auto begin = now;
    run_until(begin + wait_ms / 2);
    CHECK_FALSE(limit.TryTake(0, 1, now));
    run_until(begin + wait_ms + kDemandPeriodMs);
    CHECK(limit.TryTake(0, 1, now));
  }
}

TEST_CASE("failures and answers to earlier requests do not end a limit") {
  server_limit limit;
  constexpr monotonic_ms kNamedAt = 10'000;
  CHECK(limit.RecordAnswer({2.0}, kNamedAt));
  CHECK_FALSE(limit.RecordAnswer({std::nullopt, true, kNamedAt - 1}, 20'000));
  CHECK_FALSE(limit.RecordAnswer({std::nullopt, false, 15'000}, 20'000));
  CHECK(limit.IsLimited());
  CHECK(limit.RecordAnswer({std::nullopt, true, 15'000}, 20'000));
  CHECK_FALSE(limit.IsLimited());
}

TEST_CASE("the latest word about a limit counts") {
  server_limit_total total;
  total.Report("a", {{kServer, 2, 50, 3}}, 1'000);
  total.Report("b", {{kServer, 0, 10, 4}}, 1'000);
  const auto status = total.StatusesFor("a", 2, 1'000);
  REQUIRE(status.size() == 1);
  CHECK(status.front() == server_limit_status{kServer, 0, 10, 7});
  server_limit limit;
  limit.RecordAnswer({2.0}, 950);
  limit.Adopt(status.front(), 1'000);
  // The own answer is newer.
  CHECK(limit.IsLimited());
}

// Guards against an entry that keeps a limit which control knows to have ended,
// because it ended just after the entry had heard of it.
TEST_CASE("an entry follows control if control has heard its word") {
  server_limit limit;
  limit.RecordAnswer({2.0}, 10'000);
  const server_limit_status ended{kServer, 0, 1, 5};
  limit.Adopt(ended, 10'060);
  CHECK(limit.IsLimited());
  REQUIRE(limit.Report(kServer, 10'060).has_value());
  limit.Adopt(ended, 10'060);
  CHECK_FALSE(limit.IsLimited());
}

// Guards against entries that send nothing for seconds because an answer to an
// earlier request names a limit again that has just ended.
TEST_CASE("a limit that is named again makes up for the time without it") {
  constexpr double kPasses = 0;  // The draw of a request that any share takes.
  server_limit limit;
  for (monotonic_ms now = 0; now < 20'000; now += 100) limit.RecordDemand(now);
  limit.RecordAnswer({2.0}, 20'000);
  CHECK_FALSE(limit.TryTake(kPasses, 1, 21'000));
  CHECK(limit.RecordAnswer({std::nullopt, true, 24'500}, 25'000));
  CHECK(limit.RecordAnswer({2.0, true, 23'000}, 25'200));
  CHECK_FALSE(limit.TryTake(kPasses, 1, 25'250));
  CHECK(limit.TryTake(kPasses, 1, 26'500));
}

TEST_CASE("entries that have not reported a server count as the others do") {
  server_limit_total total;
  total.Report("a", {{kServer, 2, 0, 3}}, 1'000);
  CHECK(total.StatusesFor("a", 4, 1'000).front().demand_per_s ==
        doctest::Approx(12));
  total.Forget("a");
  CHECK(total.StatusesFor("a", 4, 1'000).empty());
}

TEST_CASE("a limit is a decimal number") {
  CHECK(ParseServerLimit("2.4") == 2.4);
  CHECK(ParseServerLimit("0") == 0.0);
  for (const auto* text : {"", "-1", "nan", "inf", "2 ", "two"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseServerLimit(text).has_value());
  }
}

TEST_CASE("many servers take turns, those with news first") {
  constexpr std::uint32_t kServers = 3 * kMaxServerLimitsPerHeartbeat;
  std::vector<server_limit_report> all;
  for (std::uint32_t i = 0; i < kServers; ++i) all.push_back({i, 2, 0, 1});
  server_limit_turns turns;
  std::set<std::uint32_t> told;
  for (int i = 0; i < 3; ++i) {
    auto selected = all;
    turns.Select(selected);
    CHECK(selected.size() == kMaxServerLimitsPerHeartbeat);
    for (const auto& item : selected) told.insert(item.server);
  }
  CHECK(told.size() == kServers);
  // The one that was told last of all.
  all.back().limit_per_s = 0;
  auto selected = all;
  turns.Select(selected);
  CHECK(selected.front() == all.back());
}

}  // namespace lovagedale::testing
