#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

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
/// Bytes before the body: u32 length, u64 call id, u8 kind, little-endian.
inline constexpr std::size_t kFrameHeaderBytes = 13;

struct frame_header {
  std::uint32_t body_bytes = 0;
  std::uint64_t call_id = 0;
  frame_kind kind = frame_kind::kRequest;

  auto operator==(const frame_header&) const -> bool = default;
};

auto EncodeFrameHeader(const frame_header& header)
    -> std::array<char, kFrameHeaderBytes>;

/// Returns nothing if the kind is unknown or the length exceeds
/// kMaxFrameBytes; the connection must then be closed.
auto DecodeFrameHeader(const std::array<char, kFrameHeaderBytes>& bytes)
    -> std::optional<frame_header>;

/// Header and body as one buffer.
auto EncodeFrame(std::uint64_t call_id, frame_kind kind,
                 const std::string& body) -> std::string;

}  // namespace lovagedale
