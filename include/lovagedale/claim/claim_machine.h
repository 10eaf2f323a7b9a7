#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "lovagedale/claim/messages.h"
#include "lovagedale/common/format.h"
#include "lovagedale/replication/messages.h"

namespace lovagedale {

/// The ledger's replicated claims: which attempt may run a non-repeatable
/// request, and the answer once it has run. A claim granted to one attempt is
/// not granted to another until the holder releases it without having run the
/// request, or until it expires. Satisfies replicated_machine.
class claim_machine {
 public:
  /// Applies a claim_command; returns an encoded claim_result.
  auto Apply(const log_entry& entry) -> std::string;
  auto Decide(const claim_command& command) -> claim_result;
  auto TakeSnapshot() const -> std::string;
  auto RequiredFormat() const -> format_number { return kFirstFormat; }
  auto Restore(const std::string& state) -> void;
  auto size() const -> std::size_t { return claims_.size(); }

 private:
  struct claim_record {
    std::uint64_t body_hash = 0;
    std::string attempt_id;
    std::int64_t begun_at_ms = 0;
    bool finished = false;
    stored_answer answer;
    template <typename Archive>
    auto serialize(Archive& archive) -> void {
      archive(body_hash, attempt_id, begun_at_ms, finished, answer);
    }
  };

  auto Handle(const begin_claim& command) -> claim_result;
  auto Handle(const finish_claim& command) -> claim_result;
  auto Handle(const release_claim& command) -> claim_result;
  auto Handle(const expire_claims& command) -> claim_result;

  std::map<claim_key, claim_record> claims_;
};

}  // namespace lovagedale
