#pragma once

#include <algorithm>

#include "lovagedale/billing/bill_store.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/common/log.h"
#include "lovagedale/replication/batch_file.h"

namespace lovagedale {

template <durable_disk Disk>
basic_bill_store<Disk>::basic_bill_store(Disk& disk, const std::string& folder,
                                         std::uint64_t store_id)
    : disk_(disk), store_id_(store_id) {
  const auto path = folder + "/bills";
  const auto content = ReadWholeFile(path);
  const auto scan = ScanBatches(path, content, [&](std::string_view bytes) {
    for (const auto& record : Decode<std::vector<bill_record>>(bytes)) {
      // After a restart everything is offered again; merging is idempotent.
      Merge(record, bill_source::kEntry);
    }
  });
  if (scan.HasTornTail()) {
    log_line(log_level::kWarning, "bill_tail_truncated")
        .With("file", path)
        .With("dropped_bytes", scan.file_bytes - scan.valid_bytes);
    disk_.Truncate(path, scan.valid_bytes);
  }
  fd_ = disk_.OpenAppend(path);
  disk_.SyncFolder(folder);
}

template <durable_disk Disk>
basic_bill_store<Disk>::~basic_bill_store() {
  if (fd_ < 0) return;
  try {
    disk_.CloseFile(fd_);
  } catch (const std::exception&) {
    // Every record was synced before it was acknowledged.
  }
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::Merge(const bill_record& record,
                                   bill_source source) -> bool {
  const auto [place, is_new] = bills_.try_emplace(record.request_id, record);
  if (!is_new) {
    const auto& winner = MergeBills(place->second, record);
    if (winner == place->second) return false;
    place->second = winner;
  }
  if (source == bill_source::kEntry) order_.push_back(&place->second);
  return true;
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::Add(const std::vector<bill_record>& records,
                                 bill_source source) -> void {
  std::vector<bill_record> changed;
  for (const auto& record : records) {
    if (Merge(record, source)) changed.push_back(record);
  }
  if (changed.empty()) return;
  disk_.Write(fd_, EncodeBatch(Encode(changed)));
  disk_.SyncFile(fd_);
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::Since(bill_sequence from, std::size_t limit) const
    -> bill_page {
  bill_page page{store_id_, {}, from};
  const auto end = std::min<bill_sequence>(order_.size(), from + limit);
  for (auto i = from; i < end; ++i) {
    page.records.push_back(*order_[i]);
  }
  page.next = std::max(from, end);
  return page;
}

template <durable_disk Disk>
auto basic_bill_store<Disk>::Find(const std::string& request_id) const
    -> const bill_record* {
  const auto found = bills_.find(request_id);
  return found == bills_.end() ? nullptr : &found->second;
}

}  // namespace lovagedale
