#include "lovagedale/placement/placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>

namespace lovagedale::testing {
namespace {

/// Servers with states; those with an id below `local` are in the entry's zone.
struct server_set {
  explicit server_set(std::size_t count, std::size_t local) {
    for (server_id id = 0; id < count; ++id) {
      states.push_back(
          std::make_unique<server_state>("s" + std::to_string(id)));
      auto& list = id < local ? group.local : group.remote;
      list.push_back({id, 4, states.back().get()});
    }
  }
  std::vector<std::unique_ptr<server_state>> states;
  placement_group group;
};

auto Choose(const server_set& servers, const placement_request& request,
            const prefix_index& prefixes = prefix_index(10))
    -> std::optional<placement_choice> {
  return ChooseServer(servers.group, prefixes, request, {});
}

}  // namespace

TEST_CASE("the least loaded server of the entry's zone is chosen") {
  server_set servers(4, 3);
  servers.states[0]->in_flight = 3;
  servers.states[1]->in_flight = 1;
  servers.states[2]->in_flight = 2;
  const auto choice = Choose(servers, {});
  REQUIRE(choice);
  CHECK(choice->server == 1);
  CHECK(choice->reason == placement_reason::kLeastLoaded);
}

TEST_CASE("another zone is used only if the entry's zone has no server") {
  server_set servers(4, 2);
  servers.states[0]->reported_leaving = true;
  servers.states[1]->ejected_until = 100;
  const auto choice = Choose(servers, {.now = 50});
  REQUIRE(choice);
  CHECK(choice->reason == placement_reason::kOtherZone);
  CHECK(Choose(servers, {.now = 100})->server == 1);
}

TEST_CASE("leaving, ejected and excluded servers are never chosen") {
  CHECK(rc::check([](std::uint64_t random) {
    const auto count = *rc::gen::inRange<std::size_t>(1, 30);
    server_set servers(count, count / 2);
    std::vector<server_id> excluded;
    for (server_id id = 0; id < count; ++id) {
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          servers.states[id]->reported_leaving = true;
          break;
        case 1:
          servers.states[id]->ejected_until = 1'000;
          break;
        case 2:
          excluded.push_back(id);
          break;
        default:
          break;
      }
    }
    placement_request request;
    request.excluded = excluded;
    request.now = 10;
    request.random = random;
    const auto choice = Choose(servers, request);
    if (!choice) return;
    RC_ASSERT(!servers.states[choice->server]->reported_leaving);
    RC_ASSERT(servers.states[choice->server]->ejected_until <= 10);
    RC_ASSERT(std::find(excluded.begin(), excluded.end(), choice->server) ==
              excluded.end());
  }));
}

TEST_CASE(
    "a server that holds the prompt's prefix is chosen unless its load is much "
    "higher") {
  server_set servers(40, 40);
  prefix_index prefixes(100);
  const std::string prompt(20 * kPrefixBlockBytes, 'x');
  const auto hashes = PrefixHashes("v", prompt);
  prefixes.Record(17, hashes);
  placement_request request;
  request.prefixes = hashes;
  CHECK(Choose(servers, request, prefixes)->server == 17);
  CHECK(Choose(servers, request, prefixes)->cached_blocks == 20);
  servers.states[17]->in_flight = 4;
  CHECK(Choose(servers, request, prefixes)->server != 17);
}

TEST_CASE("a load report is corrected by the requests sent since") {
  server_set servers(2, 2);
  servers.states[0]->reported_load = 6;
  servers.states[0]->in_flight_at_report = 0;
  servers.states[0]->load_reported_at = 1'000;
  servers.states[0]->in_flight = 2;
  const placement_options options;
  CHECK(ExpectedLoad(servers.group.local[0], 1'500, options) ==
        doctest::Approx(2.0));
  CHECK(ExpectedLoad(servers.group.local[0], 60'000, options) ==
        doctest::Approx(0.5));
}

TEST_CASE("suspects are placed on separate servers") {
  server_set servers(3, 3);
  servers.states[0]->suspects_running = 1;
  servers.states[1]->suspects_running = 1;
  servers.states[2]->in_flight = 7;
  CHECK(Choose(servers, {.is_suspect = true})->server == 2);
}

TEST_CASE("a suspect goes to another zone rather than to a suspect's server") {
  server_set servers(4, 2);
  servers.states[0]->suspects_running = 1;
  servers.states[1]->suspects_running = 1;
  const auto choice = Choose(servers, {.is_suspect = true});
  REQUIRE(choice);
  CHECK(choice->server >= 2);
  CHECK(choice->reason == placement_reason::kOtherZone);
  servers.states[2]->suspects_running = 2;
  servers.states[3]->suspects_running = 2;
  CHECK(Choose(servers, {.is_suspect = true})->server < 2);
  CHECK(Choose(servers, {})->server < 2);
}

TEST_CASE(
    "the prefix index is bounded and evicts the least recently used entry") {
  prefix_index prefixes(3);
  const std::vector<prefix_hash> all = {1, 2, 3, 4};
  for (const auto hash : all) prefixes.Record(1, std::span(&hash, 1));
  CHECK(prefixes.size() == 3);
  CHECK(prefixes.Find(std::span(all).first(1), 4).empty());
  CHECK(prefixes.Find(std::span(all).subspan(3), 4).size() == 1);
  prefixes.RemoveServer(1);
  CHECK(prefixes.Find(std::span(all).subspan(3), 4).empty());
}

TEST_CASE("prefixes of different versions or texts do not match") {
  const std::string prompt(2 * kPrefixBlockBytes + 10, 'x');
  CHECK(PrefixHashes("v1", prompt).size() == 2);
  CHECK(PrefixHashes("v1", prompt) != PrefixHashes("v2", prompt));
  auto other = prompt;
  other[0] = 'y';
  CHECK(PrefixHashes("v1", prompt)[1] != PrefixHashes("v1", other)[1]);
}

}  // namespace lovagedale::testing
