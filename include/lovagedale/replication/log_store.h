#pragma once

#include <string>
#include <vector>

#include "lovagedale/common/format.h"
#include "lovagedale/replication/disk.h"
#include "lovagedale/replication/messages.h"
#include "lovagedale/replication/replica_core.h"

namespace lovagedale {

/// Creates the data folder of one initial voter of a new group. All initial
/// voters must be given the same `voter_names`. Throws storage_error if the
/// folder is not empty. Must not be used to repair a replica: it would have a
/// vote again although its log is lost.
auto InitializeDataFolder(const std::string& folder,
                          const std::vector<std::string>& voter_names) -> void;

struct recovered_segment;

/// Durable state of one replica in one data folder: numbered segments of
/// checksummed batches, and one snapshot. Not thread-safe.
template <durable_disk Disk>
class basic_log_store {
 public:
  /// Opens the folder and reads its state. A missing folder is created empty,
  /// under a new incarnation. An incomplete last batch is truncated. Syncs what
  /// was read, since an earlier process may have been killed before it did.
  /// Throws storage_error for any other damage, and without changing anything
  /// if the folder needs a later format than this build has.
  basic_log_store(Disk& disk, std::string folder);
  ~basic_log_store();
  basic_log_store(const basic_log_store&) = delete;
  auto operator=(const basic_log_store&) -> basic_log_store& = delete;

  /// State that was read when the folder was opened.
  auto recovered() const -> const stored_state& { return recovered_; }
  /// Oldest format whose builds may open the folder.
  auto required_format() const -> format_number { return required_format_; }
  /// Makes builds of an older format refuse the folder. Throws storage_error.
  auto RequireFormat(format_number format) -> void;
  /// Writes the durable parts of `output` as one batch and syncs it. Writes
  /// nothing if there are none. After a storage_error the same output may be
  /// stored again: what was written of it is truncated first.
  auto Persist(const replica_output& output) -> void;
  /// Stores a snapshot, starts a new segment with `entries` (the log after the
  /// snapshot) and removes the older segments. After a storage_error the store
  /// holds what it held before, and may be used on.
  auto SaveSnapshot(const log_snapshot& snapshot, const hard_state& hard,
                    const std::vector<log_entry>& entries) -> void;

 private:
  auto SyncRecovered(const std::vector<recovered_segment>& segments) -> void;
  auto WriteSnapshotFile(const log_snapshot& snapshot) -> void;
  auto StartSegment() -> void;
  /// Writes a batch to the current segment and syncs it.
  auto WriteBatch(const std::string& batch) -> void;
  /// Truncates what a failed write has left in the current segment.
  auto RepairSegment() -> void;
  auto RemoveOldSegments() -> void;

  Disk& disk_;
  std::string folder_;
  stored_state recovered_;
  format_number required_format_ = kFirstFormat;
  std::uint64_t segment_ = 0;
  int fd_ = -1;
  std::size_t synced_bytes_ = 0;  ///< of the current segment
  /// The current segment may have more bytes than the synced ones, or its name
  /// may not be durable.
  bool needs_repair_ = false;
};

using log_store = basic_log_store<posix_disk>;

}  // namespace lovagedale

#include "lovagedale/replication/log_store-inl.h"
