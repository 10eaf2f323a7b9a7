#include "lovagedale/discovery/list_changes.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "lovagedale/common/codec.h"

namespace lovagedale::testing {
namespace {

auto ServerOf(std::size_t index) -> listed_server {
  const auto text = std::to_string(index);
  return {"i-0123456789" + text,
          "lovage-pool",
          "10.3.64." + text,
          8'080,
          "semarang-c",
          "v1",
          64,
          false,
          1'770'000'000'000};
}

auto ById(server_list list) -> server_list {
  std::sort(list.servers.begin(), list.servers.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return list;
}

}  // namespace

// Guards against lists of servers that are sent whole at each change, so that
// at 600 servers an entry hears late of a server that is leaving.
TEST_CASE("replacing two servers a second costs an entry under 1 KB a second") {
  // At 360 entries control may use 4,096 bytes a second of each entry's link;
  // the heartbeats use up to three quarters of it.
  constexpr std::size_t kBudgetBytesPerSecond = 1'024;
  constexpr std::size_t kServers = 600;
  constexpr std::uint64_t kChangesPerSecond = 2;
  server_list list{1, {}};
  for (std::size_t i = 0; i < kServers; ++i) {
    list.servers.push_back(ServerOf(i));
  }
  server_list_changes changes;
  changes.Restart(list);
  std::size_t bytes = 0;
  for (std::uint64_t i = 0; i < kChangesPerSecond; ++i) {
    const auto base = list.number++;
    list.servers[i].leaving = true;
    list.servers.push_back(ServerOf(kServers + i));
    changes.Record(list);
    bytes += Encode(changes.UpdateFrom(base)).size();
  }
  CHECK(bytes < kBudgetBytesPerSecond);
}

TEST_CASE("an update leads from any earlier list to the latest one") {
  CHECK(rc::check("any lists", [] {
    std::vector<server_list> lists;
    server_list_changes changes;
    const auto count = *rc::gen::inRange<std::uint64_t>(2, 12);
    for (std::uint64_t number = 1; number <= count; ++number) {
      server_list list{number, {}};
      for (std::size_t index = 0; index < 8; ++index) {
        if (*rc::gen::arbitrary<bool>()) continue;
        auto server = ServerOf(index);
        server.leaving = *rc::gen::arbitrary<bool>();
        list.servers.push_back(server);
      }
      number == 1 ? changes.Restart(list) : changes.Record(list);
      lists.push_back(list);
    }
    const auto& held =
        lists[*rc::gen::inRange<std::size_t>(0, lists.size() - 1)];
    const auto update = changes.UpdateFrom(held.number);
    RC_ASSERT(update.base == held.number);
    const auto next = ApplyListUpdate(held, update);
    RC_ASSERT(next.has_value());
    RC_ASSERT(ById(*next) == ById(lists.back()));
  }));
}

TEST_CASE("an entry with the list of another leader gets the complete one") {
  server_list_changes changes;
  const server_list list{(7ULL << 32U) + 1, {ServerOf(1), ServerOf(2)}};
  changes.Restart(list);
  const server_list held{(6ULL << 32U) + 9, {ServerOf(3)}};
  const auto update = changes.UpdateFrom(held.number);
  CHECK(update.base == 0);
  CHECK(ApplyListUpdate(held, update) == list);
  CHECK(changes.UpdateFrom(0).base == 0);
}

TEST_CASE("an update for another list is refused") {
  server_list_changes changes;
  changes.Restart({1, {ServerOf(1)}});
  changes.Record({2, {}});
  CHECK_FALSE(ApplyListUpdate({3, {}}, changes.UpdateFrom(1)).has_value());
}

TEST_CASE("removals that are no longer remembered need the complete list") {
  server_list_changes changes;
  server_list list{1, {}};
  for (std::size_t i = 0; i <= server_list_changes::kMaxRemovals; ++i) {
    list.servers.push_back(ServerOf(i));
  }
  changes.Restart(list);
  changes.Record({2, {}});
  CHECK(changes.UpdateFrom(1).base == 0);
  CHECK(changes.UpdateFrom(2).base == 2);
}

// Guards against a list that changes at each read, as the ends of cold times
// are read a little differently, and against a cold server that is no news.
TEST_CASE("a server is listed anew when it becomes cold, not while it is") {
  listed_server warm;
  warm.id = "s1";
  const auto cold_until = [&](monotonic_ms until) {
    auto server = warm;
    server.cold_until_ms = until;
    return server;
  };
  CHECK_FALSE(IsSameListing(warm, cold_until(13'000), 10'000));
  CHECK(IsSameListing(cold_until(13'000), cold_until(14'499), 10'000));
  CHECK_FALSE(IsSameListing(cold_until(13'000), cold_until(14'500), 10'000));
  CHECK_FALSE(IsSameListing(cold_until(13'000), warm, 11'000));
  CHECK(IsSameListing(cold_until(13'000), warm, 11'501));
  CHECK(IsSameListing(cold_until(13'000), warm, 20'000));
  auto moved = cold_until(13'000);
  moved.port = 7;
  CHECK_FALSE(IsSameListing(cold_until(13'000), moved, 10'000));

  server_list_changes changes;
  changes.Restart({1, {warm}});
  changes.Record({2, {cold_until(13'000)}}, 10'000);
  CHECK(changes.UpdateFrom(1).servers.size() == 1);
  changes.Record({3, {cold_until(13'400)}}, 10'400);
  CHECK(changes.UpdateFrom(2).servers.empty());
}

// Guards against cold times that are read against another process's clock.
TEST_CASE("cold times are sent as the rest of the time") {
  std::vector<listed_server> servers(3);
  servers[0].id = "warm";
  servers[1].id = "cold";
  servers[1].cold_until_ms = 12'350;
  servers[2].id = "was cold";
  servers[2].cold_until_ms = 9'000;
  const auto cold = ColdServers(servers, 10'000);
  CHECK(cold == std::vector<cold_server>{{ServerKey(Hash64("cold")), 24}});
  SetColdTimes(servers, cold, 700);
  CHECK(servers[0].cold_until_ms == 0);
  CHECK(servers[1].cold_until_ms == 3'100);
  CHECK(servers[2].cold_until_ms == 0);
}

TEST_CASE("cold times without a limit are dropped, and others are capped") {
  std::vector<listed_server> servers(2);
  servers[0].service = "engines";
  servers[1].service = "shop";
  for (auto& server : servers) server.cold_until_ms = 1'000'000;
  RestrictColdTimes(servers, {{"engines", 11, 3'000}}, 5'000);
  CHECK(servers[0].cold_until_ms == 35'000);
  CHECK(servers[1].cold_until_ms == 0);
}

}  // namespace lovagedale::testing
