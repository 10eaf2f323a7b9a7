// Case 9: a crowd of consumers sends whole requests of legal size that are
// made of very many short fields; their Connection header lists very many
// names.

#include <array>
#include <boost/asio/write.hpp>

#include "scenario.h"

namespace {

using namespace review;  // NOLINT: a program's main file.
using std::chrono::milliseconds;

constexpr int kConnections = 100;
/// Of each connection, between an answer and the next request.
constexpr milliseconds kCrowdPause{200};
constexpr milliseconds kCrowdTime{5'000};
/// Of the config: max_header_bytes is 16,384.
constexpr std::size_t kHeadBytes = 16'000;
constexpr std::size_t kFields = 2'000;
constexpr int kTimeoutMs = 1'500;
constexpr milliseconds kAnswerSlack{500};
constexpr milliseconds kCrowdBegun{500};
constexpr milliseconds kOrdinaryGap{50};
constexpr int kOrdinary = 30;
const tenant kTenant{"coast-carts", {"key-of-coast-carts"}};

struct counts {
  int sent = 0;
  int running = 0;
  int at_timeout = 0;  ///< unanswered at the route's timeout
  int late = 0;        ///< of these, unanswered half a second later
};

auto MakeHead(const std::string& id, bool has_names) -> std::string {
  std::string head = "POST /order/1 HTTP/1.1\r\nHost: " + std::string(kHost) +
                     "\r\nX-Lovagedale-Request-Id: " + id +
                     "\r\nAuthorization: Token " + kTenant.keys.front() +
                     "\r\nX-Lovagedale-Deadline-Ms: 1500\r\n"
                     "Content-Length: 1\r\n";
  if (!has_names) return head + "\r\nx";
  for (std::size_t i = 0; i < kFields; ++i) head += "a:\r\n";
  head += "Connection: b";
  while (head.size() + 2 <= kHeadBytes) head += ",b";
  return head + "\r\n\r\nx";
}

/// Sends one request on a connection of its own; whether an answer has begun.
auto SendCrowdRequest(scenario& frame, const std::string& id,
                      asio::yield_context yield) -> bool {
  const auto& entry = frame.settings().consumers.at(0);
  tcp::socket socket(frame.context());
  boost::system::error_code error;
  socket.async_connect({asio::ip::make_address(entry.host), entry.port},
                       yield[error]);
  const auto head = MakeHead(id, frame.settings().has_trouble);
  if (!error) asio::async_write(socket, asio::buffer(head), yield[error]);
  std::array<char, 1'024> bytes{};
  if (!error) socket.async_read_some(asio::buffer(bytes), yield[error]);
  return !error;
}

auto Play(scenario& frame, asio::yield_context yield) -> int {
  const listed_replica ledger{
      "i-ledger", "cart-ledger", frame.settings().replicas.at(0),
      "akl-a",    "v1",          64};
  replica server(frame.context(), ledger, frame.record(),
                 [](const auto& request, const auto&, auto) {
                   return MakeAnswer(request, 200);
                 });
  frame.list().Set({ledger});
  const route order{"order", "/order/", "non_idempotent", "cart-ledger",
                    kTimeoutMs};
  frame.RequireConfig(boost::json::serialize(
                          MakeConfig(3, {order}, {"cart-ledger"}, {kTenant})),
                      yield);
  frame.AwaitReady(yield);
  call item;
  item.target = "/order/1";
  item.headers = {{"Authorization", "Token " + kTenant.keys.front()}};
  item.body = "{}";
  if (frame.Request(0, item, "before", milliseconds(kTimeoutMs), yield)
          .status != 200) {
    throw cannot_run("an ordinary request is not served");
  }

  frame.record().Write("the crowd begins");
  const auto end_ms = frame.record().NowMs() + kCrowdTime.count();
  const auto answered = std::make_shared<int>(0);
  for (int i = 0; i < kConnections; ++i) {
    Spawn(frame.context(), [&frame, i, end_ms,
                            answered](asio::yield_context session) {
      for (int j = 0; frame.record().NowMs() < end_ms; ++j) {
        const auto id = "crowd-" + std::to_string(i) + "-" + std::to_string(j);
        if (SendCrowdRequest(frame, id, session)) ++*answered;
        Pause(kCrowdPause, session);
      }
    });
  }
  Pause(kCrowdBegun, yield);
  counts sums;
  for (int i = 0; i < kOrdinary; ++i) {
    ++sums.running;
    Spawn(frame.context(), [&, i](asio::yield_context session) {
      const auto result =
          frame.Request(0, item, "ordinary-" + std::to_string(i),
                        milliseconds(kTimeoutMs), session);
      --sums.running;
      ++sums.sent;
      if (result.took_ms <= kTimeoutMs) return;
      ++sums.at_timeout;
      // Request waits for a little longer than the timeout plus the slack.
      if (!result.is_complete ||
          result.took_ms > kTimeoutMs + kAnswerSlack.count()) {
        ++sums.late;
      }
    });
    Pause(kOrdinaryGap, yield);
  }
  while (sums.running > 0) Pause(milliseconds(50), yield);
  frame.record().Write("answers to the crowd so far " +
                       std::to_string(*answered));
  frame.record().Write(
      "ordinary requests " + std::to_string(sums.sent) +
      ", unanswered at the timeout " + std::to_string(sums.at_timeout) +
      ", of these still unanswered 0.5 s later " + std::to_string(sums.late));
  return 2 * sums.late > sums.at_timeout ? kRuleBroken : kRuleHeld;
}

}  // namespace

auto main(int argc, char** argv) -> int { return RunMain(argc, argv, Play); }
