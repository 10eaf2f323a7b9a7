#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Which version of a service each session used last. A caller's connections
/// come to the same entry as a rule, so that an entry sees whole sessions.
class session_memory {
 public:
  /// A session ends when it is silent for `ttl_ms`.
  explicit session_memory(monotonic_ms ttl_ms) : ttl_ms_(ttl_ms) {}

  auto Remember(std::uint64_t session, const std::string& version,
                monotonic_ms now) -> void;
  /// Null if the session is new or has ended.
  auto VersionOf(std::uint64_t session, monotonic_ms now) const
      -> const std::string*;
  auto size() const -> std::size_t { return sessions_.size(); }

 private:
  struct last_use {
    std::string version;
    monotonic_ms at = 0;
  };

  auto DropEnded(monotonic_ms now) -> void;

  monotonic_ms ttl_ms_;
  monotonic_ms dropped_at_ = 0;
  std::unordered_map<std::uint64_t, last_use> sessions_;
};

}  // namespace lovagedale
