#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lovagedale/common/format.h"

namespace lovagedale {

/// Kind of a frame; determines how the receiver handles it.
enum class frame_kind : std::uint8_t {
  kRequest = 1,
  kResponse,
  kOneWay,
  kPing,  ///< answered with kPong; detects dead connections
  kPong,
};

/// Largest accepted frame body, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 64UL << 20U;
/// Bytes before the body: u32 length, u48 call id, u8 oldest reader, u8 format,
/// u8 kind, little-endian. Builds of the first format have a u64 call id, whose
/// two highest bytes are zero, and return a request's in their response.
inline constexpr std::size_t kFrameHeaderBytes = 13;
/// Call ids are less than this.
inline constexpr std::uint64_t kCallIdLimit = std::uint64_t{1} << 48U;

struct frame_header {
  std::uint32_t body_bytes = 0;
  std::uint64_t call_id = 0;
  frame_kind kind = frame_kind::kRequest;
  format_footer format;  ///< of the body

  auto operator==(const frame_header&) const -> bool = default;
};

auto EncodeFrameHeader(const frame_header& header)
    -> std::array<char, kFrameHeaderBytes>;

/// Returns nothing if the kind is unknown or the length exceeds
/// kMaxFrameBytes; the connection must then be closed.
auto DecodeFrameHeader(const std::array<char, kFrameHeaderBytes>& bytes)
    -> std::optional<frame_header>;

/// Header and body as one buffer. A format footer at the end of `body` goes
/// into the header instead, or is left out if the peer's build is
/// `of_first_format`.
auto EncodeFrame(std::uint64_t call_id, frame_kind kind, std::string_view body,
                 bool of_first_format = false) -> std::string;

/// The body as EncodeFrame was given it.
auto RestoreBody(const frame_header& header, std::string body) -> std::string;

}  // namespace lovagedale
