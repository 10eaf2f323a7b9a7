#include "lovagedale/relay/session_memory.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {

TEST_CASE("a session is known until it has been silent for its time") {
  session_memory memory(5'000);
  CHECK(memory.VersionOf(1, 1'000) == nullptr);
  memory.Remember(1, "v1", 1'000);
  REQUIRE(memory.VersionOf(1, 6'000) != nullptr);
  CHECK(*memory.VersionOf(1, 6'000) == "v1");
  CHECK(memory.VersionOf(1, 6'001) == nullptr);
  memory.Remember(1, "v2", 7'000);
  CHECK(*memory.VersionOf(1, 7'000) == "v2");
}

TEST_CASE("sessions that have ended take no memory") {
  session_memory memory(5'000);
  for (std::uint64_t session = 0; session < 100'000; ++session) {
    const auto now = static_cast<monotonic_ms>(10'000 + session);
    memory.Remember(session, "v1", now);
    REQUIRE(memory.size() <= 10'002);
  }
}

}  // namespace lovagedale::testing
