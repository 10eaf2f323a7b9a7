#include "decisions/recovery_study.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <vector>

#include "lovagedale/common/codec.h"
#include "lovagedale/configuration/control_machine.h"
#include "lovagedale/replication/log_store.h"
#include "support/replica_cluster.h"
#include "support/temporary_folder.h"

namespace lovagedale::benchmark {
namespace {

constexpr std::size_t kKills = 100;
constexpr monotonic_ms kTargetMs = 1'000;
constexpr log_index kChanges = 100'000;
constexpr log_index kSnapshotEvery = 10'000;
constexpr double kBytesPerMegabyte = 1e6;

/// From the kill of a leader until another one holds the lease.
auto FailoverMs(std::uint64_t seed) -> double {
  testing::replica_cluster cluster(3, seed);
  cluster.Run(3'000);
  const auto leader = cluster.Leader();
  if (!leader) return 1e9;
  cluster.Crash(*leader);
  const auto start = cluster.now();
  while (!cluster.Leader() && cluster.now() - start < 100'000) cluster.Run(10);
  return static_cast<double>(cluster.now() - start);
}

auto Command(log_index index) -> log_entry {
  const change item{"change-" + std::to_string(index), kAnyRevision, "operator",
                    0, lift_quarantine{index}};
  return {index, 1, entry_kind::kCommand, Encode(control_command(item))};
}

/// Stores 100,000 changes as a replica does, with a snapshot now and then.
auto StoreChanges(const std::string& folder) -> std::string {
  InitializeDataFolder(folder, {"r0"});
  posix_disk disk;
  log_store store(disk, folder);
  control_machine machine;
  constexpr log_index kBatch = 100;
  for (log_index i = 1; i <= kChanges; i += kBatch) {
    replica_output output;
    for (log_index j = i; j < i + kBatch; ++j) {
      output.appended.push_back(Command(j));
      machine.Apply(output.appended.back());
    }
    store.Persist(output);
    const auto last = i + kBatch - 1;
    if (last % kSnapshotEvery == kSnapshotEvery / 2) {
      store.SaveSnapshot({last, 1, {}, machine.TakeSnapshot()}, {1, "r0"}, {});
    }
  }
  return machine.TakeSnapshot();
}

auto FolderBytes(const std::string& folder) -> double {
  double bytes = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    bytes += static_cast<double>(file.file_size());
  }
  return bytes;
}

}  // namespace

auto RunRecoveryStudy(figure_report& report) -> void {
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= kKills; ++seed) {
    times.push_back(FailoverMs(seed));
  }
  std::sort(times.begin(), times.end());
  report.AtMost("failover.worst_ms_of_100_kills", times.back(), kTargetMs,
                "virtual clock, messages 1 to 40 ms");
  report.Plain("failover.median_ms", times[times.size() / 2]);

  testing::temporary_folder folder;
  const auto state = StoreChanges(folder.path());
  const auto start = std::chrono::steady_clock::now();
  posix_disk disk;
  const log_store reopened(disk, folder.path());
  control_machine machine;
  machine.Restore(reopened.recovered().snapshot.state);
  for (const auto& entry : reopened.recovered().entries) machine.Apply(entry);
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - start;
  report.AtMost("recovery.states_differ",
                machine.TakeSnapshot() == state ? 0 : 1, 0,
                "after 100,000 changes");
  // A snapshot keeps 20,000 results of about 150 bytes; the log after it at
  // most 10,000 entries of about as much.
  report.AtMost("recovery.disk_megabytes",
                FolderBytes(folder.path()) / kBytesPerMegabyte, 8);
  report.Plain("recovery.seconds", took.count(), "target below 1");
}

}  // namespace lovagedale::benchmark
