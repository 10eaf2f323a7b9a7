#pragma once

#include <csignal>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/route_entry/route_entry.h"

namespace lovagedale {

inline constexpr std::chrono::milliseconds kDrainPoll{50};
/// Consecutive polls without a call that end a drain: callers may keep a
/// connection open for a moment between two calls.
inline constexpr int kMinIdlePolls = 20;
/// Calls that still run are ended this long before the grace time ends, so that
/// their callers get an answer, or see a closed connection.
inline constexpr std::chrono::milliseconds kEndMargin{400};
/// Part of kEndMargin in which the calls' last answers are sent.
inline constexpr std::chrono::milliseconds kLastAnswersTime{300};
inline constexpr std::chrono::milliseconds kLastAnswersPoll{20};
/// Interval between reads of the settings file, which may change without a
/// signal.
inline constexpr monotonic_ms kReloadPeriodMs = 2'000;
inline constexpr std::chrono::milliseconds kCleanUpPeriod{1'000};
/// Time to send the last answers after the last call has ended.
inline constexpr std::chrono::milliseconds kFlushDelay{100};

template <call_protocol Protocol>
route_entry<Protocol>::route_entry(boost::asio::io_context& context,
                                   route_entry_settings settings,
                                   Protocol protocol, std::string ready_path,
                                   server_source source, reload_settings reload)
    : context_(context),
      settings_(std::move(settings)),
      reload_(std::move(reload)),
      ready_path_(std::move(ready_path)),
      state_(context, settings_.relay),
      relay_(state_, std::move(protocol)),
      link_(context, settings_, state_, std::move(source),
            [this] { ApplyLimits(); }),
      connections_(std::make_shared<connection_account>(
          MakeAccountLimits(settings_.connections, MaxDescriptors(),
                            /*has_reserved_ports=*/true))),
      callers_(context, settings_.callers.host, settings_.callers.port,
               /*share_port=*/false, http_limits{},
               [this](http_exchange& exchange) {
                 relay_.Handle(exchange, call_origin::kCaller);
               },
               {connections_, port_class::kGeneral}),
      ready_(context, settings_.ready.host, settings_.ready.port,
             /*share_port=*/false, http_limits{},
             [this](http_exchange& exchange) { HandleReady(exchange); },
             {connections_, port_class::kReserved}),
      metrics_(context, settings_.ready.host, settings_.metrics_port,
               /*share_port=*/false, http_limits{},
               [this](http_exchange& exchange) { HandleMetrics(exchange); },
               {connections_, port_class::kReserved}),
      signals_(context, SIGTERM, SIGINT, SIGHUP),
      clean_up_timer_(context) {
  if (settings_.entry_port == 0) return;
  entries_.emplace(
      context, settings_.callers.host, settings_.entry_port,
      /*share_port=*/false, http_limits{},
      [this](http_exchange& exchange) {
        relay_.Handle(exchange, call_origin::kEntry);
      },
      port_account{connections_, port_class::kGeneral});
}

template <call_protocol Protocol>
auto route_entry<Protocol>::Run() -> int {
  seeds_ = settings_.seeds;
  WaitForSignal();
  link_.Start();
  CleanUp();
  log_line(log_level::kInfo, "route_entry_started")
      .With("name", settings_.name)
      .With("zone", settings_.zone)
      .With("seeds", settings_.seeds.size());
  context_.run();
  log_line(log_level::kInfo, "stopped").With("exit_code", exit_code_);
  return exit_code_;
}

template <call_protocol Protocol>
auto route_entry<Protocol>::CleanUp() -> void {
  clean_up_timer_.expires_after(kCleanUpPeriod);
  clean_up_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    state_.pool.DropExpired();
    Reload(/*is_requested=*/false);
    CleanUp();
  });
}

template <call_protocol Protocol>
auto route_entry<Protocol>::Reload(bool is_requested) -> void {
  system_monotonic_clock clock;
  if (!is_requested && clock.Now() - reloaded_ms_ < kReloadPeriodMs) return;
  reloaded_ms_ = clock.Now();
  try {
    const auto settings = reload_();
    const bool have_seeds_changed = settings.seeds != seeds_;
    if (have_seeds_changed) link_.AddSeeds(settings.seeds);
    seeds_ = settings.seeds;
    if (have_seeds_changed || is_requested) {
      log_line(log_level::kInfo, "settings_reloaded")
          .With("seeds_changed", have_seeds_changed);
    }
  } catch (const std::exception& error) {
    log_line(log_level::kError, "settings_refused")
        .With("reason", error.what());
  }
}

