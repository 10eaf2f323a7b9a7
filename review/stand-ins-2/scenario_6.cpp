// Case 6: a route to a service whose first replica is not listed yet is added,
// and removed by the next config while requests on it wait.

#include <algorithm>

#include "scenario.h"

namespace {

using namespace review;  // NOLINT: a program's main file.
using std::chrono::milliseconds;

/// Of the pages: the list lags by max_lag_ms.
constexpr milliseconds kListLag{800};
/// Of the pages: configs of a storm follow each other by gap_s = 0.33.
constexpr milliseconds kConfigGap{330};
constexpr std::int64_t kLossSlackMs = 200;
/// Of the rule: a request that has used seven tenths of its time doesn't count.
constexpr double kCountedFraction = 0.7;
constexpr milliseconds kOrderTime{60};
constexpr milliseconds kOrderGap{100};
constexpr milliseconds kNextGap{30};
constexpr milliseconds kTimeout{3'000};
constexpr int kSettleMs = 4'000;
const tenant kTenant{"coast-carts", {"key-of-coast-carts"}};

struct counts {
  int sent = 0;
  int lost = 0;
  int running = 0;
};

auto MakeCall(const std::string& target, bool names_any_model) -> call {
  call item;
  item.target = target;
  item.headers = {{"Authorization", "Token " + kTenant.keys.front()}};
  item.body = "{}";
  if (names_any_model) {
    item.headers.emplace_back("X-Lovagedale-Model", "*");
    item.headers.emplace_back("X-Lovagedale-Token-Usage", "300,20");
    item.headers.emplace_back("X-Lovagedale-Prefix-Hash",
                              "5c1e07a2:200,91bd:100");
  }
  return item;
}

/// Sends requests to all entries in turn until `goes_on` says no.
auto SendRequests(scenario& frame, const call& item, const std::string& prefix,
                  milliseconds gap, const std::shared_ptr<counts>& sums,
                  const std::function<bool()>& goes_on,
                  asio::yield_context yield) -> void {
  const auto entries = frame.settings().consumers.size();
  for (std::size_t i = 0; goes_on(); ++i) {
    ++sums->running;
    Spawn(frame.context(),
          [&frame, item, sums, entry = i % entries,
           id = prefix + std::to_string(i)](asio::yield_context session) {
            const auto result =
                frame.Request(entry, item, id, kTimeout, session);
            --sums->running;
            ++sums->sent;
            // The whole request has been taken, and its connection ended
            // without a whole answer.
            if (result.was_sent && !result.is_complete &&
                result.took_ms > kLossSlackMs &&
                static_cast<double>(result.took_ms) <
                    kCountedFraction * static_cast<double>(kTimeout.count())) {
              ++sums->lost;
              frame.record().Write("LOST " + id + ": " + result.failure);
            }
          });
    Pause(gap, yield);
  }
}

auto Play(scenario& frame, asio::yield_context yield) -> int {
  const auto& addresses = frame.settings().replicas;
  const listed_replica ledger{"i-ledger", "cart-ledger", addresses.at(0),
                              "akl-a"};
  const listed_replica pool{"i-pool", "lovage-pool", addresses.at(1), "akl-a"};
  const listed_replica next{"i-next", "lovage-next", addresses.at(2), "akl-b"};
  replica ledger_server(frame.context(), ledger, frame.record(),
                        [](const auto& request, const auto&, auto session) {
                          Pause(kOrderTime, session);
                          return MakeAnswer(request, 200);
                        });
  const request_handler generate = [](const auto& request, const auto&, auto) {
    return MakeStream(request, 5);
  };
  replica pool_server(frame.context(), pool, frame.record(), generate);
  frame.list().Set({ledger, pool});

  const route order{"order", "/order/", "non_idempotent", "cart-ledger"};
  const route chat{"chat", "/chat/", "streaming", "lovage-pool", 8000, 3, true};
  const route added{"added", "/added/", "streaming", "lovage-next",
                    8000,    3,         true};
  const std::vector<std::string> services{"cart-ledger", "lovage-pool"};
  auto more_services = services;
  more_services.emplace_back("lovage-next");
  const auto put = [&](int version, const std::vector<route>& routes,
                       const std::vector<std::string>& names) {
    frame.RequireConfig(
        boost::json::serialize(MakeConfig(version, routes, names, {kTenant})),
        yield);
  };
  put(3, {order, chat}, services);
  frame.AwaitReady(yield);

  // Ordinary traffic, of which nothing may be lost either.
  const auto sums = std::make_shared<counts>();
  const auto is_on = std::make_shared<bool>(true);
  for (const auto& [item, prefix] :
       {std::pair(MakeCall("/order/1", false), "order-"),
        std::pair(MakeCall("/chat/1", true), "chat-")}) {
    Spawn(frame.context(), [&frame, sums, is_on, item = item,
                            prefix = prefix](asio::yield_context session) {
      SendRequests(
          frame, item, prefix, kOrderGap, sums, [is_on] { return *is_on; },
          session);
    });
  }
  Pause(milliseconds(1'000), yield);
  if (sums->sent == 0 || sums->lost > 0) throw cannot_run("no calm traffic");

  // The first replica of a new service starts; the list lags.
  replica next_server(frame.context(), next, frame.record(), generate);
  Spawn(frame.context(), [&](asio::yield_context session) {
    Pause(kListLag, session);
    frame.list().Set({ledger, pool, next});
    frame.record().Write("the list shows the new service's replica");
  });
  put(8, {order, chat, added}, more_services);
  const auto removal_ms = frame.record().NowMs() + kConfigGap.count();
  Spawn(frame.context(), [&, removal_ms](asio::yield_context session) {
    SendRequests(
        frame, MakeCall("/added/1", true), "added-", kNextGap, sums,
        [&] { return frame.record().NowMs() < removal_ms; }, session);
  });
  Pause(kConfigGap, yield);
  if (frame.settings().has_trouble) {
    put(11, {order, chat}, services);
  } else {
    put(11, {order, chat, added}, more_services);
  }
  Pause(milliseconds(kSettleMs), yield);
  *is_on = false;
  while (sums->running > 0) Pause(milliseconds(50), yield);
  frame.record().Write("requests " + std::to_string(sums->sent) + ", lost " +
                       std::to_string(sums->lost));
  return sums->lost > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

auto main(int argc, char** argv) -> int { return RunMain(argc, argv, Play); }
