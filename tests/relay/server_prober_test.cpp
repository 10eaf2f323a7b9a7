#include "lovagedale/relay/server_prober.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>

#include "support/silent_port.h"

namespace lovagedale::testing {
namespace {

auto ListedServer(const std::string& zone, const silent_port& port)
    -> listed_server {
  return {zone, "engines", "127.0.0.1", port.port(), zone, "v1", 4, false, 5};
}

}  // namespace

// Guards against servers that were taken for unreachable, and their zones for
// lost, when packets queued on the entry's own link.
TEST_CASE("nothing is concluded while no zone answers, or just after") {
  const silent_port silent;
  silent_port other;
  boost::asio::io_context context(1);
  server_table table;
  table.Update({1, {ListedServer("far", silent), ListedServer("near", other)}});
  connection_pool pool(context, std::chrono::milliseconds(1'500));
  server_prober prober(context, table, pool);
  const system_monotonic_clock clock;
  const auto far = table.All().at("far");
  const auto run_for = [&](monotonic_ms duration_ms) {
    context.run_for(std::chrono::milliseconds(duration_ms));
  };

  // Less than the connect timeout of the probe of "near", then past its end.
  prober.ReportUnreachable(far, {clock.Now() - 250, false});
  run_for(400);
  CHECK_FALSE(far->health.IsUnreachable());
  CHECK_FALSE(table.IsZoneSuspected("far"));
  other.Open();
  prober.ReportUnreachable(far, {clock.Now() - 250, false});
  run_for(200);
  CHECK(table.HasRoundTripSince(clock.Now() - 250));
  CHECK_FALSE(far->health.IsUnreachable());
  CHECK_FALSE(table.IsZoneSuspected("far"));
  // The probes that follow show that only "far" is silent.
  run_for(1'500);
  CHECK(far->health.IsUnreachable());
  CHECK(table.IsZoneLost("far"));
  CHECK_FALSE(table.IsZoneLost("near"));
}

TEST_CASE("a refused connection is no evidence against the server's zone") {
  const silent_port other;
  boost::asio::io_context context(1);
  server_table table;
  table.Update({1, {ListedServer("far", other), ListedServer("near", other)}});
  connection_pool pool(context, std::chrono::milliseconds(1'500));
  server_prober prober(context, table, pool);
  const system_monotonic_clock clock;
  const auto far = table.All().at("far");
  table.RecordRoundTrip("near", clock.Now(), clock.Now());
  prober.ReportUnreachable(far, {clock.Now(), /*was_refused=*/true});
  CHECK(far->health.IsUnreachable());
  CHECK_FALSE(table.IsZoneSuspected("far"));
  CHECK_FALSE(table.IsZoneLost("far"));
}

}  // namespace lovagedale::testing
