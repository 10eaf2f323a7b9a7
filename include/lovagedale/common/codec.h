#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <istream>
#include <sstream>
#include <stdexcept>
#include <streambuf>
#include <string>
#include <string_view>

namespace lovagedale {

/// Thrown when bytes do not decode to the expected message type.
class codec_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Stream buffer over memory that it does not own or copy.
class memory_streambuf : public std::streambuf {
 public:
  explicit memory_streambuf(std::string_view bytes) {
    // The get area is only read; std::streambuf's interface is not const.
    auto* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }
};

/// Encodes a message with cereal's portable binary archive.
template <typename Message>
auto Encode(const Message& message) -> std::string {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(message);
  return std::move(out).str();
}

/// Decodes a message. Throws codec_error if `bytes` do not hold a `Message`.
template <typename Message>
auto Decode(std::string_view bytes) -> Message {
  memory_streambuf buffer(bytes);
  std::istream in(&buffer);
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(message);
  } catch (const std::exception& error) {
    throw codec_error(std::string("message does not decode: ") + error.what());
  }
  return message;
}

}  // namespace lovagedale
