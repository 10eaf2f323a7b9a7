#include "lovagedale/relay/server_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "lovagedale/common/hash.h"

namespace lovagedale::testing {
namespace {

auto MakeServers(std::size_t count) -> std::vector<server_candidate> {
  std::vector<server_candidate> servers(count);
  for (std::size_t i = 0; i < count; ++i) {
    servers[i].id_hash = MixBits(i + 1);
    servers[i].capacity = 64;
    servers[i].own_zone = true;
  }
  return servers;
}

auto Prompt(std::uint64_t part, double shared, double own) -> choice_input {
  choice_input input;
  input.prompt = prompt_work{part, shared, shared + own};
  return input;
}

}  // namespace

TEST_CASE("all entries take the same idle server for a shared part") {
  auto one = MakeServers(18);
  auto other = one;
  std::reverse(other.begin(), other.end());
  for (std::uint64_t part = 0; part < 50; ++part) {
    const auto a = ChooseServer(one, Prompt(part, 4'000, 2'000));
    const auto b = ChooseServer(other, Prompt(part, 4'000, 2'000));
    CHECK(one[*a].id_hash == other[*b].id_hash);
  }
}

TEST_CASE("a prompt leaves the server that keeps its part if it is busier") {
  auto servers = MakeServers(6);
  const auto input = Prompt(7, 1'000, 500);
  const auto keeper = *ChooseServer(servers, input);
  servers[keeper].work = 400;  // less than the shared part costs elsewhere
  CHECK(*ChooseServer(servers, input) == keeper);
  servers[keeper].work = 600;
  CHECK(*ChooseServer(servers, input) != keeper);
}

TEST_CASE("servers that are held out get work only where all are") {
  auto servers = MakeServers(3);
  servers[0].held_out = servers[1].held_out = true;
  for (std::uint64_t random = 0; random < 20; ++random) {
    CHECK(*ChooseServer(servers, {std::nullopt, random}) == 2);
    CHECK(*ChooseServer(servers, Prompt(random, 10, 10)) == 2);
  }
  servers[2].held_out = true;
  CHECK(ChooseServer(servers, {std::nullopt, 1}));
  CHECK_FALSE(ChooseServer({}, {}));
}

TEST_CASE("the own zone is taken unless another is much less busy") {
  auto servers = MakeServers(4);
  servers[2].own_zone = servers[3].own_zone = false;
  for (std::uint64_t random = 0; random < 50; ++random) {
    CHECK(*ChooseServer(servers, {std::nullopt, random}) < 2);
  }
  servers[0].in_flight = servers[1].in_flight = 9;
  int far = 0;
  for (std::uint64_t random = 0; random < 50; ++random) {
    if (*ChooseServer(servers, {std::nullopt, random}) >= 2) ++far;
  }
  CHECK(far > 25);
}

// Load pattern: hot key. A fifth of the prompts share one part, through six
// entries that see only their own requests. Protected: the work that a prompt
// finds waiting, against always going to the server that keeps the part.
TEST_CASE("prompts of a hot subject do not queue behind each other") {
  constexpr int kEntries = 6;
  constexpr int kServers = 18;
  static constexpr double kReadPerStep =
      700;  // of each server, in prompt tokens
  const auto run = [](bool always_keeper) {
    std::mt19937_64 random(11);
    std::uniform_real_distribution<double> chance(0, 1);
    std::vector<std::vector<server_candidate>> views(kEntries,
                                                     MakeServers(kServers));
    std::vector<double> backlog(kServers, 0);
    // What each entry still has there, served in proportion.
    double worst = 0;
    for (int step = 0; step < 4'000; ++step) {
      for (int i = 0; i < 3; ++i) {
        auto& view = views[random() % kEntries];
        const auto part = chance(random) < 0.2 ? 1 : 100 + random() % 300;
        const auto input = Prompt(part, 2'500, 1'000);
        const auto idle = MakeServers(kServers);
        const auto chosen = *ChooseServer(always_keeper ? idle : view, input);
        worst = std::max(worst, backlog[chosen]);
        backlog[chosen] += input.prompt->whole;
        view[chosen].work += input.prompt->whole;
      }
      for (int server = 0; server < kServers; ++server) {
        const auto read = std::min(backlog[server], kReadPerStep);
        if (read == 0) continue;
        const auto left = (backlog[server] - read) / backlog[server];
        backlog[server] -= read;
        for (auto& view : views) view[server].work *= left;
      }
    }
    return worst;
  };
  const auto queued = run(/*always_keeper=*/false);
  const auto queued_at_keeper = run(/*always_keeper=*/true);
  // 20 of a hundred prompts, with 3 a step, bring 2,100 tokens a step to a
  // server that reads 700; spread, all servers together read 12,600.
  CHECK(queued_at_keeper > 1'000'000);
  CHECK(queued < 30 * kReadPerStep);
}

}  // namespace lovagedale::testing
