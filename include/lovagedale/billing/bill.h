#pragma once

#include <cstdint>
#include <string>

#include "lovagedale/catalog/catalog.h"

namespace lovagedale {

/// Whether the caller received the full answer.
enum class bill_status : std::uint8_t {
  /// The caller disconnected or the answer was truncated; the bill covers what
  /// was delivered.
  kPartial,
  kComplete,  ///< the full answer was delivered
};

/// The bill of one request. It covers all attempts and cascade rungs.
struct bill_record {
  std::string request_id;
  std::string customer;
  std::string version;  ///< that answered, or the service's pool
  std::uint64_t input_tokens = 0;
  std::uint64_t output_tokens = 0;
  money_micros cost_micros = 0;
  std::uint32_t attempts = 0;
  bill_status status = bill_status::kPartial;
  std::string entry;
  std::int64_t at_ms = 0;  ///< wall clock

  auto operator==(const bill_record&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(request_id, customer, version, input_tokens, output_tokens,
            cost_micros, attempts, status, entry, at_ms);
  }
};

/// Returns the one of two records of the same request that takes precedence.
/// Commutative, associative and idempotent, so partitioned copies converge
/// after they have exchanged their records in any order.
auto MergeBills(const bill_record& left, const bill_record& right)
    -> const bill_record&;

}  // namespace lovagedale
