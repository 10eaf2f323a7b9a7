// Case 7: some replicas send additional bytes after a few of their complete
// answers. The bytes look like a short answer, without the id and the signature
// that every answer of a replica has, and arrive where the next answer on the
// connection is expected.

#include <boost/asio/write.hpp>
#include <cstring>

#include "scenario.h"

namespace {

using namespace review;  // NOLINT: a program's main file.
using std::chrono::milliseconds;

constexpr milliseconds kAnswerTime{15};
constexpr milliseconds kRequestGap{15};
constexpr milliseconds kTimeout{3'000};
constexpr milliseconds kCalm{1'500};
/// Of the site file's largest dose of `garble`: share 0.6 of the replicas spoil
/// x = 0.03 of their answers for 5 s.
constexpr std::size_t kFaultyReplicas = 1;  // of 3, so a share of 0.33
constexpr int kAnswersPerSpoiled = 34;      // below 0.03 of them
constexpr milliseconds kFaultTime{5'000};
constexpr const char* kExtraBytes =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
    "extra";
const tenant kTenant{"coast-carts", {"key-of-coast-carts"}};

struct counts {
  int sent = 0;
  int running = 0;
  int served = 0;
  int wrong = 0;
};

/// Spoils one answer in kAnswersPerSpoiled while it is on.
class extra_bytes {
 public:
  explicit extra_bytes(recorder& record) : record_(record) {}

  auto SetOn(bool is_on) -> void { is_on_ = is_on; }
  auto spoiled() const -> int { return spoiled_; }

  /// The bytes follow the former answer of this connection.
  auto Send(const listed_replica& listing, const replica_connection& connection,
            asio::yield_context yield) -> void {
    if (!is_on_) return;
    ++answers_;
    if (connection.number == 0 ||
        answers_ < (spoiled_ + 1) * kAnswersPerSpoiled) {
      return;
    }
    ++spoiled_;
    record_.Write("replica " + listing.id +
                  " sends additional bytes after its former answer");
    boost::system::error_code ignored;
    asio::async_write(connection.socket,
                      asio::buffer(kExtraBytes, std::strlen(kExtraBytes)),
                      yield[ignored]);
  }

 private:
  recorder& record_;
  bool is_on_ = false;
  int answers_ = 0;  ///< while it is on
  int spoiled_ = 0;
};

auto Play(scenario& frame, asio::yield_context yield) -> int {
  extra_bytes extra(frame.record());
  std::vector<listed_replica> listings;
  std::vector<std::unique_ptr<replica>> servers;
  for (const auto& address : frame.settings().replicas) {
    const auto number = listings.size();
    listings.push_back({"i-" + std::to_string(number), "cart-ledger", address,
                        number == 0 ? "akl-a" : "akl-b"});
    const auto& listing = listings.back();
    servers.push_back(std::make_unique<replica>(
        frame.context(), listing, frame.record(),
        [&extra, listing, is_faulty = number < kFaultyReplicas](
            const auto& request, const auto& connection, auto session) {
          if (is_faulty) extra.Send(listing, connection, session);
          Pause(kAnswerTime, session);
          return MakeAnswer(request, 200);
        }));
  }
  frame.list().Set(listings);
  const route order{"order", "/order/", "non_idempotent", "cart-ledger"};
  const route check{"check", "/check/", "idempotent", "cart-ledger", 3000, 2};
  frame.RequireConfig(boost::json::serialize(MakeConfig(
                          3, {order, check}, {"cart-ledger"}, {kTenant})),
                      yield);
  frame.AwaitReady(yield);

  const auto sums = std::make_shared<counts>();
  const auto is_on = std::make_shared<bool>(true);
  for (const std::string prefix : {"order", "check"}) {
    Spawn(frame.context(), [&frame, sums, is_on,
                            prefix](asio::yield_context session) {
      for (int i = 0; *is_on; ++i) {
        ++sums->running;
        Spawn(frame.context(), [&frame, sums, prefix,
                                i](asio::yield_context request_session) {
          call item;
          item.target = "/" + prefix + "/1";
          item.headers = {{"Authorization", "Token " + kTenant.keys.front()}};
          item.body = "{}";
          const auto id = prefix + "-" + std::to_string(i);
          const auto result = frame.Request(
              static_cast<std::size_t>(i) % frame.settings().consumers.size(),
              item, id, kTimeout, request_session);
          --sums->running;
          ++sums->sent;
          if (!result.is_complete || result.status / 100 != 2) return;
          const bool is_whole =
              result.signature == SignatureOf(id) && result.body == BodyOf(id);
          ++(is_whole ? sums->served : sums->wrong);
          if (!is_whole) {
            frame.record().Write("WRONG success of " + id + ": signature \"" +
                                 result.signature + "\", body \"" +
                                 result.body + "\"");
          }
        });
        Pause(kRequestGap, session);
      }
    });
  }
  Pause(kCalm, yield);
  if (sums->served == 0 || sums->wrong > 0) throw cannot_run("no calm traffic");
  extra.SetOn(frame.settings().has_trouble);
  Pause(kFaultTime, yield);
  extra.SetOn(false);
  Pause(kCalm, yield);
  *is_on = false;
  while (sums->running > 0) Pause(milliseconds(50), yield);
  frame.record().Write("requests " + std::to_string(sums->sent) + ", served " +
                       std::to_string(sums->served) +
                       ", additional bytes sent " +
                       std::to_string(extra.spoiled()) +
                       " times, successes "
                       "that no replica gave " +
                       std::to_string(sums->wrong));
  if (frame.settings().has_trouble && extra.spoiled() == 0) return kNotRun;
  return sums->wrong > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

auto main(int argc, char** argv) -> int { return RunMain(argc, argv, Play); }
