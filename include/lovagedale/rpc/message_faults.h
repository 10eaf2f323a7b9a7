#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace lovagedale {

/// Counts messages that could not be handled and logs each peer and reason
/// once.
class message_faults {
 public:
  /// Peers and reasons that are remembered; later ones are only counted.
  static constexpr std::size_t kMaxLogged = 256;

  /// Returns whether the fault is logged.
  auto Record(const std::string& peer, const std::string& reason) -> bool;
  auto count() const -> std::uint64_t { return count_; }

 private:
  std::uint64_t count_ = 0;
  std::set<std::pair<std::string, std::string>> logged_;
};

}  // namespace lovagedale
