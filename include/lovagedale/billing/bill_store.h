#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/billing/bill.h"
#include "lovagedale/billing/bill_journal.h"
#include "lovagedale/replication/disk.h"

namespace lovagedale {

/// Where a store received a record from. Each source has its own journal.
enum class bill_source : std::uint8_t {
  kEntry,       ///< an entry; offered to all other stores
  kOtherStore,  ///< another store; read only by stores under repair
};

/// Consecutive records of one source, in the order of their arrival.
struct bill_page {
  std::uint64_t store_id = 0;  ///< changes if the store lost its disk
  std::vector<bill_record> records;
  journal_position next_position;
  bool is_last = false;  ///< the journal had no later record
  /// Ends of both journals when the page was read.
  journal_position entry_journal_end;
  journal_position store_journal_end;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(store_id, records, next_position, is_last, entry_journal_end,
            store_journal_end);
  }
};

/// How far a store has read another store's journals.
struct exchange_progress {
  std::uint64_t store_id = 0;
  journal_position entry_position;
  journal_position store_position;
  /// Ends of the other store's journals at the first contact. A store that lost
  /// its disk recovers its own former records from the other store's
  /// kOtherStore journal. It reads that journal only up to this position:
  /// otherwise two stores under repair would exchange records endlessly.
  journal_position repair_entry_end;
  journal_position repair_store_end;

  auto HasReadStoreJournal() const -> bool {
    return store_id != 0 && store_position >= repair_store_end;
  }
  /// Whether every record that the other store had at the first contact has
  /// been read.
  auto IsRepaired() const -> bool {
    return HasReadStoreJournal() && entry_position >= repair_entry_end;
  }
  auto PositionOf(bill_source source) const -> journal_position {
    return source == bill_source::kEntry ? entry_position : store_position;
  }
  auto operator==(const exchange_progress&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(store_id, entry_position, store_position, repair_entry_end,
            repair_store_end);
  }
};

/// Progress by the other store's name.
using exchange_progress_map = std::map<std::string, exchange_progress>;

/// Selects bills of a store.
struct bill_query {
  std::string customer;  ///< empty: all
  /// Bills are partitioned by request id into `parts`, so that one part fits
  /// into memory. part < parts.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
};

/// Snapshot of a store's journals for a reader on another thread.
struct bill_store_view {
  journal_view entry_journal;
  journal_view store_journal;
};

/// Reads the files and returns one merged bill per request, sorted by request
/// id. Makes one pass over all files and holds only the bills of the queried
/// part in memory. Throws storage_error if a file is damaged.
auto ReadBills(const bill_store_view& view, const bill_query& query)
    -> std::vector<bill_record>;

/// Limits of a store.
struct bill_store_options {
  std::uint64_t segment_bytes = 16UL << 20U;
  /// Latest records kept in memory to detect duplicates; at most twice as many
  /// are held.
  std::size_t recent_records = 16'384;
};

/// Durable grow-only set of bills in bounded memory: records are appended to
/// journals and merged by request id when they are read. Duplicates of the
/// latest records are detected and not stored again. Duplicates of older
/// records are stored, which uses disk space but changes no bill. Not
/// thread-safe.
template <durable_disk Disk>
class basic_bill_store {
 public:
  /// Opens the journals in the folder. Throws storage_error.
  basic_bill_store(Disk& disk, std::string folder, std::uint64_t store_id,
                   bill_store_options options = {});

  /// Stores the records that are new or change a recent one, with a single
  /// sync; they are durable when it returns. Throws storage_error.
  auto Add(const std::vector<bill_record>& records,
           bill_source source = bill_source::kEntry) -> void;
  /// Reads complete batches of a source from `from` on until there are at least
  /// `limit` records or the journal ends. Throws storage_error if a file is
  /// damaged.
  auto ReadPage(bill_source source, journal_position from,
                std::size_t limit) const -> bill_page;
  /// Stores a page that another store returned for `source` at
  /// `progress.PositionOf(source)`, and advances the progress. Returns whether
  /// another page can be read immediately.
  auto AddPage(const bill_page& page, bill_source source,
               exchange_progress& progress) -> bool;
  /// Saves the progress, so that the next start reads only later records.
  /// `progress` must not cover a page that was not added yet: its records would
  /// be skipped and lost.
  auto SaveCheckpoint(const exchange_progress_map& progress) -> void;
  /// Progress in the last checkpoint before this start.
  auto recovered_progress() const -> const exchange_progress_map& {
    return recovered_checkpoint_.progress;
  }
  /// Records stored, including undetected duplicates.
  auto record_count() const -> std::uint64_t { return record_count_; }
  auto view() const -> bill_store_view {
    return {entry_journal_.view(), store_journal_.view()};
  }

 private:
  struct checkpoint {
    std::uint64_t record_count = 0;
    journal_position entry_position;
    journal_position store_position;
    exchange_progress_map progress;

    template <typename Archive>
    auto serialize(Archive& archive) -> void {
      archive(record_count, entry_position, store_position, progress);
    }
  };
  using record_map = std::unordered_map<std::string, bill_record>;

  static auto ReadCheckpoint(const std::string& folder) -> checkpoint;
  auto CountRecovered(const bill_record& record) -> void;
  /// Merges into the recent records. Returns whether the record is new among
  /// them or changed one.
  auto MergeIntoRecent(const bill_record& record) -> bool;

  Disk& disk_;
  std::string folder_;
  std::uint64_t store_id_;
  bill_store_options options_;
  checkpoint recovered_checkpoint_;
  std::uint64_t record_count_;
  /// Two generations, by request id: when `recent_` is full, it replaces
  /// `previous_recent_`.
  record_map recent_;
  record_map previous_recent_;
  basic_bill_journal<Disk> entry_journal_;
  basic_bill_journal<Disk> store_journal_;
};

using bill_store = basic_bill_store<posix_disk>;

}  // namespace lovagedale

#include "lovagedale/billing/bill_store-inl.h"
