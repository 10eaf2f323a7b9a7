#include "lovagedale/forwarding/path_choice.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {
namespace {

auto CutOff(std::vector<helper_candidate> helpers) -> path_input {
  path_input input;
  input.available_servers = 4;
  input.helpers = std::move(helpers);
  return input;
}

}  // namespace

TEST_CASE("calls go directly while a server can be reached or none is listed") {
  auto input = CutOff({{}});
  input.reachable_servers = 1;
  CHECK(ChoosePath(input).path == call_path::kDirect);
  input.available_servers = 0;
  input.reachable_servers = 0;
  CHECK(ChoosePath(input).path == call_path::kDirect);
}

TEST_CASE("an entry that reaches no server uses others, the less busy first") {
  auto input = CutOff({{5, false}, {1, false}, {0, true}});
  bool was_busier_chosen = false;
  for (input.random = 0; input.random < 50; ++input.random) {
    const auto choice = ChoosePath(input);
    CHECK(choice.path == call_path::kThroughEntry);
    CHECK(choice.helper < 2);
    was_busier_chosen |= choice.helper == 0;
  }
  // Both draws may give the same helper, so that the load spreads.
  CHECK(was_busier_chosen);
}

TEST_CASE("calls are not forwarded twice, nor without end, nor to nobody") {
  auto input = CutOff({{}});
  input.is_forwarded = true;
  CHECK(ChoosePath(input).path == call_path::kNone);
  input.is_forwarded = false;
  input.forwards = kMaxForwards;
  CHECK(ChoosePath(input).path == call_path::kNone);
  CHECK(ChoosePath(CutOff({})).path == call_path::kNone);
  CHECK(ChoosePath(CutOff({{0, true}})).path == call_path::kNone);
}

}  // namespace lovagedale::testing
