// Cost of single decisions, by Google Benchmark; see scripts/bench.sh micro.

#include <benchmark/benchmark.h>

#include <memory>
#include <random>

#include "lovagedale/cascade/plan.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/entry/routing_table.h"
#include "lovagedale/placement/placement.h"
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

}  // namespace
}  // namespace lovagedale::benchmark

BENCHMARK_MAIN();
