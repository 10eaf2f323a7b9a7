#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lovagedale/billing/bill.h"
#include "lovagedale/replication/disk.h"

namespace lovagedale {

/// Position of a batch boundary in a journal. The default is the beginning of
/// the journal.
struct journal_position {
  std::uint64_t segment = 0;
  std::uint64_t offset = 0;  ///< bytes

  auto operator<=>(const journal_position&) const = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(segment, offset);
  }
};

/// Consecutive records of a journal and the position after them.
struct journal_page {
  std::vector<bill_record> records;
  journal_position next_position;
};

/// Location of a journal's files and the end of the synced data. A copy stays
/// valid while the journal grows, as files are only appended to, so another
/// thread can read the records up to its `end`.
struct journal_view {
  std::string folder;
  std::string prefix;
  journal_position end;
};

/// Reads complete batches from `from` on until there are at least `limit`
/// records or the journal ends. An offset beyond the end of its segment is
/// replaced by the beginning of the segment, and a segment beyond the last one
/// by the first. Throws storage_error if a file is damaged.
auto ReadJournal(const journal_view& view, journal_position from,
                 std::size_t limit) -> journal_page;

/// Append-only journal of bills, stored as numbered segments in one folder.
/// Keeps no records in memory. Not thread-safe.
template <durable_disk Disk>
class basic_bill_journal {
 public:
  using visitor = std::function<void(const bill_record&)>;

  /// Opens the journal and calls `visit` with each record from `from` on. An
  /// incomplete last batch is truncated. Throws storage_error.
  basic_bill_journal(Disk& disk, const std::string& folder, std::string prefix,
                     std::uint64_t segment_bytes, journal_position from,
                     const visitor& visit);
  ~basic_bill_journal();
  basic_bill_journal(const basic_bill_journal&) = delete;
  auto operator=(const basic_bill_journal&) -> basic_bill_journal& = delete;

  /// Appends the records with a single sync; they are durable when it returns.
  /// Throws storage_error.
  auto Append(const std::vector<bill_record>& records) -> void;
  auto view() const -> const journal_view& { return view_; }

 private:
  auto RepairLastSegment() -> void;
  auto OpenSegment() -> void;

  Disk& disk_;
  std::uint64_t segment_bytes_;
  journal_view view_;
  int fd_ = -1;
};

}  // namespace lovagedale

#include "lovagedale/billing/bill_journal-inl.h"
