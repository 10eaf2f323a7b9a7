#include "lovagedale/session/session_token.h"

#include <charconv>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr char kSeparator = '~';
constexpr std::size_t kHexDigits = 16;

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
  const auto last = text.rfind(kSeparator);
  if (last == std::string_view::npos || last == 0) return std::nullopt;
  const auto middle = text.rfind(kSeparator, last - 1);
  if (middle == std::string_view::npos) return std::nullopt;
  const auto version = text.substr(0, middle);
  const auto nonce = text.substr(middle + 1, last - middle - 1);
  if (nonce.size() != kHexDigits ||
      text.substr(last + 1) != Checksum(version, nonce, customer)) {
    return std::nullopt;
  }
  session_token token;
  token.version = std::string(version);
  std::from_chars(nonce.data(), nonce.data() + nonce.size(), token.nonce, 16);
  return token;
}

}  // namespace lovagedale
