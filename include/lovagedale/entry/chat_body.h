#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lovagedale/entry/refusal.h"

namespace lovagedale {

/// The fields of a chat completion request that the entry uses.
struct chat_request {
  std::string model;   ///< `auto`, a model, or `model@version`
  std::string prompt;  ///< text of all messages, for prefix hashes
  bool stream = false;
  bool include_usage = false;

  auto operator==(const chat_request&) const -> bool = default;
};

/// Parses a request body. Throws request_refused (400) that names the field.
auto ParseChatRequest(const std::string& body) -> chat_request;

/// Changes to the caller's body before it is sent to an engine: the version's
/// name, the priority and, for a resumed stream, the text that the caller has
/// already received.
struct engine_body_options {
  std::string version;
  bool stream = false;
  bool low_priority = false;
  std::string delivered_text;
};

auto MakeEngineBody(const std::string& caller_body,
                    const engine_body_options& options) -> std::string;

/// Token counts, confidence signal and text of a complete answer.
struct completion_metadata {
  std::uint64_t input_tokens = 0;
  std::uint64_t output_tokens = 0;
  /// Geometric mean of the answer's token probabilities, from 0 to 1, if the
  /// engine reported log-probabilities.
  std::optional<double> signal;
  std::string text;
};

/// Parses an engine's complete answer. Returns nullopt if the body is not a
/// chat completion.
auto ParseEngineAnswer(const std::string& body)
    -> std::optional<completion_metadata>;

/// Concatenated text deltas of a stream's complete events.
auto TextOfEvents(std::string_view events) -> std::string;

/// Token counts of a single event that has a `usage` field. Returns nullopt
/// otherwise, also for a text of several events.
auto UsageOfEvent(std::string_view event) -> std::optional<completion_metadata>;

/// Converts a complete answer to stream events, without the final `[DONE]`.
auto AnswerAsEvents(const std::string& answer_body) -> std::string;

}  // namespace lovagedale
