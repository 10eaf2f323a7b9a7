#include "lovagedale/configuration/in_force.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {
namespace {

auto Registered() -> std::map<std::string, register_node> {
  return {{"a", {"a", "akl-a"}}, {"b", {"b", "akl-b"}}};
}

}  // namespace

TEST_CASE(
    "a revision is accepted only once every registered entry follows it") {
  propagation_tracker tracker(0);
  tracker.RecordHeartbeat("a", 1, 5, 100);
  tracker.RecordHeartbeat("b", 1, 4, 100);
  const auto status = tracker.StatusOf(5, false, Registered(), 200);
  CHECK_FALSE(status.IsAccepted());
  CHECK(status.waiting_for == std::vector<std::string>{"b"});
  tracker.RecordHeartbeat("b", 1, 5, 300);
  CHECK(tracker.StatusOf(5, false, Registered(), 300).IsAccepted());
}

TEST_CASE("a revision waits for an entry without a heartbeat to this leader") {
  propagation_tracker tracker(1'000);
  tracker.RecordHeartbeat("a", 1, 5, 1'100);
  CHECK_FALSE(tracker.StatusOf(5, false, Registered(), 100'000).IsAccepted());
}

TEST_CASE(
    "a permit-gated change does not wait for an entry whose permit expired") {
  propagation_tracker tracker(1'000);
  tracker.RecordHeartbeat("a", 1, 5, 1'100);
  const auto expired_at = 1'000 + kPermitLifetimeMs + kPermitMarginMs;
  CHECK_FALSE(tracker.StatusOf(5, true, Registered(), expired_at).IsAccepted());
  tracker.RecordHeartbeat("a", 1, 5, expired_at + 1);
  const auto status = tracker.StatusOf(5, true, Registered(), expired_at + 1);
  CHECK(status.IsAccepted());
  CHECK(status.without_permit == 1);
}

TEST_CASE("a restarted entry must follow the revision again") {
  propagation_tracker tracker(0);
  tracker.RecordHeartbeat("a", 1, 5, 100);
  tracker.RecordHeartbeat("b", 1, 5, 100);
  tracker.RecordHeartbeat("a", 2, 0, 200);
  CHECK_FALSE(tracker.StatusOf(5, false, Registered(), 300).IsAccepted());
}

TEST_CASE(
    "heartbeats that arrive out of order do not lower an entry's revision") {
  propagation_tracker tracker(0);
  tracker.RecordHeartbeat("a", 1, 5, 100);
  tracker.RecordHeartbeat("a", 1, 4, 90);
  tracker.RecordHeartbeat("b", 1, 5, 100);
  CHECK(tracker.StatusOf(5, false, Registered(), 100).IsAccepted());
}

}  // namespace lovagedale::testing
