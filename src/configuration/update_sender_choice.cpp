#include "lovagedale/configuration/update_sender_choice.h"

namespace lovagedale {

auto update_sender_choice::MayAsk(const std::string& replica,
                                  const std::string& leader,
                                  config_revision told, config_revision held,
                                  monotonic_ms now) const -> bool {
  if (replica == leader) return true;
  if (told <= held || follower_asked_) return false;
  return leader.empty() || (newer_ && newer_->held == held &&
                            now - newer_->since >= kLeaderTimeLimitMs);
}

auto update_sender_choice::RecordTold(config_revision told,
                                      config_revision held, monotonic_ms now)
    -> void {
  if (told <= held) return;
  if (!newer_ || newer_->held != held) newer_ = {held, now};
}

auto update_sender_choice::RecordPart(monotonic_ms now) -> void {
  if (newer_) newer_->since = now;
}

}  // namespace lovagedale
