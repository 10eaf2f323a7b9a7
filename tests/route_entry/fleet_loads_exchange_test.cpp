#include <doctest/doctest.h>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/route_entry/fleet_link.h"
#include "support/local_control.h"

namespace lovagedale::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kServers = 140;

/// An entry's link to control, without calls.
struct linked_entry {
  linked_entry(boost::asio::io_context& context, const std::string& name,
               std::uint16_t control_port)
      : settings(EntrySettings(name, control_port)),
        state(context, settings.relay),
        link(context, settings, state, {}, [] {}) {
    link.Start();
  }
  auto Server(std::size_t i) const -> server_record& {
    return *state.servers.All().at("s-" + std::to_string(i));
  }
  auto HasServers() const -> bool {
    return state.servers.All().size() == kServers;
  }

  route_entry_settings settings;
  relay_state state;
  fleet_link link;
};

/// Control and two entries on one thread.
class two_entries {
 public:
  two_entries()
      : control_(context_, [](boost::asio::yield_context) { return List(); }),
        first(context_, "entry-1", control_.rpc_port()),
        second(context_, "entry-2", control_.rpc_port()) {
    REQUIRE(
        RunUntil([this] { return first.HasServers() && second.HasServers(); }));
  }
  ~two_entries() { context_.stop(); }

  template <typename Condition>
  auto RunUntil(Condition holds, milliseconds limit = std::chrono::seconds(30))
      -> bool {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!holds() && std::chrono::steady_clock::now() < deadline) {
      context_.run_for(milliseconds(10));
    }
    return holds();
  }
  /// Sends a heartbeat as a build of `format` writes it.
  auto Heartbeat(const entry_heartbeat& heartbeat, format_number format)
      -> heartbeat_response {
    auto bytes = EncodeFixed(control_request(heartbeat));
    bytes += EncodeFormatFooter({format, kFirstFormat}, bytes.size());
    rpc_channel channel(context_,
                        {"control", "127.0.0.1", control_.rpc_port()});
    std::optional<heartbeat_response> response;
    SpawnTask(context_, [&](boost::asio::yield_context yield) {
      response = Decode<heartbeat_response>(
          channel.Call(bytes, std::chrono::seconds(5), yield));
    });
    REQUIRE(RunUntil([&] { return response.has_value(); }));
    return *response;
  }

 private:
  static auto List() -> std::vector<listed_server> {
    std::vector<listed_server> list;
    for (std::size_t i = 0; i < kServers; ++i) {
      list.push_back(
          {"s-" + std::to_string(i), "app", "127.0.0.1", 9, "zone-a", "v1"});
    }
    return list;
  }

  boost::asio::io_context context_{1};
  local_control control_;

 public:
  linked_entry first;
  linked_entry second;
};

}  // namespace

// Guards against busy servers that other entries take for idle because more
// than 64 are busy.
TEST_CASE("an entry learns the work at every server") {
  two_entries fleet;
  entry_heartbeat heartbeat;
  heartbeat.node = "entry-3";
  heartbeat.zone = "zone-a";
  heartbeat.relay.emplace();
  for (std::size_t i = 0; i < kServers; ++i) {
    heartbeat.relay->loads.push_back(
        {ServerKey(fleet.first.Server(i).id_hash), 1'000});
  }
  fleet.Heartbeat(heartbeat, 3);
  std::size_t known = 0;
  CHECK(fleet.RunUntil(
      [&] {
        known = 0;
        for (std::size_t i = 0; i < kServers; ++i) {
          if (fleet.second.Server(i).OtherEntriesWork() > 900) ++known;
        }
        return known == kServers;
      },
      milliseconds(1'500)));
  CAPTURE(known);
  CHECK(known == kServers);
}

// Guards against a slow server that only the entries know which got its
// answers.
TEST_CASE("an entry learns the work and the pace that others report") {
  two_entries fleet;
  for (std::size_t i = 0; i < 30; ++i) fleet.first.Server(i).work = 5'000;
  for (std::size_t i = 30; i < 60; ++i) fleet.second.Server(i).work = 9'000;
  CHECK(fleet.RunUntil([&] {
    return fleet.second.Server(3).OtherEntriesWork() > 4'700 &&
           fleet.first.Server(59).OtherEntriesWork() > 8'500;
  }));
  CHECK(fleet.first.Server(3).OtherEntriesWork() < 300);
  CHECK(fleet.second.Server(3).pace == 1);
  system_monotonic_clock clock;
  const auto& slow = fleet.first.Server(17);
  auto next_ms = clock.Now();
  CHECK(fleet.RunUntil(
      [&] {
        if (clock.Now() >= next_ms) {
          fleet.first.state.servers.RecordPace(slow, 3, next_ms);
          next_ms += 200;
        }
        return fleet.second.Server(17).pace > 2;
      },
      std::chrono::seconds(10)));
  CHECK(fleet.second.Server(18).pace == 1);
  CHECK(fleet.RunUntil([&] { return fleet.second.Server(17).pace < 1.3; }));
}

// Guards against entries of older builds that get no loads from this one's
// leader, and against the bytes of both fields for newer ones.
TEST_CASE("an entry gets the loads in the field that it reads") {
  two_entries fleet;
  fleet.first.Server(3).work = 5'000;
  REQUIRE(fleet.RunUntil(
      [&] { return fleet.second.Server(3).OtherEntriesWork() > 4'700; }));
  entry_heartbeat heartbeat;
  heartbeat.node = "entry-of-format-3";
  heartbeat.zone = "zone-a";
  heartbeat.relay.emplace().loads = {
      {ServerKey(fleet.first.Server(90).id_hash), 7'000}};
  const auto former = fleet.Heartbeat(heartbeat, 3);
  REQUIRE(former.is_leader);
  REQUIRE(former.relay->loads);
  CHECK_FALSE(former.loads);
  CHECK(former.relay->loads->size() == 2);
  CHECK(fleet.RunUntil(
      [&] { return fleet.second.Server(90).OtherEntriesWork() > 6'700; }));
  heartbeat.node = "entry-of-format-4";
  heartbeat.relay->loads.clear();
  const auto current = fleet.Heartbeat(heartbeat, 4);
  CHECK(current.loads);
  CHECK_FALSE(current.relay->loads);
}

}  // namespace lovagedale::testing
