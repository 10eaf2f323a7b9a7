#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "support/limit_fleet.h"

namespace lovagedale::testing {
namespace {

constexpr std::uint64_t kSeeds = 4;
/// Time from the naming of limits until requests are counted: the bound holds
/// from 3 s on, for windows that then begin.
constexpr monotonic_ms kNamedMs = 7'500;
constexpr monotonic_ms kRunMs = 20'000;

struct fleet_play {
  std::string title;
  limit_fleet_size size;
  double limit_per_s = 4;
  double demand_per_s = 7;      ///< for each server
  double growth = 1;            ///< of the demand while the limits are in force
  std::size_t cut_entries = 0;  ///< lose control some seconds before it grows
  double first_popularity = 1;  ///< of one server relative to each other one
};

/// Plays the limits of all servers and returns the most requests that one of
/// them got in a window.
auto Play(const fleet_play& play, bool overflows, std::uint64_t seed)
    -> std::size_t {
  constexpr monotonic_ms kCutMs = 6'000;
  limit_fleet all(play.size, seed);
  std::vector<double> popularity(play.size.servers, 1);
  popularity.front() = play.first_popularity;
  all.SetPopularity(popularity);
  all.overflows = overflows;
  const auto demand =
      play.demand_per_s * static_cast<double>(play.size.servers);
  all.SetDemand(demand, play.size.entries);
  all.Run(10'000);
  all.limit_per_s = play.limit_per_s;
  all.Run(kNamedMs);
  all.RestartCount();
  all.CutFromControl(play.cut_entries);
  all.Run(kCutMs);
  all.SetDemand(demand * play.growth, play.size.entries);
  all.Run(kRunMs);
  return all.most();
}

}  // namespace

// Guards against requests that one limited server does not take and that exceed
// the limits of the others.
TEST_CASE(
    "limits hold for requests that overflow from one server to the next") {
  const fleet_play plays[] = {
      {"6 entries, 2 servers", {6, 200, 2}, 2.4, 1.5, 1, 0, 6},
      {"6 entries, 4 servers", {6, 200, 4}, 2.4, 1.5, 1, 0, 12},
      {"9 entries, 6 servers", {9, 200, 6}, 4, 2, 1, 0, 6},
      {"30 entries, 6 servers", {30, 200, 6}, 4, 2, 1, 0, 12},
      {"60 entries, 6 servers", {60, 200, 6}, 4, 2, 1, 0, 12},
  };
  for (const auto& play : plays) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(play.title);
      CAPTURE(seed);
      CHECK(Play(play, /*overflows=*/true, seed) <=
            MostAllowed(play.limit_per_s));
    }
  }
}

// Guards against shares of a limit that are right only for the demand of some
// seconds before.
TEST_CASE("limits hold while the demand grows faster than it is reported") {
  const fleet_play plays[] = {
      {"control", {30, 200, 12}, 4, 7, 4, 0},
      {"control, 2 servers", {30, 200, 2}, 4, 7, 4, 0},
      {"a third without control", {30, 200, 12}, 4, 7, 4, 10},
      {"no control, 2 servers", {30, 200, 2}, 4, 7, 4, 30},
      {"no control", {30, 200, 12}, 4, 7, 4, 30},
      {"60 entries without control", {60, 200, 2}, 4, 7, 4, 60},
      {"6 entries, ten times", {6, 200, 2}, 2.4, 3, 10, 0},
      {"a server of 295 entries, 20 times", {295, 1'000, 2}, 4, 7, 20, 0},
      {"6 entries without control, ten times", {6, 200, 2}, 2.4, 3, 10, 6},
  };
  for (const auto& play : plays) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(play.title);
      CAPTURE(seed);
      CHECK(Play(play, /*overflows=*/false, seed) <=
            MostAllowed(play.limit_per_s));
    }
  }
}

// Guards against grants and shares that together exceed a limit, while some
// processes are of a build without grants.
TEST_CASE("limits hold while only some entries ask for grants") {
  for (const std::size_t asking : {0, 10, 29}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(asking);
      CAPTURE(seed);
      constexpr double kLimit = 4;
      limit_fleet all({30, 200, 2}, seed);
      all.asking_entries = asking;
      all.SetDemand(14, 30);
      all.Run(10'000);
      all.limit_per_s = kLimit;
      all.Run(kNamedMs);
      all.RestartCount();
      all.Run(kRunMs);
      CHECK(all.most() <= MostAllowed(kLimit));
      CHECK(static_cast<double>(all.passed()) >=
            2 * kLimit * kRunMs / 1'000 / 3);
      all.SetDemand(56, 30);
      all.Run(kRunMs);
      CHECK(all.most() <= MostAllowed(kLimit));
    }
  }
}

}  // namespace lovagedale::testing
