#include "lovagedale/billing/bill_store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

#include "lovagedale/replication/errors.h"
#include "support/quota_disk.h"
#include "support/temporary_folder.h"

namespace lovagedale::testing {
namespace {

auto Bill(const std::string& id, micros cost, bill_status status)
    -> bill_record {
  bill_record bill;
  bill.request_id = id;
  bill.cost = cost;
  bill.status = status;
  return bill;
}

auto GenerateBill() -> rc::Gen<bill_record> {
  return rc::gen::apply(
      [](int cost, bool complete, int entry) {
        auto bill =
            Bill("r", cost,
                 complete ? bill_status::kComplete : bill_status::kPartial);
        bill.entry = "entry-" + std::to_string(entry);
        return bill;
      },
      rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>(),
      rc::gen::inRange(0, 3));
}

}  // namespace

TEST_CASE("merging bills is commutative, associative and idempotent") {
  CHECK(rc::check([] {
    const auto a = *GenerateBill();
    const auto b = *GenerateBill();
    const auto c = *GenerateBill();
    RC_ASSERT(MergeBills(a, b) == MergeBills(b, a));
    RC_ASSERT(MergeBills(MergeBills(a, b), c) ==
              MergeBills(a, MergeBills(b, c)));
    RC_ASSERT(MergeBills(a, a) == a);
  }));
}

TEST_CASE("a store keeps one bill a request across restarts") {
  temporary_folder folder;
  posix_disk disk;
  {
    bill_store store(disk, folder.path(), 1);
    store.Add({Bill("x", 5, bill_status::kPartial)});
    store.Add({Bill("x", 9, bill_status::kComplete),
               Bill("y", 1, bill_status::kComplete)});
    store.Add({Bill("x", 5, bill_status::kPartial)});
  }
  bill_store store(disk, folder.path(), 1);
  CHECK(store.size() == 2);
  CHECK(store.Find("x")->cost == 9);
}

TEST_CASE("stores that exchange pages in any order agree") {
  CHECK(rc::check([](std::uint64_t seed) {
    temporary_folder first;
    temporary_folder second;
    posix_disk disk;
    bill_store a(disk, first.path(), 1);
    bill_store b(disk, second.path(), 2);
    std::mt19937_64 random(seed);
    bill_sequence from_a = 0;
    bill_sequence from_b = 0;
    for (int i = 0; i < 40; ++i) {
      auto& store = random() % 2 == 0 ? a : b;
      store.Add({Bill(
          "r" + std::to_string(random() % 8), static_cast<micros>(random() % 4),
          random() % 2 == 0 ? bill_status::kPartial : bill_status::kComplete)});
      if (random() % 3 == 0) {
        const auto page = a.Since(from_a, 2);
        from_a = page.next;
        b.Add(page.records, bill_source::kOtherStore);
      }
    }
    for (int i = 0; i < 100; ++i) {
      const auto page_a = a.Since(from_a, 3);
      from_a = page_a.next;
      b.Add(page_a.records, bill_source::kOtherStore);
      const auto page_b = b.Since(from_b, 3);
      from_b = page_b.next;
      a.Add(page_b.records, bill_source::kOtherStore);
    }
    RC_ASSERT(a.bills() == b.bills());
  }));
}

TEST_CASE("a bill that met a full disk was not acknowledged") {
  temporary_folder folder;
  std::size_t acknowledged = 0;
  {
    quota_disk disk(1'500);
    basic_bill_store<quota_disk> store(disk, folder.path(), 1);
    CHECK_THROWS_AS(
        {
          for (int i = 0; i < 100; ++i) {
            store.Add(
                {Bill("r" + std::to_string(i), 1, bill_status::kComplete)});
            ++acknowledged;
          }
        },
        storage_error);
  }
  posix_disk disk;
  bill_store store(disk, folder.path(), 1);
  CHECK(acknowledged > 0);
  CHECK(store.size() == acknowledged);
}

}  // namespace lovagedale::testing
