#include <doctest/doctest.h>

#include "lovagedale/billing/bill_journal.h"
#include "lovagedale/billing/bill_store.h"
#include "support/power_loss_disk.h"
#include "support/temporary_folder.h"

namespace lovagedale::testing {
namespace {

using test_journal = basic_bill_journal<power_loss_disk>;

auto Bill(const std::string& request_id) -> bill_record {
  bill_record bill;
  bill.request_id = request_id;
  return bill;
}

}  // namespace

// Guards against bills that other stores have read after a restart and that the
// next power loss drops: written, but not synced, by a process that was killed.
TEST_CASE("a bill that was recovered after a kill survives a power loss") {
  // Each batch gets its own segment.
  constexpr std::uint64_t kSegmentBytes = 1;
  temporary_folder folder;
  power_loss_disk disk;
  const auto count_records = [&](std::size_t& records) {
    records = 0;
    return test_journal(disk, folder.path(), "bills", kSegmentBytes, {},
                        [&](const bill_record&) { ++records; });
  };
  std::size_t records = 0;
  {
    auto journal = count_records(records);
    journal.Append({Bill("a")});
    disk.KillAtNextSync();
    CHECK_THROWS_AS(journal.Append({Bill("b")}), process_killed);
  }
  {
    auto journal = count_records(records);
    REQUIRE(records == 2);
    journal.Append({Bill("c")});
  }
  disk.LosePower();
  count_records(records);
  CHECK(records == 3);
}

}  // namespace lovagedale::testing
