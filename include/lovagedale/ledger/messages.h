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
  kDecided,    ///< `result` is set
  kNotLeader,  ///< not applied here; try `leader` if it is not empty
  kUnknown,    ///< may have been applied; retry with the same attempt id
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

/// Records to store; answered with an empty body once they are durable.
struct bill_batch {
  std::vector<bill_record> records;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(records);
  }
};

/// Requests another ledger's records of one source from a position on;
/// answered with exchange_response.
struct exchange_request {
  bill_source source = bill_source::kEntry;
  journal_position from;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(source, from);
  }
};

/// One-way heartbeat of a running entry, which may still have bills to store.
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
