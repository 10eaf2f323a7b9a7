#include "lovagedale/entry/chat_body.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "lovagedale/entry/event_relay.h"

namespace lovagedale::testing {
namespace {

auto RefusalOf(const std::string& body) -> std::string {
  try {
    ParseChatRequest(body);
    return "";
  } catch (const request_refused& error) {
    CHECK(error.status() == 400);
    CHECK(error.ran() == ran_state::kNo);
    return error.what();
  }
}

auto Event(const std::string& word) -> std::string {
  return R"(data: {"choices":[{"delta":{"content":")" + word + "\"}}]}\n\n";
}

}  // namespace

TEST_CASE("errors in a request body name the field") {
  CHECK(RefusalOf("{").starts_with("body: not JSON"));
  CHECK(RefusalOf("[]").starts_with("body: got []"));
  CHECK(RefusalOf("{}").starts_with("model: got nothing"));
  CHECK(RefusalOf(R"({"model":"auto"})").starts_with("messages: got nothing"));
  CHECK(RefusalOf(R"({"model":"auto","messages":[1]})")
            .starts_with("messages[0]: got 1"));
  CHECK(RefusalOf(
            R"({"model":"auto","messages":[{"content":"x"}],"stream":"yes"})")
            .starts_with("stream: got \"yes\""));
}

// Guards against a limit that servers take as none, at the caller's cost.
TEST_CASE("a negative limit of tokens is refused") {
  const auto body = [](const std::string& field) {
    return R"({"model":"auto","messages":[{"content":"x"}],)" + field + "}";
  };
  CHECK(
      RefusalOf(body(R"("max_tokens":-1)")).starts_with("max_tokens: got -1"));
  CHECK(RefusalOf(body(R"("max_tokens":-0.5)")).starts_with("max_tokens: got"));
  CHECK(RefusalOf(body(R"("max_completion_tokens":-9)"))
            .starts_with("max_completion_tokens: got -9"));
  CHECK(RefusalOf(body(R"("max_tokens":16)")).empty());
  CHECK(RefusalOf(body(R"("max_tokens":null)")).empty());
}

TEST_CASE("a resumed request includes the text already delivered") {
  const auto body = MakeEngineBody(
      R"({"model":"auto","messages":[{"role":"user","content":"q"}]})",
      {"scholar@1", true, false, "first words "});
  CHECK(body.find(R"("model":"scholar@1")") != std::string::npos);
  CHECK(body.find("first words ") != std::string::npos);
  CHECK(body.find(R"("continue_final_message":true)") != std::string::npos);
}

TEST_CASE("usage and signal are read from an answer") {
  const auto metadata = ParseEngineAnswer(
      R"({"choices":[{"message":{"content":"x"},"logprobs":{"content":[
      {"logprob":-0.5},{"logprob":-0.5}]}}],
      "usage":{"prompt_tokens":3,"completion_tokens":4}})");
  REQUIRE(metadata);
  CHECK(metadata->input_tokens == 3);
  CHECK(metadata->output_tokens == 4);
  CHECK(*metadata->signal == doctest::Approx(0.6065).epsilon(0.001));
  CHECK_FALSE(ParseEngineAnswer("{}").has_value());
  CHECK_FALSE(ParseEngineAnswer("no json").has_value());
}

TEST_CASE("a stream split at any byte is relayed as the same complete events") {
  CHECK(rc::check([] {
    std::string stream;
    const auto words = *rc::gen::inRange(0, 12);
    for (int i = 0; i < words; ++i) stream += Event("w" + std::to_string(i));
    const auto expected = stream;
    stream += "data: [DONE]\n\n";
    event_relay relay;
    std::string relayed;
    while (!stream.empty()) {
      const auto take = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
      relayed += relay.Feed(std::string_view(stream).substr(0, take));
      stream.erase(0, take);
    }
    RC_ASSERT(relayed == expected);
    RC_ASSERT(relay.IsDone());
    RC_ASSERT(relay.event_count() == static_cast<std::uint64_t>(words));
  }));
}

TEST_CASE("an event that was cut off is not relayed") {
  event_relay relay;
  const auto complete = Event("a");
  CHECK(relay.Feed(complete + "data: {\"cho") == complete);
  relay.DropIncomplete();
  CHECK(relay.Feed(Event("b")) == Event("b"));
  CHECK_FALSE(relay.IsDone());
}

TEST_CASE("the text of several delivered events is concatenated") {
  CHECK(TextOfEvents(Event("one ") + Event("two ")) == "one two ");
}

}  // namespace lovagedale::testing
