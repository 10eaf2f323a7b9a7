// Stand-ins of the platform's servers and of its list of them, in one process.
//   listed_servers LIST_PORT ID:SERVICE:ZONE:PORT...
// A path that begins with /stream/ is answered with events, each other one with
// a short body, and after a while if it begins with /slow/. A request whose
// prompt has the part dead1 crashes its server, which is back after a while.
// GET /record on the list's port tells how often requests ran and servers
// crashed, GET /cold/MS lists all servers as cold for a time, GET /count/MS
// counts requests of each server after a time, and GET /seconds tells the total
// and the most in a second for the busiest server since.

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/http/server.h"
#include "lovagedale/standin/arrival_windows.h"
#include "wire.h"

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.
namespace json = boost::json;
namespace wire = platform::wire;

constexpr std::uint64_t kEvents = 10;
constexpr std::chrono::milliseconds kEventPause{30};
constexpr std::chrono::milliseconds kAnswerTime{20};
constexpr std::chrono::milliseconds kSlowAnswerTime{2'000};
constexpr std::chrono::milliseconds kDownTime{1'500};
/// The id of the part, in a prompt's list of parts.
constexpr std::string_view kDeadlyPart = ",dead1:";

struct stand_in {
  std::string id;
  std::string service;
  std::string zone;
  std::uint16_t port = 0;
};

class listed_servers {
 public:
  listed_servers(boost::asio::io_context& context, std::uint16_t list_port,
                 const std::vector<stand_in>& servers)
      : context_(context), servers_(servers) {
    Listen(list_port, [this](http_exchange& exchange) { List(exchange); });
    for (const auto& server : servers_) Start(server);
  }

 private:
  auto Listen(std::uint16_t port, http_handler handler) -> void {
    listeners_[port] = std::make_unique<http_server>(
        context_, "127.0.0.1", port, false, http_limits{}, std::move(handler));
  }
  auto Start(const stand_in& server) -> void {
    Listen(server.port,
           [this, &server](http_exchange& exchange) { Run(exchange, server); });
  }
  auto Crash(const stand_in& server) -> void {
    ++crashes_;
    listeners_.at(server.port)->CloseIdle();
    listeners_.erase(server.port);
    SpawnTask(context_, [this, &server](boost::asio::yield_context yield) {
      Pause(context_.get_executor(), kDownTime, yield);
      Start(server);
    });
  }
  auto List(http_exchange& exchange) -> void {
    if (exchange.request().Path() == "/record") {
      json::object record{{"orders", orders_.size()},
                          {"repeated", repeated_orders_},
                          {"crashes", crashes_}};
      for (const auto& [zone, count] : requests_by_zone_) {
        record["requests in " + zone] = count;
      }
      exchange.RespondJson(200, json::serialize(record));
      return;
    }
    if (HandleColdCall(exchange)) return;
    const auto now = clock_.Now();
    json::array instances;
    for (const auto& server : servers_) {
      instances.push_back(
          {{"id", server.id},
           {"backend", server.service},
           {"address", "127.0.0.1:" + std::to_string(server.port)},
           {"zone", server.zone},
           {"version", "v1"},
           {"capacity", 64},
           {"cold_remaining_ms",
            std::max<monotonic_ms>(0, cold_until_ms_ - now)},
           {"state", "ready"}});
    }
    exchange.RespondJson(
        200, json::serialize(json::value{{"instances", std::move(instances)},
                                         {"next", nullptr}}));
  }
  auto HandleColdCall(http_exchange& exchange) -> bool {
    const std::string path(exchange.request().Path());
    const auto argument = [&](const std::string& prefix) {
      return path.starts_with(prefix)
                 ? std::optional(std::stol(path.substr(prefix.size())))
                 : std::nullopt;
    };
    if (const auto cold_ms = argument("/cold/")) {
      cold_until_ms_ = clock_.Now() + *cold_ms;
    } else if (const auto delay_ms = argument("/count/")) {
      for (const auto& server : servers_) {
        arrivals_.try_emplace(server.id, kSecondMs)
            .first->second.CountFrom(clock_.Now() + *delay_ms);
      }
    } else if (path != "/seconds") {
      return false;
    }
    std::int64_t total = 0;
    std::size_t most = 0;
    for (const auto& [id, arrivals] : arrivals_) {
      total = std::max(total, arrivals.total());
      most = std::max(most, arrivals.most());
    }
    exchange.RespondJson(
        200, json::serialize(json::value{{"total", total}, {"most", most}}));
    return true;
  }
  auto Run(http_exchange& exchange, const stand_in& server) -> void {
    const auto& request = exchange.request();
    const auto id = std::string(request.Header(wire::kRequestId));
    if (request.Header(wire::kTargetServer) != server.id) {
      exchange.Respond(421, "", "", {{std::string(wire::kRequestId), id}});
      return;
    }
    if (!listeners_.contains(server.port) ||
        request.Header(wire::kPromptParts).find(kDeadlyPart) !=
            std::string_view::npos) {
      if (listeners_.contains(server.port)) Crash(server);
      exchange.CloseAfterResponse();
      return;
    }
    arrivals_.try_emplace(server.id, kSecondMs).first->second.Add(clock_.Now());
    const header_list headers = {
        {std::string(wire::kRequestId), id},
        {"X-Lovagedale-Replica-Signature", "signed-" + id}};
    ++requests_by_zone_[server.zone];
    if (request.Path().starts_with("/order/") && !orders_.insert(id).second) {
      ++repeated_orders_;
    }
    if (!request.Path().starts_with("/stream/")) {
      const bool is_slow = request.Path().starts_with("/slow/");
      Pause(context_.get_executor(), is_slow ? kSlowAnswerTime : kAnswerTime,
            exchange.yield());
      exchange.Respond(200, "text/plain", "answer to " + id, headers);
      return;
    }
    std::uint64_t last = 0;
    const auto after = request.Header(wire::kLastEventId);
    std::from_chars(after.data(), after.data() + after.size(), last);
    exchange.StartStream(200, "text/event-stream", headers);
    for (auto number = last + 1; number <= kEvents; ++number) {
      Pause(context_.get_executor(), kEventPause, exchange.yield());
      exchange.Write("id: " + std::to_string(number) + "\ndata: " + id +
                     "\n\n");
    }
    exchange.EndStream();
  }

  static constexpr monotonic_ms kSecondMs = 1'000;

  boost::asio::io_context& context_;
  system_monotonic_clock clock_;
  monotonic_ms cold_until_ms_ = 0;
  std::map<std::string, arrival_windows> arrivals_;  ///< by id, in seconds
  const std::vector<stand_in> servers_;
  std::map<std::uint16_t, std::unique_ptr<http_server>>
      listeners_;  ///< by port
  std::uint64_t crashes_ = 0;
  std::set<std::string> orders_;
  std::uint64_t repeated_orders_ = 0;
  std::map<std::string, std::uint64_t> requests_by_zone_;  ///< that ran
};

auto ParseServer(const std::string& text) -> stand_in {
  std::istringstream in(text);
  stand_in server;
  std::string port;
  std::getline(in, server.id, ':');
  std::getline(in, server.service, ':');
  std::getline(in, server.zone, ':');
  std::getline(in, port, ':');
  server.port = static_cast<std::uint16_t>(std::stoi(port));
  return server;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc < 2) {
    std::cerr << "usage: listed_servers LIST_PORT ID:SERVICE:ZONE:PORT...\n";
    return 2;
  }
  std::vector<stand_in> servers;
  for (int i = 2; i < argc; ++i) servers.push_back(ParseServer(argv[i]));
  boost::asio::io_context context(1);
  const listed_servers all(
      context, static_cast<std::uint16_t>(std::stoi(argv[1])), servers);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  std::_Exit(0);
}
