#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/billing/bill.h"
#include "lovagedale/replication/disk.h"

namespace lovagedale {

/// Position in a store's own order of arrival.
using bill_sequence = std::uint64_t;

/// Where records come from.
enum class bill_source : std::uint8_t { kEntry, kOtherStore };

/// Some of a store's records, in order of arrival.
struct bill_page {
  std::uint64_t store_id = 0;  ///< changes if the store lost its disk
  std::vector<bill_record> records;
  bill_sequence next = 0;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(store_id, records, next);
  }
};

/// Durable grow-only set of bills, merged by request id. One thread.
template <durable_disk Disk>
class basic_bill_store {
 public:
  /// Reads the file `bills` in the folder. Throws storage_error.
  basic_bill_store(Disk& disk, const std::string& folder,
                   std::uint64_t store_id);
  ~basic_bill_store();
  basic_bill_store(const basic_bill_store&) = delete;
  auto operator=(const basic_bill_store&) -> basic_bill_store& = delete;

  /// Merges records and stores those that changed anything, as one synced
  /// batch. When it returns, they last. Records from another store are not
  /// offered to others by Since: their own store does that.
  auto Add(const std::vector<bill_record>& records,
           bill_source source = bill_source::kEntry) -> void;
  /// Records from `from` on, at most `limit`.
  auto Since(bill_sequence from, std::size_t limit) const -> bill_page;
  auto Find(const std::string& request_id) const -> const bill_record*;
  auto size() const -> std::size_t { return bills_.size(); }
  auto bills() const -> const std::unordered_map<std::string, bill_record>& {
    return bills_;
  }

 private:
  auto Merge(const bill_record& record, bill_source source) -> bool;

  Disk& disk_;
  std::uint64_t store_id_;
  int fd_ = -1;
  std::unordered_map<std::string, bill_record> bills_;
  // By sequence; points into bills_, whose elements stay where they are.
  std::vector<const bill_record*> order_;
};

using bill_store = basic_bill_store<posix_disk>;

}  // namespace lovagedale

#include "lovagedale/billing/bill_store-inl.h"
