#include <doctest/doctest.h>

#include "support/local_control.h"

namespace lovagedale::testing {
namespace {

using std::chrono::milliseconds;
using phase = service_rollout_phase;

constexpr std::int64_t kDurationMs = 2'200;
constexpr auto kAfterResend = local_control::kOrderResend + milliseconds(100);

/// A control replica that leads, and the versions of the service's servers.
class ordered_fleet {
 public:
  explicit ordered_fleet(std::vector<std::string> versions)
      : versions(std::move(versions)),
        control_(context_,
                 [this](boost::asio::yield_context) { return List(); }) {
    while (!control_.IsLeader()) Run(milliseconds(10));
    route_config config;
    config.version = 1;
    config.services.push_back({"app", 100, {}});
    control_.SetRoutes(std::move(config));
    // The list is read by then.
    Run(milliseconds(1'000));
  }
  ~ordered_fleet() { context_.stop(); }

  auto Run(milliseconds duration) -> void { context_.run_for(duration); }
  auto Order(const std::string& target) -> propose_status {
    return control_.OrderRollout({"app", target, kDurationMs}).proposal;
  }
  auto Move(const std::string& target, phase to) -> void {
    Apply(move_service_rollout{"app", target, to, 0, "test"});
  }
  auto Apply(const change_action& action) -> void {
    const auto outcome = control_.Apply(action);
    REQUIRE(outcome.result.status == change_status::kApplied);
  }
  auto Rollout() const -> service_rollout {
    const auto* rollout = control_.view().RolloutOf("app");
    REQUIRE(rollout != nullptr);
    return *rollout;
  }
  auto MayUse(const std::string& version) const -> bool {
    return routing_view(control_.view()).MayUse("app", version, 7);
  }

  std::vector<std::string> versions;

 private:
  auto List() const -> std::vector<listed_server> {
    std::vector<listed_server> list;
    for (const auto& version : versions) {
      list.push_back({"s-" + version, "app", "127.0.0.1", 9, "zone-a", version,
                      4, false, 0});
    }
    return list;
  }

  boost::asio::io_context context_{1};
  local_control control_;
};

}  // namespace

// Guards against an acknowledged roll-out to a version that was rolled out
// before, which is dropped, or which begins and does not move on (LOST).
TEST_CASE("a roll-out to a version that was completed before is carried out") {
  ordered_fleet fleet({"v1", "v2", "v3"});
  for (const std::string target : {"v2", "v3"}) {
    CHECK(fleet.Order(target) == propose_status::kCommitted);
    fleet.Move(target, phase::kCanary);
    fleet.Move(target, phase::kCompleted);
  }
  fleet.Run(kAfterResend);
  CHECK(fleet.Order("v2") == propose_status::kCommitted);
  CHECK(fleet.Rollout().target == "v2");
  CHECK(fleet.Rollout().phase == phase::kWaiting);
  // A copy changes nothing.
  CHECK(fleet.Order("v2") == propose_status::kCommitted);
  CHECK(fleet.Rollout().phase == phase::kWaiting);
  fleet.Run(milliseconds(kDurationMs / 2 - 500));
  CHECK(fleet.Rollout().phase == phase::kWaiting);
  fleet.Run(milliseconds(1'000));
  CHECK(fleet.Rollout().phase == phase::kCanary);
}

// Guards against a mended version that stays reverted though it is ordered
// again, or that is judged by its former answers' time (LOST).
TEST_CASE("a roll-out to a version that was reverted begins anew") {
  ordered_fleet fleet({"v1", "v2"});
  CHECK(fleet.Order("v2") == propose_status::kCommitted);
  fleet.Run(milliseconds(kDurationMs / 2 + 500));
  CHECK(fleet.Rollout().phase == phase::kCanary);
  fleet.Move("v2", phase::kReverted);
  CHECK(fleet.Order("v2") == propose_status::kCommitted);
  CHECK(fleet.Rollout().target == "v2");
  CHECK(fleet.Rollout().phase == phase::kWaiting);
  CHECK(fleet.MayUse("v1"));
  CHECK_FALSE(fleet.MayUse("v2"));
  fleet.Run(milliseconds(kDurationMs / 2 - 500));
  CHECK(fleet.Rollout().phase == phase::kWaiting);
  fleet.Run(milliseconds(1'000));
  CHECK(fleet.Rollout().phase == phase::kCanary);
}

// Guards against a copy of an order, sent again or delivered late, that undoes
// a later order.
TEST_CASE("an order that may be a copy does not replace a later order") {
  ordered_fleet fleet({"v1", "v2", "v3"});
  CHECK(fleet.Order("v2") == propose_status::kCommitted);
  CHECK(fleet.Order("v3") == propose_status::kCommitted);
  CHECK(fleet.Order("v2") == propose_status::kUnknown);
  CHECK(fleet.Rollout().target == "v3");
  // Operators do not send a copy as late as this.
  fleet.Run(kAfterResend);
  CHECK(fleet.Order("v2") == propose_status::kCommitted);
  CHECK(fleet.Rollout().target == "v2");
}

// Guards against all requests that go to an unfinished, perhaps bad version
// once the operator has ordered another one (EXPOSURE).
TEST_CASE("an unfinished version is out of use once another one is ordered") {
  for (const auto at : {phase::kWaiting, phase::kCanary, phase::kAllSessions}) {
    for (const std::string target : {"v1", "v3"}) {
      CAPTURE(static_cast<int>(at));
      CAPTURE(target);
      ordered_fleet fleet({"v1", "v2", "v3"});
      CHECK(fleet.Order("v2") == propose_status::kCommitted);
      if (at != phase::kWaiting) fleet.Move("v2", at);
      fleet.versions = {"v1", "v2"};
      fleet.Run(milliseconds(1'500));
      CHECK(fleet.Order(target) == propose_status::kCommitted);
      CHECK(fleet.Rollout().target == target);
      CHECK(fleet.MayUse("v1"));
      CHECK_FALSE(fleet.MayUse("v2"));
      CHECK_FALSE(fleet.MayUse("v3"));
      if (target == "v1") continue;
      fleet.Move("v3", phase::kReverted);
      CHECK(fleet.MayUse("v1"));
      CHECK_FALSE(fleet.MayUse("v2"));
    }
  }
}

// Guards against the same as the operator changes between two versions, and
// then to a third one.
TEST_CASE("the former version serves however often the operator turns back") {
  ordered_fleet fleet({"v1", "v2"});
  for (const std::string target : {"v2", "v1", "v2", "v1", "v3", "v1"}) {
    CAPTURE(target);
    CHECK(fleet.Order(target) == propose_status::kCommitted);
    CHECK(fleet.Rollout().target == target);
    for (int i = 0; i < 5; ++i) {
      CHECK(fleet.MayUse("v1"));
      CHECK_FALSE(fleet.MayUse("v2"));
      fleet.Run(kAfterResend / 5);
    }
  }
  fleet.Run(milliseconds(kDurationMs));
  CHECK(fleet.Rollout().phase == phase::kCompleted);
}

// Guards against a service that is refused until half of the time of a roll-out
// to the version that it uses.
TEST_CASE("a roll-out to the version in use leaves it in use") {
  ordered_fleet fleet({"v1"});
  CHECK(fleet.Order("v1") == propose_status::kCommitted);
  CHECK(fleet.MayUse("v1"));
  fleet.Run(milliseconds(kDurationMs));
  CHECK(fleet.Rollout().phase == phase::kCompleted);
  CHECK(fleet.MayUse("v1"));
}

// Guards against a service that is refused because the leader ended between the
// parts of an order.
TEST_CASE("an order that was carried out in part is completed") {
  ordered_fleet fleet({"v1", "v2"});
  CHECK(fleet.Order("v2") == propose_status::kCommitted);
  fleet.Move("v2", phase::kReverted);
  fleet.Apply(begin_service_rollout{"app", "v1", kDurationMs});
  fleet.Run(milliseconds(300));
  CHECK(fleet.MayUse("v1"));
  CHECK_FALSE(fleet.MayUse("v2"));
}

// Guards against requests to an untested version as the servers of the former
// one are lost during a roll-out.
TEST_CASE("the loss of the former version's servers does not end the wait") {
  ordered_fleet fleet({"v1", "v2"});
  CHECK(fleet.Order("v2") == propose_status::kCommitted);
  fleet.Run(milliseconds(200));
  fleet.versions = {"v2"};
  fleet.Run(milliseconds(700));
  CHECK_FALSE(fleet.MayUse("v2"));
}

}  // namespace lovagedale::testing
