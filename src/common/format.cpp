#include "lovagedale/common/format.h"

#include <boost/endian/conversion.hpp>

namespace lovagedale {
namespace {

/// Random, so that content without a footer does not end with it by chance. The
/// mark is this, exclusive-or the number of bytes before the footer.
constexpr std::uint32_t kFooterMark = 0xd1a94c7eU;
constexpr std::size_t kMarkOffset = 2;

auto Mark(std::size_t content_bytes) -> std::uint32_t {
  return kFooterMark ^ static_cast<std::uint32_t>(content_bytes);
}

}  // namespace

auto EncodeFormatFooter(const format_footer& footer, std::size_t content_bytes)
    -> std::string {
  std::string bytes(kFormatFooterBytes, '\0');
  auto* out = reinterpret_cast<unsigned char*>(bytes.data());
  out[0] = footer.written;
  out[1] = footer.oldest_reader;
  boost::endian::store_little_u32(out + kMarkOffset, Mark(content_bytes));
  return bytes;
}

auto FindFormatFooter(std::string_view bytes) -> std::optional<format_footer> {
  if (bytes.size() < kFormatFooterBytes) return std::nullopt;
  const auto content_bytes = bytes.size() - kFormatFooterBytes;
  const auto* in =
      reinterpret_cast<const unsigned char*>(bytes.data() + content_bytes);
  const format_footer footer{in[0], in[1]};
  const bool is_footer =
      boost::endian::load_little_u32(in + kMarkOffset) == Mark(content_bytes) &&
      footer.written > kFirstFormat && footer.oldest_reader <= footer.written;
  if (!is_footer) return std::nullopt;
  return footer;
}

}  // namespace lovagedale
