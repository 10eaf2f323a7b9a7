#pragma once

#include <algorithm>

#include "lovagedale/billing/bill_journal.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/common/log.h"
#include "lovagedale/replication/segment_files.h"

namespace lovagedale {

/// Maximum records in one batch. Limits the size of an exchange page, which
/// consists of complete batches.
inline constexpr std::ptrdiff_t kJournalBatchRecords = 1'000;

template <durable_disk Disk>
basic_bill_journal<Disk>::basic_bill_journal(
    Disk& disk, const std::string& folder, std::string prefix,
    std::uint64_t segment_bytes, journal_position from, const visitor& visit)
    : disk_(disk),
      segment_bytes_(segment_bytes),
      view_{folder, std::move(prefix), {1, 0}} {
  RepairLastSegment();
  while (from < view_.end) {
    auto page = ReadJournal(view_, from, std::size_t{kJournalBatchRecords});
    for (const auto& record : page.records) visit(record);
    from = page.next_position;
  }
  OpenSegment();
}

template <durable_disk Disk>
basic_bill_journal<Disk>::~basic_bill_journal() {
  if (fd_ < 0) return;
  try {
    disk_.CloseFile(fd_);
  } catch (const std::exception&) {
    // Every record was synced before it was acknowledged.
  }
}

template <durable_disk Disk>
auto basic_bill_journal<Disk>::RepairLastSegment() -> void {
  const auto segments = ListSegments(view_.folder, view_.prefix);
  if (segments.empty()) return;
  const auto path = SegmentPath(view_.folder, view_.prefix, segments.back());
  const auto scan =
      ScanBatches(path, ReadWholeFile(path), [](std::string_view) {});
  if (scan.HasTornTail()) {
    log_line(log_level::kWarning, "bill_tail_truncated")
        .With("file", path)
        .With("dropped_bytes", scan.file_bytes - scan.valid_bytes);
    disk_.Truncate(path, scan.valid_bytes);
  } else {
    // An earlier process may have been killed between a write and its sync.
    disk_.SyncPath(path);
  }
  view_.end = {segments.back(), scan.valid_bytes};
}

template <durable_disk Disk>
auto basic_bill_journal<Disk>::OpenSegment() -> void {
  if (fd_ >= 0) disk_.CloseFile(fd_);
  fd_ = disk_.OpenAppend(
      SegmentPath(view_.folder, view_.prefix, view_.end.segment));
  disk_.SyncFolder(view_.folder);
}

template <durable_disk Disk>
auto basic_bill_journal<Disk>::Append(const std::vector<bill_record>& records)
    -> void {
  std::string bytes;
  for (auto begin = records.begin(); begin != records.end();) {
    const auto count = std::min(records.end() - begin, kJournalBatchRecords);
    bytes +=
        EncodeBatch(Encode(std::vector<bill_record>(begin, begin + count)));
    begin += count;
  }
  if (bytes.empty()) return;
  if (view_.end.offset >= segment_bytes_) {
    view_.end = {view_.end.segment + 1, 0};
    OpenSegment();
  }
  disk_.Write(fd_, bytes);
  disk_.SyncFile(fd_);
  view_.end.offset += bytes.size();
}

}  // namespace lovagedale
