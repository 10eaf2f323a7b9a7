#pragma once

#include "lovagedale/common/codec.h"

namespace lovagedale {

template <typename Message>
auto AddedFieldsOf(const Message& message) -> added_fields {
  if constexpr (has_added_fields<Message>) {
    return message.AddedFields();
  } else {
    return {};
  }
}

template <typename... Messages>
auto AddedFieldsOf(const std::variant<Messages...>& message) -> added_fields {
  return std::visit([](const auto& item) { return AddedFieldsOf(item); },
                    message);
}

template <typename Message>
auto SetAddedFieldsOf(Message& message, const added_fields& fields) -> void {
  if constexpr (has_added_fields<Message>) message.SetAddedFields(fields);
}

template <typename... Messages>
auto SetAddedFieldsOf(std::variant<Messages...>& message,
                      const added_fields& fields) -> void {
  std::visit([&](auto& item) { SetAddedFieldsOf(item, fields); }, message);
}

/// Reads a message and returns what is left of the bytes.
template <typename Message>
auto ReadFixed(std::string_view bytes, Message& message) -> std::string_view {
  memory_input_archive archive(bytes);
  archive(message);
  return archive.rest();
}

/// Throws codec_error with the formats of the bytes and of this build.
[[noreturn]] auto FailDecoding(const format_footer& footer,
                               const std::string& reason) -> void;

template <typename Message>
auto EncodeFixed(const Message& message) -> std::string {
  std::string bytes;
  memory_output_archive archive(bytes);
  archive(message);
  return bytes;
}

template <typename Message>
auto DecodeFixed(std::string_view bytes) -> Message {
  Message message;
  try {
    if (!ReadFixed(bytes, message).empty()) {
      throw cereal::Exception("bytes follow the message");
    }
  } catch (const std::exception& error) {
    throw codec_error(std::string("message does not decode: ") + error.what());
  }
  return message;
}

template <typename Message>
auto Encode(const Message& message, format_number oldest_reader)
    -> std::string {
  auto bytes = EncodeFixed(message);
  const auto added = AddedFieldsOf(message);
  if (!added.empty()) bytes += EncodeFixed(added);
  return bytes += EncodeFormatFooter({kFormat, oldest_reader}, bytes.size());
}

template <typename Message>
auto DecodeWithFormat(std::string_view bytes) -> decoded_message<Message> {
  const auto found = FindFormatFooter(bytes);
  const auto footer = found.value_or(format_footer{});
  if (found) bytes.remove_suffix(kFormatFooterBytes);
  if (footer.oldest_reader > kFormat) {
    FailDecoding(footer, "a newer build is needed");
  }
  decoded_message<Message> result{{}, footer};
  try {
    const auto rest = ReadFixed(bytes, result.message);
    if (!rest.empty() && !found) {
      throw cereal::Exception("bytes follow the message");
    }
    if (!rest.empty()) {
      SetAddedFieldsOf(result.message, DecodeFixed<added_fields>(rest));
    }
  } catch (const std::exception& error) {
    FailDecoding(footer, error.what());
  }
  return result;
}

}  // namespace lovagedale
