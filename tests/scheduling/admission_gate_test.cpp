#include "lovagedale/scheduling/admission_gate.h"

#include <doctest/doctest.h>

#include "lovagedale/common/hash.h"
#include "lovagedale/common/spawn.h"

namespace lovagedale::testing {
namespace {

auto Route(const std::string& name, std::uint32_t priority,
           std::int64_t objective_ms) -> route {
  route item;
  item.name = name;
  item.prompts = true;
  item.priority = priority;
  item.objective_ms = objective_ms;
  item.services = {{"engines", 1}};
  return item;
}

auto Config() -> route_config {
  route_config config;
  config.version = 1;
  config.routes = {Route("chat", 0, 1'500), Route("notice", 2, 4'000)};
  return config;
}

/// A gate before one server with work of other entries.
class gate_fixture {
 public:
  gate_fixture() {
    servers.Update(
        {1, {{"s1", "engines", "127.0.0.1", 1, "", "v1", 4, false, 0}}});
    // A millisecond per unit of work.
    for (int i = 0; i < 40; ++i) gate.RecordFirstEvent("engines", 100, 100);
  }

  /// `work` of other entries as reported now.
  auto SetFleetWork(std::uint32_t work) -> void {
    const auto key = ServerKey(servers.Servers("engines").front()->id_hash);
    servers.UpdateLoads({{key, work}}, clock.Now());
  }
  auto SetReachable(bool is_reachable) -> void {
    servers.SetEvacuatedZones(
        is_reachable ? std::set<std::string>{} : std::set<std::string>{""},
        /*now=*/0);
  }
  auto Call(const std::string& name, std::uint32_t priority) -> void {
    admission_call call{"engines", name, priority, {}};
    call.request.customer = "c";
    call.request.work = 10;
    call.request.due_ms = clock.Now() + 4'000;
    call.request.deadline_ms = clock.Now() + 6'000;
    SpawnTask(context, [this, call](boost::asio::yield_context yield) {
      const auto began_ms = clock.Now();
      decision = gate.Enter(call, table, 1, turn, yield);
      took_ms = clock.Now() - began_ms;
    });
  }
  auto RunFor(int ms) -> void {
    context.restart();
    context.run_for(std::chrono::milliseconds(ms));
  }

  boost::asio::io_context context;
  server_table servers;
  std::mt19937_64 random{1};
  system_monotonic_clock clock;
  admission_gate gate{context, servers, random, /*strict=*/false};
  std::shared_ptr<const route_table> table =
      std::make_shared<const route_table>(Config());
  fiber_event turn{context.get_executor()};
  std::optional<admission_decision> decision;
  monotonic_ms took_ms = 0;
};

}  // namespace

TEST_CASE("only services with several priorities are gated") {
  auto config = Config();
  const auto priorities = PrioritiesOf(config, "engines");
  REQUIRE(priorities);
  CHECK(priorities->priorities == std::vector<std::uint32_t>{0, 2});
  CHECK(priorities->RankOf(0) == 0);
  CHECK(priorities->RankOf(2) == 1);
  CHECK_FALSE(PrioritiesOf(config, "ledger"));
  config.routes[1].priority = 0;
  CHECK_FALSE(PrioritiesOf(config, "engines"));
  config.customers = {{"c", {"k"}, 1}};
  CHECK(PrioritiesOf(config, "engines"));
  config.customers.clear();
  config.routes[1] = Route("notice", 2, 4'000);
  config.routes[1].prompts = false;
  CHECK_FALSE(PrioritiesOf(config, "engines"));
}

// Guards against calls that wait on although there is room, or the wait has no
// more use.
TEST_CASE("a call waits for its turn") {
  gate_fixture test;
  // It counts with the fraction 0.4: 1,000 ms, beyond the slack of 750.
  test.SetFleetWork(2'500);
  SUBCASE("the most urgent one goes at once") {
    test.Call("chat", 0);
    test.RunFor(5);
    CHECK(test.decision);
    CHECK(test.gate.counts().empty());
    return;
  }
  test.Call("notice", 2);
  test.RunFor(100);
  REQUIRE_FALSE(test.decision);
  CHECK(test.gate.waiting() == 1);
  SUBCASE("until the servers have room") { test.SetFleetWork(100); }
  SUBCASE("until the prediction is lost") { test.SetReachable(false); }
  SUBCASE("until its caller disconnects or the process stops") {
    test.turn.Set();
  }
  test.RunFor(600);
  REQUIRE(test.decision);
  CHECK(test.decision->verdict == admission_verdict::kGo);
  CHECK(test.gate.waiting() == 0);
  CHECK(test.took_ms >= 90);
  CHECK(test.took_ms < 700);
  CHECK(test.gate.counts().at({"notice", "c"}) == admission_counts{1, 0, 0});
  CHECK(test.gate.held_ms().contains("notice"));
}

TEST_CASE("a call is not held without reports, and refused beyond its limit") {
  gate_fixture test;
  SUBCASE("no reports") {
    test.Call("notice", 2);
    test.RunFor(5);
    REQUIRE(test.decision);
    CHECK(test.decision->verdict == admission_verdict::kGo);
    CHECK(test.gate.counts().empty());
  }
  SUBCASE("beyond its limit") {
    test.SetFleetWork(100'000);
    test.Call("notice", 2);
    test.RunFor(5);
    REQUIRE(test.decision);
    CHECK(test.decision->verdict == admission_verdict::kRefuse);
    CHECK(test.decision->retry_after_ms <= 2'000);
    CHECK(test.gate.counts().at({"notice", "c"}) == admission_counts{0, 1, 0});
  }
}

}  // namespace lovagedale::testing
