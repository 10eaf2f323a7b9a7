#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lovagedale/entry/refusal.h"

namespace lovagedale {

/// A chat-completions request as the entry understands it.
struct chat_request {
  std::string model;   ///< `auto`, a model, or `model@version`
  std::string prompt;  ///< all message texts, for prefix hashes
  bool stream = false;
  bool include_usage = false;

  auto operator==(const chat_request&) const -> bool = default;
};

/// Reads a request body. Throws request_refused (400) naming the field.
auto ParseChatRequest(const std::string& body) -> chat_request;

/// What an engine is sent: the caller's body with the version's name and, for
/// a resumed stream, the text that the caller already has.
struct engine_body_options {
  std::string version;
  bool stream = false;
  bool low_priority = false;
  std::string delivered_text;
};

auto MakeEngineBody(const std::string& caller_body,
                    const engine_body_options& options) -> std::string;

/// Token counts and the answer's own signal, from a whole answer.
struct completion_metadata {
  std::uint64_t input_tokens = 0;
  std::uint64_t output_tokens = 0;
  /// Mean probability of the answer's tokens, if the engine reported it.
  std::optional<double> signal;
  std::string text;
};

/// Reads an engine's whole answer. Returns nothing if it is not one.
auto ParseEngineAnswer(const std::string& body)
    -> std::optional<completion_metadata>;

/// Text of the events of a stream, as delivered so far.
auto TextOfEvents(std::string_view events) -> std::string;

/// Usage in an event of a stream, if it carries any.
auto UsageOfEvent(std::string_view event) -> std::optional<completion_metadata>;

/// A whole answer as the events of a stream, without the final `[DONE]`.
auto AnswerAsEvents(const std::string& answer_body) -> std::string;

}  // namespace lovagedale
