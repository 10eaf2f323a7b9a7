#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

#include "lovagedale/common/log.h"

/// Fixed seed and number of cases of every property test, so that runs are
/// reproducible; RC_PARAMS in the environment overrides them.
constexpr const char* kPropertyParameters = "seed=20261204 max_success=100";

auto main(int argc, char** argv) -> int {
  ::setenv("RC_PARAMS", kPropertyParameters, /*overwrite=*/0);
  lovagedale::InitializeLogging("tests", "", lovagedale::log_level::kError);
  doctest::Context context(argc, argv);
  return context.run();
}
