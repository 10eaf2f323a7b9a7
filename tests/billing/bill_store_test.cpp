#include "lovagedale/billing/bill_store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <random>

#include "lovagedale/replication/errors.h"
#include "lovagedale/replication/segment_files.h"
#include "support/quota_disk.h"
#include "support/temporary_folder.h"

namespace lovagedale::testing {
namespace {

auto Bill(const std::string& id, money_micros cost, bill_status status)
    -> bill_record {
  bill_record bill;
  bill.request_id = id;
  bill.cost_micros = cost;
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

/// A store that can be restarted and can lose its disk.
class restartable_store {
 public:
  explicit restartable_store(std::uint64_t store_id) : store_id_(store_id) {
    Start();
  }
  auto Restart() -> void {
    store_.reset();
    Start();
  }
  auto LoseDisk() -> void {
    store_.reset();
    folder_.emplace();
    store_id_ += kStoreIdIncrement;
    Start();
  }
  auto SaveCheckpoint() -> void { store_->SaveCheckpoint(progress_); }
  auto Add(const bill_record& bill) -> void { store_->Add({bill}); }
  /// Reads one page of each source from the other store, as a ledger does.
  auto ExchangeWith(const std::string& name, const restartable_store& other,
                    std::size_t limit) -> bool {
    auto& progress = progress_[name];
    const auto read = [&](bill_source source) {
      const auto page =
          other.store_->ReadPage(source, progress.PositionOf(source), limit);
      return store_->AddPage(page, source, progress);
    };
    bool is_behind = read(bill_source::kEntry);
    if (!progress.HasReadStoreJournal())
      is_behind |= read(bill_source::kOtherStore);
    return is_behind;
  }
  auto IsRepairedFrom(const std::string& name) -> bool {
    return progress_[name].IsRepaired();
  }
  auto Bills() const -> std::vector<bill_record> {
    return ReadBills(store_->view(), {});
  }
  auto store() -> bill_store& { return *store_; }

 private:
  static constexpr std::uint64_t kStoreIdIncrement = 1'000;

  auto Start() -> void {
    store_.emplace(disk_, folder_->path(), store_id_,
                   bill_store_options{kSegmentBytes, kRecentRecords});
    progress_ = store_->recovered_progress();
  }

  static constexpr std::uint64_t kSegmentBytes = 300;
  static constexpr std::size_t kRecentRecords = 3;

  std::optional<temporary_folder> folder_{std::in_place};
  posix_disk disk_;
  std::uint64_t store_id_;
  std::optional<bill_store> store_;
  exchange_progress_map progress_;
};

/// Three stores and the bills that they acknowledged.
class store_group {
 public:
  auto Add(std::size_t store, const bill_record& bill) -> void {
    stores_[store].Add(bill);
    const auto [expected, is_new] =
        expected_.try_emplace(bill.request_id, bill);
    if (!is_new) expected->second = MergeBills(expected->second, bill);
  }
  auto Exchange(std::size_t from, std::size_t to, std::size_t limit) -> bool {
    return stores_[to].ExchangeWith(std::to_string(from), stores_[from], limit);
  }
  auto ExchangeAll() -> void {
    for (bool is_behind = true; is_behind;) {
      is_behind = false;
      for (std::size_t from = 0; from < stores_.size(); ++from) {
        for (std::size_t to = 0; to < stores_.size(); ++to) {
          if (from != to) is_behind |= Exchange(from, to, 3);
        }
      }
    }
  }
  auto store(std::size_t index) -> restartable_store& { return stores_[index]; }
  auto Expected() const -> std::vector<bill_record> {
    std::vector<bill_record> bills;
    for (const auto& [id, bill] : expected_) bills.push_back(bill);
    return bills;
  }
  auto AllHold(const std::vector<bill_record>& bills) const -> bool {
    return std::all_of(stores_.begin(), stores_.end(), [&](const auto& store) {
      return store.Bills() == bills;
    });
  }

 private:
  std::array<restartable_store, 3> stores_{
      restartable_store(1), restartable_store(2), restartable_store(3)};
  std::map<std::string, bill_record> expected_;
};

auto RandomBill(std::mt19937_64& random) -> bill_record {
  return Bill(
      "r" + std::to_string(random() % 40),
      static_cast<money_micros>(random() % 4),
      random() % 2 == 0 ? bill_status::kPartial : bill_status::kComplete);
}

auto EntrySegmentPaths(const std::string& folder) -> std::vector<std::string> {
  std::vector<std::string> paths;
  for (const auto number : ListSegments(folder, "bills-entries")) {
    paths.push_back(SegmentPath(folder, "bills-entries", number));
  }
  return paths;
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

TEST_CASE("a store keeps one bill per request across restarts") {
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
  const auto bills = ReadBills(store.view(), {});
  REQUIRE(bills.size() == 2);
  CHECK(bills[0].request_id == "x");
  CHECK(bills[0].cost_micros == 9);
}

TEST_CASE("stores that exchange pages in any order converge across restarts") {
  CHECK(rc::check([](std::uint64_t seed) {
    store_group group;
    std::mt19937_64 random(seed);
    for (int i = 0; i < 120; ++i) {
      const auto store = random() % 3;
      const auto other = (store + 1 + random() % 2) % 3;
      switch (random() % 6) {
        case 0:
          group.store(store).Restart();
          break;
        case 1:
          group.store(store).SaveCheckpoint();
          break;
        case 2:
          group.Exchange(store, other, 1 + random() % 4);
          break;
        default:
          group.Add(store, RandomBill(random));
      }
    }
    group.ExchangeAll();
    RC_ASSERT(group.AllHold(group.Expected()));
  }));
}

TEST_CASE("losing one disk after another, each repaired, loses no bill") {
  CHECK(rc::check([](std::uint64_t seed) {
    store_group group;
    std::mt19937_64 random(seed);
    for (std::size_t lost : {0, 1, 2}) {
      for (int i = 0; i < 20; ++i) group.Add(random() % 3, RandomBill(random));
      if (random() % 2 == 0) group.store(random() % 3).SaveCheckpoint();
      group.ExchangeAll();
      group.store(lost).LoseDisk();
      group.ExchangeAll();
    }
    RC_ASSERT(group.AllHold(group.Expected()));
  }));
}

TEST_CASE(
    "a blank store is repaired once it has read both journals of the other") {
  restartable_store a(1);
  restartable_store b(2);
  for (int i = 0; i < 50; ++i) {
    a.Add(Bill("r" + std::to_string(i), 1, bill_status::kComplete));
  }
  while (!b.IsRepairedFrom("a")) {
    CHECK(b.Bills().size() < 50);
    b.ExchangeWith("a", a, 10);
  }
  CHECK(b.Bills() == a.Bills());
}

TEST_CASE("a restarted store resumes from its checkpoint") {
  restartable_store a(1);
  restartable_store b(2);
  for (int i = 0; i < 50; ++i) {
    a.Add(Bill("r" + std::to_string(i), 1, bill_status::kComplete));
  }
  while (b.ExchangeWith("a", a, 10)) {
  }
  b.SaveCheckpoint();
  b.Restart();
  CHECK(b.store().record_count() == 50);
  const auto progress = b.store().recovered_progress().at("a");
  CHECK(progress.IsRepaired());
  CHECK(a.store()
            .ReadPage(bill_source::kEntry, progress.entry_position, 10)
            .records.empty());
}

TEST_CASE("the parts of a query are disjoint and cover all bills") {
  restartable_store store(1);
  for (int i = 0; i < 100; ++i) {
    auto bill = Bill("r" + std::to_string(i), 1, bill_status::kComplete);
    bill.customer = i % 4 == 0 ? "carts" : "gloves";
    store.Add(bill);
  }
  std::vector<bill_record> joined;
  for (std::uint32_t part = 0; part < 7; ++part) {
    const auto bills = ReadBills(store.store().view(), {"carts", part, 7});
    joined.insert(joined.end(), bills.begin(), bills.end());
  }
  std::sort(joined.begin(), joined.end(), [](const auto& a, const auto& b) {
    return a.request_id < b.request_id;
  });
  CHECK(joined.size() == 25);
  CHECK(joined == ReadBills(store.store().view(), {"carts", 0, 1}));
}

TEST_CASE("an incomplete last batch is truncated, a damaged one is an error") {
  temporary_folder folder;
  posix_disk disk;
  const bill_store_options options{300, 3};
  {
    bill_store store(disk, folder.path(), 1, options);
    for (int i = 0; i < 20; ++i) {
      store.Add({Bill("r" + std::to_string(i), 1, bill_status::kComplete)});
    }
  }
  const auto segments = EntrySegmentPaths(folder.path());
  REQUIRE(segments.size() > 2);
  disk.Truncate(segments.back(),
                std::filesystem::file_size(segments.back()) - 1);
  {
    bill_store store(disk, folder.path(), 1, options);
    CHECK(ReadBills(store.view(), {}).size() == 19);
    store.Add({Bill("r19", 1, bill_status::kComplete)});
    CHECK(ReadBills(store.view(), {}).size() == 20);
    store.SaveCheckpoint({});
  }
  std::fstream file(segments.front(),
                    std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(kBatchHeaderBytes + 8);
  file.put('X');
  file.close();
  bill_store store(disk, folder.path(), 1, options);
  CHECK_THROWS_WITH_AS(
      ReadBills(store.view(), {}),
      doctest::Contains("bills-entries-000000000001: damaged batch at byte 0"),
      storage_error);
}

TEST_CASE("a bill that the disk has no space for is not acknowledged") {
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
  CHECK(ReadBills(store.view(), {}).size() == acknowledged);
}

}  // namespace lovagedale::testing
