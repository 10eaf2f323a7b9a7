#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/relay/relay.h"
#include "lovagedale/route_entry/fleet_link.h"
#include "lovagedale/route_entry/route_entry.h"
#include "lovagedale/standin/arrival_windows.h"
#include "support/local_control.h"
#include "support/plain_protocol.h"

namespace lovagedale::testing {

inline constexpr std::size_t kRelayingEntries = 6;
inline constexpr std::size_t kRelayedServers = 4;

/// Load of a relaying_fleet, and where its servers are. Its entries are in
/// zone-a.
struct relaying_load {
  double requests_per_s = 40;                   ///< of all entries together
  std::size_t local_servers = kRelayedServers;  ///< the others are in zone-b
  std::vector<service_cold_limit> cold_limits;
  /// For so long each server is listed as cold from the start on.
  monotonic_ms cold_at_start_ms = 0;
};

/// A server that may name a limit, and counts what arrives.
class limiting_server {
 public:
  limiting_server(boost::asio::io_context& context, std::mt19937_64& random)
      : context_(context),
        random_(random),
        server_(context, "127.0.0.1", 0, false, http_limits{},
                [this](http_exchange& exchange) { Handle(exchange); }) {}

  auto Listed(std::size_t index, const std::string& zone) const
      -> listed_server {
    listed_server listed;
    listed.id = "s" + std::to_string(index);
    listed.service = "engines";
    listed.host = "127.0.0.1";
    listed.port = server_.port();
    listed.zone = zone;
    listed.version = "v1";
    listed.capacity = 64;
    listed.cold_until_ms = cold_until_ms;
    return listed;
  }

  std::string limit;  ///< that it names; empty for none
  arrival_windows arrivals;
  arrival_windows arrivals_by_second{1'000};
  monotonic_ms cold_until_ms = 0;  ///< by the list

 private:
  static constexpr double kMeanAnswerMs = 200;
  /// Fraction of requests that fail; these answers name no limit.
  static constexpr double kFailedFraction = 0.1;

  auto Handle(http_exchange& exchange) -> void {
    arrivals.Add(clock_.Now());
    arrivals_by_second.Add(clock_.Now());
    header_list headers = {
        {"Id", std::string(exchange.request().Header("Id"))}};
    const bool fails = std::bernoulli_distribution(kFailedFraction)(random_);
    if (!limit.empty() && !fails) headers.emplace_back("Server-Limit", limit);
    const std::chrono::milliseconds delay(static_cast<int>(
        std::exponential_distribution<double>(1 / kMeanAnswerMs)(random_)));
    Pause(context_.get_executor(), delay, exchange.yield());
    exchange.Respond(fails ? 500 : 200, "text/plain", "x", headers);
  }

  boost::asio::io_context& context_;
  std::mt19937_64& random_;
  system_monotonic_clock clock_;
  http_server server_;
};

/// An entry that relays, with its link to control.
class relaying_entry {
 public:
  relaying_entry(boost::asio::io_context& context, std::size_t index,
                 std::uint16_t control_port, server_source source)
      : settings_(
            EntrySettings("entry-" + std::to_string(index), control_port)),
        state_(context, settings_.relay),
        link_(context, settings_, state_, std::move(source), [] {}),
        relay_(state_, {}),
        server_(context, "127.0.0.1", 0, false, http_limits{},
                [this](http_exchange& exchange) {
                  relay_.Handle(exchange, call_origin::kCaller);
                }) {
    link_.Start();
  }

  auto port() const -> std::uint16_t { return server_.port(); }
  auto Metrics() const -> std::string { return FormatRelayMetrics(state_); }
  auto IsReady() const -> bool {
    return state_.view && state_.view->routes.version() > 0 &&
           state_.servers.All().size() == kRelayedServers;
  }

 private:
  route_entry_settings settings_;
  relay_state state_;
  fleet_link link_;
  relay<plain_protocol> relay_;
  http_server server_;
};

/// Control, entries and servers on one thread, and a load on all entries.
class relaying_fleet {
 public:
  explicit relaying_fleet(const relaying_load& load = {})
      : load_(load),
        control_(
            context_, [this](boost::asio::yield_context) { return List(); },
            [this](const std::string&) { return load_.cold_limits; }) {
    for (std::size_t i = 0; i < kRelayedServers; ++i) {
      servers_.push_back(std::make_unique<limiting_server>(context_, random_));
      if (load.cold_at_start_ms > 0) {
        servers_[i]->cold_until_ms = clock_.Now() + load.cold_at_start_ms;
      }
    }
    RunUntil([this] { return control_.IsLeader(); });
    SetRoutes();
    for (std::size_t i = 0; i < kRelayingEntries; ++i) {
      entries_.push_back(std::make_unique<relaying_entry>(
          context_, i, control_.rpc_port(), EntrySource()));
    }
    RunUntil([this] {
      return std::all_of(entries_.begin(), entries_.end(),
                         [](const auto& entry) { return entry->IsReady(); });
    });
    SpawnTask(context_,
              [this](boost::asio::yield_context yield) { SendLoad(yield); });
  }
  ~relaying_fleet() { context_.stop(); }

