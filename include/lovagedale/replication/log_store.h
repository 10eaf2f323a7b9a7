#pragma once

#include <string>
#include <vector>

#include "lovagedale/replication/disk.h"
#include "lovagedale/replication/messages.h"
#include "lovagedale/replication/replica_core.h"

namespace lovagedale {

/// Creates a data folder for the first start of a group: every voter of the
/// group is created with the same member names. Throws storage_error if the
/// folder already holds data. Never used to repair a replica.
auto InitializeDataFolder(const std::string& folder,
                          const std::vector<std::string>& voter_names) -> void;

/// Durable state of one replica in one data folder: numbered segments of
/// checksummed batches, and one snapshot. Not for use by two threads.
template <durable_disk Disk>
class basic_log_store {
 public:
  /// Opens the folder and reads its state; a missing folder is created blank,
  /// under a new incarnation. An incomplete last batch is cut off. Throws
  /// storage_error for anything else that does not read back.
  basic_log_store(Disk& disk, std::string folder);
  ~basic_log_store();
  basic_log_store(const basic_log_store&) = delete;
  auto operator=(const basic_log_store&) -> basic_log_store& = delete;

  /// What was read when the folder was opened.
  auto recovered() const -> const stored_state& { return recovered_; }
  /// Writes what `output` asks to be stored and syncs it, as one batch.
  auto Persist(const replica_output& output) -> void;
  /// Stores a snapshot and starts a segment with `entries`, the log after
  /// it; then removes older segments.
  auto SaveSnapshot(const log_snapshot& snapshot, const hard_state& hard,
                    const std::vector<log_entry>& entries) -> void;

 private:
  auto WriteSnapshotFile(const log_snapshot& snapshot) -> void;
  auto StartSegment() -> void;
  auto RemoveOldSegments() -> void;

  Disk& disk_;
  std::string folder_;
  stored_state recovered_;
  std::uint64_t segment_ = 0;
  int fd_ = -1;
};

using log_store = basic_log_store<posix_disk>;

}  // namespace lovagedale

#include "lovagedale/replication/log_store-inl.h"
