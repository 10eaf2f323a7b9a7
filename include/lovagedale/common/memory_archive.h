#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace lovagedale {

static_assert(std::endian::native == std::endian::little,
              "the archives copy numbers as they are in memory");

/// First byte of each archive, as written by cereal's portable binary archive:
/// the numbers are little-endian.
inline constexpr std::uint8_t kLittleEndianMark = 1;

/// Appends a message to a string, with the bytes of cereal's portable binary
/// archive on a little-endian machine.
class memory_output_archive
    : public cereal::OutputArchive<memory_output_archive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit memory_output_archive(std::string& out)
      : cereal::OutputArchive<memory_output_archive,
                              cereal::AllowEmptyClassElision>(this),
        out_(out) {
    Append(&kLittleEndianMark, sizeof(kLittleEndianMark));
  }

  auto Append(const void* data, std::size_t bytes) -> void {
    out_.append(static_cast<const char*>(data), bytes);
  }

 private:
  std::string& out_;
};

/// Reads what memory_output_archive writes. Checks each length against the
/// bytes that are left before memory is allocated for it, so that a damaged
/// message cannot exhaust the memory. Throws cereal::Exception.
class memory_input_archive
    : public cereal::InputArchive<memory_input_archive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit memory_input_archive(std::string_view bytes);

  auto Read(void* data, std::size_t bytes) -> void {
    CheckLength(bytes);
    if (bytes > 0) std::memcpy(data, rest_.data(), bytes);
    rest_.remove_prefix(bytes);
  }
  /// Throws if fewer than `bytes` are left.
  auto CheckLength(std::uint64_t bytes) const -> void;
  /// Bytes that have not been read.
  auto rest() const -> std::string_view { return rest_; }

 private:
  std::string_view rest_;
};

template <typename T>
concept plain_number = std::is_arithmetic_v<T>;

template <plain_number T>
auto CEREAL_SAVE_FUNCTION_NAME(memory_output_archive& archive, const T& value)
    -> void {
  archive.Append(&value, sizeof(value));
}

template <plain_number T>
auto CEREAL_LOAD_FUNCTION_NAME(memory_input_archive& archive, T& value)
    -> void {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.Read(&byte, sizeof(byte));
    if (byte > 1) throw cereal::Exception("a truth value is neither 0 nor 1");
    value = byte == 1;
  } else {
    archive.Read(&value, sizeof(value));
  }
}

template <typename Archive, typename T>
requires std::is_same_v<Archive, memory_output_archive> ||
    std::is_same_v<Archive, memory_input_archive>
auto CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive,
                                    cereal::NameValuePair<T>& item) -> void {
  archive(item.value);
}

template <typename T>
auto CEREAL_SAVE_FUNCTION_NAME(memory_output_archive& archive,
                               const cereal::SizeTag<T>& count) -> void {
  archive(count.size);
}

template <typename T>
auto CEREAL_LOAD_FUNCTION_NAME(memory_input_archive& archive,
                               cereal::SizeTag<T>& count) -> void {
  archive(count.size);
  archive.CheckLength(count.size);
}

template <typename T>
auto CEREAL_SAVE_FUNCTION_NAME(memory_output_archive& archive,
                               const cereal::BinaryData<T>& data) -> void {
  archive.Append(data.data, data.size);
}

template <typename T>
auto CEREAL_LOAD_FUNCTION_NAME(memory_input_archive& archive,
                               cereal::BinaryData<T>& data) -> void {
  archive.Read(data.data, data.size);
}

/// Elements are added one by one, as cereal would make all of them before it
/// reads the first.
template <typename T>
requires(!std::is_arithmetic_v<T>) auto CEREAL_LOAD_FUNCTION_NAME(
    memory_input_archive& archive, std::vector<T>& items) -> void {
  cereal::size_type count = 0;
  archive(cereal::make_size_tag(count));
  items.clear();
  for (; count > 0; --count) archive(items.emplace_back());
}

}  // namespace lovagedale

CEREAL_REGISTER_ARCHIVE(lovagedale::memory_output_archive)
CEREAL_REGISTER_ARCHIVE(lovagedale::memory_input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(lovagedale::memory_input_archive,
                            lovagedale::memory_output_archive)