template <call_protocol Protocol>
auto route_entry<Protocol>::ApplyLimits() -> void {
  const auto& limits = state_.view->routes.config().limits;
  http_limits applied;
  applied.max_header_bytes = limits.header_bytes;
  applied.max_body_bytes = limits.body_bytes;
  applied.header_timeout = std::chrono::milliseconds(limits.header_timeout_ms);
  applied.idle_timeout = std::chrono::milliseconds(limits.idle_timeout_ms);
  callers_.SetLimits(applied);
  if (entries_) entries_->SetLimits(applied);
}

template <call_protocol Protocol>
auto route_entry<Protocol>::WaitForSignal() -> void {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      Reload(/*is_requested=*/true);
    } else if (draining_) {
      log_line(log_level::kWarning, "stopped_at_once")
          .With("signal", signal)
          .With("calls", state_.active_calls);
      exit_code_ = 1;
      state_.stop_deadline_ms = 0;
      SpawnTask(context_, [this](boost::asio::yield_context yield) {
        EndCalls(yield);
        context_.stop();
      });
      return;
    } else {
      draining_ = true;
      link_.StopHelping();
      log_line(log_level::kInfo, "draining")
          .With("signal", signal)
          .With("calls", state_.active_calls);
      SpawnTask(context_,
                [this](boost::asio::yield_context yield) { Drain(yield); });
    }
    WaitForSignal();
  });
}

template <call_protocol Protocol>
auto route_entry<Protocol>::Drain(boost::asio::yield_context yield) -> void {
  const auto executor = context_.get_executor();
  system_monotonic_clock clock;
  const auto deadline =
      clock.Now() + settings_.grace.count() - kEndMargin.count();
  // The balancer sends new connections until it has seen that this entry is
  // leaving; callers keep existing ones until an answer closes them.
  Pause(executor, settings_.drain_delay, yield);
  state_.stop_deadline_ms = deadline;
  callers_.BeginDrain();
  callers_.CloseIdle();
  if (entries_) {
    entries_->BeginDrain();
    entries_->CloseIdle();
  }
  int idle_polls = 0;
  while (idle_polls < kMinIdlePolls && clock.Now() < deadline) {
    idle_polls = ActiveRequests() == 0 ? idle_polls + 1 : 0;
    Pause(executor, kDrainPoll, yield);
  }
  // New calls are now refused, so that callers use another entry, until no call
  // is active.
  state_.stop_deadline_ms = 0;
  callers_.StopAccepting();
  callers_.CloseIdle();
  if (entries_) {
    entries_->StopAccepting();
    entries_->CloseIdle();
  }
  do {
    Pause(executor, kFlushDelay, yield);
  } while (ActiveRequests() > 0 && clock.Now() < deadline);
  if (clock.Now() < deadline) link_.Leave(yield);
  if (ActiveRequests() > 0) EndCalls(yield);
  log_line(log_level::kInfo, "drained").With("calls_cut", state_.active_calls);
  context_.stop();
}

template <call_protocol Protocol>
auto route_entry<Protocol>::EndCalls(boost::asio::yield_context yield) -> void {
  log_line(log_level::kInfo, "calls_ended").With("calls", state_.active_calls);
  system_monotonic_clock clock;
  const auto deadline = clock.Now() + kLastAnswersTime.count();
  state_.EndCalls();
  do {
    Pause(context_.get_executor(), kLastAnswersPoll, yield);
  } while (ActiveRequests() > 0 && clock.Now() < deadline);
}

template <call_protocol Protocol>
auto route_entry<Protocol>::ActiveRequests() const -> std::size_t {
  return callers_.ActiveRequests() +
         (entries_ ? entries_->ActiveRequests() : 0);
}

template <call_protocol Protocol>
auto route_entry<Protocol>::HandleReady(http_exchange& exchange) -> void {
  if (exchange.request().Path() != ready_path_) {
    exchange.RespondJson(404, R"({"error":{"type":"not_found"}})");
    return;
  }
  const bool is_ready = !draining_ && state_.view &&
                        state_.view->routes.version() != 0 &&
                        !state_.servers.All().empty();
  exchange.RespondJson(is_ready ? 200 : 503,
                       is_ready ? R"({"ready":true})" : R"({"ready":false})");
}

template <call_protocol Protocol>
auto route_entry<Protocol>::HandleMetrics(http_exchange& exchange) -> void {
  exchange.Respond(
      200, "text/plain; version=0.0.4",
      FormatRelayMetrics(state_) + FormatConnectionMetrics(*connections_), {});
}

}  // namespace lovagedale
