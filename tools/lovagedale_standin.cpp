// lovagedale-standin: simulates an engine, a plain service, a rating service or
// a platform host list.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "lovagedale/common/log.h"
#include "lovagedale/common/settings_fields.h"
#include "lovagedale/process/process.h"
#include "lovagedale/standin/standin.h"

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.

constexpr std::chrono::milliseconds kDrainPoll{50};

/// Polls until no request runs or waits, then stops the event loop.
auto StopWhenIdle(boost::asio::io_context& context,
                  boost::asio::steady_timer& timer, const standin& fake)
    -> void {
  timer.expires_after(kDrainPoll);
  timer.async_wait([&](boost::system::error_code) {
    if (fake.UnfinishedRequests() == 0) {
      context.stop();
    } else {
      StopWhenIdle(context, timer, fake);
    }
  });
}

auto Run(const standin_settings& settings) -> int {
  InitializeLogging(settings.name, settings.log_file,
                    ParseLogLevel(settings.log_level));
  boost::asio::io_context context(1);
  standin fake(context, settings);
  http_server server(context, settings.host, settings.port,
                     /*share_port=*/false, http_limits{},
                     [&](http_exchange& exchange) { fake.Handle(exchange); });
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  boost::asio::steady_timer timer(context);
  signals.async_wait([&](boost::system::error_code, int) {
    fake.BeginLeaving();
    StopWhenIdle(context, timer, fake);
  });
  context.run();
  return kExitOk;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  return RunProcess(
      argc, argv,
      {"lovagedale-standin",
       "Simulates an engine, plain service, rating service or host list.",
       [](const std::string& text) { ParseStandinSettings(text); },
       [](const std::string& text) {
         return Run(ParseStandinSettings(text));
       }});
}
