#include "lovagedale/relay/server_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

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

TEST_CASE("a prompt avoids the server that caches its part if that is busier") {
  auto servers = MakeServers(6);
  const auto input = Prompt(7, 1'000, 500);
  const auto primary = *ChooseServer(servers, input);
  servers[primary].work = 400;  // less than the shared part costs elsewhere
  CHECK(*ChooseServer(servers, input) == primary);
  servers[primary].work = 600;
  CHECK(*ChooseServer(servers, input) != primary);
}

// Guards against prompts that queue at a slow server because its work, counted
// in tokens, looks like that of the others.
TEST_CASE("a slow server counts as busier by its pace") {
  auto servers = MakeServers(6);
  const auto input = Prompt(7, 1'000, 500);
  const auto primary = *ChooseServer(servers, input);
  CHECK(IsPartCached(servers, primary, input));
  servers[primary].work = 400;
  CHECK(*ChooseServer(servers, input) == primary);
  servers[primary].pace = 2;
  const auto second = *ChooseServer(servers, input);
  CHECK(second != primary);
  CHECK(IsPartCached(servers, second, input));
  int cached = 0;
  for (std::size_t i = 0; i < 6; ++i) {
    if (IsPartCached(servers, i, input)) ++cached;
  }
  CHECK(cached == 2);
}

TEST_CASE("ejected servers are used only if all are ejected") {
  auto servers = MakeServers(3);
  servers[0].ejected = servers[1].ejected = true;
  for (std::uint64_t random = 0; random < 20; ++random) {
    CHECK(*ChooseServer(servers, {std::nullopt, random}) == 2);
    CHECK(*ChooseServer(servers, Prompt(random, 10, 10)) == 2);
  }
  servers[2].ejected = true;
  CHECK(ChooseServer(servers, {std::nullopt, 1}));
  CHECK_FALSE(ChooseServer({}, {}));
}

TEST_CASE("the own zone is preferred unless another is much less busy") {
  auto servers = MakeServers(4);
  servers[2].own_zone = servers[3].own_zone = false;
  for (std::uint64_t random = 0; random < 50; ++random) {
    CHECK(*ChooseServer(servers, {std::nullopt, random}) < 2);
  }
  servers[0].in_flight = servers[1].in_flight = 9;
  int cross_zone = 0;
  for (std::uint64_t random = 0; random < 50; ++random) {
    if (*ChooseServer(servers, {std::nullopt, random}) >= 2) ++cross_zone;
  }
  CHECK(cross_zone > 25);
}

// Load pattern: hot key. A fifth of the prompts share one part and arrive
// through six entries that see only their own requests. Guards against long
// queues at the server that caches the part, as when all prompts are sent
// there.
TEST_CASE("prompts that share a hot part do not queue behind each other") {
  constexpr int kEntries = 6;
  constexpr int kServers = 18;
  // By each server, in prompt tokens.
  static constexpr double kReadPerStep = 700;
  const auto run = [](bool always_primary) {
    std::mt19937_64 random(11);
    std::uniform_real_distribution<double> chance(0, 1);
    std::vector<std::vector<server_candidate>> views(kEntries,
                                                     MakeServers(kServers));
    std::vector<double> backlog(kServers, 0);
    double worst = 0;
    for (int step = 0; step < 4'000; ++step) {
      for (int i = 0; i < 3; ++i) {
        auto& view = views[random() % kEntries];
        const auto part = chance(random) < 0.2 ? 1 : 100 + random() % 300;
        const auto input = Prompt(part, 2'500, 1'000);
        const auto idle = MakeServers(kServers);
        const auto chosen = *ChooseServer(always_primary ? idle : view, input);
        worst = std::max(worst, backlog[chosen]);
        backlog[chosen] += input.prompt->total_work;
        view[chosen].work += input.prompt->total_work;
      }
      for (int server = 0; server < kServers; ++server) {
        const auto read = std::min(backlog[server], kReadPerStep);
        if (read == 0) continue;
        const auto remaining_fraction =
            (backlog[server] - read) / backlog[server];
        backlog[server] -= read;
        // Each entry's work at a server shrinks in proportion to the backlog.
        for (auto& view : views) view[server].work *= remaining_fraction;
      }
    }
    return worst;
  };
  const auto queued = run(/*always_primary=*/false);
  const auto queued_at_primary = run(/*always_primary=*/true);
  // 20% of the prompts, 3 a step, send 2,100 tokens a step to one server, which
  // reads 700; all servers together read 12,600.
  CHECK(queued_at_primary > 1'000'000);
  CHECK(queued < 30 * kReadPerStep);
}

TEST_CASE(
    "a fraction of reported work counts, and a third server must save more") {
  auto servers = MakeServers(6);
  for (auto& server : servers) server.other_entries_work = 0;
  const auto input = Prompt(7, 1'000, 500);
  const auto primary = *ChooseServer(servers, input);
  servers[primary].other_entries_work = 2'000;  // 800 of it count
  CHECK(*ChooseServer(servers, input) == primary);
  servers[primary].other_entries_work = 3'000;
  const auto second = *ChooseServer(servers, input);
  CHECK(second != primary);
  servers[second].other_entries_work = 3'000;
  CHECK(*ChooseServer(servers, input) == primary);
  servers[primary].other_entries_work = servers[second].other_entries_work =
      30'000;
  const auto third = *ChooseServer(servers, input);
  CHECK(third != primary);
  CHECK(third != second);
}

// Load pattern: many entries, each of which sees a sixtieth of the prompts;
// some prompts need ten times the work of the others. Guards against prompts
// that find a second of work queued, as when entries know only their own
// requests.
TEST_CASE("load reports spread prompts of which each entry sees only a few") {
  constexpr int kEntries = 60;
  constexpr int kServers = 48;
  constexpr int kReportPeriod = 200;    // steps of a millisecond
  constexpr double kReadPerStep = 200;  // of each server, in work
  constexpr double kLateWork = 1'000 * kReadPerStep;
  constexpr double kPromptsPerStep = 0.5;  // 60% of what the servers can read
  constexpr int kParts = 640;
  struct queued_prompt {
    std::size_t entry = 0;
    double remaining = 0;
    double total = 0;
  };
  const auto run = [](bool reports) {
    std::mt19937_64 random(17);
    std::uniform_real_distribution<double> chance(0, 1);
    std::vector<std::vector<server_candidate>> views(kEntries,
                                                     MakeServers(kServers));
    std::vector<std::deque<queued_prompt>> queues(kServers);
    std::vector<double> waiting(kServers, 0);
    std::vector<std::set<std::pair<std::uint64_t, int>>> cached(kServers);
    int late = 0;
    int prompts = 0;
    for (int step = 0; step < 20'000; ++step) {
      if (reports && step % kReportPeriod == 0) {
        for (std::size_t i = 0; i < kServers; ++i) {
          double all = 0;
          for (const auto& view : views) all += view[i].work;
          for (auto& view : views)
            view[i].other_entries_work = all - view[i].work;
        }
      }
      if (chance(random) < kPromptsPerStep) {
        const auto entry = random() % kEntries;
        const double cost = chance(random) < 0.3 ? 10 : 1;
        const auto part = random() % kParts;
        const auto input = Prompt(part, 3'800 * cost, 2'900 * cost);
        const auto chosen = *ChooseServer(views[entry], input);
        const bool is_cached =
            !cached[chosen].emplace(part, cost > 1 ? 1 : 0).second;
        const auto total = input.prompt->total_work;
        ++prompts;
        if (waiting[chosen] > kLateWork) ++late;
        queues[chosen].push_back(
            {entry, is_cached ? total - input.prompt->shared_work : total,
             total});
        waiting[chosen] += queues[chosen].back().remaining;
        views[entry][chosen].work += total;
      }
      for (std::size_t i = 0; i < kServers; ++i) {
        for (double read = kReadPerStep; read > 0 && !queues[i].empty();) {
          auto& first = queues[i].front();
          const auto part = std::min(read, first.remaining);
          read -= part;
          first.remaining -= part;
          waiting[i] -= part;
          if (first.remaining > 0) break;
          views[first.entry][i].work -= first.total;
          queues[i].pop_front();
        }
      }
    }
    return static_cast<double>(late) / prompts;
  };
  const auto late = run(/*reports=*/true);
  const auto late_alone = run(/*reports=*/false);
  MESSAGE("late with reports ", late, ", without ", late_alone);
  CHECK(late < 0.05);  // 95 of 100 answers in time is the goal
  CHECK(late_alone > 2 * late);
}

}  // namespace lovagedale::testing
