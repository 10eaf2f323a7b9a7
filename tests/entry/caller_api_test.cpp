#include "lovagedale/entry/caller_api.h"

#include <doctest/doctest.h>

#include "support/fixtures.h"

namespace lovagedale::testing {
namespace {

auto RefusalOf(const header_list& headers) -> std::string {
  try {
    CheckKeyHeaders({"POST", "/v1/chat/completions", headers, ""});
    return "";
  } catch (const request_refused& error) {
    CHECK(error.status() == 400);
    CHECK(error.ran() == ran_state::kNo);
    return error.what();
  }
}

}  // namespace

// Guards against a request that counts for one key here and for the other one
// in a program on the way, and against keys of any length.
TEST_CASE("a request with two keys or a too long one is refused") {
  CHECK(
      RefusalOf({{"Authorization", "Bearer a"}, {"authorization", "Bearer b"}})
          .starts_with("Authorization: got 2 keys"));
  CHECK(RefusalOf({{"Idempotency-Key", "a"}, {"Idempotency-Key", "a"}})
            .starts_with("Idempotency-Key: got 2 keys"));
  CHECK(RefusalOf({{"Authorization", "Bearer " + std::string(1'025, 'k')}})
            .starts_with("Authorization: got 1032 bytes"));
  CHECK(RefusalOf({{"Idempotency-Key", std::string(257, 'k')}})
            .starts_with("Idempotency-Key: got 257 bytes"));
  CHECK(RefusalOf({{"Authorization", "Bearer " + std::string(1'024, 'k')},
                   {"Idempotency-Key", std::string(256, 'k')}})
            .empty());
}

// Guards against a customer that is looked up in a newer configuration, and
// used without a check that it is still there.
TEST_CASE("a request whose customer was removed is refused") {
  const auto config = ParseCatalog(SmallDocument());
  CHECK(RequireCustomer(config, "carts", ran_state::kNo).name == "carts");
  try {
    RequireCustomer(config, "gloves", ran_state::kMaybe);
    FAIL("not refused");
  } catch (const request_refused& refusal) {
    CHECK(refusal.status() == 403);
    CHECK(refusal.ran() == ran_state::kMaybe);
  }
}

}  // namespace lovagedale::testing
