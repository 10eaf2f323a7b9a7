#include "lovagedale/questionnaire/questionnaire.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <sstream>
#include <vector>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/common/json_reader.h"

namespace lovagedale {
namespace {

namespace json = boost::json;

constexpr double kSecondsPerHour = 3'600;
/// Peaks of an unmeasured demand are assumed this many times the mean.
constexpr double kPeakFactor = 10;
/// Small customers too must not meet their limit by chance: each entry holds
/// only a share of it.
constexpr double kMinRatePerSecond = 10;
constexpr double kBurstSeconds = 5;
constexpr double kHoursPerMonth = 200;
constexpr double kTypicalTokens = 300;
constexpr double kTokensPerPrice = 1'000;
constexpr double kMaxPeople = 1e9;
constexpr double kMaxBudget = 1e15;
constexpr std::int64_t kMinConcurrent = 16;
/// Requests that one person keeps open at once, at most.
constexpr std::int64_t kConcurrentPerPerson = 2;

/// What a customer said of itself.
struct customer_answers {
  std::string name;
  std::string key;
  double people = 0;
  double requests_per_person_hour = 0;
  std::string patience;
  double must_satisfy = 0;
  double budget_micros_per_month = 0;
  std::vector<std::string> services;
};

auto ReadCustomer(object_reader& reader) -> customer_answers {
  customer_answers answers;
  answers.name = reader.RequiredString("name");
  answers.key = reader.RequiredString("key");
  answers.people = reader.Number("people", 1, kMaxPeople, 1);
  answers.requests_per_person_hour =
      reader.Number("requests_per_person_hour", 0, kMaxPeople, 1);
  answers.patience =
      reader.Choice("patience", {"a_queue_waits", "can_wait"}, "a_queue_waits");
  answers.must_satisfy = reader.Number("answers_that_must_satisfy", 0, 1, 0.7);
  answers.budget_micros_per_month =
      reader.Number("budget_micros_per_month", 0, kMaxBudget, 0);
  answers.services = reader.StringList("services");
  return answers;
}

/// One version as the questionnaire needs it.
struct priced_version {
  std::string name;
  double price = 0;
  double quality = 0;
};

auto ListVersions(const json::object& facts) -> std::vector<priced_version> {
  json::object only_facts = {{"zones", facts.at("zones")},
                             {"models", facts.at("models")}};
  const auto parsed = ParseCatalog(json::serialize(only_facts));
  std::vector<priced_version> versions;
  for (const auto& version : parsed.versions) {
    versions.push_back({version.name,
                        static_cast<double>(version.price_per_1k_tokens),
                        version.expected_quality});
  }
  std::sort(versions.begin(), versions.end(),
            [](const auto& a, const auto& b) { return a.price < b.price; });
  return versions;
}

auto MonthlyRequests(const customer_answers& answers) -> double {
  return answers.people * answers.requests_per_person_hour * kHoursPerMonth;
}

/// Versions that the budget could carry if they answered every request; the
/// best one stays allowed for the hard ones as long as it takes a tenth.
auto AffordableVersions(const customer_answers& answers,
                        const std::vector<priced_version>& versions)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  const auto requests = MonthlyRequests(answers);
  constexpr double kHardShare = 0.1;
  for (const auto& version : versions) {
    const auto cost = requests * kHardShare * version.price * kTypicalTokens /
                      kTokensPerPrice;
    const bool is_cheapest = names.empty();
    if (is_cheapest || answers.budget_micros_per_month <= 0 ||
        cost <= answers.budget_micros_per_month) {
      names.push_back(version.name);
    }
  }
  return names;
}

class document_writer {
 public:
  explicit document_writer(const json::object& facts)
      : versions_(ListVersions(facts)) {
    for (const auto* key :
         {"zones", "models", "pools", "rating", "weight_store", "host_list"}) {
      if (facts.contains(key)) document_[key] = facts.at(key);
    }
    page_ << "# How this configuration was chosen\n\n";
  }

