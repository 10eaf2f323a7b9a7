#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagedale {

/// 64-bit xxHash of `bytes`. Not cryptographic.
inline auto Hash64(std::string_view bytes, std::uint64_t seed = 0)
    -> std::uint64_t {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

/// Hash of several fields; the length of each is hashed too, so that
/// ("ab", "c") and ("a", "bc") differ.
template <typename... Fields>
auto HashFields(const Fields&... fields) -> std::uint64_t {
  std::uint64_t hash = 0;
  ((hash = Hash64(std::string_view(fields),
                  hash + std::string_view(fields).size() + 1)),
   ...);
  return hash;
}

/// `value` as 16 lower-case hexadecimal digits.
inline auto ToHex(std::uint64_t value) -> std::string {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = kDigits[value & 15U];
    value >>= 4U;
  }
  return text;
}

/// One round of splitmix64: maps a counter to a well-mixed 64-bit value.
inline auto MixBits(std::uint64_t value) -> std::uint64_t {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

/// The key of a server in frequent messages, from the hash of its id. Two of a
/// few hundred servers share one about once in 100,000 fleets.
inline auto ServerKey(std::uint64_t id_hash) -> std::uint32_t {
  return static_cast<std::uint32_t>(id_hash >> 32U);
}

/// Maps a hash to [0, 1).
inline auto ToUnitInterval(std::uint64_t hash) -> double {
  return static_cast<double>(hash >> 11U) * 0x1.0p-53;
}

}  // namespace lovagedale
