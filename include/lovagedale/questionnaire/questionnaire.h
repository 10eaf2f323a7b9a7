#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lovagedale {

/// A configuration document and a page that explains its generated values.
struct generated_configuration {
  std::string document;     ///< JSON, accepted by ParseCatalog
  std::string explanation;  ///< Markdown

  auto operator==(const generated_configuration&) const -> bool = default;
};

/// Generates a configuration from an answers file (JSON), which has the
/// deployment's zones, models and pools, and for each customer the number of
/// people, their patience and the budget. Throws settings_invalid.
auto GenerateConfiguration(std::string_view answers) -> generated_configuration;

/// Asks one question and returns the answer.
using ask_function = std::function<std::string(const std::string& question)>;

/// Asks for the customers' answers and adds them to `deployment`, an answers
/// file (JSON) with the deployment's zones, models and pools. Returns the
/// complete answers file. Throws std::exception if `deployment` is not a JSON
/// object.
auto AskCustomers(std::string_view deployment, const ask_function& ask)
    -> std::string;

}  // namespace lovagedale
