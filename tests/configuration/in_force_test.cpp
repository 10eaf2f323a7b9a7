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
  tracker.Heartbeat("a", 1, 5, 100);
  tracker.Heartbeat("b", 1, 4, 100);
  const auto status = tracker.StatusOf(5, false, Registered(), 200);
  CHECK_FALSE(status.IsAccepted());
  CHECK(status.waiting_for == std::vector<std::string>{"b"});
  tracker.Heartbeat("b", 1, 5, 300);
  CHECK(tracker.StatusOf(5, false, Registered(), 300).IsAccepted());
}

TEST_CASE("an entry that only an earlier leader heard is waited for") {
  propagation_tracker tracker(1'000);
  tracker.Heartbeat("a", 1, 5, 1'100);
  CHECK_FALSE(tracker.StatusOf(5, false, Registered(), 100'000).IsAccepted());
}

TEST_CASE("a silent entry counts for a gated change once its permit is over") {
  propagation_tracker tracker(1'000);
  tracker.Heartbeat("a", 1, 5, 1'100);
  const auto over = 1'000 + kPermitLifetimeMs + kPermitMarginMs;
  CHECK_FALSE(tracker.StatusOf(5, true, Registered(), over).IsAccepted());
  tracker.Heartbeat("a", 1, 5, over + 1);
  const auto status = tracker.StatusOf(5, true, Registered(), over + 1);
  CHECK(status.IsAccepted());
  CHECK(status.without_permit == 1);
}

TEST_CASE("a restarted entry must follow the revision again") {
  propagation_tracker tracker(0);
  tracker.Heartbeat("a", 1, 5, 100);
  tracker.Heartbeat("b", 1, 5, 100);
  tracker.Heartbeat("a", 2, 0, 200);
  CHECK_FALSE(tracker.StatusOf(5, false, Registered(), 300).IsAccepted());
}

TEST_CASE("heartbeats that arrive out of order do not take a revision back") {
  propagation_tracker tracker(0);
  tracker.Heartbeat("a", 1, 5, 100);
  tracker.Heartbeat("a", 1, 4, 90);
  tracker.Heartbeat("b", 1, 5, 100);
  CHECK(tracker.StatusOf(5, false, Registered(), 100).IsAccepted());
}

}  // namespace lovagedale::testing
