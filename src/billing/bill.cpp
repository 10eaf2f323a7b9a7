#include "lovagedale/billing/bill.h"

#include <tuple>

namespace lovagedale {
namespace {

/// The bill with the higher rank takes precedence: a complete bill over a
/// partial one, then the higher cost. The other fields only make the order
/// total.
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
