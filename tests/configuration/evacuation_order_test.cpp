#include "lovagedale/configuration/evacuation_order.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include "lovagedale/common/codec.h"
#include "lovagedale/configuration/evacuation.h"

namespace lovagedale::testing {
namespace {

constexpr monotonic_ms kResendMs = 5'000;

/// Control's state and an operator that sends orders without ids.
class evacuation_model {
 public:
  evacuation_model() {
    state.known_zones = {"a", "b"};
    state.is_server_list_read = true;
  }
  auto Decide(const evacuation_order& order) -> evacuation_decision {
    state.evacuated = EvacuatedZones(machine.view().quarantines);
    return DecideEvacuation(order, state, machine.history(), now_ms, kResendMs);
  }
  /// Whether the order is acknowledged.
  auto Send(const evacuation_order& order) -> bool {
    const auto decision = Decide(order);
    if (decision.verdict != evacuation_verdict::kPropose) return false;
    log_entry entry;
    entry.index = ++index_;
    entry.payload =
        Encode(control_command(change{decision.change_id, kAnyRevision,
                                      "operator", now_ms, decision.action}));
    return Decode<change_result>(machine.Apply(entry)).status ==
           change_status::kApplied;
  }
  auto IsEvacuated(const std::string& zone) const -> bool {
    return EvacuatedZones(machine.view().quarantines).contains(zone);
  }

  evacuation_state state;
  control_machine machine;
  std::int64_t now_ms = 1'000'000;

 private:
  log_index index_ = 0;
};

}  // namespace

// Guards against an evacuation that a late copy of an earlier order undoes or
// brings back.
TEST_CASE("a copy that arrives after the opposite order changes nothing") {
  evacuation_model model;
  CHECK(model.Send({"a", true}));
  model.now_ms += 1'000;
  CHECK(model.Send({"a", true}));  // its answer was lost
  CHECK(model.Send({"a", false}));
  model.now_ms += 1'000;
  CHECK_FALSE(model.Send({"a", true}));
  CHECK_FALSE(model.IsEvacuated("a"));
  CHECK(model.Send({"a", false}));
}

// Guards against an acknowledged order that is dropped as a copy (LOST).
TEST_CASE("an order with the content of an earlier one is carried out") {
  evacuation_model model;
  for (int i = 0; i < 3; ++i) {
    CHECK(model.Send({"a", true}));
    CHECK(model.IsEvacuated("a"));
    model.now_ms += kResendMs + 1;
    CHECK(model.Send({"a", false}));
    CHECK_FALSE(model.IsEvacuated("a"));
    model.now_ms += kResendMs + 1;
  }
}

TEST_CASE("orders that cannot be followed are not acknowledged") {
  evacuation_model model;
  CHECK(model.Decide({"x", true}).verdict == evacuation_verdict::kUnknownZone);
  CHECK(model.Decide({"x", false}).verdict == evacuation_verdict::kPropose);
  model.state.is_server_list_read = false;
  CHECK(model.Decide({"x", true}).verdict == evacuation_verdict::kUnclear);
  CHECK(model.Decide({"a", true}).verdict == evacuation_verdict::kPropose);
  model.state.entries_without_support = {"old"};
  CHECK(model.Decide({"a", true}).verdict == evacuation_verdict::kUnclear);
  CHECK(model.Decide({"a", false}).verdict == evacuation_verdict::kPropose);
  model.state.is_pending = true;
  CHECK(model.Decide({"a", false}).verdict == evacuation_verdict::kUnclear);
}

// Guards against an evacuation that a snapshot or another quarantine loses.
TEST_CASE("evacuations survive a snapshot and stand beside quarantines") {
  evacuation_model model;
  CHECK(model.Send({"a", true}));
  CHECK(model.Send({"b", true}));
  control_machine restored;
  restored.Restore(model.machine.TakeSnapshot());
  CHECK(EvacuatedZones(restored.view().quarantines) ==
        std::set<std::string>{"a", "b"});
  const quarantine other{7, 1, "evacuation of zone a"};
  CHECK_FALSE(EvacuatedZone(other).has_value());
}

TEST_CASE("the state is that of the last acknowledged order") {
  CHECK(rc::check([] {
    evacuation_model model;
    std::map<std::string, bool> expected;
    for (int i = 0; i < 40; ++i) {
      const evacuation_order order{*rc::gen::element<std::string>("a", "b"),
                                   *rc::gen::arbitrary<bool>()};
      model.now_ms += *rc::gen::inRange(0, 8'000);
      if (model.Send(order)) expected[order.zone] = order.evacuates;
      for (const auto& [zone, is_evacuated] : expected) {
        RC_ASSERT(model.IsEvacuated(zone) == is_evacuated);
      }
    }
  }));
}

}  // namespace lovagedale::testing
