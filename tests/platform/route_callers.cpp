// Callers of entries that relay: sends requests at a rate to one entry, once
// each, and checks the answers.
//   route_callers PORT PATH PER_SECOND SECONDS
// Prints
// {"sent":N,"served":N,"refused":N,"failed":N,"wrong":N,"slowest_refusal_ms":N}:
// refused are 503s, wrong are successes with another body than the server's.

#include <boost/json.hpp>
#include <iostream>
#include <random>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/common/time.h"
#include "lovagedale/http/client.h"
#include "wire.h"

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.
namespace wire = platform::wire;

constexpr int kEvents = 10;

struct call_counts {
  int sent = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;
  int wrong = 0;
  monotonic_ms slowest_refusal_ms = 0;
};

auto ExpectedBody(const std::string& path, const std::string& id)
    -> std::string {
  if (!path.starts_with("/stream/")) return "answer to " + id;
  std::string body;
  for (int i = 1; i <= kEvents; ++i) {
    body += "id: " + std::to_string(i) + "\ndata: " + id + "\n\n";
  }
  return body;
}

auto SendOne(boost::asio::io_context& context, std::uint16_t port,
             const std::string& path, const std::string& id,
             call_counts& counts, boost::asio::yield_context yield) -> void {
  const system_monotonic_clock clock;
  http_request request;
  request.method = "POST";
  request.target = path;
  request.headers = {{"Host", "h.example"},
                     {std::string(wire::kRequestId), id},
                     {std::string(wire::kDeadlineMs), "3000"}};
  request.body = "x";
  ++counts.sent;
  const auto began_ms = clock.Now();
  try {
    const auto answer =
        HttpCall(context, "127.0.0.1", port, request, http_deadlines{}, yield);
    if (IsSuccess(answer.head.status)) {
      const bool is_right =
          answer.body == ExpectedBody(path, id) &&
          answer.head.Header("X-Lovagedale-Replica-Signature") ==
              "signed-" + id;
      ++(is_right ? counts.served : counts.wrong);
    } else if (answer.head.status == 503) {
      ++counts.refused;
      counts.slowest_refusal_ms =
          std::max(counts.slowest_refusal_ms, clock.Now() - began_ms);
    } else {
      ++counts.failed;
    }
  } catch (const http_call_error&) {
    // Counted: a connection that breaks is a failed call.
    ++counts.failed;
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 5) {
    std::cerr << "usage: route_callers PORT PATH PER_SECOND SECONDS\n";
    return 2;
  }
  const auto port = static_cast<std::uint16_t>(std::stoi(argv[1]));
  const std::string path(argv[2]);
  const int per_second = std::stoi(argv[3]);
  const int total = per_second * std::stoi(argv[4]);
  boost::asio::io_context context(1);
  call_counts counts;
  const auto run = std::random_device()();
  SpawnTask(context, [&](boost::asio::yield_context yield) {
    for (int i = 0; i < total; ++i) {
      const auto id = ToHex(MixBits((std::uint64_t{run} << 20U) + i));
      SpawnTask(context, [&, id](boost::asio::yield_context call) {
        SendOne(context, port, path, id, counts, call);
      });
      Pause(context.get_executor(),
            std::chrono::milliseconds(1'000 / per_second), yield);
    }
  });
  context.run();
  std::cout
      << boost::json::value{{"sent", counts.sent},
                            {"served", counts.served},
                            {"refused", counts.refused},
                            {"failed", counts.failed},
                            {"wrong", counts.wrong},
                            {"slowest_refusal_ms", counts.slowest_refusal_ms}}
      << std::endl;
  return 0;
}
