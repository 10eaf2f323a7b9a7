#include "lovagedale/billing/bill.h"

#include <tuple>

namespace lovagedale {
namespace {

auto Rank(const bill_record& bill) {
  return std::tie(bill.status, bill.cost_micros, bill.output_tokens,
                  bill.input_tokens, bill.attempts, bill.version, bill.entry,
                  bill.customer, bill.at_ms);
}

}  // namespace

auto MergeBills(const bill_record& left, const bill_record& right)
    -> const bill_record& {
  return Rank(left) < Rank(right) ? right : left;
}

}  // namespace lovagedale
