#include "lovagedale/common/byte_budget.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {

TEST_CASE("reservations together stay within the budget") {
  byte_budget budget(100, 0);
  byte_reservation first(budget);
  CHECK(first.Resize(60));
  {
    byte_reservation second(budget);
    CHECK_FALSE(second.Resize(41));
    CHECK(second.Resize(40));
    CHECK_FALSE(first.Resize(61));
    CHECK(first.Resize(50));
    CHECK(budget.used_bytes() == 90);
  }
  CHECK(budget.used_bytes() == 50);
  CHECK(first.Resize(100));
}

// Guards against large answers failing the calls that have small ones.
TEST_CASE("a small reservation is granted when the budget is used up") {
  byte_budget budget(100, 10);
  byte_reservation large(budget);
  CHECK(large.Resize(110));
  byte_reservation small(budget);
  CHECK(small.Resize(10));
  CHECK_FALSE(small.Resize(11));
}

}  // namespace lovagedale::testing
