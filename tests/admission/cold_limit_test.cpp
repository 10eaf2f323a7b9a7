#include "lovagedale/admission/cold_limit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

#include "lovagedale/common/hash.h"
#include "support/cold_fleet.h"

namespace lovagedale::testing {
namespace {

constexpr std::size_t kFleets[] = {6, 78, 360};
constexpr double kLimits[] = {2, 11, 30};
constexpr std::uint64_t kSeeds = 8;
constexpr monotonic_ms kRunMs = 20'000;

/// Calls `play` with fleets of each size, limit and seed that have many times
/// the demand that the server takes.
template <typename Play>
auto ForEachFleet(Play play) -> void {
  for (const auto entries : kFleets) {
    for (const auto limit : kLimits) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(entries);
        CAPTURE(limit);
        CAPTURE(seed);
        cold_fleet fleet({entries, limit, 40 * limit}, seed);
        play(fleet, entries, limit);
        CHECK(fleet.most() <= MostAllowedCold(limit));
      }
    }
  }
}

}  // namespace

// Guards against cold servers that crash by the requests of many entries, and
// against ones that are hardly used while the others are overloaded.
TEST_CASE("a cold server gets its limit from entries that reach control") {
  ForEachFleet([](cold_fleet& fleet, std::size_t, double limit) {
    fleet.Run(kRunMs);
    CHECK(static_cast<double>(fleet.arrived()) >=
          0.85 * limit * kRunMs / 1'000);
  });
}

// Guards against entries that each hold a place when a burst begins.
TEST_CASE("a cold server is safe from entries without control") {
  ForEachFleet([](cold_fleet& fleet, std::size_t entries, double limit) {
    fleet.CutFromControl(entries);
    fleet.Run(kRunMs);
    // The more entries there are for a limit, the fewer have a request while
    // their places last.
    if (entries > 78 || limit < 11) return;
    CHECK(static_cast<double>(fleet.arrived()) >= 0.3 * limit * kRunMs / 1'000);
  });
}

TEST_CASE("a cold server is safe while some entries lose control") {
  for (const std::size_t divisor : {2, 3, 6}) {
    CAPTURE(divisor);
    ForEachFleet([&](cold_fleet& fleet, std::size_t entries, double) {
      fleet.Run(5'000);
      fleet.CutFromControl(entries / divisor);
      fleet.Run(10'000);
      fleet.CutFromControl(0);
      fleet.Run(5'000);
    });
  }
}

TEST_CASE("a burst after silence keeps to the limit of a cold server") {
  for (const bool has_control : {true, false}) {
    CAPTURE(has_control);
    ForEachFleet([&](cold_fleet& fleet, std::size_t entries, double limit) {
      if (!has_control) fleet.CutFromControl(entries);
      for (int burst = 0; burst < 4; ++burst) {
        fleet.SetDemand(0);
        fleet.Run(4'000);
        fleet.SetDemand(200 * limit);
        fleet.Run(1'000);
      }
    });
  }
}

// Guards against entries that take the whole limit each, as they know of no
// others.
TEST_CASE("entries that do not know their number send nothing by themselves") {
  ForEachFleet([](cold_fleet& fleet, std::size_t entries, double) {
    fleet.SetKnownEntries(0);
    fleet.CutFromControl(entries);
    fleet.Run(5'000);
    CHECK(fleet.arrived() == 0);
  });
}

TEST_CASE("the number of entries is relied on once it has settled") {
  settled_entry_count count;
  CHECK_FALSE(count.Count(0));
  count.Record(0, 500);
  CHECK_FALSE(count.Count(10'000));
  // Entries that start together are told a number that grows.
  count.Record(1, 10'000);
  CHECK_FALSE(count.Count(12'999));
  count.Record(78, 12'000);
  CHECK(count.Count(13'000) == 78);
  // One that leaves does not give the others more at once.
  count.Record(6, 14'000);
  CHECK(count.Count(14'000) == 78);
  count.Record(6, 23'000);
  CHECK(count.Count(23'000) == 6);
  count.Record(7, 23'001);
  CHECK(count.Count(23'001) == 7);
}

TEST_CASE("an entry that was refused asks again when it was told") {
  cold_share share;
  CHECK(share.MayAsk(1'000));
  server_grant refused;
  refused.retry_after_ms = 90;
  CHECK_FALSE(share.Adopt(refused, 1'000));
  CHECK_FALSE(share.MayAsk(1'089));
  CHECK(share.RetryAfterMs(11, 6, 1'000) == 90);
  CHECK(share.MayAsk(1'090));
  server_grant granted;
  granted.is_granted = true;
  CHECK(share.Adopt(granted, 1'090));
}

// Guards against a leader that grants requests beyond the bound for any order
// of questions.
TEST_CASE("grants in any second are at most the limit and two") {
  const bool holds = rc::check([](std::vector<std::uint8_t> gaps) {
    cold_grants grants;
    grants.RecordHeartbeat("e", 0);
    monotonic_ms now = 0;
    std::deque<monotonic_ms> window;
    for (const auto gap : gaps) {
      now += gap;
      grants.RecordHeartbeat("e", now);
      if (!grants.Grant(1, 11, 1, now).is_granted) continue;
      window.push_back(now);
      while (now - window.front() >= 1'000) window.pop_front();
      RC_ASSERT(window.size() <= 13U);
    }
  });
  CHECK(holds);
}

TEST_CASE("grants are fewer by the entries that the leader does not hear") {
  cold_grants grants;
  std::size_t granted = 0;
  for (monotonic_ms now = 0; now < 10'000; now += 10) {
    grants.RecordHeartbeat("heard", now);
    granted += grants.Grant(1, 10, /*registered_entries=*/4, now).is_granted;
  }
  CHECK(granted >= 24);
  CHECK(granted <= 27);
}

TEST_CASE("a server's cold limit has another key than the limit it names") {
  const auto hash = Hash64("s1");
  CHECK(ColdKey(hash) != ServerKey(hash));
  CHECK(ColdKey(hash) == ColdKey(Hash64("s1")));
  CHECK(ColdKey(hash) != ColdKey(Hash64("s2")));
}

}  // namespace lovagedale::testing
