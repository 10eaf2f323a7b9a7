#include "lovagedale/relay/session_memory.h"

namespace lovagedale {

auto session_memory::Remember(std::uint64_t session, const std::string& version,
                              monotonic_ms now) -> void {
  DropEnded(now);
  sessions_[session] = {version, now};
}

auto session_memory::VersionOf(std::uint64_t session, monotonic_ms now) const
    -> const std::string* {
  const auto found = sessions_.find(session);
  if (found == sessions_.end() || now - found->second.at > ttl_ms_) {
    return nullptr;
  }
  return &found->second.version;
}

auto session_memory::DropEnded(monotonic_ms now) -> void {
  if (now - dropped_at_ < ttl_ms_) return;
  dropped_at_ = now;
  std::erase_if(sessions_, [&](const auto& item) {
    return now - item.second.at > ttl_ms_;
  });
}

}  // namespace lovagedale
