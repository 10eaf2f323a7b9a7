#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <thread>

#include "lovagedale/http/client.h"
#include "lovagedale/route_entry/route_entry.h"
#include "support/free_port.h"
#include "support/local_control.h"
#include "support/plain_protocol.h"
#include "support/raw_server.h"

namespace lovagedale::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDrainDelay{100};
constexpr milliseconds kGrace{1'500};

auto RouteOf(route_kind kind, bool resumable, const std::string& prefix)
    -> route {
  route item;
  item.name = prefix;
  item.host = "h";
  item.prefix = prefix;
  item.open = true;
  item.kind = kind;
  item.resumable = resumable;
  item.timeout_ms = 10'000;
  item.objective_ms = 300;
  item.pause_ms = 100;
  item.max_attempts = 3;
  item.services.push_back({"engines", 1});
  return item;
}

/// A control replica and an entry that relays, on a thread of their own, whose
/// servers run the given script.
class stopping_entry {
 public:
  stopping_entry(raw_server::script first, raw_server::script second)
      : first_(std::move(first)),
        second_(std::move(second)),
        control_(context_, [this](boost::asio::yield_context) {
          return std::vector<listed_server>{Listed("s1", first_),
                                            Listed("s2", second_)};
        }) {
    settings_ = EntrySettings("entry-1", control_.rpc_port());
    settings_.callers = {"127.0.0.1", FreePort()};
    settings_.ready = {"127.0.0.1", FreePort()};
    settings_.metrics_port = FreePort();
    settings_.drain_delay = kDrainDelay;
    settings_.grace = kGrace;
    entry_ = std::make_unique<route_entry<plain_protocol>>(
        context_, settings_, plain_protocol{}, "/ready", server_source{},
        [this] { return settings_; });
    while (!control_.IsLeader()) context_.run_for(milliseconds(10));
    route_config config;
    config.version = 1;
    config.services.push_back({"engines", 100, {}});
    config.routes = {RouteOf(route_kind::kOnce, false, "/once/"),
                     RouteOf(route_kind::kRepeatable, false, "/repeatable/"),
                     RouteOf(route_kind::kStream, true, "/stream/")};
    control_.SetRoutes(std::move(config));
    exit_code_ = std::async(std::launch::async, [this] {
      const auto code = entry_->Run();
      ended_ms_ = clock_.Now();
      return code;
    });
    while (!IsReady()) std::this_thread::sleep_for(milliseconds(20));
  }
  ~stopping_entry() { context_.stop(); }
  stopping_entry(const stopping_entry&) = delete;
  auto operator=(const stopping_entry&) -> stopping_entry& = delete;

  auto Stop() -> void {
    stopped_ms_ = clock_.Now();
    std::raise(SIGTERM);
  }
  auto ExitCode() -> int { return exit_code_.get(); }
  /// From the first signal to the end of the process's work.
  auto StopTime() const -> monotonic_ms { return ended_ms_ - stopped_ms_; }
  /// The status of a complete answer; 0 if the call broke off.
  auto Call(const std::string& prefix) const -> unsigned {
    http_request request;
    request.method = "POST";
    request.target = prefix + "x";
    request.headers = {{"Host", "h"}, {"Id", "r1"}, {"Limit", "10000"}};
    try {
      return BlockingHttpCall("127.0.0.1", settings_.callers.port, request, {})
          .head.status;
    } catch (const http_call_error&) {
      return 0;
    }
  }

 private:
  static auto Listed(const std::string& id, const raw_server& server)
      -> listed_server {
    return {id,    "engines", "127.0.0.1", server.port(), "zone-a", "v1", 4,
            false, 0};
  }
  auto IsReady() const -> bool {
    http_request request;
    request.method = "GET";
    request.target = "/ready";
    try {
      return BlockingHttpCall("127.0.0.1", settings_.ready.port, request, {})
                 .head.status == 200;
    } catch (const http_call_error&) {
      return false;
    }
  }

  system_monotonic_clock clock_;
  std::atomic<monotonic_ms> stopped_ms_ = 0;
  std::atomic<monotonic_ms> ended_ms_ = 0;
  raw_server first_;
  raw_server second_;
  boost::asio::io_context context_{1};
  local_control control_;
  route_entry_settings settings_;
  std::unique_ptr<route_entry<plain_protocol>> entry_;
  std::future<int> exit_code_;
};

auto BeSilent(raw_server::peer& client, const std::string& /*request*/)
    -> void {
  client.AwaitClose();
}

}  // namespace

// Guards against orders that are cut when the entry's time ends while a server
// is silent (LOST).
TEST_CASE("calls that still run when a stop's time ends get a whole answer") {
  for (const std::string prefix : {"/once/", "/repeatable/", "/stream/"}) {
    CAPTURE(prefix);
    stopping_entry entry(BeSilent, BeSilent);
    auto status =
        std::async(std::launch::async, [&] { return entry.Call(prefix); });
    std::this_thread::sleep_for(milliseconds(200));
    entry.Stop();
    // It may have run, so the answer must not promise otherwise.
    CHECK(status.get() == 502);
    CHECK(entry.ExitCode() == 0);
    CHECK(entry.StopTime() < kGrace.count());
  }
}

// Guards against calls that are cut without an answer by a second signal.
TEST_CASE("calls get a whole answer if a second signal ends a stop at once") {
  stopping_entry entry(BeSilent, BeSilent);
  auto status =
      std::async(std::launch::async, [&] { return entry.Call("/once/"); });
  std::this_thread::sleep_for(milliseconds(200));
  entry.Stop();
  std::this_thread::sleep_for(milliseconds(100));
  std::raise(SIGTERM);
  CHECK(status.get() == 502);
  CHECK(entry.ExitCode() == 1);
  CHECK(entry.StopTime() < kGrace.count() / 2);
}

// Guards against a stop that ends calls which could still be answered.
TEST_CASE("a stop waits for answers until its time ends") {
  const auto answer = [](raw_server::peer& client, const std::string&) {
    std::this_thread::sleep_for(milliseconds(800));
    client.Send(
        "HTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\n"
        "Content-Length: 4\r\n\r\ndone");
  };
  stopping_entry entry(answer, answer);
  auto status =
      std::async(std::launch::async, [&] { return entry.Call("/once/"); });
  std::this_thread::sleep_for(milliseconds(200));
  entry.Stop();
  CHECK(status.get() == 200);
  CHECK(entry.ExitCode() == 0);
}

}  // namespace lovagedale::testing
