#include "lovagedale/session/session_token.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace lovagedale::testing {

TEST_CASE("a token contains its version and is valid only for its customer") {
  CHECK(rc::check([](std::uint64_t nonce) {
    const session_token token{"scholar@2", nonce};
    const auto text = FormatSessionToken(token, "carts");
    RC_ASSERT(ParseSessionToken(text, "carts") == token);
    RC_ASSERT(!ParseSessionToken(text, "gloves").has_value());
  }));
}

TEST_CASE("altered tokens and other texts are rejected") {
  auto text = FormatSessionToken({"scholar@2", 1}, "carts");
  text[0] = 'X';
  for (const auto& bad :
       {std::string{}, std::string("~"), std::string("a~b~c"), text}) {
    CHECK_FALSE(ParseSessionToken(bad, "carts").has_value());
  }
}

}  // namespace lovagedale::testing
