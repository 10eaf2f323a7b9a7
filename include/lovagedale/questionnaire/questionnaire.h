#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lovagedale {

/// A configuration document and a page that explains each value in it.
struct generated_configuration {
  std::string document;     ///< JSON, accepted by ParseCatalog
  std::string explanation;  ///< Markdown

  auto operator==(const generated_configuration&) const -> bool = default;
};

/// Generates a configuration from an answers file: the deployment's zones,
/// models and pools, and for each customer how many people, how patient and
/// which budget. Throws settings_invalid.
auto GenerateConfiguration(std::string_view answers) -> generated_configuration;

/// Asks one question and returns the answer.
using ask_function = std::function<std::string(const std::string& question)>;

/// Asks for the customers' part of the answers and adds it to `deployment`, an
/// answers file that holds the deployment's zones, models and pools.
auto AskCustomers(std::string_view deployment, const ask_function& ask)
    -> std::string;

}  // namespace lovagedale
