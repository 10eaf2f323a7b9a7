#include "lovagedale/relay/server_groups.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include "lovagedale/common/hash.h"
#include "lovagedale/relay/server_choice.h"

namespace lovagedale::testing {
namespace {

constexpr double kHeavyMinWork = 20'000;

auto MakeServers(std::size_t count) -> std::vector<server_candidate> {
  std::vector<server_candidate> servers(count);
  for (std::size_t i = 0; i < count; ++i) {
    servers[i].id_hash = MixBits(i + 1);
    servers[i].capacity = 64;
    servers[i].own_zone = true;
  }
  return servers;
}

auto Grouped(const std::vector<server_candidate>& candidates)
    -> std::vector<grouped_server> {
  std::vector<grouped_server> servers;
  for (const auto& item : candidates) {
    servers.push_back({GroupPosition(item.id_hash), item.work});
  }
  return servers;
}

/// Positions of the servers that heavy requests prefer.
auto HeavyServers(const service_groups& groups,
                  const std::vector<grouped_server>& servers)
    -> std::set<double> {
  REQUIRE(groups.groups().has_value());
  std::set<double> heavy;
  for (const auto& server : servers) {
    if (server.position < groups.groups()->boundary) {
      heavy.insert(server.position);
    }
  }
  return heavy;
}

auto CountChanges(const std::set<double>& before, const std::set<double>& after)
    -> std::size_t {
  std::vector<double> changed;
  std::set_symmetric_difference(before.begin(), before.end(), after.begin(),
                                after.end(), std::back_inserter(changed));
  return changed.size();
}

/// Groups that follow `share` of servers without queues.
auto GroupsAt(double share, const std::vector<grouped_server>& servers)
    -> service_groups {
  service_groups groups;
  groups.AdoptShare(share);
  groups.Update(servers, kHeavyMinWork, /*has_queues=*/true, 0);
  return groups;
}

}  // namespace

TEST_CASE("the fraction of heavy requests' servers rises with their share") {
  CHECK(HeavyServerFraction(0) == 0);
  CHECK(HeavyServerFraction(1) == 1);
  CHECK(std::abs(HeavyServerFraction(0.79) - 0.68) < 0.005);
  for (int i = 0; i < 100; ++i) {
    CHECK(HeavyServerFraction(i / 100.0) <
          HeavyServerFraction((i + 1) / 100.0));
    // Light requests always get more than their share.
    CHECK(HeavyServerFraction(i / 100.0) <= i / 100.0);
  }
}

TEST_CASE("services without a pause, servers or two classes have no groups") {
  const auto servers = Grouped(MakeServers(40));
  CHECK(GroupsAt(0.7, servers).groups());
  CHECK_FALSE(GroupsAt(0.02, servers).groups());
  CHECK_FALSE(GroupsAt(0.98, servers).groups());
  CHECK_FALSE(GroupsAt(0.7, Grouped(MakeServers(7))).groups());
  CHECK_FALSE(HeavyMinWork(0));
  service_groups unknown;
  unknown.Update(servers, kHeavyMinWork, true, 0);
  CHECK_FALSE(unknown.groups());
  unknown.AdoptShare(0.7);
  unknown.Update(servers, std::nullopt, true, 1'000);
  CHECK_FALSE(unknown.groups());
}

// Guards against requests that are refused, or sent to an ejected server,
// because their group has no candidate, as with one version of a roll-out.
TEST_CASE("any candidates give a choice, whatever the boundary") {
  CHECK(rc::check([] {
    auto servers = MakeServers(*rc::gen::inRange<std::size_t>(1, 20));
    bool is_any_usable = false;
    for (auto& server : servers) {
      server.ejected = *rc::gen::arbitrary<bool>();
      server.work = *rc::gen::inRange(0, 200'000);
      is_any_usable = is_any_usable || !server.ejected;
    }
    choice_input input;
    const double shared = *rc::gen::inRange(0, 60'000);
    input.prompt = prompt_work{*rc::gen::inRange<std::uint64_t>(0, 50), shared,
                               shared + *rc::gen::inRange(1, 60'000)};
    input.groups =
        server_groups{*rc::gen::inRange(0, 101) / 100.0, kHeavyMinWork};
    const auto chosen = ChooseServer(servers, input);
    RC_ASSERT(chosen.has_value());
    RC_ASSERT(*chosen < servers.size());
    RC_ASSERT(!is_any_usable || !servers[*chosen].ejected);
  }));
}

// Guards against heavy requests that spread to the light ones' servers as soon
// as these are less busy, which they are meant to be.
TEST_CASE("a request leaves its group only to save the cost of doing so") {
  CHECK(rc::check([] {
    auto servers = MakeServers(*rc::gen::inRange<std::size_t>(8, 40));
    for (auto& server : servers) server.work = *rc::gen::inRange(0, 150'000);
    choice_input input;
    const double shared = *rc::gen::inRange(0, 60'000);
    input.prompt = prompt_work{*rc::gen::inRange<std::uint64_t>(0, 50), shared,
                               shared + *rc::gen::inRange(1, 60'000)};
    input.groups = GroupsAt(0.7, Grouped(servers)).groups();
    const auto& groups = *input.groups;
    const bool is_heavy = groups.IsHeavy(input.prompt->total_work);
    const auto chosen = servers[*ChooseServer(servers, input)];
    if (groups.Prefers(is_heavy, chosen.id_hash)) return;
    // Without reports an entry's own work counts twice.
    for (const auto& server : servers) {
      if (!groups.Prefers(is_heavy, server.id_hash)) continue;
      RC_ASSERT(2 * server.work >=
                2 * chosen.work +
                    groups.OverflowCost(input.prompt->total_work));
    }
  }));
}

TEST_CASE("a change of the share moves only as many servers as it must") {
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(8, 300);
    const auto servers = Grouped(MakeServers(count));
    const auto before = *rc::gen::inRange(5, 96) / 100.0;
    const auto after = *rc::gen::inRange(5, 96) / 100.0;
    const auto moved =
        CountChanges(HeavyServers(GroupsAt(before, servers), servers),
                     HeavyServers(GroupsAt(after, servers), servers));
    const auto needed =
        std::abs(HeavyServerFraction(after) - HeavyServerFraction(before)) *
        static_cast<double>(count);
    RC_ASSERT(static_cast<double>(moved) <= needed + 1);
  }));
}

TEST_CASE("a server that enters or leaves moves at most one other") {
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(9, 300);
    const auto share = *rc::gen::inRange(5, 96) / 100.0;
    const auto all = Grouped(MakeServers(count));
    auto rest = all;
    rest.erase(rest.begin() +
               static_cast<std::ptrdiff_t>(*rc::gen::inRange(0UL, count)));
    const auto moved = CountChanges(HeavyServers(GroupsAt(share, all), all),
                                    HeavyServers(GroupsAt(share, rest), rest));
    RC_ASSERT(moved <= 2);  // with the server itself
  }));
}

// Guards against entries whose groups differ: heavy requests of one would run
// on the light servers of another.
TEST_CASE("all entries get the same share, and it follows the work") {
  constexpr std::uint32_t kService = 7;
  std::mt19937_64 random(3);
  work_share_total total;
  std::vector<recent_work> entries(78);
  std::set<std::uint16_t> shares_seen;
  const auto run = [&](double heavy_requests, monotonic_ms from,
                       monotonic_ms until) {
    std::uniform_real_distribution<double> chance(0, 1);
    for (auto now = from; now < until; now += 10) {
      // 300 requests a second; a heavy one needs ten times the work.
      for (int i = 0; i < 3; ++i) {
        const bool is_heavy = chance(random) < heavy_requests;
        entries[random() % entries.size()].Add(is_heavy ? 40'000 : 4'000,
                                               is_heavy, now);
      }
      // Each entry reports once in a period.
      for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto phase = static_cast<monotonic_ms>(i) * 120;
        if ((now + phase) % kWorkReportPeriodMs != 0) continue;
        const auto heavy = static_cast<std::uint32_t>(entries[i].Heavy(now));
        const auto light = static_cast<std::uint32_t>(entries[i].Light(now));
        total.Report(std::to_string(i), {{kService, heavy, light}}, now);
      }
      const auto shares = total.Shares(now);
      if (now < 30'000) continue;
      REQUIRE(shares.size() == 1);
      if (now > until - 20'000) shares_seen.insert(shares[0].share);
    }
  };
  const auto expect = [&](double heavy_requests) {
    const auto expected =
        heavy_requests * 10 / (heavy_requests * 10 + 1 - heavy_requests);
    for (const auto share : shares_seen) {
      CHECK(std::abs(static_cast<double>(share) / heavy_work_share::kWhole -
                     expected) < 0.03);
    }
    // Noise alone changes the share rarely.
    CHECK(shares_seen.size() <= 4);
    shares_seen.clear();
  };
  run(0.25, 0, 80'000);
  expect(0.25);
  run(0.1, 80'000, 180'000);
  expect(0.1);
}

// Guards against a new leader that takes the first few reports for the fleet.
TEST_CASE("no share is given before the entries have had time to report") {
  work_share_total total;
  total.Report("a", {{7, 900, 100}}, 0);
  CHECK(total.Shares(100).empty());
  total.Report("b", {{7, 300, 100}}, 1'000);
  total.Report("c", {{7, 300, 300}}, 2'000);
  REQUIRE(total.Shares(3'000).size() == 1);
  CHECK(total.Shares(3'000)[0].share == 7'500);
  // Reports that are too old do not count.
  CHECK(total.Shares(60'000).empty());
  total.Report("a", {{7, 300, 100}}, 60'000);
  CHECK(total.Shares(61'000).empty());
}

TEST_CASE("without control the last share stays, or else the own one counts") {
  service_groups groups;
  const auto servers = Grouped(MakeServers(40));
  groups.Update(servers, kHeavyMinWork, false, 0);
  for (int i = 0; i < 49; ++i) groups.RecordSent(i % 2 ? 30'000 : 10'000, 0);
  CHECK_FALSE(groups.HeavyShare(0));
  for (int i = 0; i < 51; ++i) groups.RecordSent(i % 2 ? 30'000 : 10'000, 0);
  REQUIRE(groups.HeavyShare(0));
  CHECK(std::abs(*groups.HeavyShare(0) - 0.75) < 0.02);
  groups.AdoptShare(0.6);
  for (int i = 0; i < 100; ++i) groups.RecordSent(30'000, 1'000);
  CHECK(groups.HeavyShare(600'000) == 0.6);
}

// Load pattern: a burst of light requests for some seconds. Guards against a
// boundary that follows the day's work only, and against one that stays shifted
// or moves without bound.
TEST_CASE(
    "longer queues of one group shift the boundary, and only for a time") {
  auto candidates = MakeServers(60);
  auto groups = GroupsAt(0.79, Grouped(candidates));
  const auto heavy = [&] {
    return static_cast<double>(
        HeavyServers(groups, Grouped(candidates)).size());
  };
  const auto normal = heavy();
  const auto queue = [&](double light_work, double heavy_work) {
    for (auto& item : candidates) {
      item.work = groups.groups()->Prefers(true, item.id_hash) ? heavy_work
                                                               : light_work;
    }
  };
  monotonic_ms now = 0;
  const auto run = [&](monotonic_ms ms, double light_work, double heavy_work) {
    for (const auto until = now + ms; now < until;) {
      now += 250;
      queue(light_work, heavy_work);
      groups.Update(Grouped(candidates), kHeavyMinWork, true, now);
    }
  };
  run(250, 200'000, 20'000);
  CHECK(heavy() >= normal - 2);  // a quarter of a second is no burst
  run(10'000, 200'000, 20'000);
  CHECK(heavy() <= normal - 7);
  CHECK(heavy() >= normal - 60 * service_groups::kMaxShift - 1);
  run(20'000, 3'000, 60'000);
  CHECK(heavy() == normal);
  run(10'000, 100, 300'000);
  CHECK(heavy() >= normal + 7);
  CHECK(heavy() <= normal + 60 * service_groups::kMaxShift + 1);
  run(20'000, 3'000, 60'000);
  CHECK(heavy() == normal);
}

// Load pattern: a fifth of the prompts runs on a model of ten times the cost,
// and the streams of the others last for seconds. Guards against heavy prompts
// whose chunks delay the streams at any server, as when all servers take them.
TEST_CASE("heavy prompts rarely run beside light streams") {
  struct light_stream {
    int end = 0;
    bool is_delayed = false;
  };
  const auto run = [](bool has_groups) {
    constexpr std::size_t kServers = 60;
    constexpr double kReadPerStep = 38.4;  // of each server, in a millisecond
    constexpr int kStreamMs = 5'000;
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> chance(0, 1);
    auto servers = MakeServers(kServers);
    for (auto& server : servers) server.other_entries_work = 0;
    const auto groups = GroupsAt(0.8, Grouped(servers)).groups();
    std::vector<std::vector<light_stream>> streams(kServers);
    int ended = 0;
    int delayed = 0;
    for (int step = 0; step < 30'000; ++step) {
      // 60% of what the servers can read.
      if (chance(random) < 0.085) {
        const bool is_heavy = chance(random) < 0.2;
        choice_input input;
        const auto total = is_heavy ? 65'000.0 : 4'000.0;
        input.prompt =
            prompt_work{random() % 400 + (is_heavy ? 0 : 1'000), 0, total};
        if (has_groups) input.groups = groups;
        const auto chosen = *ChooseServer(servers, input);
        servers[chosen].work += total;
        if (is_heavy) {
          for (auto& stream : streams[chosen]) stream.is_delayed = true;
        } else {
          streams[chosen].push_back({step + kStreamMs});
        }
      }
      for (std::size_t i = 0; i < kServers; ++i) {
        servers[i].work = std::max(0.0, servers[i].work - kReadPerStep);
        std::erase_if(streams[i], [&](const auto& stream) {
          if (stream.end > step) return false;
          ++ended;
          delayed += stream.is_delayed ? 1 : 0;
          return true;
        });
      }
    }
    return static_cast<double>(delayed) / ended;
  };
  const auto with_groups = run(true);
  const auto without_groups = run(false);
  MESSAGE("light streams beside heavy prompts: with groups ", with_groups,
          ", without ", without_groups);
  CHECK(with_groups < 0.1);
  CHECK(without_groups > 0.5);
}

}  // namespace lovagedale::testing
