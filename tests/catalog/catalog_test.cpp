#include "lovagedale/catalog/catalog.h"

#include <doctest/doctest.h>

#include "lovagedale/common/json_reader.h"
#include "support/fixtures.h"

namespace lovagedale::testing {
namespace {

auto ErrorOf(const std::string& document) -> std::string {
  try {
    ParseCatalog(document);
    return "";
  } catch (const settings_invalid& error) {
    return error.what();
  }
}

auto ErrorAfterReplacing(const std::string& from, const std::string& to)
    -> std::string {
  return ErrorOf(Replace(SmallDocument(), from, to));
}

auto Contains(const std::string& text, const std::string& part) -> bool {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a correct document is parsed with versions sorted by price") {
  const auto config = ParseCatalog(SmallDocument());
  REQUIRE(config.customers.size() == 1);
  const auto& versions = config.customers[0].versions;
  REQUIRE(versions.size() == 3);
  CHECK(config.versions[versions[0]].name == "draft@1");
  CHECK(config.ServersOf(*config.FindVersion("scholar@2")).size() == 2);
  CHECK(config.FindCustomerByKey("k1") == 0U);
}

TEST_CASE(
    "each error is reported with its path, its value and the allowed values") {
  CHECK(ErrorAfterReplacing("\"slots\":4", "\"slots\":0") ==
        "pools[0].servers[0].slots: got 0; allowed: a whole number from 1 to "
        "100000");
  CHECK(Contains(ErrorAfterReplacing("\"slots\":4", "\"slot\":4"),
                 "pools[0].servers[0].slot: got 4; allowed: one of the keys"));
  CHECK(Contains(
      ErrorAfterReplacing("\"target_quality\":0.8", "\"target_quality\":\"x\""),
      "customers[0].target_quality: got \"x\""));
  CHECK(
      Contains(ErrorAfterReplacing("\"zone\":\"akl-b\"", "\"zone\":\"akl-z\""),
               "pools[0].servers[1].zone: got \"akl-z\"; allowed: a declared "
               "zone: akl-a akl-b"));
  CHECK(Contains(ErrorAfterReplacing("\"key\":\"k1\"", "\"key\":\"\""),
                 "customers[0].key"));
  CHECK(Contains(ErrorOf("{"), "not JSON"));
}

TEST_CASE("a cascade may only contain versions allowed for its customer") {
  const auto document = Replace(
      SmallDocument(),
      "\"versions\":[\"scholar@1\",\"draft@1\",\"scholar@2\"],\n       "
      "\"services\"",
      "\"versions\":[\"draft@1\"],\"cascade\":[{\"version\":\"draft@1\"},"
      "{\"version\":\"scholar@1\"}],\n       \"services\"");
  CHECK(
      ErrorOf(document) ==
      "customers[0].cascade[1].version: got \"scholar@1\"; allowed: a version "
      "that the customer may use");
}

TEST_CASE("all errors of a document are reported together") {
  auto document = Replace(SmallDocument(), "\"slots\":4", "\"slots\":0");
  document = Replace(document, "\"port\":1003", "\"port\":70000");
  try {
    ParseCatalog(document);
    FAIL("accepted");
  } catch (const settings_invalid& error) {
    CHECK(error.errors().size() == 2);
  }
}

}  // namespace lovagedale::testing
