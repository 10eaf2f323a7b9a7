#include "lovagedale/billing/bill_store.h"

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr std::size_t kReadPageRecords = 1'000;

auto IsInPart(const bill_record& bill, const bill_query& query) -> bool {
  return query.parts <= 1 ||
         Hash64(bill.request_id) % query.parts == query.part;
}

auto MergeJournal(const journal_view& view, const bill_query& query,
                  std::map<std::string, bill_record>& bills) -> void {
  journal_position position;
  while (position < view.end) {
    const auto page = ReadJournal(view, position, kReadPageRecords);
    position = page.next_position;
    for (const auto& record : page.records) {
      if (!IsInPart(record, query)) continue;
      const auto [bill, is_new] = bills.try_emplace(record.request_id, record);
      if (!is_new) bill->second = MergeBills(bill->second, record);
    }
  }
}

}  // namespace

auto ReadBills(const bill_store_view& view, const bill_query& query)
    -> std::vector<bill_record> {
  std::map<std::string, bill_record> bills;
  MergeJournal(view.entry_journal, query, bills);
  MergeJournal(view.store_journal, query, bills);
  std::vector<bill_record> matching;
  for (auto& [id, bill] : bills) {
    if (query.customer.empty() || bill.customer == query.customer) {
      matching.push_back(std::move(bill));
    }
  }
  return matching;
}

}  // namespace lovagedale
