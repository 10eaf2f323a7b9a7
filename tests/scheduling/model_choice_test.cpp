#include "lovagedale/scheduling/model_choice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>

#include "lovagedale/relay/tier_choice.h"

namespace lovagedale::testing {
namespace {

auto Fraction() -> rc::Gen<double> {
  return rc::gen::map(rc::gen::inRange(0, 1'001),
                      [](int value) { return value / 1'000.0; });
}

auto Escalates(const escalation_input& input) -> bool {
  return DecideEscalation(input) == escalation_decision::kEscalate;
}

auto AnyInput() -> escalation_input {
  escalation_input input;
  input.confidence = *Fraction();
  input.threshold = *Fraction();
  input.priority = *rc::gen::inRange(0U, 4U);
  input.objective_ms = *rc::gen::inRange(0, 5'000);
  input.elapsed_ms = *rc::gen::inRange(0, 3'000);
  input.expected_ms = *rc::gen::inRange(0, 3'000);
  input.size_ratio = *rc::gen::inRange(0, 500) / 100.0;
  const auto count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    input.other_routes.push_back(
        {*rc::gen::inRange(0U, 4U),
         static_cast<double>(*rc::gen::inRange(0, 4'000)),
         static_cast<double>(*rc::gen::inRange(0, 4'000))});
  }
  return input;
}

/// A request of which the answer has a low confidence, on an idle fleet.
auto Uncertain() -> escalation_input {
  escalation_input input;
  input.confidence = 0.3;
  input.threshold = 0.5;
  input.priority = 1;
  input.objective_ms = 2'000;
  input.expected_ms = 600;
  return input;
}

}  // namespace

// Guards against fewer answers of the larger model while capacity is plentiful.
TEST_CASE(
    "a request of mean size on an idle fleet is decided by the threshold") {
  CHECK(rc::check([] {
    auto input = AnyInput();
    input.elapsed_ms = 0;
    input.size_ratio = 1;
    input.other_routes.clear();
    RC_ASSERT(Escalates(input) ==
              (input.confidence < ThresholdUnderLoad(input.threshold,
                                                     input.expected_ms,
                                                     input.objective_ms)));
  }));
}

// Guards against long prompts that are asked again of the larger model, and
// late there, while its mean time is below the objective.
TEST_CASE("the prediction knows the size, and what is left of the objective") {
  auto input = Uncertain();
  CHECK(DecideEscalation(input) == escalation_decision::kEscalate);
  input.size_ratio = 4;  // 1,860 ms are predicted
  CHECK(DecideEscalation(input) == escalation_decision::kLate);
  input.size_ratio = 1;
  input.elapsed_ms = 1'300;
  CHECK(DecideEscalation(input) == escalation_decision::kLate);
  input.size_ratio = 0.1;  // 222 ms
  CHECK(DecideEscalation(input) == escalation_decision::kEscalate);
  input.elapsed_ms = 2'500;
  CHECK(DecideEscalation(input) == escalation_decision::kLate);
  input.objective_ms = 0;
  CHECK(DecideEscalation(input) == escalation_decision::kEscalate);
  input.confidence = 0.5;
  CHECK(DecideEscalation(input) == escalation_decision::kConfident);
}

// Guards against a second run of a request that may run once, and against a
// count of given up escalations that hides why.
TEST_CASE("a request that may run once is never escalated") {
  auto input = Uncertain();
  input.may_run_again = false;
  CHECK(DecideEscalation(input) == escalation_decision::kRunsOnce);
  CHECK(rc::check([] {
    auto any = AnyInput();
    const auto repeatable = DecideEscalation(any);
    any.may_run_again = false;
    // The reasons that hold for any request are kept.
    RC_ASSERT(DecideEscalation(any) ==
              (repeatable == escalation_decision::kEscalate
                   ? escalation_decision::kRunsOnce
                   : repeatable));
  }));
}

// Guards against weak answers to requests that may run once, and against long
// prompts on the largest model while its answers are late.
TEST_CASE(
    "a request that may run once starts on a larger model if there is room") {
  auto input = Uncertain();
  input.may_run_again = false;
  CHECK(StartsOnLargerModel(input));
  input.expected_ms = 1'900;
  CHECK(StartsOnLargerModel(input));
  input.expected_ms = 2'000;
  CHECK_FALSE(StartsOnLargerModel(input));
  input.expected_ms = 600;
  input.other_routes = {{0, 1'500, 1'500}};
  CHECK_FALSE(StartsOnLargerModel(input));
}

TEST_CASE("a size that is not usable counts as unknown") {
  for (const auto ratio : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                           std::numeric_limits<double>::infinity()}) {
    CHECK(PredictedFirstEventMs(600, ratio) == doctest::Approx(600));
  }
}

// Guards against escalations of less urgent routes that make urgent ones late.
TEST_CASE("escalations yield to more urgent and to tighter routes only") {
  auto input = Uncertain();
  input.other_routes = {{0, 1'500, 300}};  // answers well within its objective
  CHECK(CapacityPrice(input) == 0);
  input.other_routes = {{0, 1'500, 1'500}};
  CHECK(DecideEscalation(input) == escalation_decision::kYield);
  input.other_routes = {{1, 1'500, 1'500}};  // tighter
  CHECK(DecideEscalation(input) == escalation_decision::kYield);
  input.other_routes = {{1, 4'000, 4'000}, {2, 1'500, 1'500}};
  CHECK(DecideEscalation(input) == escalation_decision::kEscalate);
  input.other_routes = {{0, 0, 1'500}};  // without an objective
  CHECK(CapacityPrice(input) == 0);
}

TEST_CASE("what is worth more is given up later") {
  CHECK(rc::check("a lower confidence", [] {
    auto input = AnyInput();
    auto lower = input;
    lower.confidence *= *Fraction();
    RC_ASSERT(!Escalates(input) || Escalates(lower));
  }));
  CHECK(rc::check("a smaller request", [] {
    auto input = AnyInput();
    auto smaller = input;
    smaller.size_ratio *= *Fraction();
    RC_ASSERT(!Escalates(input) || Escalates(smaller));
  }));
  CHECK(rc::check("a more urgent request", [] {
    auto input = AnyInput();
    auto more_urgent = input;
    more_urgent.priority = *rc::gen::inRange(0U, input.priority + 1);
    RC_ASSERT(!Escalates(input) || Escalates(more_urgent));
  }));
}

TEST_CASE("no price exceeds 1, and other routes never cause an escalation") {
  CHECK(rc::check([] {
    const auto input = AnyInput();
    const auto price = CapacityPrice(input);
    RC_ASSERT(price >= 0);
    RC_ASSERT(price <= 1);
    auto alone = input;
    alone.other_routes.clear();
    RC_ASSERT(!Escalates(input) || Escalates(alone));
  }));
}

TEST_CASE("the size is compared with that of recent answers") {
  first_event_time time;
  CHECK(time.SizeRatio(500, 0) == 1);
  for (int i = 0; i < 20; ++i) time.RecordFirstEvent(100, 1'000, 250);
  CHECK(time.SizeRatio(500, 1'000) == doctest::Approx(2));
  CHECK(time.SizeRatio(0, 1'000) == 1);
  // Old answers give no size, as their mean time does not count either.
  CHECK(time.SizeRatio(500, 60'000) == 1);
}

}  // namespace lovagedale::testing
