#include "server_directory.h"

#include <doctest/doctest.h>

#include "lovagedale/http/client.h"
#include "support/raw_server.h"

namespace lovagedale::testing {
namespace {

using platform::ParseServerListPage;

constexpr const char* kValidEntry =
    R"({"backend":"engines","address":"10.0.0.9:8080","zone":"a",)"
    R"("version":"v1","capacity":64,"state":"ready","cold_remaining_ms":0,)"
    R"("id":"i-1","born":1700000000000})";

auto Page(const std::string& entries, const std::string& next = "null")
    -> std::string {
  return R"({"instances":[)" + entries + R"(],"next":)" + next + "}";
}

auto EntryWith(const std::string& from, const std::string& to) -> std::string {
  std::string entry = kValidEntry;
  entry.replace(entry.find(from), from.size(), to);
  return entry;
}

}  // namespace

TEST_CASE("a page is parsed into its servers and the next page's token") {
  const auto page = ParseServerListPage(Page(kValidEntry, R"("p-50")"));
  REQUIRE(page.servers.size() == 1);
  CHECK(page.servers[0] == listed_server{"i-1", "engines", "10.0.0.9", 8080,
                                         "a", "v1", 64, false, 1700000000000});
  CHECK(page.next_page_token == "p-50");
  CHECK_FALSE(ParseServerListPage(Page(kValidEntry)).next_page_token);
  CHECK(ParseServerListPage(Page(EntryWith(R"("ready")", R"("draining")")))
            .servers[0]
            .leaving);
}

TEST_CASE("the rest of a server's cold time counts from when it was read") {
  const auto cold_until = [](const std::string& value) {
    const auto entry = EntryWith(R"("cold_remaining_ms":0)",
                                 R"("cold_remaining_ms":)" + value);
    return ParseServerListPage(Page(entry), 5'000).servers.at(0).cold_until_ms;
  };
  CHECK(cold_until("2500") == 7'500);
  CHECK(cold_until("2500.5") == 7'500);
  for (const auto* value : {"0", "-5", "null", "\"9\""}) {
    CAPTURE(value);
    CHECK(cold_until(value) == 0);
  }
  CHECK(cold_until("1e300") > 5'000);
}

TEST_CASE("an invalid entry is skipped and the others are kept") {
  const std::string invalid_entries[] = {
      "7",
      "{}",
      EntryWith(R"("ready")", R"("resting")"),
      EntryWith(R"("capacity":64)", R"("capacity":"many")"),
      EntryWith(R"("capacity":64)", R"("capacity":0)"),
      EntryWith("10.0.0.9:8080", "10.0.0.9"),
      EntryWith("10.0.0.9:8080", "10.0.0.9:99999"),
      EntryWith(R"("id":"i-1")", R"("id":7)"),
      // Ids that would end or change a header of the requests to the server.
      EntryWith(R"("id":"i-1")", R"("id":"i-1\r\nHost: other")"),
      EntryWith(R"("id":"i-1")", R"("id":"i-1\u0000")"),
      EntryWith(R"("id":"i-1")", R"("id":" i-1")"),
  };
  for (const auto& entry : invalid_entries) {
    const auto page = ParseServerListPage(Page(entry + "," + kValidEntry));
    CHECK(page.servers.size() == 1);
    CHECK(page.skipped_entries == 1);
  }
}

// Guards against one entry of another writer that stops the whole list from
// being read, and against processes that end by it.
TEST_CASE("an id with a blank inside or bytes above 127 is kept") {
  for (const std::string id : {"i 1", "\xc3\xbc-1"}) {
    const auto entry = EntryWith(R"("id":"i-1")", R"("id":")" + id + '"');
    CHECK(ParseServerListPage(Page(entry)).servers.at(0).id == id);
  }
}

TEST_CASE("an entry that cannot be read is skipped and the others are kept") {
  constexpr int kDeep = 100'000;
  const auto nested = std::string(kDeep, '[') + std::string(kDeep, ']');
  const std::string unreadable_entries[] = {
      nested,
      EntryWith(R"("capacity":64)", R"("capacity":64,"more":)" + nested),
      EntryWith(R"("capacity":64)", R"("capacity":1e999999)"),
      EntryWith(R"("capacity":64)", R"("capacity":)" + std::string(400, '9')),
      EntryWith(R"("capacity":64)", R"("capacity":-1e400)"),
      EntryWith(R"("born":1700000000000)", R"("born":1e999999999999)"),
      EntryWith("10.0.0.9:8080", "10.0.0.9:99999999999999999999"),
      EntryWith("10.0.0.9:8080", "10.0.0.9:-1"),
      EntryWith("10.0.0.9:8080", "host.example:8080"),
      EntryWith(R"("zone":"a")", "\"zone\":\"\xff\xfe\""),
      EntryWith(R"("zone":"a")", R"("zone":"\q")"),
      EntryWith(R"("zone":"a")", R"("zone":nothing)"),
      R"({"text":"a ] and a } and a \" in a string"})",
  };
  for (const auto& entry : unreadable_entries) {
    CAPTURE(entry.substr(0, 200));
    const auto page = ParseServerListPage(Page(
        std::string(kValidEntry) + "," + entry + "," + EntryWith("i-1", "i-2"),
        R"("p-50")"));
    CHECK(page.servers.size() == 2);
    CHECK(page.skipped_entries == 1);
    CHECK(page.next_page_token == "p-50");
  }
}

TEST_CASE("an invalid page is an error, not an empty list") {
  CHECK_THROWS(ParseServerListPage(Page(kValidEntry, R"("p 5\r\nHost: b")")));
  CHECK_THROWS(ParseServerListPage(""));
  CHECK_THROWS(ParseServerListPage("{}"));
  CHECK_THROWS(ParseServerListPage(R"({"instances":3})"));
}

// Guards against a list that never ends stopping all later reads of it.
TEST_CASE("a server list without end fails the read") {
  for (const auto& repeated : {std::string("x"), std::string(1 << 20, 'x')}) {
    raw_server provider([&](raw_server::peer& client, const std::string&) {
      client.Send("HTTP/1.1 200 OK\r\n\r\n");
      client.SendForever(repeated, std::chrono::milliseconds(20));
    });
    boost::asio::io_context context(1);
    const auto source =
        platform::MakeDirectorySource(context, {"127.0.0.1", provider.port()});
    const auto started = std::chrono::steady_clock::now();
    std::exception_ptr failure;
    boost::asio::spawn(
        context, [&](boost::asio::yield_context yield) { source(yield); },
        [&](std::exception_ptr error) { failure = error; });
    context.run();
    CHECK_THROWS_AS(std::rethrow_exception(failure), http_call_error);
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(3));
    CHECK(provider.AreScriptsEnded());
  }
}

}  // namespace lovagedale::testing
