#include "lovagedale/route_entry/fleet_link.h"

#include <doctest/doctest.h>

#include <cmath>

#include "lovagedale/common/spawn.h"
#include "support/local_control.h"
#include "support/slow_link.h"

namespace lovagedale::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLinkBytesPerSecond = 64UL << 10U;

/// Routes that take at least `bytes` to send.
auto RoutesOfSize(std::size_t bytes, route_config_version version)
    -> route_config {
  constexpr std::size_t kNameBytes = 512;
  route_config config;
  config.version = version;
  config.services.push_back({"app", 100, {}});
  for (std::size_t i = 0; i * kNameBytes < bytes + 1; ++i) {
    route item;
    item.name =
        "r" + std::to_string(i) + "-" + std::string(kNameBytes, 'a' + i % 26);
    item.host = "host.example";
    item.prefix = "/" + std::to_string(version) + "/" + std::to_string(i) + "/";
    item.open = true;
    item.timeout_ms = 1'000;
    item.objective_ms = 100;
    item.services.push_back({"app", 1});
    config.routes.push_back(std::move(item));
  }
  return config;
}

/// A control replica and an entry on one thread, with a slow link from control
/// to the entry.
class entry_behind_slow_link {
 public:
  entry_behind_slow_link()
      : control_(context_,
                 [this](boost::asio::yield_context) { return servers; }),
        slow_(context_, control_.rpc_port(), kLinkBytesPerSecond),
        settings_(EntrySettings("entry-1", slow_.port())),
        state_(context_, settings_.relay),
        link_(context_, settings_, state_, {}, [] {}) {
    servers.push_back({"s-1", "app", "127.0.0.1", 9, "zone-a", "v1"});
    link_.Start();
  }
  ~entry_behind_slow_link() { context_.stop(); }

  /// Handles events until the condition holds; false if it does not in time.
  template <typename Condition>
  auto RunUntil(Condition holds, milliseconds limit = std::chrono::seconds(30))
      -> bool {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!holds() && std::chrono::steady_clock::now() < deadline) {
      context_.run_for(milliseconds(10));
    }
    return holds();
  }
  auto SetRoutes(route_config config) -> void {
    control_.SetRoutes(std::move(config));
  }
  auto HasLeader() const -> bool { return control_.IsLeader(); }
  auto RoutesVersion() const -> route_config_version {
    return state_.view ? state_.view->routes.version() : 0;
  }
  auto IsListed(const std::string& server) const -> bool {
    return state_.servers.All().contains(server);
  }
  auto IsLeaving(const std::string& server) const -> bool {
    return state_.servers.All().at(server)->listed.leaving;
  }

  /// Asks control as a call does.
  auto AskForGrant(const server_limit_report& server)
      -> std::optional<server_grant> {
    std::optional<server_grant> grant;
    bool is_answered = false;
    SpawnTask(context_, [&](boost::asio::yield_context yield) {
      grant = state_.ask_for_grant(server, yield);
      is_answered = true;
    });
    REQUIRE(RunUntil([&] { return is_answered; }));
    return grant;
  }

  auto Tiers() -> tier_table& { return state_.tiers; }
  /// The groups of the service `app` at the entry.
  auto Groups() -> service_groups& { return state_.groups["app"]; }

  std::vector<listed_server> servers;  ///< as the platform lists them

 private:
  boost::asio::io_context context_{1};
  local_control control_;
  slow_link slow_;
  route_entry_settings settings_;
  relay_state state_;
  fleet_link link_;
};

}  // namespace

// Guards against entries that stay at an old configuration for as long as the
// newest one takes more time to arrive than one heartbeat may last.
TEST_CASE("a configuration larger than a heartbeat can carry in time arrives") {
  entry_behind_slow_link entry;
  REQUIRE(entry.RunUntil([&] { return entry.HasLeader(); }));
  entry.SetRoutes(RoutesOfSize(5 * kLinkBytesPerSecond, 1));
  CHECK(entry.RunUntil([&] { return entry.RoutesVersion() == 1; }));
  entry.SetRoutes(RoutesOfSize(5 * kLinkBytesPerSecond, 2));
  CHECK(entry.RunUntil([&] { return entry.RoutesVersion() == 2; }));
}

