#include "lovagedale/questionnaire/questionnaire.h"

#include <doctest/doctest.h>

#include <deque>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/common/json_reader.h"
#include "support/fixtures.h"

namespace lovagedale::testing {
namespace {

auto Answers(const std::string& customer) -> std::string {
  auto document = SmallDocument();
  document.resize(document.find("\"customers\""));
  return document + "\"customers\":[" + customer + "]}";
}

}  // namespace

TEST_CASE("the configuration generated from answers is valid") {
  const auto generated = GenerateConfiguration(Answers(
      R"({"name":"carts","key":"k","people":3600,"requests_per_person_hour":2,
          "patience":"can_wait","answers_that_must_satisfy":0.9,
          "services":["cart-ledger"]})"));
  const auto config = ParseCatalog(generated.document);
  REQUIRE(config.customers.size() == 1);
  CHECK(config.customers[0].rate_per_s == doctest::Approx(20));
  CHECK(config.customers[0].patience == patience_class::kPatient);
  CHECK(config.customers[0].versions.size() == 3);
  CHECK(generated.explanation.find("`rate_per_s` 20") != std::string::npos);
}

TEST_CASE("versions that exceed a small budget are left out") {
  const auto generated = GenerateConfiguration(Answers(
      R"({"name":"carts","key":"k","people":100,"requests_per_person_hour":10,
          "budget_micros_per_month":5000000})"));
  const auto config = ParseCatalog(generated.document);
  CHECK(config.customers[0].versions.size() == 1);
}

TEST_CASE("an invalid answer is reported with its field") {
  try {
    GenerateConfiguration(
        Answers(R"({"name":"carts","key":"k","patience":"never"})"));
    FAIL("accepted");
  } catch (const settings_invalid& error) {
    CHECK(std::string(error.what()) ==
          "customers[0].patience: got \"never\"; allowed: one of "
          "\"a_queue_waits\" \"can_wait\"");
  }
}

TEST_CASE("answers given at a prompt generate a configuration") {
  std::deque<std::string> lines = {"carts",    "k",   "10", "4",
                                   "can_wait", "0.8", "0",  ""};
  auto deployment = SmallDocument();
  deployment.resize(deployment.find(",\n    \"customers\""));
  const auto answers = AskCustomers(deployment + "}", [&](const std::string&) {
    auto line = lines.front();
    lines.pop_front();
    return line;
  });
  CHECK(
      ParseCatalog(GenerateConfiguration(answers).document).customers[0].name ==
      "carts");
}

}  // namespace lovagedale::testing