  auto Run(std::chrono::milliseconds duration) -> void {
    context_.run_for(duration);
  }
  auto Server(std::size_t index) -> limiting_server& {
    return *servers_[index];
  }
  /// Counts arrivals at a server in windows that end from `delay` on.
  auto CountFrom(limiting_server& server, monotonic_ms delay) const -> void {
    server.arrivals.CountFrom(clock_.Now() + delay);
  }
  /// Counts arrivals at a server in seconds that end from `delay` on.
  auto CountSecondsFrom(limiting_server& server, monotonic_ms delay) const
      -> void {
    server.arrivals_by_second.CountFrom(clock_.Now() + delay);
  }
  /// From now on the list shows the server as cold for `duration_ms`.
  auto BeginCold(limiting_server& server, monotonic_ms duration_ms) const
      -> void {
    server.cold_until_ms = clock_.Now() + duration_ms;
  }
  auto Control() -> local_control& { return control_; }
  auto Entry(std::size_t index) const -> const relaying_entry& {
    return *entries_[index];
  }
  auto refused() const -> int { return refused_; }
  auto load() const -> const relaying_load& { return load_; }

 private:
  /// Where an entry without a leader reads the list.
  auto EntrySource() -> server_source {
    if (load_.cold_limits.empty()) return {};
    return [this](boost::asio::yield_context) { return List(); };
  }
  auto List() const -> std::vector<listed_server> {
    std::vector<listed_server> list;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      list.push_back(servers_[i]->Listed(
          i, i < load_.local_servers ? "zone-a" : "zone-b"));
    }
    return list;
  }
  auto SetRoutes() -> void {
    route_config config;
    config.version = 1;
    config.services.push_back({"engines", 100, {}});
    route item;
    item.name = "route";
    item.host = "h";
    item.prefix = "/";
    item.open = true;
    item.timeout_ms = 3'000;
    item.objective_ms = 500;
    item.max_attempts = 3;
    item.services.push_back({"engines", 1});
    config.routes.push_back(item);
    control_.SetRoutes(std::move(config));
  }
  template <typename Condition>
  auto RunUntil(Condition holds) -> void {
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!holds() && std::chrono::steady_clock::now() < deadline) {
      context_.run_for(std::chrono::milliseconds(10));
    }
    REQUIRE(holds());
  }
  auto SendLoad(boost::asio::yield_context yield) -> void {
    std::uint64_t next = 0;
    for (;;) {
      const std::chrono::milliseconds gap(
          static_cast<int>(std::exponential_distribution<double>(
              load_.requests_per_s / 1'000)(random_)));
      Pause(context_.get_executor(), gap, yield);
      const auto number = next++;
      SpawnTask(context_, [this, number](boost::asio::yield_context call) {
        SendOne(number, call);
      });
    }
  }
  auto SendOne(std::uint64_t number, boost::asio::yield_context yield) -> void {
    http_request request;
    request.method = "GET";
    request.target = "/";
    request.headers = {{"Host", "h"}, {"Id", "r" + std::to_string(number)}};
    const auto& entry = *entries_[number % entries_.size()];
    try {
      const auto answer = HttpCall(context_, "127.0.0.1", entry.port(), request,
                                   http_deadlines{}, yield);
      if (answer.head.status == 503) ++refused_;
    } catch (const http_call_error& error) {
      MESSAGE("a call broke off: ", error.what());
      ++refused_;
    }
  }

  relaying_load load_;
  boost::asio::io_context context_{1};
  std::mt19937_64 random_{20'261'204};
  system_monotonic_clock clock_;
  std::vector<std::unique_ptr<limiting_server>> servers_;
  local_control control_;
  std::vector<std::unique_ptr<relaying_entry>> entries_;
  int refused_ = 0;
};

}  // namespace lovagedale::testing
