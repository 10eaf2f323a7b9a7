#include "lovagedale/entry/version_choice.h"

#include "lovagedale/cascade/exploration.h"
#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr std::string_view kAutoModel = "auto";
constexpr std::string_view kNewSession = "new";
constexpr std::string_view kNamedVersion = "named_version";
/// Fraction of answers to rate if no plan specifies one.
constexpr double kDefaultRatingFraction = 0.1;
constexpr int kRetryAfterS = 1;

[[noreturn]] auto RefuseNotAllowed(const std::string& version) -> void {
  throw request_refused(403, "not_allowed",
                        "the customer may not use version " + version,
                        ran_state::kNo);
}

[[noreturn]] auto RefuseNoVersion(const std::string& message) -> void {
  throw request_refused(503, "no_version", message, ran_state::kNo,
                        kRetryAfterS);
}

auto AllowedVersionNames(const choice_request& request)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto version : request.owner.versions) {
    names.push_back(request.table.config().versions[version].name);
  }
  return names;
}

}  // namespace

auto version_chooser::MayRun(const choice_request& request,
                             version_id version) const -> bool {
  return context_.state.MayRun(request.table, version, context_.clock.Now());
}

auto version_chooser::BestSteadyVersion(const choice_request& request,
                                        std::string_view model) const
    -> std::string {
  const auto& config = request.table.config();
  // Versions are listed cheapest first, so the last of equals costs most.
  std::string name;
  double best_quality = -1;
  for (const auto id : request.owner.versions) {
    const auto& version = config.versions[id];
    const bool is_wanted = model.empty() || version.model == model;
    if (!is_wanted || version.expected_quality < best_quality ||
        request.table.Route(id).phase != version_phase::kSteady ||
        !MayRun(request, id)) {
      continue;
    }
    name = version.name;
    best_quality = version.expected_quality;
  }
  return name;
}

auto version_chooser::Choose(const choice_request& request) -> version_choice {
  const bool wants_session = request.session_header == kNewSession;
  version_choice choice;
  if (!request.session_header.empty() && !wants_session) {
    choice = ChooseSession(request);
  } else if (request.model != kAutoModel) {
    choice = ChooseNamed(request);
    SubstituteRollouts(request, choice);
  } else {
    choice = ChooseLearned(request, wants_session);
    SubstituteRollouts(request, choice);
  }
  if (wants_session) {
    choice.session =
        session_token{choice.steps.back().version, context_.NextRandom()};
  }
  choice.alternatives = AllowedVersionNames(request);
  return choice;
}

auto version_chooser::ChooseSession(const choice_request& request)
    -> version_choice {
  const auto token =
      ParseSessionToken(request.session_header, request.owner.name);
  if (!token) {
    throw request_refused(400, "invalid",
                          "Lovagedale-Session: not a session of this customer; "
                          "allowed: \"new\" or a session id that was returned",
                          ran_state::kNo);
  }
  const auto& config = request.table.config();
  const auto version = config.FindVersion(token->version);
  const auto resolved =
      version ? request.table.ResolveSuccessor(*version) : std::nullopt;
  if (!resolved) {
    throw request_refused(410, "session_ended",
                          "the session's version was withdrawn and has no "
                          "successor",
                          ran_state::kNo);
  }
  const auto& name = config.versions[*resolved].name;
  if (!request.owner.AllowsVersion(*resolved)) RefuseNotAllowed(name);
  if (!MayRun(request, *resolved)) {
    RefuseNoVersion("the session's version may not receive work now");
  }
  version_choice choice;
  choice.steps = {{name, 0}};
  choice.reason = *resolved == *version ? "session" : "session_successor";
  choice.session = session_token{name, token->nonce};
  choice.rating_fraction = kDefaultRatingFraction;
  return choice;
}

