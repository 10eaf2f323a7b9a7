#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lovagedale {

/// Number of a format of messages and stored data. Each build knows all formats
/// up to its own; docs/DESIGN.md, "Formats", lists what each of them added.
using format_number = std::uint8_t;

/// Format of builds whose messages and files have no footer.
inline constexpr format_number kFirstFormat = 1;
/// Format of this build.
inline constexpr format_number kFormat = 5;

/// Last part of each message and stored item: which format it is in and which
/// formats can read it. Readers of kFirstFormat ignore it.
struct format_footer {
  format_number written = kFirstFormat;
  /// A build of an older format would misunderstand the content and refuses it.
  format_number oldest_reader = kFirstFormat;

  auto operator==(const format_footer&) const -> bool = default;
};

inline constexpr std::size_t kFormatFooterBytes = 6;

/// Bytes of the footer that follows `content_bytes` bytes: both numbers, and a
/// mark that depends on `content_bytes`, little-endian.
auto EncodeFormatFooter(const format_footer& footer, std::size_t content_bytes)
    -> std::string;
/// The footer at the end of `bytes`, or nothing if they have none. The footer
/// of an item that is the last part of `bytes` is not taken for theirs.
auto FindFormatFooter(std::string_view bytes) -> std::optional<format_footer>;

/// What a message says beyond its fixed fields: encoded values by the number of
/// their field. A reader skips the numbers that it does not know. A number is
/// never used again for something else.
using added_fields = std::map<std::uint16_t, std::string>;

}  // namespace lovagedale
