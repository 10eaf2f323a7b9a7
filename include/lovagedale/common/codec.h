#pragma once

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <concepts>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "lovagedale/common/format.h"
#include "lovagedale/common/memory_archive.h"

namespace lovagedale {

/// Thrown when bytes do not decode to the expected message type. The text names
/// the format of the bytes and that of this build.
class codec_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A message type with fields that older formats do not have. `AddedFields`
/// encodes those that are set; `SetAddedFields` takes what was received, in
/// which any of them may be missing.
template <typename Message>
concept has_added_fields = requires(const Message& message, Message& target,
                                    const added_fields& fields) {
  { message.AddedFields() } -> std::same_as<added_fields>;
  { target.SetAddedFields(fields) } -> std::same_as<void>;
};

/// Encodes the fixed fields alone. The same content gives the same bytes with
/// every build, so these may be compared and hashed.
template <typename Message>
auto EncodeFixed(const Message& message) -> std::string;

/// Decodes what EncodeFixed returned. Throws codec_error.
template <typename Message>
auto DecodeFixed(std::string_view bytes) -> Message;

/// Encodes a message or stored item with its format: the fixed fields, which no
/// build changes, the fields that were added since, and the footer.
template <typename Message>
auto Encode(const Message& message, format_number oldest_reader = kFirstFormat)
    -> std::string;

template <typename Message>
struct decoded_message {
  Message message;
  format_footer footer;  ///< `written` is the format of the sender's build
};

/// Decodes a message of any format that this build can read. Throws codec_error
/// if `bytes` do not hold a `Message`, or if a newer build says that this one
/// would misunderstand them.
template <typename Message>
auto DecodeWithFormat(std::string_view bytes) -> decoded_message<Message>;

template <typename Message>
auto Decode(std::string_view bytes) -> Message {
  return DecodeWithFormat<Message>(bytes).message;
}

}  // namespace lovagedale

#include "lovagedale/common/codec-inl.h"
