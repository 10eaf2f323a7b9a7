#include "lovagedale/relay/server_table.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {
namespace {

auto Listed(bool leaving) -> server_list {
  listed_server server;
  server.id = "s1";
  server.service = "engines";
  server.host = "127.0.0.1";
  server.port = 9;
  server.leaving = leaving;
  return {1, {server}};
}

}  // namespace

// Guards against a server that is replaced under its id and address and stays
// out of use, as its predecessor has announced its end (CONFIG).
TEST_CASE("a server that is listed as ready after leaving is another one") {
  server_table table;
  table.Update(Listed(false));
  const auto first = table.Servers("engines").front();
  first->has_announced_leaving = true;
  first->paused_until_ms = 1'000'000;
  table.Update(Listed(false));
  CHECK(table.Servers("engines").front() == first);
  table.Update(Listed(true));
  CHECK(table.Servers("engines").front() == first);
  CHECK_FALSE(first->TakesCalls());
  table.Update(Listed(false));
  const auto second = table.Servers("engines").front();
  CHECK(second->TakesCalls());
  CHECK_FALSE(second->IsPaused(0));
}

// Guards against servers that crash as they get their usual part of the load
// after they could not be reached, or after their zone was evacuated.
TEST_CASE("servers that may have started anew count as cold") {
  server_table table;
  table.SetColdLimits({{"engines", 11, 3'000}});
  table.Update(Listed(false));
  auto& server = *table.Servers("engines").front();
  table.MarkReachable(server, 1'000);
  CHECK_FALSE(server.IsCold(1'000));
  server.health.MarkUnreachable(1'500);
  table.MarkReachable(server, 2'000);
  CHECK(server.IsCold(4'999));
  CHECK_FALSE(server.IsCold(5'000));

  table.SetEvacuatedZones({server.listed.zone}, 6'000);
  CHECK_FALSE(server.IsCold(6'000));
  table.SetEvacuatedZones({server.listed.zone}, 7'000);
  table.SetEvacuatedZones({}, 8'000);
  CHECK(server.IsCold(10'999));
  CHECK_FALSE(server.IsCold(11'000));

  // A server of a zone that answers again.
  const auto handle = table.Servers("engines").front();
  CHECK(table.LoseSilentZones(12'000) ==
        std::vector<std::string>{server.listed.zone});
  table.RecordReceived(server.listed.zone, 13'000);
  CHECK(server.IsCold(15'999));
  // Its successor under the same id shares the limit.
  table.Update(Listed(true));
  table.Update(Listed(false));
  CHECK(table.Servers("engines").front() != handle);
  CHECK(table.Servers("engines").front()->IsCold(15'999));
}

TEST_CASE("without a limit for its service no server is cold") {
  server_table table;
  auto list = Listed(false);
  list.servers.front().cold_until_ms = 9'000;
  table.Update(list);
  auto& server = *table.Servers("engines").front();
  server.health.MarkUnreachable(1'000);
  table.MarkReachable(server, 1'000);
  CHECK_FALSE(server.IsCold(1'000));
  table.SetColdLimits({{"engines", 11, 0}});
  CHECK(server.IsCold(8'999));
  CHECK_FALSE(server.IsCold(9'000));
  table.SetColdLimits({});
  CHECK_FALSE(server.IsCold(1'000));
}

}  // namespace lovagedale::testing
