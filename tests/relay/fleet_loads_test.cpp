#include "lovagedale/relay/fleet_loads.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/hash.h"

namespace lovagedale::testing {
namespace {

auto MakeList(std::size_t servers) -> server_list {
  server_list list{3, {}};
  for (std::size_t i = 0; i < servers; ++i) {
    listed_server server;
    server.id = "i-" + std::to_string(i);
    list.servers.push_back(server);
  }
  return list;
}

auto KeyOf(std::size_t i) -> std::uint32_t {
  return ServerKey(Hash64("i-" + std::to_string(i)));
}

}  // namespace

TEST_CASE("works and paces keep their value within the error of a byte") {
  const bool holds = rc::check([](std::uint32_t work) {
    const auto decoded = DecodeWork(EncodeWork(work));
    RC_ASSERT((work == 0) == (decoded == 0));
    const auto error = std::abs(static_cast<double>(decoded) - work);
    RC_ASSERT(error <= std::max(0.5, 0.05 * work));
  });
  CHECK(holds);
  CHECK(DecodePace(EncodePace(1)) == 1);
  for (const double pace : {0.2, 0.6, 1.6, 3.0, 8.0}) {
    CHECK(DecodePace(EncodePace(pace)) == doctest::Approx(pace).epsilon(0.025));
  }
  CHECK(DecodePace(EncodePace(1e9)) == doctest::Approx(8).epsilon(0.025));
  CHECK(DecodePace(EncodePace(std::nan(""))) == 1);
  for (int code = 0; code < 256; ++code) {
    const auto pace = DecodePace(static_cast<std::uint8_t>(code));
    CHECK((pace >= kMinPace && pace <= kMaxPace));
  }
}

// Guards against loads that reach only entries which got their list in the same
// order: an update appends changed servers.
TEST_CASE("positions do not depend on the order of the list") {
  auto list = MakeList(140);
  const server_positions positions(list);
  std::reverse(list.servers.begin(), list.servers.end());
  const server_positions other(list);
  for (std::size_t i = 0; i < 140; ++i) {
    CHECK(positions.PositionOf(KeyOf(i)) == other.PositionOf(KeyOf(i)));
  }
  CHECK_FALSE(positions.PositionOf(KeyOf(140)));
  CHECK_FALSE(positions.KeyAt(140));
}

// Guards against busy servers beyond the busiest 64 that entries take for idle.
TEST_CASE("all servers of a deployment after a release reach the entries") {
  const server_positions positions(MakeList(280));
  std::vector<server_load> loads;
  std::vector<server_speed> paces;
  for (std::size_t i = 0; i < 280; ++i) {
    loads.push_back({KeyOf(i), static_cast<std::uint32_t>(100 + i * 37)});
    if (i % 2 == 0) paces.push_back({KeyOf(i), 1.6});
  }
  const auto sent = EncodeFleetLoads(positions, loads, paces);
  const auto received =
      DecodeFleetLoads(positions, DecodeFixed<fleet_loads>(EncodeFixed(sent)));
  REQUIRE(received);
  CHECK(received->first.size() == 280);
  CHECK(received->second.size() == 140);
  for (const auto& load : received->first) {
    const auto original = std::find_if(
        loads.begin(), loads.end(),
        [&](const auto& item) { return item.server == load.server; });
    CHECK(load.work == doctest::Approx(original->work).epsilon(0.05));
  }
}

// Guards against loads and paces that are taken for those of other servers.
TEST_CASE("loads of another list are not used") {
  auto list = MakeList(10);
  const auto sent =
      EncodeFleetLoads(server_positions(list), {{KeyOf(1), 100}}, {});
  list.number = 4;
  CHECK_FALSE(DecodeFleetLoads(server_positions(list), sent));
  auto damaged = sent;
  damaged.works.resize(400, 77);
  damaged.paces.push_back({60'000, 3});
  const auto decoded =
      DecodeFleetLoads(server_positions(MakeList(10)), damaged);
  REQUIRE(decoded);
  CHECK(decoded->second.empty());
}

TEST_CASE("the bytes of 600 servers are bounded; the farthest paces are sent") {
  const server_positions positions(MakeList(600));
  std::vector<server_load> loads;
  std::vector<server_speed> paces;
  for (std::size_t i = 0; i < 600; ++i) {
    loads.push_back({KeyOf(i), 1'000});
    paces.push_back({KeyOf(i), i < 30 ? 3.0 : 1.2});
  }
  const auto sent = EncodeFleetLoads(positions, loads, paces);
  CHECK(sent.works.size() + 3 * sent.paces.size() <= fleet_loads::kMaxBytes);
  CHECK(std::count_if(
            sent.paces.begin(), sent.paces.end(),
            [](const auto& pace) { return DecodePace(pace.code) > 2; }) == 30);
  const auto report = EncodeEntryLoads(positions, loads, paces);
  CHECK(report.works.size() == entry_loads::kMaxWorks);
  CHECK(report.answers.size() == entry_loads::kMaxAnswers);
}

TEST_CASE("an entry reports its largest loads and latest answers") {
  const server_positions positions(MakeList(100));
  std::vector<server_load> loads;
  std::vector<server_speed> answers;
  for (std::size_t i = 0; i < 100; ++i) {
    loads.push_back({KeyOf(i), static_cast<std::uint32_t>(i + 1)});
    answers.push_back({KeyOf(i), i < 99 ? 1.0 : 4.0});
  }
  const auto report = EncodeEntryLoads(positions, loads, answers);
  for (const auto& load : DecodeWorks(positions, report)) {
    CHECK(load.work >= 66);
  }
  const auto decoded = DecodeAnswers(positions, report);
  CHECK(decoded.back().server == KeyOf(99));
  CHECK(decoded.back().pace == doctest::Approx(4).epsilon(0.03));
}

}  // namespace lovagedale::testing
