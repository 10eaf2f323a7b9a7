#include "lovagedale/replication/log_store.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include "lovagedale/replication/batch_file.h"
#include "lovagedale/replication/errors.h"
#include "support/quota_disk.h"
#include "support/temporary_folder.h"

namespace lovagedale::testing {
namespace {

namespace fs = std::filesystem;

auto Entry(log_index index, const std::string& payload) -> log_entry {
  return {index, 1, entry_kind::kCommand, payload};
}

auto AppendOutput(log_index from, log_index to) -> replica_output {
  replica_output output;
  output.hard = hard_state{1, "r0"};
  for (auto i = from; i <= to; ++i) {
    output.appended.push_back(Entry(i, "command " + std::to_string(i)));
  }
  return output;
}

auto LastSegment(const std::string& folder) -> std::string {
  std::string last;
  for (const auto& file : fs::directory_iterator(folder)) {
    const auto path = file.path().string();
    if (path.find("/log-") != std::string::npos && fs::file_size(path) > 0) {
      last = std::max(last, path);
    }
  }
  return last;
}

auto Reopen(const std::string& folder) -> stored_state {
  posix_disk disk;
  return log_store(disk, folder).recovered();
}

auto FlipByte(const std::string& path, std::streamoff offset) -> void {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(offset);
  const auto byte = static_cast<char>(file.get() ^ 1);
  file.seekp(offset);
  file.put(byte);
}

}  // namespace

TEST_CASE("a reopened store recovers what it has synced") {
  temporary_folder folder;
  InitializeDataFolder(folder.path(), {"r0", "r1", "r2"});
  {
    posix_disk disk;
    log_store store(disk, folder.path());
    CHECK(store.recovered().snapshot.members.VoterCount() == 3);
    store.Persist(AppendOutput(1, 10));
    replica_output truncate = AppendOutput(8, 9);
    truncate.truncate_from = 8;
    store.Persist(truncate);
  }
  const auto state = Reopen(folder.path());
  CHECK(state.entries.size() == 9);
  CHECK(state.hard == hard_state{1, "r0"});
  CHECK(state.incarnation == 1);
}

TEST_CASE("a group's folder is created only once") {
  temporary_folder folder;
  InitializeDataFolder(folder.path(), {"r0"});
  CHECK_THROWS_AS(InitializeDataFolder(folder.path(), {"r0"}), storage_error);
}

TEST_CASE("an empty folder opens empty under a new incarnation") {
  temporary_folder first;
  temporary_folder second;
  const auto a = Reopen(first.path());
  const auto b = Reopen(second.path());
  CHECK(a.incarnation > 1);
  CHECK(a.incarnation != b.incarnation);
  CHECK(a.snapshot.members.members.empty());
  CHECK(Reopen(first.path()).incarnation == a.incarnation);
}

TEST_CASE("an unfinished last batch of any length is truncated") {
  for (const std::size_t missing : {1U, 7U, 40U}) {
    temporary_folder folder;
    InitializeDataFolder(folder.path(), {"r0"});
    {
      posix_disk disk;
      log_store store(disk, folder.path());
      store.Persist(AppendOutput(1, 5));
      store.Persist(AppendOutput(6, 6));
    }
    const auto path = LastSegment(folder.path());
    fs::resize_file(path, fs::file_size(path) - missing);
    CHECK(Reopen(folder.path()).entries.size() == 5);
    CHECK(Reopen(folder.path()).entries.size() == 5);
  }
}

TEST_CASE("a damaged batch in the middle is rejected with file and offset") {
  temporary_folder folder;
  InitializeDataFolder(folder.path(), {"r0"});
  {
    posix_disk disk;
    log_store store(disk, folder.path());
    store.Persist(AppendOutput(1, 5));
    store.Persist(AppendOutput(6, 9));
  }
  FlipByte(LastSegment(folder.path()), 30);
  try {
    Reopen(folder.path());
    FAIL("the damaged log was accepted");
  } catch (const storage_error& error) {
    CHECK(std::string(error.what()).find("checksum mismatch at byte 0") !=
          std::string::npos);
  }
}

TEST_CASE("a damaged snapshot is rejected") {
  temporary_folder folder;
  InitializeDataFolder(folder.path(), {"r0"});
  FlipByte(folder.path() + "/snapshot", 20);
  CHECK_THROWS_AS(Reopen(folder.path()), storage_error);
}

TEST_CASE("a snapshot removes older segments, which bounds the disk usage") {
  temporary_folder folder;
  InitializeDataFolder(folder.path(), {"r0"});
  {
    posix_disk disk;
    log_store store(disk, folder.path());
    for (log_index i = 1; i <= 2'000; ++i) store.Persist(AppendOutput(i, i));
    store.SaveSnapshot({1'990, 1, {}, "state"}, {1, "r0"},
                       {Entry(1'991, "x"), Entry(1'992, "y")});
  }
  std::uintmax_t bytes = 0;
  for (const auto& file : fs::directory_iterator(folder.path())) {
    bytes += file.file_size();
  }
  CHECK(bytes < 1'000);
  const auto state = Reopen(folder.path());
  CHECK(state.snapshot.index == 1'990);
  CHECK(state.entries.size() == 2);
}

TEST_CASE("a full disk stops the store and loses nothing that was synced") {
  temporary_folder folder;
  InitializeDataFolder(folder.path(), {"r0"});
  log_index stored = 0;
  {
    quota_disk disk(2'000);
    basic_log_store<quota_disk> store(disk, folder.path());
    CHECK_THROWS_AS(
        {
          for (log_index i = 1; i <= 1'000; ++i) {
            store.Persist(AppendOutput(i, i));
            stored = i;
          }
        },
        storage_error);
  }
  CHECK(stored > 0);
  CHECK(Reopen(folder.path()).entries.size() == stored);
}

// Guards against a log that is damaged by the part of a batch that still fitted
// on a full disk.
TEST_CASE("a store goes on once a full disk has room again") {
  temporary_folder folder;
  InitializeDataFolder(folder.path(), {"r0"});
  log_index next = 1;
  {
    quota_disk disk(2'000);
    basic_log_store<quota_disk> store(disk, folder.path());
    const auto fill = [&] {
      for (; next < 1'000; ++next) store.Persist(AppendOutput(next, next));
    };
    CHECK_THROWS_AS(fill(), storage_error);
    CHECK_THROWS_AS(store.Persist(AppendOutput(next, next)), storage_error);
    disk.AddQuota(10);
    CHECK_THROWS_AS(store.Persist(AppendOutput(next, next)), storage_error);
    disk.AddQuota(2'000);
    store.Persist(AppendOutput(next, next));
    ++next;
    CHECK_THROWS_AS(fill(), storage_error);
    // Room for the snapshot, but not for the new segment.
    disk.AddQuota(100);
    CHECK_THROWS_AS(store.SaveSnapshot({next - 1, 1, {}, "state"}, {1, "r0"},
                                       {Entry(next, std::string(200, 'x'))}),
                    storage_error);
    disk.AddQuota(1'000);
    store.Persist(AppendOutput(next, next));
  }
  const auto state = Reopen(folder.path());
  CHECK(state.snapshot.index + state.entries.size() == next);
}

// Guards against a replica that stores nothing more after its disk was full
// during any step of a snapshot or of the batches around it.
TEST_CASE("a store goes on wherever its disk was full") {
  constexpr std::size_t kMostBytes = 1'500;
  constexpr std::size_t kRoomBytes = 10'000;
  for (std::size_t quota = 0; quota < kMostBytes; quota += 7) {
    CAPTURE(quota);
    temporary_folder folder;
    InitializeDataFolder(folder.path(), {"r0"});
    {
      quota_disk disk(quota);
      basic_log_store<quota_disk> store(disk, folder.path());
      // Twice, as a full disk refuses the first retry too.
      const auto store_with_retries = [&](const auto& step) {
        for (int i = 0; i < 2; ++i) {
          try {
            step();
            return;
          } catch (const storage_error&) {
          }
        }
        disk.AddQuota(kRoomBytes);
        step();
      };
      store_with_retries([&] { store.Persist(AppendOutput(1, 9)); });
      store_with_retries([&] {
        store.SaveSnapshot({6, 1, {}, std::string(300, 's')}, {1, "r0"},
                           {Entry(7, "command 7"), Entry(8, "command 8"),
                            Entry(9, "command 9")});
      });
      store_with_retries([&] { store.Persist(AppendOutput(10, 12)); });
    }
    const auto state = Reopen(folder.path());
    CHECK(state.snapshot.index == 6);
    REQUIRE(state.entries.size() == 6);
    CHECK(state.entries.back() == Entry(12, "command 12"));
  }
}

}  // namespace lovagedale::testing
