#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagedale {

/// A session's id. It contains the version assigned to the session, so an entry
/// needs no look-up and keeps the version also in a partitioned zone.
struct session_token {
  std::string version;
  std::uint64_t nonce = 0;

  auto operator==(const session_token&) const -> bool = default;
};

/// Returns the text form: version, nonce and a checksum that detects altered
/// tokens. The token is not a secret, and its checksum is not a signature:
/// anybody can compute it. Neither is needed, because a session permits nothing
/// beyond its customer's rights.
auto FormatSessionToken(const session_token& token, std::string_view customer)
    -> std::string;

/// Returns nothing unless the text is in the form that FormatSessionToken
/// creates for this customer.
auto ParseSessionToken(std::string_view text, std::string_view customer)
    -> std::optional<session_token>;

}  // namespace lovagedale
