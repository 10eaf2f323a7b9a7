#include "lovagedale/rpc/frame.h"

#include <boost/endian/conversion.hpp>

namespace lovagedale {
namespace {

constexpr std::size_t kCallIdOffset = 4;
constexpr std::size_t kKindOffset = 12;

}  // namespace

auto EncodeFrameHeader(const frame_header& header)
    -> std::array<char, kFrameHeaderBytes> {
  std::array<char, kFrameHeaderBytes> bytes{};
  auto* out = reinterpret_cast<unsigned char*>(bytes.data());
  boost::endian::store_little_u32(out, header.body_bytes);
  boost::endian::store_little_u64(out + kCallIdOffset, header.call_id);
  out[kKindOffset] = static_cast<unsigned char>(header.kind);
  return bytes;
}

auto DecodeFrameHeader(const std::array<char, kFrameHeaderBytes>& bytes)
    -> std::optional<frame_header> {
  const auto* in = reinterpret_cast<const unsigned char*>(bytes.data());
  frame_header header;
  header.body_bytes = boost::endian::load_little_u32(in);
  header.call_id = boost::endian::load_little_u64(in + kCallIdOffset);
  header.kind = static_cast<frame_kind>(in[kKindOffset]);
  if (header.body_bytes > kMaxFrameBytes) return std::nullopt;
  if (header.kind < frame_kind::kRequest || header.kind > frame_kind::kPong) {
    return std::nullopt;
  }
  return header;
}

auto EncodeFrame(std::uint64_t call_id, frame_kind kind,
                 const std::string& body) -> std::string {
  const auto header = EncodeFrameHeader(
      {static_cast<std::uint32_t>(body.size()), call_id, kind});
  std::string frame;
  frame.reserve(header.size() + body.size());
  frame.append(header.data(), header.size());
  frame += body;
  return frame;
}

}  // namespace lovagedale
