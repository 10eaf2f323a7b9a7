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

/// Where a store has a record from. Each source has a journal of its own.
enum class bill_source : std::uint8_t {
  kEntry,       ///< an entry; offered to all other stores
  kOtherStore,  ///< another store; offered only to one that repairs itself
};

/// Some of a store's records, in the order of their arrival.
struct bill_page {
  std::uint64_t store_id = 0;  ///< changes if the store lost its disk
  std::vector<bill_record> records;
  journal_position next_position;
  bool is_last = false;  ///< nothing follows yet
  /// Ends of both journals.
  journal_position entry_journal_end;
  journal_position store_journal_end;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(store_id, records, next_position, is_last, entry_journal_end,
            store_journal_end);
  }
};

/// How far a store has read another one.
struct exchange_progress {
  std::uint64_t store_id = 0;
  journal_position entry_position;
  journal_position store_position;
  /// Where the other one's journals ended at the first contact. A store that
  /// lost its disk gets its own former records back by reading what the other
  /// one had from stores. Only up to here: two stores that repair themselves
  /// would feed each other for ever.
  journal_position repair_entry_end;
  journal_position repair_store_end;

  auto HasReadStoreJournal() const -> bool {
    return store_id != 0 && store_position >= repair_store_end;
  }
  /// Whether all that the other store had at the first contact is here.
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

/// What of a store's bills is wanted.
struct bill_query {
  std::string customer;  ///< empty: all
  /// Bills are split by request id into `parts`, so that one part fits into
  /// memory. part < parts.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
};

/// A store's files at one moment, for a reader on another thread.
struct bill_store_view {
  journal_view entry_journal;
  journal_view store_journal;
};

/// Reads the files and returns one merged bill per request, by request id.
/// Costs one pass over all files; memory only for the bills returned and their
/// part. Throws storage_error if a file is damaged.
auto ReadBills(const bill_store_view& view, const bill_query& query)
    -> std::vector<bill_record>;

/// Limits of a store.
struct bill_store_options {
  std::uint64_t segment_bytes = 16UL << 20U;
  /// Latest records kept in memory, twice that at most, to recognise repeats.
  std::size_t recent_records = 16'384;
};

/// Durable grow-only set of bills. Memory does not grow with it: records are
/// appended to journals and merged by request id when they are read. Repeats
/// of the latest records are recognised and not stored again; of older ones
/// they are, which costs disk and changes no bill. One thread.
template <durable_disk Disk>
class basic_bill_store {
 public:
  /// Opens the journals in the folder. Throws storage_error.
  basic_bill_store(Disk& disk, std::string folder, std::uint64_t store_id,
                   bill_store_options options = {});

  /// Stores the records that change anything, with one sync. When it returns,
  /// they last. Throws storage_error.
  auto Add(const std::vector<bill_record>& records,
           bill_source source = bill_source::kEntry) -> void;
  /// Records from a source from `from` on; about `limit`, in whole batches.
  auto ReadPage(bill_source source, journal_position from,
                std::size_t limit) const -> bill_page;
  /// Stores a page that another store gave for `source` at
  /// `progress.PositionOf(source)`, and advances the progress. Returns whether
  /// more can be read at once.
  auto AddPage(const bill_page& page, bill_source source,
               exchange_progress& progress) -> bool;
  /// Keeps the progress for the next start, which then reads only what came
  /// later. Never ahead of Add: records that are skipped would be lost.
  auto SaveCheckpoint(const exchange_progress_map& progress) -> void;
  /// Progress at the last checkpoint.
  auto recovered_progress() const -> const exchange_progress_map& {
    return recovered_.progress;
  }
  /// Records stored; repeats that were not recognised count.
  auto records() const -> std::uint64_t { return records_; }
  auto view() const -> bill_store_view {
    return {entry_journal_.view(), store_journal_.view()};
  }

 private:
  struct checkpoint {
    std::uint64_t records = 0;
    journal_position entry_position;
    journal_position store_position;
    exchange_progress_map progress;

    template <typename Archive>
    auto serialize(Archive& archive) -> void {
      archive(records, entry_position, store_position, progress);
    }
  };
  using record_map = std::unordered_map<std::string, bill_record>;

  static auto ReadCheckpoint(const std::string& folder) -> checkpoint;
  auto CountRecovered(const bill_record& record) -> void;
  /// Merges into the recent records; false if that changes nothing.
  auto MergeIntoRecent(const bill_record& record) -> bool;

  Disk& disk_;
  std::string folder_;
  std::uint64_t store_id_;
  bill_store_options options_;
  checkpoint recovered_;
  std::uint64_t records_;
  record_map recent_;
  record_map previous_recent_;
  basic_bill_journal<Disk> entry_journal_;
  basic_bill_journal<Disk> store_journal_;
};

using bill_store = basic_bill_store<posix_disk>;

}  // namespace lovagedale

#include "lovagedale/billing/bill_store-inl.h"
