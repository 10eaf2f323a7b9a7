#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagedale {

/// A session's id. It carries the version that the session was given, so each
/// entry knows it without asking, and in a cut-off zone too.
struct session_token {
  std::string version;
  std::uint64_t nonce = 0;

  auto operator==(const session_token&) const -> bool = default;
};

/// Text form: version, nonce and a checksum that catches altered tokens. Not
/// a secret: a session grants nothing that its customer is not allowed.
auto FormatSessionToken(const session_token& token, std::string_view customer)
    -> std::string;

/// Returns nothing unless the text was made by FormatSessionToken for this
/// customer.
auto ParseSessionToken(std::string_view text, std::string_view customer)
    -> std::optional<session_token>;

}  // namespace lovagedale