// Guards against requests that still reach a leaving server, as the entry hears
// of it only after a large configuration.
TEST_CASE("the list of servers does not wait for a large configuration") {
  // How long requests may reach a server that is leaving.
  constexpr milliseconds kDrainTimeout{3'000};
  entry_behind_slow_link entry;
  REQUIRE(entry.RunUntil([&] { return entry.IsListed("s-1"); }));
  entry.SetRoutes(RoutesOfSize(10 * kLinkBytesPerSecond, 1));
  entry.RunUntil([] { return false; }, milliseconds(500));
  entry.servers.front().leaving = true;
  CHECK(entry.RunUntil([&] { return entry.IsLeaving("s-1"); }, kDrainTimeout));
  CHECK(entry.RoutesVersion() == 0);
}

TEST_CASE("the leader grants what a server's limit allows") {
  entry_behind_slow_link entry;
  REQUIRE(entry.RunUntil([&] { return entry.IsListed("s-1"); }));
  const server_limit_report limited{7, /*limit_per_s=*/0.1F, 0, 1};
  const auto first = entry.AskForGrant(limited);
  REQUIRE(first.has_value());
  CHECK(first->is_granted);
  const auto second = entry.AskForGrant(limited);
  REQUIRE(second.has_value());
  CHECK_FALSE(second->is_granted);
  CHECK(second->retry_after_ms > 5'000);
  CHECK(second->status.server == limited.server);
}

// Guards against entries that form groups of servers by their own requests
// alone, which are too few.
TEST_CASE("the leader answers reports of work with the fleet's share") {
  entry_behind_slow_link entry;
  REQUIRE(entry.RunUntil([&] { return entry.IsListed("s-1"); }));
  const auto now = system_monotonic_clock{}.Now();
  entry.Groups().Update({}, /*heavy_min_work=*/20'000, false, now);
  for (int i = 0; i < 3; ++i) entry.Groups().RecordSent(30'000, now);
  entry.Groups().RecordSent(10'000, now);
  CHECK_FALSE(entry.Groups().HeavyShare(now));
  REQUIRE(entry.RunUntil([&] {
    return entry.Groups()
        .HeavyShare(system_monotonic_clock{}.Now())
        .has_value();
  }));
  CHECK(std::abs(*entry.Groups().HeavyShare(now) - 0.9) < 0.01);
}

// Guards against entries that use the middle of the range as the threshold all
// day, as each of them sees few answers.
TEST_CASE("the leader answers reports of confidences with a threshold") {
  entry_behind_slow_link entry;
  REQUIRE(entry.RunUntil([&] { return entry.IsListed("s-1"); }));
  auto& threshold = entry.Tiers()[{"route", "small"}].threshold;
  // Few at a time, as the entry would learn a threshold itself from more.
  REQUIRE(entry.RunUntil([&] {
    threshold = confidence_threshold();
    for (int i = 0; i < 50; ++i) threshold.Add(i % 5 == 0 ? 0.7 : 0.9);
    entry.RunUntil([&] { return threshold.unreported() == 0; });
    entry.RunUntil([&] { return threshold.HasFleetThreshold(); },
                   milliseconds(500));
    return threshold.HasFleetThreshold();
  }));
  CHECK(threshold.Threshold() > 0.7);
  CHECK(threshold.Threshold() <= 0.9);
}

// Guards against calls that wait for a leader that does not answer.
TEST_CASE("a call does not wait for a grant that comes late") {
  // A part of the configuration takes half a second on this link.
  constexpr milliseconds kLongestWait{400};
  entry_behind_slow_link entry;
  REQUIRE(entry.RunUntil([&] { return entry.IsListed("s-1"); }));
  entry.SetRoutes(RoutesOfSize(10 * kLinkBytesPerSecond, 1));
  bool was_answered = true;
  // Between two parts the link is free, and answers come in time.
  for (int i = 0; i < 100 && was_answered; ++i) {
    entry.RunUntil([] { return false; }, milliseconds(50));
    const auto began = std::chrono::steady_clock::now();
    was_answered = entry.AskForGrant({7, 2, 0, 1}).has_value();
    CHECK(std::chrono::steady_clock::now() - began < kLongestWait);
  }
  CHECK_FALSE(was_answered);
}

}  // namespace lovagedale::testing
