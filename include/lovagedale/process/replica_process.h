#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <concepts>

#include "lovagedale/common/log.h"
#include "lovagedale/control/settings.h"
#include "lovagedale/http/server.h"
#include "lovagedale/process/process.h"

namespace lovagedale {

/// A service that runs on one thread and can be stopped gracefully.
template <typename T>
concept stoppable_service = requires(T& service, http_exchange& exchange) {
  { service.Start() } -> std::same_as<void>;
  { service.BeginStop() } -> std::same_as<void>;
  { service.MayStop() } -> std::same_as<bool>;
  { service.HandleHttp(exchange) } -> std::same_as<void>;
};

/// Serves HTTP and runs the event loop until a signal has arrived and the
/// service's MayStop() returns true. A second signal stops it immediately.
template <stoppable_service Service>
class replica_process {
 public:
  replica_process(boost::asio::io_context& context, Service& service,
                  const replica_settings& settings)
      : context_(context),
        service_(service),
        connections_(std::make_shared<connection_account>(
            MakeAccountLimits(settings.connections, MaxDescriptors(),
                              /*has_reserved_ports=*/false))),
        http_(context, settings.host, settings.http_port, /*share_port=*/false,
              http_limits{},
              [this](http_exchange& exchange) { Handle(exchange); },
              {connections_, port_class::kGeneral}),
        signals_(context, SIGTERM, SIGINT, SIGHUP),
        timer_(context) {}

  /// Returns the exit code.
  auto Run() -> int {
    WaitForSignal();
    service_.Start();
    context_.run();
    return exit_code_;
  }

 private:
  static constexpr std::chrono::milliseconds kStopPollPeriod{50};
  /// Time to send the last answers and to transfer leadership before exiting.
  static constexpr std::chrono::milliseconds kFinalAnswerDelay{300};

  auto Handle(http_exchange& exchange) -> void {
    if (exchange.request().Path() == "/metrics") {
      exchange.Respond(200, "text/plain; version=0.0.4",
                       FormatConnectionMetrics(*connections_), {});
    } else {
      service_.HandleHttp(exchange);
    }
  }

  auto WaitForSignal() -> void {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        // Replicas do not reload settings: those that may change are used only
        // when a replica first starts and joins its group.
        log_line(log_level::kInfo, "reload_signal_ignored")
            .With("signal", signal);
        WaitForSignal();
        return;
      }
      if (stopping_) {
        log_line(log_level::kWarning, "stopped_at_once").With("signal", signal);
        exit_code_ = kExitFailure;
        context_.stop();
        return;
      }
      stopping_ = true;
      log_line(log_level::kInfo, "stopping").With("signal", signal);
      service_.BeginStop();
      http_.BeginDrain();
      StopWhenAllowed();
      WaitForSignal();
    });
  }

  auto StopWhenAllowed() -> void {
    const bool may_stop = service_.MayStop();
    timer_.expires_after(may_stop ? kFinalAnswerDelay : kStopPollPeriod);
    timer_.async_wait([this, may_stop](boost::system::error_code error) {
      if (error) return;
      if (may_stop) {
        context_.stop();
      } else {
        StopWhenAllowed();
      }
    });
  }

  boost::asio::io_context& context_;
  Service& service_;
  const std::shared_ptr<connection_account> connections_;
  http_server http_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  bool stopping_ = false;
  int exit_code_ = kExitOk;
};

}  // namespace lovagedale
