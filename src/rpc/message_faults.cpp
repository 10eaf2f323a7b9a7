#include "lovagedale/rpc/message_faults.h"

#include "lovagedale/common/log.h"

namespace lovagedale {

auto message_faults::Record(const std::string& peer, const std::string& reason)
    -> bool {
  ++count_;
  if (logged_.size() >= kMaxLogged) return false;
  if (!logged_.emplace(peer, reason).second) return false;
  log_line(log_level::kWarning, "message_not_handled")
      .With("peer", peer)
      .With("reason", reason);
  return true;
}

}  // namespace lovagedale
