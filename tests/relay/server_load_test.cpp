#include "lovagedale/relay/server_load.h"

#include <doctest/doctest.h>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/relay/server_table.h"

namespace lovagedale::testing {

TEST_CASE("an entry's loads are summed until its report expires") {
  server_load_total total;
  total.Report("e1", {{7, 100}, {9, 50}}, 1'000);
  total.Report("e2", {{7, 30}}, 2'000);
  CHECK(total.Total(2'000) == std::vector<server_load>{{7, 130}, {9, 50}});
  total.Report("e1", {{9, 20}}, 2'500);
  CHECK(total.Total(2'500) == std::vector<server_load>{{7, 30}, {9, 20}});
  CHECK(total.Total(4'100) == std::vector<server_load>{{9, 20}});
  total.Forget("e1");
  CHECK(total.Total(4'100).empty());
}

TEST_CASE("of many servers the busiest are reported, within the byte budget") {
  std::vector<server_load> loads;
  for (std::uint32_t server = 0; server < 600; ++server) {
    loads.push_back({server, 1 + server * 7 % 600});
  }
  server_load_total total;
  total.Report("e1", loads, 1'000);
  CHECK(total.Total(1'000).size() == 600);
  const auto reported = server_load_total::Busiest(total.Total(1'000));
  REQUIRE(reported.size() == server_load_total::kMaxServers);
  for (const auto& load : reported) {
    CHECK(load.work > 600 - server_load_total::kMaxServers);
  }
  // With 360 entries each one sends a heartbeat to the leader once a second.
  // Of the 4,096 bytes that control may use, 100 are free, and so are the 800
  // for evidence, which is not sent to entries that relay.
  CHECK(Encode(reported).size() < 900);
}

TEST_CASE("the longer the report period, the less reported work counts") {
  CHECK(ReportFraction(0) == ReportFraction(200));
  CHECK(ReportFraction(200) > ReportFraction(400));
  CHECK(ReportFraction(400) > ReportFraction(1'000));
  CHECK(ReportFraction(1'000) < 0.05);
}

TEST_CASE("an entry's own work is not counted twice") {
  server_table table;
  table.Update(
      {1, {{"s1", "engines", "10.0.0.1", 80, "a", "v1", 4, false, 5}}});
  const auto server = table.Servers("engines").front();
  CHECK_FALSE(table.AreLoadsFresh(1'000));
  CHECK(table.OwnLoads().empty());
  server->work = 400;
  const auto own = table.OwnLoads();
  REQUIRE(own.size() == 1);
  CHECK(own.front().work == 400);
  server->work = 900;  // more has come since the report
  table.UpdateLoads({{own.front().server, 1'000}}, 1'000);
  CHECK(server->OtherEntriesWork() == 600);
  CHECK(table.AreLoadsFresh(2'400));
  CHECK_FALSE(table.AreLoadsFresh(2'500));
  table.UpdateLoads({}, 3'000);
  CHECK(table.loads_period_ms() == 2'000);
  CHECK(server->OtherEntriesWork() == 0);
  // A server that is not among the reported ones counts as others' work.
  CHECK(table.OwnLoads(0).empty());
  table.UpdateLoads({{own.front().server, 1'000}}, 3'000);
  CHECK(server->OtherEntriesWork() == 1'000);
}

// Guards against a server that stays avoided when the leader says nothing more
// of it, or when an older leader does not know paces.
TEST_CASE("a server's pace is that of the last update") {
  server_table table;
  table.Update(
      {1, {{"s1", "engines", "10.0.0.1", 80, "a", "v1", 4, false, 5}}});
  const auto server = table.Servers("engines").front();
  const auto key = ServerKey(server->id_hash);
  CHECK(server->pace == 1);
  table.UpdateLoads({}, 1'000, {{key, 3.0}});
  CHECK(server->pace == 3);
  CHECK(server->fleet_work == 0);
  table.UpdateLoads({{key, 100}}, 2'000);
  CHECK(server->pace == 1);
  table.RecordPace(*server, 2.5, 2'000);
  CHECK(table.TakePaces(2'100) == std::vector<server_speed>{{key, 2.5}});
}

}  // namespace lovagedale::testing
