#pragma once

#include <utility>

#include "lovagedale/billing/bill_store.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/replication/segment_files.h"

namespace lovagedale {

inline constexpr const char* kCheckpointFile = "bill-checkpoint";

template <durable_disk Disk>
basic_bill_store<Disk>::basic_bill_store(Disk& disk, std::string folder,
                                         std::uint64_t store_id,
                                         bill_store_options options)
    : disk_(disk),
      folder_(std::move(folder)),
      store_id_(store_id),
      options_(options),
      recovered_checkpoint_(ReadCheckpoint(folder_)),
      record_count_(recovered_checkpoint_.record_count),
      entry_journal_(disk, folder_, "bills-entries", options.segment_bytes,
                     recovered_checkpoint_.entry_position,
                     [this](const auto& record) { CountRecovered(record); }),
      store_journal_(disk, folder_, "bills-stores", options.segment_bytes,
                     recovered_checkpoint_.store_position,
                     [this](const auto& record) { CountRecovered(record); }) {}

template <durable_disk Disk>
auto basic_bill_store<Disk>::ReadCheckpoint(const std::string& folder)
    -> checkpoint {
  const auto payload = ReadSingleBatch(folder + "/" + kCheckpointFile);
  return payload ? Decode<checkpoint>(*payload) : checkpoint{};
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::CountRecovered(const bill_record& record) -> void {
  ++record_count_;
  MergeIntoRecent(record);
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::MergeIntoRecent(const bill_record& record)
    -> bool {
  auto existing = recent_.find(record.request_id);
  if (existing == recent_.end()) {
    existing = previous_recent_.find(record.request_id);
    if (existing == previous_recent_.end()) {
      if (recent_.size() >= options_.recent_records) {
        previous_recent_ = std::exchange(recent_, {});
      }
      recent_.emplace(record.request_id, record);
      return true;
    }
  }
  const auto& winner = MergeBills(existing->second, record);
  if (winner == existing->second) return false;
  existing->second = winner;
  return true;
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::Add(const std::vector<bill_record>& records,
                                 bill_source source) -> void {
  std::vector<bill_record> changed;
  for (const auto& record : records) {
    if (MergeIntoRecent(record)) changed.push_back(record);
  }
  auto& journal =
      source == bill_source::kEntry ? entry_journal_ : store_journal_;
  journal.Append(changed);
  record_count_ += changed.size();
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::ReadPage(bill_source source, journal_position from,
                                      std::size_t limit) const -> bill_page {
  const auto& view =
      (source == bill_source::kEntry ? entry_journal_ : store_journal_).view();
  auto page = ReadJournal(view, from, limit);
  const bool is_last = page.next_position == view.end;
  return {store_id_, std::move(page.records),   page.next_position,
          is_last,   entry_journal_.view().end, store_journal_.view().end};
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::AddPage(const bill_page& page, bill_source source,
                                     exchange_progress& progress) -> bool {
  if (page.store_id != progress.store_id) {
    // First contact, or the other store lost its disk. Its journals are read
    // from the beginning; the page is dropped, as it may start elsewhere.
    progress = {
        page.store_id, {}, {}, page.entry_journal_end, page.store_journal_end};
    return true;
  }
  Add(page.records, bill_source::kOtherStore);
  if (source == bill_source::kEntry) {
    progress.entry_position = page.next_position;
  } else {
    progress.store_position = page.next_position;
  }
  return !page.is_last;
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::SaveCheckpoint(
    const exchange_progress_map& progress) -> void {
  const checkpoint current{record_count_, entry_journal_.view().end,
                           store_journal_.view().end, progress};
  ReplaceFile(disk_, folder_, kCheckpointFile, Encode(current));
}

}  // namespace lovagedale
