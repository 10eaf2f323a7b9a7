#pragma once

#include <string>
#include <variant>
#include <vector>

#include "lovagedale/billing/bill_store.h"
#include "lovagedale/claim/messages.h"
#include "lovagedale/replication/messages.h"

namespace lovagedale {

/// A claim command from an entry; answered with claim_response.
struct claim_request {
  claim_command command;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(command);
  }
};

enum class claim_outcome : std::uint8_t {
  kDecided,    ///< see `result`
  kNotLeader,  ///< nothing happened here; `leader` may know
  kUnknown,    ///< ask again with the same attempt
};

struct claim_response {
  claim_outcome outcome = claim_outcome::kUnknown;
  std::string leader;
  claim_result result;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(outcome, leader, result);
  }
};

/// Records to store; answered with an empty body once they last.
struct bill_batch {
  std::vector<bill_record> records;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(records);
  }
};

/// Asks another ledger for its records of one source from a position on;
/// answered with exchange_response.
struct exchange_request {
  bill_source source = bill_source::kEntry;
  journal_position from;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(source, from);
  }
};

/// One-way: an entry is running and may still have bills to store.
struct entry_presence {
  std::string entry;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(entry);
  }
};

using ledger_request = std::variant<replica_envelope, claim_request, bill_batch,
                                    exchange_request, entry_presence>;

/// Answer to exchange_request.
struct exchange_response {
  bill_page page;
  bool stopping = false;  ///< the ledger is about to stop
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(page, stopping);
  }
};

}  // namespace lovagedale
