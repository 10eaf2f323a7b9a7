#include "lovagedale/relay/event_splitter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace lovagedale::testing {
namespace {

auto Event(int number) -> std::string {
  return "id: " + std::to_string(number) + "\ndata: piece " +
         std::to_string(number) + "\n\n";
}

}  // namespace

TEST_CASE("only complete events pass, however the bytes are split") {
  CHECK(rc::check([] {
    std::string stream;
    const auto count = *rc::gen::inRange(1, 20);
    for (int i = 1; i <= count; ++i) stream += Event(i);
    const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
    event_splitter splitter;
    std::string passed;
    for (std::size_t at = 0; at < cut;) {
      const auto bytes = *rc::gen::inRange<std::size_t>(1, 40);
      const auto part = stream.substr(at, std::min(bytes, cut - at));
      passed += splitter.Feed(part);
      at += part.size();
    }
    RC_ASSERT(stream.starts_with(passed));
    RC_ASSERT(passed.empty() || passed.ends_with("\n\n"));
    RC_ASSERT(splitter.HasPartialEvent() == (passed.size() < cut));
  }));
}

TEST_CASE("a stream resumes at another server without a gap or a duplicate") {
  event_splitter splitter;
  std::string passed;
  passed += splitter.Feed(Event(1) + Event(2) + "id: 3\nda");
  CHECK(splitter.last_event() == 2U);
  splitter.Restart();
  // The second server repeats an event that the caller has.
  passed += splitter.Feed(Event(2) + Event(3) + Event(4));
  CHECK(passed == Event(1) + Event(2) + Event(3) + Event(4));
  CHECK_FALSE(splitter.HasPartialEvent());
}

TEST_CASE("the id field is found after another field") {
  CHECK(EventNumber("x-weights: 2\nid:7\ndata: a\n\n") == 7U);
  CHECK_FALSE(EventNumber("data: id: 7\n\n"));
}

// Guards against events that the caller never gets: what precedes malformed
// text is complete, and the stream resumes after it.
TEST_CASE("malformed text ends a resumed stream after the events before it") {
  event_splitter splitter;
  CHECK(splitter.Feed("id: 1\ndata: x\n\n") == "id: 1\ndata: x\n\n");
  splitter.Restart();
  splitter.RequireFields();
  const std::string next = "x-version: 2\r\nid: 2\r\ndata: y\r\n\r\n";
  const auto events = std::string(
      splitter.Feed(next + "HTTP/1.1 503 Full\r\n\r\n" + "id: 3\ndata: z\n\n"));
  CHECK(events == next);
  CHECK(splitter.HasMalformedEvent());
  CHECK(splitter.last_event() == 2);
  splitter.Restart();
  CHECK_FALSE(splitter.HasMalformedEvent());
  CHECK(splitter.Feed(": comment\nid: 3\ndata: z\n\n").size() > 0);
}

}  // namespace lovagedale::testing
