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

}  // namespace lovagedale::testing
