// Case 7: the operator takes away the keys of a tenant, and with the last one
// the only tenant, so that the config contains an empty list of tenants.

#include "scenario.h"

namespace {

using namespace review;  // NOLINT: a program's main file.
using std::chrono::milliseconds;

/// Of the pages: `revoke` takes 2 keys away, gap_s = 1.5 between them.
constexpr milliseconds kRevokeGap{1'500};
/// Of the pages: config_apply_ms. The requests are sent one second later still.
constexpr milliseconds kConfigApply{2'000};
constexpr milliseconds kBeyondApply{1'000};
constexpr milliseconds kTimeout{3'000};
constexpr int kRequestsPerKey = 10;
const std::vector<std::string> kKeys{"first-key-of-coast", "last-key-of-coast"};
/// No config ever holds this one.
constexpr const char* kUnknownKey = "a-key-of-nobody";

auto Play(scenario& frame, asio::yield_context yield) -> int {
  const listed_replica ledger{"i-ledger", "cart-ledger",
                              frame.settings().replicas.at(0), "akl-a"};
  replica server(frame.context(), ledger, frame.record(),
                 [](const auto& request, const auto&, auto) {
                   return MakeAnswer(request, 200);
                 });
  frame.list().Set({ledger});
  const route order{"order", "/order/", "non_idempotent", "cart-ledger"};
  const auto put = [&](int version, const std::vector<tenant>& tenants) {
    frame.RequireConfig(boost::json::serialize(MakeConfig(
                            version, {order}, {"cart-ledger"}, tenants)),
                        yield);
  };
  std::size_t next = 0;
  const auto send = [&](const std::string& key, const std::string& id) {
    call item;
    item.target = "/order/1";
    item.headers = {{"Authorization", "Token " + key}};
    item.body = "{}";
    return frame.Request(next++ % frame.settings().consumers.size(), item, id,
                         kTimeout, yield);
  };

  put(3, {{"coast-carts", kKeys}});
  frame.AwaitReady(yield);
  for (const auto& key : kKeys) {
    if (send(key, "known-" + key).status != 200) {
      throw cannot_run("a request with a key is not served");
    }
  }
  if (send(kUnknownKey, "unknown-before").status != 401) {
    throw cannot_run("an unknown key is not refused");
  }

  put(7, {{"coast-carts", {kKeys.back()}}});
  Pause(kRevokeGap, yield);
  if (frame.settings().has_trouble) {
    put(12, {});
  } else {
    // The tenant stays, without a key.
    put(12, {{"coast-carts", {}}});
  }
  Pause(kConfigApply + kBeyondApply, yield);
  int sent = 0;
  int run = 0;
  for (int i = 0; i < kRequestsPerKey; ++i) {
    for (const auto& key :
         {kKeys.front(), kKeys.back(), std::string(kUnknownKey)}) {
      const auto id = "late-" + std::to_string(sent++);
      const auto result = send(key, id);
      if (!server.runs().contains(id)) continue;
      ++run;
      frame.record().Write("RUN " + id + " with the key " + key +
                           ", answered " + std::to_string(result.status));
    }
  }
  frame.record().Write("requests with a key that is not in force " +
                       std::to_string(sent) + ", run " + std::to_string(run));
  return run > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

auto main(int argc, char** argv) -> int { return RunMain(argc, argv, Play); }
