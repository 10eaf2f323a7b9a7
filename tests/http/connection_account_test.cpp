#include "lovagedale/http/connection_account.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <vector>

#include "lovagedale/http/connection_settings.h"

namespace lovagedale::testing {
namespace {

constexpr auto kBase = connection_account::kConnectionBytes;
constexpr monotonic_ms kIdleMs = 10 * connection_account::kMinBehindMs;

/// A crowd of connections on one account. One that is told to close is
/// destroyed by Reap, as a fiber ends it a turn of the event loop later.
class crowd {
 public:
  crowd(std::size_t max_connections, std::size_t max_bytes)
      : account(std::make_shared<connection_account>(account_limits{
            {max_connections, max_bytes}, {max_connections, max_bytes}})) {}

  auto Open(const std::string& peer, monotonic_ms now,
            port_class ports = port_class::kGeneral) -> accounted_connection* {
    auto item = std::make_unique<accounted_connection>(account, ports, peer,
                                                       now, [] {});
    if (!item->IsAccepted()) return nullptr;
    open.push_back(std::move(item));
    return open.back().get();
  }
  auto Reap() -> void {
    std::erase_if(open, [](const auto& item) { return item->IsClosing(); });
  }

  std::shared_ptr<connection_account> account;
  std::vector<std::unique_ptr<accounted_connection>> open;
};

auto AnyView() -> connection_view {
  return {
      *rc::gen::inRange<std::uint64_t>(0, 50),
      *rc::gen::element(connection_phase::kRefused, connection_phase::kReading,
                        connection_phase::kKept, connection_phase::kAnswering,
                        connection_phase::kRunning),
      *rc::gen::arbitrary<bool>(), *rc::gen::inRange<monotonic_ms>(0, 20'000)};
}

}  // namespace

// Guards against an order that depends on who is compared with whom, and
// against known callers and running requests that go before unknown ones.
TEST_CASE("the order in which connections give way") {
  CHECK(rc::check("is a strict order with running requests last", [] {
    const auto first = AnyView();
    const auto second = AnyView();
    const auto third = AnyView();
    RC_ASSERT_FALSE(GivesWayBefore(first, first));
    RC_ASSERT_FALSE(GivesWayBefore(first, second) &&
                    GivesWayBefore(second, first));
    if (GivesWayBefore(first, second) && GivesWayBefore(second, third)) {
      RC_ASSERT(GivesWayBefore(first, third));
    }
    if (first.phase == connection_phase::kRunning) {
      RC_ASSERT_FALSE(MayGiveWay(first, false));
    }
    if (first.is_over_share == second.is_over_share &&
        first.phase < second.phase) {
      RC_ASSERT(GivesWayBefore(first, second));
    }
  }));
  const connection_view idle{1, connection_phase::kReading, false, 5'000};
  const connection_view active{2, connection_phase::kReading, false, 100};
  const connection_view newer{3, connection_phase::kReading, false, 5'100};
  CHECK(GivesWayBefore(idle, active));
  CHECK(GivesWayBefore(newer, idle));
}

// Guards against a process that exceeds its memory or descriptors by any
// sequence of connections, reservations and ends, and against sums that drift.
TEST_CASE("connections and memory stay within the limits") {
  CHECK(rc::check([] {
    constexpr std::size_t kMaxConnections = 12;
    constexpr std::size_t kMaxBytes = 40 * kBase;
    crowd all(kMaxConnections, kMaxBytes);
    monotonic_ms now = 0;
    const auto steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      now += *rc::gen::element<monotonic_ms>(0, 50, 400, 5'000);
      const auto action = *rc::gen::inRange(0, 5);
      if (action <= 1 || all.open.empty()) {
        all.Open(*rc::gen::element<std::string>("a", "b", "c"), now);
        all.Reap();
      } else {
        const auto index = *rc::gen::inRange<std::size_t>(0, all.open.size());
        auto& item = *all.open[index];
        if (action == 2) {
          item.SetPhase(*rc::gen::element(connection_phase::kReading,
                                          connection_phase::kKept,
                                          connection_phase::kAnswering,
                                          connection_phase::kRunning),
                        now);
        } else if (action == 3) {
          const auto bytes = *rc::gen::inRange<std::size_t>(0, 50 * kBase);
          const auto before = item.held_bytes();
          const auto result = item.Reserve(bytes, now);
          all.Reap();
          if (result == reserve_result::kWait) {
            // Those that were to close have, so it fits now.
            RC_ASSERT(item.Reserve(bytes, now) == reserve_result::kGranted);
          }
          RC_ASSERT(item.held_bytes() ==
                    (result == reserve_result::kRefused ? before : bytes));
        } else {
          all.open.erase(all.open.begin() + static_cast<std::ptrdiff_t>(index));
        }
      }
      const auto& counts = all.account->counts(port_class::kGeneral);
      std::size_t held = 0;
      for (const auto& item : all.open) held += kBase + item->held_bytes();
      RC_ASSERT(counts.bytes == held);
      RC_ASSERT(counts.connections == all.open.size());
      RC_ASSERT(counts.bytes <= kMaxBytes);
      RC_ASSERT(counts.connections <= kMaxConnections);
    }
  }));
}

// Guards against a crowd that keeps a newcomer out by staying open, in any
// phase but a running request.
TEST_CASE("a new connection takes the place of the most idle one") {
  crowd all(3, 100 * kBase);
  auto* known = all.Open("a", 0);
  known->SetPhase(connection_phase::kKept, 0);
  auto* running = all.Open("a", 0);
  running->SetPhase(connection_phase::kRunning, 0);
  auto* silent = all.Open("a", 0);
  CHECK(all.Open("a", 100) == nullptr);
  CHECK(all.account->counts(port_class::kGeneral).refused_connections == 1);
  auto* newcomer = all.Open("a", kIdleMs);
  REQUIRE(newcomer != nullptr);
  CHECK(silent->IsClosing());
  CHECK_FALSE(known->IsClosing());
  all.Reap();
  newcomer->SetPhase(connection_phase::kRunning, kIdleMs);
  CHECK(all.Open("a", kIdleMs) != nullptr);
  CHECK(known->IsClosing());
  CHECK_FALSE(running->IsClosing());
}

// Guards against a crowd whose bodies are read only to be dropped, and that
// keeps newcomers out by sending them without a pause.
TEST_CASE("a refused request gives way at once") {
  crowd all(2, 100 * kBase);
  all.Open("a", 0)->SetPhase(connection_phase::kReading, 0);
  auto* refused = all.Open("a", 0);
  refused->SetPhase(connection_phase::kRefused, 0);
  CHECK(all.Open("a", 0) != nullptr);
  CHECK(refused->IsClosing());
}

// Guards against one address that takes all places while others want some.
TEST_CASE("an address over its share gives way to another one at once") {
  crowd all(4, 100 * kBase);
  for (int i = 0; i < 4; ++i) CHECK(all.Open("crowd", 1'000) != nullptr);
  CHECK(all.Open("crowd", 1'000) == nullptr);
  CHECK(all.Open("other", 1'000) != nullptr);
  all.Reap();
  CHECK(all.Open("other", 1'000) != nullptr);
  all.Reap();
  CHECK(all.Open("other", 1'000) == nullptr);
}

// Guards against large bodies that keep small requests out, and crowds at the
// callers' port that keep the readiness check out.
TEST_CASE("small requests and reserved ports have memory beside large bodies") {
  crowd all(100, 1'000 * kBase);
  auto* large = all.Open("a", 0);
  CHECK(large->Reserve(900 * kBase, 0) == reserve_result::kRefused);
  CHECK(large->Reserve(700 * kBase, 0) == reserve_result::kGranted);
  large->SetPhase(connection_phase::kRunning, 0);
  auto* small = all.Open("a", 0);
  CHECK(small->Reserve(kBase, kIdleMs) == reserve_result::kGranted);
  CHECK(small->Reserve(700 * kBase, kIdleMs) == reserve_result::kRefused);
  auto* check = all.Open("a", 0, port_class::kReserved);
  CHECK(check->Reserve(700 * kBase, 0) == reserve_result::kGranted);
}

TEST_CASE("without descriptors the most idle connection of any port closes") {
  crowd all(100, 100 * kBase);
  auto* check = all.Open("a", 0, port_class::kReserved);
  CHECK_FALSE(all.account->FreeDescriptor(0));
  CHECK(all.account->FreeDescriptor(kIdleMs));
  CHECK(check->IsClosing());
  CHECK_FALSE(all.account->FreeDescriptor(kIdleMs));
}

// Guards against peers that hold a connection by a trickle of bytes, or stop
// after a fast start, and against cutting one on a slow link.
TEST_CASE("a pace tells a stalled peer from a slow one") {
  CHECK(rc::check([] {
    const auto timeout = *rc::gen::inRange<monotonic_ms>(1, 60'000);
    transfer_pace slow(0);
    transfer_pace trickle(0);
    monotonic_ms now = 0;
    const auto steps = *rc::gen::inRange(1, 50);
    for (int i = 0; i < steps; ++i) {
      const auto step = *rc::gen::inRange<monotonic_ms>(1, timeout + 1);
      now += step;
      RC_ASSERT(slow.DueAt(timeout) >= now);
      slow.Add(
          static_cast<std::size_t>(step * transfer_pace::kOrdinaryBytesPerMs),
          now);
      trickle.Add(1, now);
      RC_ASSERT(trickle.BehindMs(now) >= now - steps);
      RC_ASSERT(slow.BehindMs(now) == 0);
    }
    RC_ASSERT(slow.BehindMs(now + timeout) == timeout);
    RC_ASSERT(slow.DueAt(timeout) == now + timeout);
  }));
}

TEST_CASE("an account's limits follow the descriptors and keep a reserve") {
  const connection_settings settings;
  const auto limits = MakeAccountLimits(settings, 3'075, true);
  CHECK(limits.general.max_connections == 1'730);
  CHECK(limits.reserved.max_connections == 115);
  CHECK(limits.general.max_bytes + limits.reserved.max_bytes ==
        settings.max_memory_bytes);
  // One body of the documented size, with its copy, fits beside small requests.
  CHECK(limits.general.max_bytes * 3 / 4 > (2UL * 4 << 20U) + kBase);
  CHECK(limits.reserved.max_bytes * 3 / 4 > (4UL << 20U) + kBase);
  const auto one_port = MakeAccountLimits({100, 16UL << 20U}, 3'075, false);
  CHECK(one_port.general == port_limits{100, 16UL << 20U});
}

TEST_CASE("a limit above what the host has is refused at start") {
  const auto read = [](const std::string& text) {
    connection_settings settings;
    ReadSettings(text, [&](object_reader& root) {
      settings = ReadConnectionSettings(root);
    });
    return settings;
  };
  CHECK(read("{}") == connection_settings{});
  CHECK(read(R"({"connections":{"max":64}})").max_connections == 64);
  const auto above_host = std::to_string(HostMemoryBytes() + 1);
  for (const auto& text :
       {R"({"connections":{"max_memory_bytes":)" + above_host + "}}",
        std::string(R"({"connections":{"max_memory_bytes":1000}})"),
        R"({"connections":{"max":)" + std::to_string(MaxDescriptors() + 1) +
            "}}",
        std::string(R"({"connections":{"unknown":1}})")}) {
    CHECK_THROWS_AS(read(text), settings_invalid);
  }
}

}  // namespace lovagedale::testing
