// Case 8: a crowd of consumers sends heads of legal size that are made of very
// many short fields, and stops just short of their end. The script reads the
// memory of the entries afterwards, and plays this three times.

#include <boost/asio/write.hpp>

#include "scenario.h"

namespace {

using namespace review;  // NOLINT: a program's main file.
using std::chrono::milliseconds;

/// To each entry: below half of the descriptors of an edge machine.
constexpr int kConnections = 1'750;
/// Of the config: max_header_bytes is 16,384, header_timeout_ms 3,000.
constexpr std::size_t kHeadBytes = 16'200;
constexpr milliseconds kHeldFor{1'000};
/// The entries see that the crowd is gone.
constexpr milliseconds kSettle{1'000};
constexpr milliseconds kTimeout{3'000};
const tenant kTenant{"coast-carts", {"key-of-coast-carts"}};

/// A head without the empty line at its end.
auto MakeHead(bool has_short_fields) -> std::string {
  std::string head = "POST /order/1 HTTP/1.1\r\nHost: " + std::string(kHost) +
                     "\r\nContent-Length: 10\r\n";
  const std::string field = "a:\r\n";
  while (has_short_fields && head.size() + field.size() <= kHeadBytes) {
    head += field;
  }
  return head;
}

auto Play(scenario& frame, asio::yield_context yield) -> int {
  const listed_replica ledger{"i-ledger", "cart-ledger",
                              frame.settings().replicas.at(0), "akl-a"};
  replica server(frame.context(), ledger, frame.record(),
                 [](const auto& request, const auto&, auto) {
                   return MakeAnswer(request, 200);
                 });
  frame.list().Set({ledger});
  const route order{"order", "/order/", "non_idempotent", "cart-ledger"};
  frame.RequireConfig(boost::json::serialize(
                          MakeConfig(3, {order}, {"cart-ledger"}, {kTenant})),
                      yield);
  frame.AwaitReady(yield);
  call item;
  item.target = "/order/1";
  item.headers = {{"Authorization", "Token " + kTenant.keys.front()}};
  item.body = "{}";
  if (frame.Request(0, item, "before", kTimeout, yield).status != 200) {
    throw cannot_run("an ordinary request is not served");
  }

  const auto head = MakeHead(frame.settings().has_trouble);
  std::vector<tcp::socket> crowd;
  for (const auto& entry : frame.settings().consumers) {
    const tcp::endpoint address(asio::ip::make_address(entry.host), entry.port);
    for (int i = 0; i < kConnections; ++i) {
      boost::system::error_code error;
      auto& socket = crowd.emplace_back(frame.context());
      socket.async_connect(address, yield[error]);
      if (!error) asio::async_write(socket, asio::buffer(head), yield[error]);
      // The entry may close such a connection.
      if (error) crowd.pop_back();
    }
  }
  frame.record().Write(
      "crowd of " + std::to_string(crowd.size()) + " connections to " +
      std::to_string(frame.settings().consumers.size()) + " entries, " +
      std::to_string(head.size()) + " bytes of a head on each");
  Pause(kHeldFor, yield);
  crowd.clear();
  Pause(kSettle, yield);
  const auto after = frame.Request(0, item, "after", kTimeout, yield);
  frame.record().Write("an ordinary request after the crowd: " +
                       std::to_string(after.status));
  return after.status == 200 ? kRuleHeld : kRuleBroken;
}

}  // namespace

auto main(int argc, char** argv) -> int { return RunMain(argc, argv, Play); }
