#include <doctest/doctest.h>

#include "lovagedale/replication/errors.h"
#include "lovagedale/replication/log_store.h"
#include "support/power_loss_disk.h"
#include "support/temporary_folder.h"

namespace lovagedale::testing {
namespace {

using test_store = basic_log_store<power_loss_disk>;

auto Append(log_index index) -> replica_output {
  replica_output output;
  output.appended.push_back(
      {index, 1, entry_kind::kCommand, "command " + std::to_string(index)});
  return output;
}

}  // namespace

// Guards against a replica that acknowledges entries that it has recovered but
// not synced: killed between a write and its sync, restarted, then without
// power.
TEST_CASE("an entry that was recovered after a kill survives a power loss") {
  temporary_folder folder;
  InitializeDataFolder(folder.path(), {"r0"});
  power_loss_disk disk;
  {
    test_store store(disk, folder.path());
    store.Persist(Append(1));
    disk.KillAtNextSync();
    CHECK_THROWS_AS(store.Persist(Append(2)), process_killed);
  }
  {
    test_store store(disk, folder.path());
    REQUIRE(store.recovered().entries.size() == 2);
    store.Persist(Append(3));
  }
  disk.LosePower();
  test_store store(disk, folder.path());
  CHECK(store.recovered().entries.size() == 3);
}

// Guards against a gap in the log: of three segments that a snapshot replaces,
// the first is removed, and the others have entries after the snapshot.
TEST_CASE("a store that was killed while it removed segments opens again") {
  for (int removals = 0; removals < 3; ++removals) {
    CAPTURE(removals);
    temporary_folder folder;
    InitializeDataFolder(folder.path(), {"r0"});
    power_loss_disk disk;
    constexpr log_index kEntries = 3;
    for (log_index index = 1; index <= kEntries; ++index) {
      test_store store(disk, folder.path());
      store.Persist(Append(index));
      if (index < kEntries) continue;
      // The removal of an earlier temporary file comes first.
      disk.KillAfterRemovals(1 + removals);
      CHECK_THROWS_AS(
          store.SaveSnapshot({1, 1, {}, "state"}, {1, "r0"},
                             {Append(2).appended[0], Append(3).appended[0]}),
          process_killed);
    }
    test_store store(disk, folder.path());
    CHECK(store.recovered().snapshot.index == 1);
    CHECK(store.recovered().entries.size() == 2);
  }
}

}  // namespace lovagedale::testing
