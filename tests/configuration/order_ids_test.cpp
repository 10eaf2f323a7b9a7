#include "lovagedale/configuration/order_ids.h"

#include <doctest/doctest.h>

namespace lovagedale::testing {
namespace {

constexpr monotonic_ms kResendMs = 4'000;
constexpr std::uint64_t kContent = 7;

auto Record(const std::string& id, std::int64_t at_ms,
            std::uint64_t content = kContent,
            change_status status = change_status::kApplied) -> change_record {
  change_record record;
  record.change_id = id;
  record.at_ms = at_ms;
  record.content_hash = content;
  record.result.status = status;
  return record;
}

auto Identify(std::int64_t now_ms, const std::deque<change_record>& history,
              std::uint64_t content = kContent) -> order_identity {
  return IdentifyOrder({"rollout/v2", content, now_ms}, history, kResendMs);
}

}  // namespace

// Guards against an acknowledged order that is dropped because one with the
// same content was applied long before (LOST).
TEST_CASE("an order is new if it comes after the time for sending it again") {
  CHECK(Identify(0, {}) == order_identity{"rollout/v2", false});
  std::deque<change_record> history{Record("rollout/v2", 0)};
  CHECK(Identify(kResendMs, history) == order_identity{"rollout/v2", true});
  CHECK(Identify(kResendMs + 1, history) ==
        order_identity{"rollout/v2/2", false});
  history.push_back(Record("rollout/v2/2", 10'000));
  history.push_back(Record("rollout/v3", 11'000));
  CHECK(Identify(12'000, history) == order_identity{"rollout/v2/2", true});
  CHECK(Identify(20'000, history) == order_identity{"rollout/v2/3", false});
}

TEST_CASE("an order is compared by its content, and with applied ones only") {
  const std::deque<change_record> history{
      Record("rollout/v2", 0), Record("rollout/v2/2", 100, /*content=*/8),
      Record("rollout/v2/3", 200, /*content=*/9, change_status::kInvalid)};
  CHECK(Identify(300, history) == order_identity{"rollout/v2", true});
  CHECK(Identify(300, history, 8) == order_identity{"rollout/v2/2", true});
  CHECK(Identify(300, history, 9) == order_identity{"rollout/v2/4", false});
}

TEST_CASE("ids of other orders and of parts of an order are passed over") {
  const std::deque<change_record> history{
      Record("rollout/v2/part/1", 0), Record("rollout/v22", 0),
      Record("rollout/v2/", 0), Record("rollout/v2/3/part/1", 0)};
  CHECK(Identify(0, history) == order_identity{"rollout/v2", false});
}

TEST_CASE("a copy is recognized if the replicas' clocks differ a little") {
  const std::deque<change_record> history{Record("rollout/v2", 5'000)};
  CHECK(Identify(4'000, history).may_be_copy);
}

}  // namespace lovagedale::testing
