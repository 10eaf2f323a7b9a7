#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lovagedale/billing/bill.h"
#include "lovagedale/replication/disk.h"

namespace lovagedale {

/// A place in a journal: before the batch that begins there. The default is
/// the journal's beginning.
struct journal_position {
  std::uint64_t segment = 0;
  std::uint64_t offset = 0;  ///< bytes

  auto operator<=>(const journal_position&) const = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(segment, offset);
  }
};

/// Some records of a journal and where the next ones begin.
struct journal_page {
  std::vector<bill_record> records;
  journal_position next_position;
};

/// Where a journal's files are and how far they are synced. A value, so that
/// another thread can read what was there when it was taken: files only grow.
struct journal_view {
  std::string folder;
  std::string prefix;
  journal_position end;
};

/// Records from `from` on: whole batches, until there are `limit` records or
/// more. A position that the journal does not have is moved to the beginning of
/// its segment. Throws storage_error if a file is damaged.
auto ReadJournal(const journal_view& view, journal_position from,
                 std::size_t limit) -> journal_page;

/// Append-only journal of bills in numbered segments of one folder. It keeps no
/// record in memory. One thread.
template <durable_disk Disk>
class basic_bill_journal {
 public:
  using visitor = std::function<void(const bill_record&)>;

  /// Opens the journal and calls `visit` with each record from `from` on. An
  /// incomplete last batch is cut off. Throws storage_error.
  basic_bill_journal(Disk& disk, const std::string& folder, std::string prefix,
                     std::uint64_t segment_bytes, journal_position from,
                     const visitor& visit);
  ~basic_bill_journal();
  basic_bill_journal(const basic_bill_journal&) = delete;
  auto operator=(const basic_bill_journal&) -> basic_bill_journal& = delete;

  /// Appends the records with one sync. When it returns, they last. Throws
  /// storage_error.
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
