#include <doctest/doctest.h>

#include "lovagedale/common/codec.h"
#include "lovagedale/configuration/control_machine.h"

namespace lovagedale::testing {
namespace {

class machine_driver {
 public:
  auto Apply(const std::string& id, change_action action) -> change_result {
    const change proposed{id, kAnyRevision, "operator", 0, std::move(action)};
    return Decode<change_result>(
        machine_.Apply({++index_, 1, entry_kind::kCommand,
                        Encode(control_command(proposed))}));
  }
  auto machine() -> control_machine& { return machine_; }

 private:
  control_machine machine_;
  log_index index_ = 0;
};

auto Routes(route_config_version version, const std::string& source)
    -> set_routes {
  route_config config;
  config.version = version;
  config.services = {{"engines", 10, {}}};
  return {config, source};
}

}  // namespace

TEST_CASE(
    "the highest version of the routes wins, in whatever order they arrive") {
  machine_driver driver;
  CHECK(driver.Apply("a", Routes(5, "five")).status == change_status::kApplied);
  CHECK(driver.Apply("b", Routes(3, "three")).status ==
        change_status::kApplied);
  CHECK(driver.machine().view().routes.version == 5);
  // The same version with other content is acknowledged but not stored.
  CHECK(driver.Apply("c", Routes(5, "other")).status ==
        change_status::kApplied);
  CHECK(driver.machine().route_source() == "five");
  driver.Apply("d", Routes(8, "eight"));
  CHECK(driver.machine().route_source() == "eight");
}

TEST_CASE("invalid routes change nothing") {
  machine_driver driver;
  driver.Apply("a", Routes(5, "five"));
  auto broken = Routes(9, "nine");
  broken.config.routes.push_back({});
  CHECK(driver.Apply("b", broken).status == change_status::kInvalid);
  CHECK(driver.machine().view().routes.version == 5);
}

TEST_CASE("a roll-out requested twice runs once, and its end is final") {
  machine_driver driver;
  driver.Apply("a", Routes(5, "five"));
  const begin_service_rollout request{"engines", "v2", 10'000};
  CHECK(driver.Apply("b", request).status == change_status::kApplied);
  CHECK(driver.Apply("b", request).status == change_status::kApplied);
  driver.Apply("c",
               move_service_rollout{"engines", "v2",
                                    service_rollout_phase::kReverted, 0, ""});
  // The same request under another change id.
  CHECK(driver.Apply("d", request).status == change_status::kApplied);
  const auto* rollout = driver.machine().view().RolloutOf("engines");
  REQUIRE(rollout != nullptr);
  CHECK(rollout->phase == service_rollout_phase::kReverted);
  CHECK(driver
            .Apply("e", move_service_rollout{"engines", "v2",
                                             service_rollout_phase::kCompleted,
                                             0, ""})
            .status == change_status::kInvalid);
  CHECK(driver.Apply("f", begin_service_rollout{"nobody", "v2", 1}).status ==
        change_status::kInvalid);
}

TEST_CASE("routes and roll-outs survive a snapshot") {
  machine_driver driver;
  driver.Apply("a", Routes(5, "five"));
  driver.Apply("b", begin_service_rollout{"engines", "v2", 10'000});
  control_machine restored;
  restored.Restore(driver.machine().TakeSnapshot());
  CHECK(restored.view() == driver.machine().view());
  CHECK(restored.route_source() == "five");
}

}  // namespace lovagedale::testing