  auto Add(const customer_answers& answers) -> void {
    const auto mean_rate =
        answers.people * answers.requests_per_person_hour / kSecondsPerHour;
    const auto rate = std::max(kMinRatePerSecond, mean_rate * kPeakFactor);
    const auto burst = std::ceil(rate * kBurstSeconds);
    const auto concurrent =
        std::max(kMinConcurrent, static_cast<std::int64_t>(answers.people) *
                                     kConcurrentPerPerson);
    const auto versions = AffordableVersions(answers, versions_);
    const bool is_patient = answers.patience == "can_wait";
    json::object item;
    item["name"] = answers.name;
    item["key"] = answers.key;
    item["versions"] = json::array(versions.begin(), versions.end());
    item["services"] =
        json::array(answers.services.begin(), answers.services.end());
    item["target_quality"] = answers.must_satisfy;
    item["patience"] = is_patient ? "patient" : "interactive";
    item["rate_per_s"] = rate;
    item["burst"] = burst;
    item["max_concurrent"] = concurrent;
    customers_.emplace_back(std::move(item));
    Explain(answers, versions, rate, concurrent);
  }

  auto Finish() -> generated_configuration {
    document_["customers"] = std::move(customers_);
    return {json::serialize(document_), page_.str()};
  }

 private:
  auto Explain(const customer_answers& answers,
               const std::vector<std::string>& versions, double rate,
               std::int64_t concurrent) -> void {
    page_ << "## " << answers.name << "\n\n"
          << "- `rate_per_s` " << rate << ": " << answers.people << " people, "
          << answers.requests_per_person_hour
          << " requests an hour each, times " << kPeakFactor
          << " for peaks that nobody has measured; at least "
          << kMinRatePerSecond << ".\n"
          << "- `burst`: " << kBurstSeconds << " seconds of that rate.\n"
          << "- `max_concurrent` " << concurrent << ": " << kConcurrentPerPerson
          << " requests a person at once, at least " << kMinConcurrent << ".\n"
          << "- `target_quality` " << answers.must_satisfy
          << ": the share of answers that must satisfy.\n"
          << "- `patience`: \"" << answers.patience
          << "\" decides whether latency or cost weighs more.\n"
          << "- `versions`:";
    for (const auto& name : versions) page_ << " " << name;
    page_ << "; those of which a tenth of " << MonthlyRequests(answers)
          << " requests a month fit into the budget of "
          << answers.budget_micros_per_month
          << " micros (0 means no limit).\n\n";
  }

  std::vector<priced_version> versions_;
  json::object document_;
  json::array customers_;
  std::ostringstream page_;
};

auto AskNumber(const ask_function& ask, const std::string& question) -> double {
  for (;;) {
    const auto text = ask(question);
    std::istringstream in(text);
    double number = 0;
    if (in >> number) return number;
  }
}

}  // namespace

auto GenerateConfiguration(std::string_view answers)
    -> generated_configuration {
  std::vector<customer_answers> customers;
  ReadSettings(answers, [&](object_reader& root) {
    // The facts are checked with the whole document below.
    for (const auto* key :
         {"zones", "models", "pools", "rating", "weight_store", "host_list"}) {
      root.AllowKey(key);
    }
    root.ForEach("customers", [&](object_reader& reader) {
      customers.push_back(ReadCustomer(reader));
    });
    if (customers.empty()) {
      root.AddError("customers", "", "at least one customer");
    }
  });
  const auto value = json::parse(answers);
  const auto& facts = value.as_object();
  for (const auto* key : {"zones", "models"}) {
    if (!facts.contains(key)) {
      throw settings_invalid(
          {{key, "", "the deployment's " + std::string(key)}});
    }
  }
  document_writer writer(facts);
  for (const auto& customer : customers) writer.Add(customer);
  auto generated = writer.Finish();
  ParseCatalog(generated.document);
  return generated;
}

auto AskCustomers(std::string_view facts, const ask_function& ask)
    -> std::string {
  auto value = json::parse(facts);
  json::array customers;
  for (;;) {
    const auto name = ask("Customer's name (empty to end)");
    if (name.empty()) break;
    json::object item;
    item["name"] = name;
    item["key"] = ask("Its bearer key");
    item["people"] = AskNumber(ask, "How many people use it");
    item["requests_per_person_hour"] =
        AskNumber(ask, "How many requests does one send in an hour");
    item["patience"] = ask("Who waits for an answer (a_queue_waits, can_wait)");
    item["answers_that_must_satisfy"] =
        AskNumber(ask, "Share of answers that must satisfy, 0 to 1");
    item["budget_micros_per_month"] =
        AskNumber(ask, "Budget in micros a month, 0 for none");
    customers.emplace_back(std::move(item));
  }
  value.as_object()["customers"] = std::move(customers);
  return json::serialize(value);
}

}  // namespace lovagedale
