#include "lovagedale/session/session_token.h"

#include <charconv>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr char kSeparator = '~';
constexpr std::size_t kNonceHexDigits = 16;

auto Checksum(std::string_view version, std::string_view nonce,
              std::string_view customer) -> std::string {
  return ToHex(HashFields(version, nonce, customer));
}

}  // namespace

auto FormatSessionToken(const session_token& token, std::string_view customer)
    -> std::string {
  const auto nonce = ToHex(token.nonce);
  return token.version + kSeparator + nonce + kSeparator +
         Checksum(token.version, nonce, customer);
}

auto ParseSessionToken(std::string_view text, std::string_view customer)
    -> std::optional<session_token> {
  const auto checksum_separator = text.rfind(kSeparator);
  if (checksum_separator == std::string_view::npos || checksum_separator == 0) {
    return std::nullopt;
  }
  const auto nonce_separator = text.rfind(kSeparator, checksum_separator - 1);
  if (nonce_separator == std::string_view::npos) return std::nullopt;
  const auto version = text.substr(0, nonce_separator);
  const auto nonce = text.substr(nonce_separator + 1,
                                 checksum_separator - nonce_separator - 1);
  if (nonce.size() != kNonceHexDigits ||
      text.substr(checksum_separator + 1) !=
          Checksum(version, nonce, customer)) {
    return std::nullopt;
  }
  session_token token;
  token.version = std::string(version);
  std::from_chars(nonce.data(), nonce.data() + nonce.size(), token.nonce, 16);
  return token;
}

}  // namespace lovagedale
