#include "lovagedale/entry/event_relay.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace lovagedale::testing {

TEST_CASE("an engine's events pass whole, however the bytes are split") {
  CHECK(rc::check([] {
    std::string stream;
    const auto count = *rc::gen::inRange(0, 20);
    for (int i = 0; i < count; ++i) {
      stream += "data: " + std::to_string(i) + "\n\n";
    }
    const auto events = stream;
    stream += "data: [DONE]\n\n";
    event_relay relay;
    std::string passed;
    for (std::size_t at = 0; at < stream.size();) {
      RC_ASSERT_FALSE(relay.IsDone());
      const auto bytes = *rc::gen::inRange<std::size_t>(1, 12);
      passed += relay.Feed(std::string_view(stream).substr(at, bytes));
      at += bytes;
      RC_ASSERT(relay.IsDone() || relay.pending_bytes() < 14);
    }
    RC_ASSERT(relay.IsDone());
    RC_ASSERT(passed == events);
    RC_ASSERT(relay.event_count() == static_cast<std::uint64_t>(count));
    RC_ASSERT(relay.pending_bytes() == 0U);
  }));
}

}  // namespace lovagedale::testing
