#include "lovagedale/rpc/frame.h"

#include <boost/endian/conversion.hpp>

namespace lovagedale {
namespace {

constexpr std::size_t kCallIdOffset = 4;
constexpr std::size_t kOldestReaderOffset = 10;
constexpr std::size_t kFormatOffset = 11;
constexpr std::size_t kKindOffset = 12;
/// Set in the format of a response: a build of the first format returns the
/// request's instead.
constexpr std::uint8_t kResponderBit = 0x80;

}  // namespace

auto EncodeFrameHeader(const frame_header& header)
    -> std::array<char, kFrameHeaderBytes> {
  std::array<char, kFrameHeaderBytes> bytes{};
  auto* out = reinterpret_cast<unsigned char*>(bytes.data());
  boost::endian::store_little_u32(out, header.body_bytes);
  boost::endian::store_little_u48(out + kCallIdOffset, header.call_id);
  if (header.format != format_footer{}) {
    out[kOldestReaderOffset] = header.format.oldest_reader;
    out[kFormatOffset] = header.format.written;
    if (header.kind == frame_kind::kResponse) {
      out[kFormatOffset] |= kResponderBit;
    }
  }
  out[kKindOffset] = static_cast<unsigned char>(header.kind);
  return bytes;
}

auto DecodeFrameHeader(const std::array<char, kFrameHeaderBytes>& bytes)
    -> std::optional<frame_header> {
  const auto* in = reinterpret_cast<const unsigned char*>(bytes.data());
  frame_header header;
  header.body_bytes = boost::endian::load_little_u32(in);
  header.call_id = boost::endian::load_little_u48(in + kCallIdOffset);
  header.kind = static_cast<frame_kind>(in[kKindOffset]);
  if (header.body_bytes > kMaxFrameBytes) return std::nullopt;
  if (header.kind < frame_kind::kRequest || header.kind > frame_kind::kPong) {
    return std::nullopt;
  }
  const bool is_response = header.kind == frame_kind::kResponse;
  const std::uint8_t format = in[kFormatOffset];
  if (is_response == ((format & kResponderBit) != 0) && format != 0) {
    header.format = {static_cast<format_number>(format & ~kResponderBit),
                     in[kOldestReaderOffset]};
  }
  return header;
}

auto EncodeFrame(std::uint64_t call_id, frame_kind kind, std::string_view body,
                 bool of_first_format) -> std::string {
  const auto footer = FindFormatFooter(body);
  if (footer) body.remove_suffix(kFormatFooterBytes);
  const auto format =
      of_first_format ? format_footer{} : footer.value_or(format_footer{});
  const auto header = EncodeFrameHeader(
      {static_cast<std::uint32_t>(body.size()), call_id, kind, format});
  std::string frame;
  frame.reserve(header.size() + body.size());
  frame.append(header.data(), header.size());
  frame += body;
  return frame;
}

auto RestoreBody(const frame_header& header, std::string body) -> std::string {
  if (header.format == format_footer{}) return body;
  return body += EncodeFormatFooter(header.format, body.size());
}

}  // namespace lovagedale
