// Cost of single decisions, by Google Benchmark; see scripts/bench.sh micro.

#include <benchmark/benchmark.h>

#include <memory>
#include <random>

#include "lovagedale/admission/server_limit.h"
#include "lovagedale/cascade/plan.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/discovery/list_changes.h"
#include "lovagedale/entry/routing_table.h"
#include "lovagedale/placement/placement.h"
#include "lovagedale/relay/first_event_prediction.h"
#include "lovagedale/relay/fleet_loads.h"
#include "lovagedale/relay/server_choice.h"
#include "scale/scale_fleet.h"

namespace lovagedale::benchmark {
namespace {

constexpr std::int64_t kVersions = 13;

/// Placement among as many servers as the argument says.
auto PlaceRequest(::benchmark::State& state) -> void {
  server_registry registry;
  const routing_table table(
      MakeFleetView({static_cast<std::size_t>(state.range(0)), kVersions, 10}),
      "zone-0", registry);
  prefix_index prefixes(200'000);
  const auto hashes = PrefixHashes("v", std::string(4'096, 'x'));
  prefixes.Record(0, hashes);
  placement_request request;
  request.prefixes = hashes;
  std::uint64_t random = 1;
  for (auto _ : state) {
    request.random = random = MixBits(random);
    ::benchmark::DoNotOptimize(ChooseServer(
        table.ServersOf(static_cast<version_id>(random % kVersions)), prefixes,
        request, {}));
  }
}
BENCHMARK(PlaceRequest)->Arg(10)->Arg(60)->Arg(150)->Arg(600);

/// Version and server together: the plan's draw, the version's checks and the
/// placement, as an entry does for each request.
auto DecideRequest(::benchmark::State& state) -> void {
  server_registry registry;
  auto table = std::make_shared<const routing_table>(
      MakeFleetView({static_cast<std::size_t>(state.range(0)), kVersions, 10}),
      "zone-0", registry);
  const plan_table plans(table, MakeEvidence(*table, 3));
  const auto plan = plans.PlanFor("customer-0", "class-0");
  prefix_index prefixes(200'000);
  const std::string prompt(4'096, 'x');
  std::uint64_t random = 1;
  for (auto _ : state) {
    random = MixBits(random);
    const auto& steps = plan.Pick(ToUnitInterval(random));
    const auto version = *table->config().FindVersion(steps.front().version);
    const auto customer = *table->config().FindCustomer("customer-0");
    if (!table->config().customers[customer].AllowsVersion(version) ||
        !table->MayRun(version, true) ||
        table->QuarantineOf(random, 0) != nullptr) {
      state.SkipWithError("the version may not run");
      return;
    }
    const auto hashes = PrefixHashes(steps.front().version, prompt);
    placement_request request;
    request.prefixes = hashes;
    request.random = random;
    ::benchmark::DoNotOptimize(
        ChooseServer(table->ServersOf(version), prefixes, request, {}));
  }
}
BENCHMARK(DecideRequest)->Arg(10)->Arg(60)->Arg(150)->Arg(600);

/// New plans for one customer and class; done when evidence has changed.
auto PlanClass(::benchmark::State& state) -> void {
  server_registry registry;
  auto table = std::make_shared<const routing_table>(
      MakeFleetView({60, static_cast<std::size_t>(state.range(0)), 10}),
      "zone-0", registry);
  const plan_table plans(table, MakeEvidence(*table, 3));
  for (auto _ : state) {
    ::benchmark::DoNotOptimize(plans.PlanFor("customer-0", "class-0"));
  }
}
BENCHMARK(PlanClass)->Arg(3)->Arg(13);

/// A routing table from a configuration document; done at each change.
auto BuildRoutingTable(::benchmark::State& state) -> void {
  const auto view =
      MakeFleetView({static_cast<std::size_t>(state.range(0)), kVersions, 10});
  server_registry registry;
  for (auto _ : state) {
    ::benchmark::DoNotOptimize(routing_table(view, "zone-0", registry));
  }
}
BENCHMARK(BuildRoutingTable)
    ->Arg(60)
    ->Arg(600)
    ->Unit(::benchmark::kMillisecond);

/// Whether a request may go to a server with a limit; done for each such server
/// that is chosen.
auto PassServerLimit(::benchmark::State& state) -> void {
  server_limit limit;
  limit.RecordAnswer({2.0}, 0);
  monotonic_ms now = 0;
  for (auto _ : state) {
    ++now;
    limit.RecordDemand(now);
    ::benchmark::DoNotOptimize(limit.TryTake(0.5, 360, now));
  }
}
BENCHMARK(PassServerLimit);

/// One heartbeat at the leader while servers name limits: an entry's report and
/// what it is told. 360 entries send one a second.
auto ExchangeServerLimits(::benchmark::State& state) -> void {
  constexpr std::size_t kEntries = 360;
  const auto servers = static_cast<std::uint32_t>(state.range(0));
  server_limit_total total;
  monotonic_ms now = 0;
  std::size_t next = 0;
  for (auto _ : state) {
    if (++next % kEntries == 0) now += 1'000;
    const auto entry = std::to_string(next % kEntries);
    const auto at = now + static_cast<monotonic_ms>(next % kEntries) * 1'000 /
                              static_cast<monotonic_ms>(kEntries);
    const auto first = static_cast<std::uint32_t>(at / 1'000 * 3);
    total.Report(entry,
                 {{first % servers, 2, 0, 1},
                  {(first + 1) % servers, 2, 0, 1},
                  {(first + 2) % servers, 2, 0, 1}},
                 at);
    ::benchmark::DoNotOptimize(total.StatusesFor(entry, kEntries, at));
  }
}
BENCHMARK(ExchangeServerLimits)->Arg(3)->Arg(30);

/// Model servers under load, as many as the argument says.
auto MakeCandidates(std::int64_t count) -> std::vector<server_candidate> {
  std::vector<server_candidate> servers(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto random = MixBits(i + 1);
    servers[i].id_hash = random;
    servers[i].work = static_cast<double>(random % 2'000);
    servers[i].other_entries_work = static_cast<double>(random % 20'000);
    servers[i].pace = 0.6 + static_cast<double>(random % 3) / 2;
    servers[i].own_zone = i % 3 == 0;
  }
  return servers;
}

/// The server for a prompt and the prediction of its first event.
auto ChoosePromptServer(::benchmark::State& state) -> void {
  const auto servers = MakeCandidates(state.range(0));
  choice_input input;
  input.prompt = prompt_work{1, 6'300, 9'190};
  for (auto _ : state) {
    input.prompt->shared_part_id = MixBits(input.prompt->shared_part_id);
    const auto chosen = *ChooseServer(servers, input);
    const auto& server = servers[chosen];
    const auto work = IsPartCached(servers, chosen, input)
                          ? input.prompt->total_work - input.prompt->shared_work
                          : input.prompt->total_work;
    ::benchmark::DoNotOptimize(PredictFirstEvent(
        {server.work, server.other_entries_work, server.pace, 200}, work,
        0.026));
  }
}
BENCHMARK(ChoosePromptServer)->Arg(60)->Arg(140)->Arg(600);

/// The leader's sums over the reports of 360 entries and their encoding; done
/// at most 50 times a second.
auto SumFleetLoads(::benchmark::State& state) -> void {
  server_list list{1, {}};
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    listed_server server;
    server.id = "i-0123456789" + std::to_string(i);
    list.servers.push_back(server);
  }
  const server_positions positions(list);
  server_load_total total;
  server_paces paces;
  for (std::size_t entry = 0; entry < 360; ++entry) {
    std::vector<server_load> loads;
    for (std::size_t i = 0; i < 8; ++i) {
      const auto random = MixBits(entry * 8 + i);
      const auto key = *positions.KeyAt(random % positions.size());
      loads.push_back({key, static_cast<std::uint32_t>(random % 9'000)});
      paces.Record({{key, 0.5 + static_cast<double>(random % 4)}}, 1'000);
    }
    total.Report(std::to_string(entry), loads, 1'000);
  }
  for (auto _ : state) {
    ::benchmark::DoNotOptimize(
        EncodeFleetLoads(positions, total.Total(1'000), paces.Paces(1'000)));
  }
}
BENCHMARK(SumFleetLoads)->Arg(140)->Arg(600)->Unit(::benchmark::kMicrosecond);

/// The change of one server in a list; done twice a second in a release.
auto UpdateServerList(::benchmark::State& state) -> void {
  server_list list{1, {}};
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    listed_server server;
    server.id = "i-0123456789" + std::to_string(i);
    list.servers.push_back(server);
  }
  server_list_changes changes;
  changes.Restart(list);
  for (auto _ : state) {
    const auto base = list.number++;
    auto& server = list.servers[list.number % list.servers.size()];
    server.leaving = !server.leaving;
    changes.Record(list);
    ::benchmark::DoNotOptimize(changes.UpdateFrom(base));
  }
}
BENCHMARK(UpdateServerList)->Arg(60)->Arg(600)->Unit(::benchmark::kMicrosecond);

}  // namespace
}  // namespace lovagedale::benchmark

BENCHMARK_MAIN();
