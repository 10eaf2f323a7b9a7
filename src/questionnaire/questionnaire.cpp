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
/// Assumed ratio of the peak rate to the mean rate if the demand has not been
/// measured.
constexpr double kPeakToMeanRatio = 10;
/// Lower bound of a customer's rate limit. Each entry has only a share of the
/// limit, so a small customer could exceed a lower one by chance.
constexpr double kMinRatePerSecond = 10;
constexpr double kBurstSeconds = 5;
/// Assumed hours per month in which people send requests.
constexpr double kUseHoursPerMonth = 200;
constexpr double kTypicalTokensPerRequest = 300;
constexpr double kTokensPerPriceUnit = 1'000;
constexpr double kMaxPeople = 1e9;
constexpr double kMaxBudgetMicros = 1e15;
constexpr std::int64_t kMinConcurrentRequests = 16;
/// Assumed maximum of concurrent requests of one person.
constexpr std::int64_t kConcurrentRequestsPerPerson = 2;

/// A customer's answers to the questionnaire.
struct customer_answers {
  std::string name;
  std::string key;
  double people = 0;
  double requests_per_person_hour = 0;
  std::string patience;
  /// Fraction of answers that must satisfy, 0 to 1.
  double satisfied_fraction = 0;
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
  answers.satisfied_fraction =
      reader.Number("answers_that_must_satisfy", 0, 1, 0.7);
  answers.budget_micros_per_month =
      reader.Number("budget_micros_per_month", 0, kMaxBudgetMicros, 0);
  answers.services = reader.StringList("services");
  return answers;
}

/// A model version with its price and its expected quality, 0 to 1.
struct priced_version {
  std::string name;
  double price_micros_per_1k_tokens = 0;
  double quality = 0;
};

auto ListVersions(const json::object& deployment)
    -> std::vector<priced_version> {
  json::object zones_and_models = {{"zones", deployment.at("zones")},
                                   {"models", deployment.at("models")}};
  const auto parsed = ParseCatalog(json::serialize(zones_and_models));
  std::vector<priced_version> versions;
  for (const auto& version : parsed.versions) {
    versions.push_back({version.name,
                        static_cast<double>(version.price_micros_per_1k_tokens),
                        version.expected_quality});
  }
  std::sort(versions.begin(), versions.end(), [](const auto& a, const auto& b) {
    return a.price_micros_per_1k_tokens < b.price_micros_per_1k_tokens;
  });
  return versions;
}

auto RequestsPerMonth(const customer_answers& answers) -> double {
  return answers.people * answers.requests_per_person_hour * kUseHoursPerMonth;
}

/// Versions for which the budget covers the cost of a tenth of all requests,
/// the assumed fraction of hard requests. The cheapest version is always
/// included.
auto AffordableVersions(const customer_answers& answers,
                        const std::vector<priced_version>& versions)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  const auto requests = RequestsPerMonth(answers);
  constexpr double kHardRequestsFraction = 0.1;
  for (const auto& version : versions) {
    const auto cost = requests * kHardRequestsFraction *
                      version.price_micros_per_1k_tokens *
                      kTypicalTokensPerRequest / kTokensPerPriceUnit;
    const bool is_cheapest = names.empty();
    if (is_cheapest || answers.budget_micros_per_month <= 0 ||
        cost <= answers.budget_micros_per_month) {
      names.push_back(version.name);
    }
  }
  return names;
}

/// Builds the configuration document and its explanation, customer by customer.
class document_writer {
 public:
  explicit document_writer(const json::object& deployment)
      : versions_(ListVersions(deployment)) {
    for (const auto* key :
         {"zones", "models", "pools", "rating", "weight_store", "host_list"}) {
      if (deployment.contains(key)) document_[key] = deployment.at(key);
    }
    explanation_ << "# How this configuration was chosen\n\n";
  }

  auto Add(const customer_answers& answers) -> void {
    const auto mean_rate =
        answers.people * answers.requests_per_person_hour / kSecondsPerHour;
    const auto rate = std::max(kMinRatePerSecond, mean_rate * kPeakToMeanRatio);
    const auto burst = std::ceil(rate * kBurstSeconds);
    const auto concurrent = std::max(kMinConcurrentRequests,
                                     static_cast<std::int64_t>(answers.people) *
                                         kConcurrentRequestsPerPerson);
    const auto versions = AffordableVersions(answers, versions_);
    const bool is_patient = answers.patience == "can_wait";
    json::object item;
    item["name"] = answers.name;
    item["key"] = answers.key;
    item["versions"] = json::array(versions.begin(), versions.end());
    item["services"] =
        json::array(answers.services.begin(), answers.services.end());
    item["target_quality"] = answers.satisfied_fraction;
    item["patience"] = is_patient ? "patient" : "interactive";
    item["rate_per_s"] = rate;
    item["burst"] = burst;
    item["max_concurrent"] = concurrent;
    customers_.emplace_back(std::move(item));
    Explain(answers, versions, rate, concurrent);
  }

  auto Generate() -> generated_configuration {
    document_["customers"] = std::move(customers_);
    return {json::serialize(document_), explanation_.str()};
  }

 private:
  auto Explain(const customer_answers& answers,
               const std::vector<std::string>& versions, double rate,
               std::int64_t concurrent) -> void {
    explanation_ << "## " << answers.name << "\n\n"
                 << "- `rate_per_s` " << rate << ": " << answers.people
                 << " people, " << answers.requests_per_person_hour
                 << " requests an hour each, times " << kPeakToMeanRatio
                 << " as the assumed ratio of peak to mean; at least "
                 << kMinRatePerSecond << ".\n"
                 << "- `burst`: " << kBurstSeconds << " seconds of that rate.\n"
                 << "- `max_concurrent` " << concurrent << ": "
                 << kConcurrentRequestsPerPerson
                 << " requests a person at once, at least "
                 << kMinConcurrentRequests << ".\n"
                 << "- `target_quality` " << answers.satisfied_fraction
                 << ": the fraction of answers that must satisfy.\n"
                 << "- `patience`: \"" << answers.patience
                 << "\" decides whether latency or cost weighs more.\n"
                 << "- `versions`:";
    for (const auto& name : versions) explanation_ << " " << name;
    explanation_
        << "; the cheapest, and those for which the cost of a tenth of "
        << RequestsPerMonth(answers)
        << " requests a month is within the budget of "
        << answers.budget_micros_per_month << " micros (0 means no limit).\n\n";
  }

  std::vector<priced_version> versions_;
  json::object document_;
  json::array customers_;
  std::ostringstream explanation_;
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
    // These keys are validated below, with the generated document.
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
  const auto& deployment = value.as_object();
  for (const auto* key : {"zones", "models"}) {
    if (!deployment.contains(key)) {
      throw settings_invalid(
          {{key, "", "the deployment's " + std::string(key)}});
    }
  }
  document_writer writer(deployment);
  for (const auto& customer : customers) writer.Add(customer);
  auto generated = writer.Generate();
  ParseCatalog(generated.document);
  return generated;
}

auto AskCustomers(std::string_view deployment, const ask_function& ask)
    -> std::string {
  auto value = json::parse(deployment);
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
