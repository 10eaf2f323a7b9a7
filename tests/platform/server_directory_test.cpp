#include "server_directory.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {
namespace {

using platform::ParseServerListPage;

constexpr const char* kEntry =
    R"({"backend":"engines","address":"10.0.0.9:8080","zone":"a",)"
    R"("version":"v1","capacity":64,"state":"ready","cold_remaining_ms":0,)"
    R"("id":"i-1","born":1700000000000})";

auto Page(const std::string& entries, const std::string& next = "null")
    -> std::string {
  return R"({"instances":[)" + entries + R"(],"next":)" + next + "}";
}

auto With(const std::string& from, const std::string& to) -> std::string {
  std::string entry = kEntry;
  entry.replace(entry.find(from), from.size(), to);
  return entry;
}

}  // namespace

TEST_CASE("a page is parsed into its servers and the next page's token") {
  const auto page = ParseServerListPage(Page(kEntry, R"("p-50")"));
  REQUIRE(page.servers.size() == 1);
  CHECK(page.servers[0] == listed_server{"i-1", "engines", "10.0.0.9", 8080,
                                         "a", "v1", 64, false, 1700000000000});
  CHECK(page.next_page_token == "p-50");
  CHECK_FALSE(ParseServerListPage(Page(kEntry)).next_page_token);
  CHECK(ParseServerListPage(Page(With(R"("ready")", R"("draining")")))
            .servers[0]
            .leaving);
}

TEST_CASE("an invalid entry is skipped and the others are kept") {
  const std::string list[] = {
      "7",
      "{}",
      With(R"("ready")", R"("resting")"),
      With(R"("capacity":64)", R"("capacity":"many")"),
      With(R"("capacity":64)", R"("capacity":0)"),
      With("10.0.0.9:8080", "10.0.0.9"),
      With("10.0.0.9:8080", "10.0.0.9:99999"),
      With(R"("id":"i-1")", R"("id":7)"),
  };
  for (const auto& entry : list) {
    const auto page = ParseServerListPage(Page(entry + "," + kEntry));
    CHECK(page.servers.size() == 1);
    CHECK(page.skipped_entries == 1);
  }
}

TEST_CASE("an invalid page is an error, not an empty list") {
  CHECK_THROWS(ParseServerListPage(""));
  CHECK_THROWS(ParseServerListPage("{}"));
  CHECK_THROWS(ParseServerListPage(R"({"instances":3})"));
}

}  // namespace lovagedale::testing
