#pragma once

#include <optional>
#include <utility>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/log.h"
#include "lovagedale/replication/log_store.h"
#include "lovagedale/replication/segment_files.h"

namespace lovagedale {

inline constexpr std::string_view kLogPrefix = "log";
inline constexpr const char* kIdentityFile = "identity";

/// Content of one batch of the log.
struct log_batch {
  std::optional<hard_state> hard;
  std::optional<log_index> truncate_from;
  std::vector<log_entry> entries;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(hard, truncate_from, entries);
  }
};

/// A segment that is not empty. The bytes after the valid ones are an
/// incomplete batch.
struct recovered_segment {
  std::string path;
  std::size_t valid_bytes = 0;
  std::size_t file_bytes = 0;

  auto operator==(const recovered_segment&) const -> bool = default;
};

/// State read from a data folder, its segments and the number of the last one.
struct opened_folder {
  stored_state state;
  format_number required_format = kFirstFormat;
  std::vector<recovered_segment> segments;
  std::uint64_t last_segment = 0;
};

auto OpenDataFolder(const std::string& folder) -> opened_folder;
auto EncodeLogBatch(const log_batch& batch) -> std::string;
/// Content of the file `identity`, which says who may open the folder.
auto EncodeIdentity(incarnation_id incarnation, format_number required_format)
    -> std::string;

template <durable_disk Disk>
basic_log_store<Disk>::basic_log_store(Disk& disk, std::string folder)
    : disk_(disk), folder_(std::move(folder)) {
  auto opened = OpenDataFolder(folder_);
  recovered_ = std::move(opened.state);
  required_format_ = opened.required_format;
  SyncRecovered(opened.segments);
  segment_ = opened.last_segment;
  StartSegment();
}

template <durable_disk Disk>
basic_log_store<Disk>::~basic_log_store() {
  if (fd_ < 0) return;
  try {
    disk_.CloseFile(fd_);
  } catch (const std::exception&) {
    // Nothing is lost: every record was synced before it was acknowledged.
  }
}

template <durable_disk Disk>
auto basic_log_store<Disk>::SyncRecovered(
    const std::vector<recovered_segment>& segments) -> void {
  for (const auto& segment : segments) {
    const auto dropped_bytes = segment.file_bytes - segment.valid_bytes;
    if (dropped_bytes > 0) {
      disk_.Truncate(segment.path, segment.valid_bytes);
    } else {
      disk_.SyncPath(segment.path);
    }
    log_line(dropped_bytes > 0 ? log_level::kWarning : log_level::kInfo,
             "log_segment_recovered")
        .With("file", segment.path)
        .With("valid_bytes", segment.valid_bytes)
        .With("dropped_bytes", dropped_bytes);
  }
}

template <durable_disk Disk>
auto basic_log_store<Disk>::StartSegment() -> void {
  if (needs_repair_) RepairSegment();
  const int fd =
      disk_.OpenAppend(SegmentPath(folder_, kLogPrefix, segment_ + 1));
  const int former_fd = std::exchange(fd_, fd);
  ++segment_;
  synced_bytes_ = 0;
  needs_repair_ = true;
  if (former_fd >= 0) disk_.CloseFile(former_fd);
  disk_.SyncFolder(folder_);
  needs_repair_ = false;
}

template <durable_disk Disk>
auto basic_log_store<Disk>::WriteBatch(const std::string& batch) -> void {
  if (needs_repair_) RepairSegment();
  needs_repair_ = true;
  disk_.Write(fd_, batch);
  disk_.SyncFile(fd_);
  synced_bytes_ += batch.size();
  needs_repair_ = false;
}

template <durable_disk Disk>
auto basic_log_store<Disk>::RepairSegment() -> void {
  disk_.Truncate(SegmentPath(folder_, kLogPrefix, segment_), synced_bytes_);
  disk_.SyncFolder(folder_);
  log_line(log_level::kInfo, "log_segment_repaired")
      .With("segment", segment_)
      .With("bytes", synced_bytes_);
}

template <durable_disk Disk>
auto basic_log_store<Disk>::Persist(const replica_output& output) -> void {
  if (output.installed_snapshot) {
    WriteSnapshotFile(*output.installed_snapshot);
  }
  if (!output.hard && !output.truncate_from && output.appended.empty() &&
      !output.installed_snapshot) {
    return;
  }
  log_batch batch{output.hard, output.truncate_from, output.appended};
  // An installed snapshot replaces the entire log.
  if (output.installed_snapshot) batch.truncate_from = 1;
  WriteBatch(EncodeLogBatch(batch));
}

template <durable_disk Disk>
auto basic_log_store<Disk>::SaveSnapshot(const log_snapshot& snapshot,
                                         const hard_state& hard,
                                         const std::vector<log_entry>& entries)
    -> void {
  WriteSnapshotFile(snapshot);
  StartSegment();
  // After a crash before RemoveOldSegments, the older segments are read first.
  // The truncation then drops their copies of `entries`.
  WriteBatch(EncodeLogBatch({hard, snapshot.index + 1, entries}));
  RemoveOldSegments();
}

template <durable_disk Disk>
auto basic_log_store<Disk>::RequireFormat(format_number format) -> void {
  ReplaceFile(disk_, folder_, kIdentityFile,
              EncodeIdentity(recovered_.incarnation, format));
  required_format_ = format;
}

template <durable_disk Disk>
auto basic_log_store<Disk>::WriteSnapshotFile(const log_snapshot& snapshot)
    -> void {
  ReplaceFile(disk_, folder_, "snapshot", Encode(snapshot));
}

template <durable_disk Disk>
auto basic_log_store<Disk>::RemoveOldSegments() -> void {
  auto numbers = ListSegments(folder_, kLogPrefix);
  std::erase_if(numbers, [&](auto number) { return number >= segment_; });
  // The newest first, each removal made durable: the segments that are left
  // after a crash have no gap between them.
  for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
    disk_.Remove(SegmentPath(folder_, kLogPrefix, *number));
    disk_.SyncFolder(folder_);
  }
}

}  // namespace lovagedale
