#include "lovagedale/entry/version_choice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>

#include "lovagedale/entry/dispatcher.h"
#include "support/fixtures.h"

namespace lovagedale::testing {
namespace {

/// An entry's shared state and one traffic thread's context, without network.
class fake_entry {
 public:
  explicit fake_entry(const fleet_view& view, bool has_permit)
      : state_(Settings()) {
    state_.table.store(
        std::make_shared<const routing_table>(view, "akl-a", registry_));
    state_.plans.store(std::make_shared<const plan_table>(state_.table.load(),
                                                          evidence_table{}));
    context_ = std::make_unique<traffic_context>(state_, 0, 1);
    if (has_permit) state_.permit_ends_at = context_->clock.Now() + 1'000'000;
  }

  auto Choose(const std::string& model, const std::string& session,
              const std::string& request_id) -> version_choice {
    const auto table = state_.table.load();
    const auto& owner = table->config().customers.front();
    return version_chooser(*context_).Choose(
        {*table, owner, request_id, model, session, "general"});
  }
  auto StatusOf(const std::string& model, const std::string& session = "")
      -> unsigned {
    try {
      Choose(model, session, "r");
      return 200;
    } catch (const request_refused& refusal) {
      CHECK(refusal.ran() == ran_state::kNo);
      return refusal.status();
    }
  }
  auto table() const -> std::shared_ptr<const routing_table> {
    return state_.table.load();
  }
  auto state() -> entry_state& { return state_; }

 private:
  static auto Settings() -> entry_settings {
    entry_settings settings;
    settings.name = "entry";
    settings.zone = "akl-a";
    settings.ledgers = {{"ledger", "127.0.0.1", 1, "akl-a"}};
    return settings;
  }

  server_registry registry_;
  entry_state state_;
  std::unique_ptr<traffic_context> context_;
};

auto View(const std::vector<version_status>& versions = {},
          const std::string& document = SmallDocument()) -> fleet_view {
  return {1, document, versions, {}};
}

auto Status(const std::string& version, version_phase phase) -> version_status {
  return {version, phase, 0, {0.5}, false, "", ""};
}

}  // namespace

TEST_CASE("only allowed versions that may run are chosen, for any request") {
  CHECK(rc::check([] {
    const auto phase =
        rc::gen::element(version_phase::kSteady, version_phase::kRollout,
                         version_phase::kWithdrawn, version_phase::kStaged);
    std::vector<version_status> statuses;
    for (const auto* name : {"draft@1", "scholar@1", "scholar@2"}) {
      auto status = Status(name, *phase);
      status.successor =
          *rc::gen::element<std::string>("", "draft@1", "scholar@1");
      statuses.push_back(status);
    }
    const auto allowed = *rc::gen::element<std::string>(
        "\"draft@1\"", "\"scholar@1\",\"scholar@2\"",
        "\"draft@1\",\"scholar@1\",\"scholar@2\"");
    const auto document = Replace(
        SmallDocument(), "\"scholar@1\",\"draft@1\",\"scholar@2\"", allowed);
    const bool has_permit = *rc::gen::arbitrary<bool>();
    fake_entry entry(View(statuses, document), has_permit);
    const auto model = *rc::gen::element<std::string>(
        "auto", "draft", "scholar", "scholar@2", "nothing");
    const auto session = *rc::gen::element<std::string>(
        "", "new", FormatSessionToken({"scholar@2", 1}, "carts"), "forged");
    version_choice choice;
    try {
      choice = entry.Choose(model, session,
                            "r" + std::to_string(*rc::gen::inRange(0, 1'000)));
    } catch (const request_refused& refusal) {
      RC_ASSERT(refusal.ran() == ran_state::kNo);
      return;
    }
    const auto table = entry.table();
    const auto& owner = table->config().customers.front();
    RC_ASSERT(!choice.steps.empty());
    for (const auto& step : choice.steps) {
      const auto id = table->config().FindVersion(step.version);
      RC_ASSERT(id.has_value());
      RC_ASSERT(owner.AllowsVersion(*id));
      RC_ASSERT(table->MayRun(*id, has_permit));
    }
    if (choice.session) {
      RC_ASSERT(choice.steps.size() == 1U);
      RC_ASSERT(choice.session->version == choice.steps.front().version);
    }
  }));
}

TEST_CASE("a roll-out takes its share of requests, and none without a permit") {
  const auto view = View({Status("scholar@2", version_phase::kRollout)});
  fake_entry permitted(view, true);
  fake_entry cut_off(view, false);
  int on_rollout = 0;
  for (int i = 0; i < 400; ++i) {
    const auto id = "request-" + std::to_string(i);
    if (permitted.Choose("scholar", "", id).steps[0].version == "scholar@2") {
      ++on_rollout;
    }
    CHECK(cut_off.Choose("scholar", "", id).steps[0].version == "scholar@1");
  }
  CHECK(on_rollout > 150);
  CHECK(on_rollout < 250);
}

TEST_CASE("a version stopped by this entry gets no requests at that revision") {
  fake_entry entry(View({Status("scholar@2", version_phase::kRollout)}), true);
  CHECK(entry.StatusOf("scholar@2") == 200);
  entry.state().stopped_versions.store(
      std::make_shared<const stopped_version_set>(
          stopped_version_set{{"scholar@2", 1}}));
  CHECK(entry.StatusOf("scholar@2") == 503);
  entry.state().stopped_versions.store(
      std::make_shared<const stopped_version_set>(
          stopped_version_set{{"scholar@2", 0}}));
  CHECK(entry.StatusOf("scholar@2") == 200);
}

TEST_CASE("a session keeps its version and moves to the recorded successor") {
  const auto token = FormatSessionToken({"scholar@1", 7}, "carts");
  fake_entry before(View(), true);
  CHECK(before.Choose("auto", token, "r").steps[0].version == "scholar@1");
  auto withdrawn = Status("scholar@1", version_phase::kWithdrawn);
  withdrawn.successor = "draft@1";
  fake_entry after(View({withdrawn}), true);
  const auto moved = after.Choose("draft", token, "r");
  CHECK(moved.steps[0].version == "draft@1");
  CHECK(moved.reason == "session_successor");
  withdrawn.successor = "";
  fake_entry ended(View({withdrawn}), true);
  CHECK(ended.StatusOf("auto", token) == 410);
}

TEST_CASE("an unknown model, withdrawn version or forged session is refused") {
  fake_entry entry(View({Status("scholar@2", version_phase::kWithdrawn)}),
                   true);
  CHECK(entry.StatusOf("nothing") == 404);
  CHECK(entry.StatusOf("scholar@2") == 503);
  CHECK(entry.StatusOf("auto", "forged") == 400);
}

}  // namespace lovagedale::testing
