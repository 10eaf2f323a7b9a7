#include "lovagedale/entry/entry_process.h"

#include <boost/json.hpp>
#include <csignal>
#include <random>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/http/connection_settings.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kUnfinishedPublishPeriod{20};
constexpr milliseconds kDrainPollInterval{50};
/// Time for the first request on a connection that was just accepted.
constexpr milliseconds kFirstRequestTime{300};
/// Consecutive polls without unfinished requests or bills that end a drain.
constexpr int kIdlePollsToEndDrain = 4;

auto RandomSeed() -> std::uint64_t {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// An account of this entry's connections. Accounts are not thread-safe: each
/// traffic thread has its own, with its part of the descriptors.
auto MakeAccount(const entry_settings& settings, port_class ports)
    -> port_account {
  connection_settings connections;
  connections.max_memory_bytes = settings.limits.max_held_body_bytes;
  auto limits = MakeAccountLimits(connections, MaxDescriptors(),
                                  /*has_reserved_ports=*/true);
  limits.general.max_connections /= settings.traffic_threads;
  limits.general.max_bytes = settings.limits.max_held_body_bytes;
  return {std::make_shared<connection_account>(limits), ports};
}

}  // namespace

traffic_thread::traffic_thread(entry_state& state, std::size_t index,
                               std::uint64_t seed)
    : context_(state, index, seed),
      api_(context_),
      server_(
          context_.io, state.settings.host, state.settings.http_port,
          /*share_port=*/true, state.settings.limits,
          [this](http_exchange& exchange) { api_.Handle(exchange); },
          MakeAccount(state.settings, port_class::kGeneral)),
      timer_(context_.io) {}

traffic_thread::~traffic_thread() {
  context_.io.stop();
  if (thread_.joinable()) thread_.join();
}

auto traffic_thread::Start() -> void {
  PublishUnfinished();
  thread_ = std::thread([this] { context_.io.run(); });
}

auto traffic_thread::PublishUnfinished() -> void {
  unfinished_ = server_.ActiveRequests() + context_.bills.Pending();
  timer_.expires_after(kUnfinishedPublishPeriod);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) PublishUnfinished();
  });
}

auto traffic_thread::BeginDrain() -> void {
  asio::post(context_.io, [this] { server_.BeginDrain(); });
}

auto traffic_thread::CloseIdle() -> void {
  asio::post(context_.io, [this] { server_.CloseIdle(); });
}

auto traffic_thread::StopAccepting() -> void {
  asio::post(context_.io, [this] { server_.StopAccepting(); });
}

auto traffic_thread::Unfinished() const -> std::size_t { return unfinished_; }

entry_process::entry_process(entry_settings settings)
    : state_(std::move(settings)),
      link_(context_, state_, RandomSeed()),
      admin_(
          context_, state_.settings.host, state_.settings.admin_port,
          /*share_port=*/false, http_limits{},
          [this](http_exchange& exchange) { HandleAdmin(exchange); },
          MakeAccount(state_.settings, port_class::kReserved)),
      signals_(context_, SIGTERM, SIGINT) {
  state_.report_crash = [this](const crash_report& report) {
    link_.ReportCrash(report);
  };
  state_.report_cleared = [this](std::uint64_t fingerprint) {
    link_.ReportCleared(fingerprint);
  };
}

auto entry_process::Run() -> int {
  const auto seed = RandomSeed();
  for (std::size_t i = 0; i < state_.settings.traffic_threads; ++i) {
    threads_.push_back(std::make_unique<traffic_thread>(state_, i, seed));
  }
  link_.Start();
  for (const auto& thread : threads_) thread->Start();
  WaitForSignal();
  log_line(log_level::kInfo, "entry_started")
      .With("name", state_.settings.name)
      .With("zone", state_.settings.zone)
      .With("traffic_threads", state_.settings.traffic_threads);
  context_.run();
  threads_.clear();
  return exit_code_;
}

auto entry_process::Unfinished() const -> std::size_t {
  std::size_t sum = 0;
  for (const auto& thread : threads_) sum += thread->Unfinished();
  return sum;
}

auto entry_process::WaitForSignal() -> void {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (state_.draining.exchange(true)) {
      log_line(log_level::kWarning, "stopped_at_once")
          .With("signal", signal)
          .With("requests_cut", Unfinished());
      exit_code_ = 1;
      context_.stop();
      return;
    }
    log_line(log_level::kInfo, "draining").With("signal", signal);
    SpawnTask(context_, [this](asio::yield_context yield) { Drain(yield); });
    WaitForSignal();
  });
}

auto entry_process::Drain(asio::yield_context yield) -> void {
  for (const auto& thread : threads_) thread->BeginDrain();
  // The load balancer sends requests until it notices that this entry is
  // leaving. Callers that continue to send afterwards must not delay the
  // shutdown.
  Pause(context_.get_executor(), state_.settings.drain_delay, yield);
  for (const auto& thread : threads_) thread->StopAccepting();
  Pause(context_.get_executor(), kFirstRequestTime, yield);
  for (const auto& thread : threads_) thread->CloseIdle();
  const auto deadline =
      std::chrono::steady_clock::now() + state_.settings.drain_limit;
  int idle_polls = 0;
  while (idle_polls < kIdlePollsToEndDrain &&
         std::chrono::steady_clock::now() < deadline) {
    idle_polls = Unfinished() == 0 ? idle_polls + 1 : 0;
    Pause(context_.get_executor(), kDrainPollInterval, yield);
  }
  const auto cut = Unfinished();
  if (cut > 0) exit_code_ = 1;
  link_.Leave(yield);
  log_line(log_level::kInfo, "drained").With("requests_cut", cut);
  context_.stop();
}

auto entry_process::HandleAdmin(http_exchange& exchange) -> void {
  namespace json = boost::json;
  const auto path = exchange.request().Path();
  const auto table = state_.table.load();
  if (path == "/health") {
    exchange.RespondJson(
        state_.draining ? 503 : 200,
        state_.draining ? R"({"ok":false,"leaving":true})" : R"({"ok":true})");
  } else if (path == "/ready") {
    const bool ready = !table->view().document.empty() && !state_.draining;
    exchange.RespondJson(ready ? 200 : 503,
                         ready ? R"({"ready":true})" : R"({"ready":false})");
  } else if (path == "/metrics") {
    std::vector<std::shared_ptr<thread_metrics>> all;
    for (const auto& thread : threads_) all.push_back(thread->metrics());
    exchange.Respond(200, "text/plain; version=0.0.4", FormatMetrics(all), {});
  } else if (path == "/v1/status") {
    const auto now = system_monotonic_clock{}.Now();
    exchange.RespondJson(
        200, json::serialize(json::value{
                 {"name", state_.settings.name},
                 {"zone", state_.settings.zone},
                 {"revision", table->revision()},
                 {"permit_ms",
                  std::max<monotonic_ms>(0, state_.permit_ends_at - now)},
                 {"live_entries", state_.live_entries.load()},
                 {"draining", state_.draining.load()},
                 {"unfinished", Unfinished()}}));
  } else if (path == "/v1/decisions") {
    std::string body = R"({"decisions":[)";
    bool is_first = true;
    const auto id = std::string(exchange.request().Query("request"));
    for (const auto& decision : state_.decisions.Find(id)) {
      if (!is_first) body += ',';
      is_first = false;
      body += decision;
    }
    exchange.RespondJson(200, body + "]}");
  } else {
    exchange.RespondJson(404, R"({"error":{"type":"not_found"}})");
  }
}

}  // namespace lovagedale
