#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/entry/refusal.h"
#include "lovagedale/entry/routing_table.h"
#include "lovagedale/entry/traffic_context.h"
#include "lovagedale/session/session_token.h"

namespace lovagedale {

/// Input of a choice of versions, besides the entry's state.
struct choice_request {
  const routing_table& table;
  const customer& owner;
  std::string_view request_id;
  std::string_view model;           ///< `auto`, a model, or `model@version`
  std::string_view session_header;  ///< empty, `new`, or a session's id
  std::string_view task_class;
};

/// Versions to try in turn, and why.
struct version_choice {
  std::vector<named_step> steps;
  std::string reason;
  std::vector<std::string> alternatives;  ///< the customer's versions
  std::optional<session_token> session;
  /// Whether the first step tries a version with little evidence.
  bool explores = false;
  bool waits_for_rating = false;  ///< before an explored answer is used
  double rating_fraction = 0;     ///< of answers to rate, unless explored

  auto operator==(const version_choice&) const -> bool = default;
};

/// Chooses the versions for a request: its session's, the one it names, or the
/// learned plan of its customer and task class. Versions under roll-out replace
/// steady ones in their share of requests. Used by one traffic thread.
class version_chooser {
 public:
  explicit version_chooser(traffic_context& context) : context_(context) {}

  /// Throws request_refused if no version may run the request.
  auto Choose(const choice_request& request) -> version_choice;

 private:
  auto ChooseSession(const choice_request& request) -> version_choice;
  auto ChooseNamed(const choice_request& request) -> version_choice;
  auto ChooseLearned(const choice_request& request, bool wants_session)
      -> version_choice;
  auto SubstituteRollouts(const choice_request& request, version_choice& choice)
      -> void;
  /// The steady version of `model` (of any model if empty) that may run and has
  /// the best expected quality; among equals the most expensive one. Empty if
  /// there is none.
  auto BestSteadyVersion(const choice_request& request,
                         std::string_view model) const -> std::string;
  /// Removes steps whose versions may not run now. If none is left, adds the
  /// best steady version, or throws request_refused if there is none.
  auto DropUnavailable(const choice_request& request,
                       std::vector<named_step>& steps) const -> void;
  auto MayRun(const choice_request& request, version_id version) const -> bool;

  traffic_context& context_;
};

}  // namespace lovagedale
