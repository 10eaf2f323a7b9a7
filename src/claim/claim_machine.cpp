#include "lovagedale/claim/claim_machine.h"

#include "lovagedale/common/codec.h"

namespace lovagedale {

auto claim_machine::Apply(const log_entry& entry) -> std::string {
  return Encode(Decide(Decode<claim_command>(entry.payload)));
}

auto claim_machine::Decide(const claim_command& command) -> claim_result {
  return std::visit([&](const auto& item) { return Handle(item); }, command);
}

auto claim_machine::Handle(const begin_claim& command) -> claim_result {
  const auto [claim, is_new] = claims_.try_emplace(command.key);
  auto& record = claim->second;
  if (is_new) {
    record = {
        command.body_hash, command.attempt_id, command.begun_at_ms, false, {}};
    return {claim_status::kGranted, {}};
  }
  if (record.body_hash != command.body_hash) {
    return {claim_status::kBodyMismatch, {}};
  }
  if (record.finished) return {claim_status::kFinished, record.answer};
  return {record.attempt_id == command.attempt_id ? claim_status::kGranted
                                                  : claim_status::kRunning,
          {}};
}

auto claim_machine::Handle(const finish_claim& command) -> claim_result {
  const auto found = claims_.find(command.key);
  if (found == claims_.end() ||
      found->second.attempt_id != command.attempt_id) {
    return {claim_status::kRefused, {}};
  }
  if (!found->second.finished) {
    found->second.finished = true;
    found->second.answer = command.answer;
  }
  return {claim_status::kDone, {}};
}

auto claim_machine::Handle(const release_claim& command) -> claim_result {
  const auto found = claims_.find(command.key);
  if (found == claims_.end() ||
      found->second.attempt_id != command.attempt_id ||
      found->second.finished) {
    return {claim_status::kRefused, {}};
  }
  claims_.erase(found);
  return {claim_status::kDone, {}};
}

auto claim_machine::Handle(const expire_claims& command) -> claim_result {
  std::erase_if(claims_, [&](const auto& item) {
    return item.second.begun_at_ms < command.before_ms;
  });
  return {claim_status::kDone, {}};
}

auto claim_machine::TakeSnapshot() const -> std::string {
  return Encode(claims_);
}

auto claim_machine::Restore(const std::string& state) -> void {
  claims_.clear();
  if (!state.empty()) claims_ = Decode<decltype(claims_)>(state);
}

}  // namespace lovagedale