auto version_chooser::ChooseNamed(const choice_request& request)
    -> version_choice {
  const auto& config = request.table.config();
  version_choice choice;
  choice.rating_fraction = kDefaultRatingFraction;
  if (const auto exact = config.FindVersion(request.model)) {
    const auto& name = config.versions[*exact].name;
    if (!request.owner.AllowsVersion(*exact)) RefuseNotAllowed(name);
    if (!MayRun(request, *exact)) {
      RefuseNoVersion("version " + name + " may not receive new work");
    }
    choice.steps = {{name, 0}};
    choice.reason = kNamedVersion;
    return choice;
  }
  const auto name = BestSteadyVersion(request, request.model);
  if (name.empty()) {
    throw request_refused(404, "unknown_model",
                          "model: got \"" + std::string(request.model) +
                              "\"; allowed: \"auto\" or one that /v1/models "
                              "lists",
                          ran_state::kNo);
  }
  choice.steps = {{name, 0}};
  choice.reason = "named_model";
  return choice;
}

auto version_chooser::ChooseLearned(const choice_request& request,
                                    bool wants_session) -> version_choice {
  const auto& plan =
      context_.PlanFor(request.owner.name, std::string(request.task_class));
  version_choice choice;
  choice.steps =
      plan.Pick(ToUnitInterval(HashFields(request.request_id, "mix")));
  DropUnavailable(request, choice.steps);
  choice.reason = choice.steps.size() > 1 ? "cascade" : "direct";
  const auto fraction = plan.rating_fractions.find(choice.steps.back().version);
  choice.rating_fraction = fraction == plan.rating_fractions.end()
                               ? kDefaultRatingFraction
                               : fraction->second;
  if (wants_session) {
    // A session keeps one version: the last one of the cascade.
    choice.steps.erase(choice.steps.begin(), choice.steps.end() - 1);
    return choice;
  }
  auto draw = ToUnitInterval(HashFields(request.request_id, "explore"));
  const auto& fallback = plan.first.back().version;
  for (const auto& item : plan.explored) {
    if (draw >= item.share) {
      draw -= item.share;
      continue;
    }
    if (item.version == fallback) return choice;
    std::vector<named_step> steps = {{item.version, kMinKeptExplorationBin},
                                     {fallback, 0}};
    DropUnavailable(request, steps);
    if (steps.size() < 2) return choice;
    choice.steps = std::move(steps);
    choice.reason = "exploration";
    choice.explores = true;
    choice.waits_for_rating = plan.waits_for_rating;
    return choice;
  }
  return choice;
}

auto version_chooser::DropUnavailable(const choice_request& request,
                                      std::vector<named_step>& steps) const
    -> void {
  std::erase_if(steps, [&](const named_step& step) {
    const auto id = request.table.config().FindVersion(step.version);
    return !id || !request.owner.AllowsVersion(*id) || !MayRun(request, *id);
  });
  if (steps.empty()) {
    // No step may run any more: use the best steady version that may.
    const auto name = BestSteadyVersion(request, "");
    if (name.empty()) {
      RefuseNoVersion("no allowed version may receive work now");
    }
    steps.push_back({name, 0});
  }
  steps.back().accept_from_bin = 0;
}

auto version_chooser::SubstituteRollouts(const choice_request& request,
                                         version_choice& choice) -> void {
  if (choice.reason == kNamedVersion) return;
  const auto& config = request.table.config();
  for (auto& step : choice.steps) {
    const auto steady = config.FindVersion(step.version);
    if (!steady) continue;  // Removed meanwhile; the dispatcher refuses it.
    for (const auto version : request.owner.versions) {
      const auto& route = request.table.Route(version);
      const auto& name = config.versions[version].name;
      if (route.phase != version_phase::kRollout ||
          config.versions[version].model != config.versions[*steady].model ||
          !MayRun(request, version) ||
          ToUnitInterval(HashFields(request.request_id, name)) >= route.share) {
        continue;
      }
      step.version = name;
      choice.reason += "+rollout";
      break;
    }
  }
}

}  // namespace lovagedale
