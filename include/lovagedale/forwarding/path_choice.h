#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovagedale {

/// Another entry that can pass a call on to the servers.
struct helper_candidate {
  std::uint32_t in_flight = 0;  ///< calls that this entry forwards to it
  /// It was not reached, or refused a call of the service, a short time ago.
  bool is_avoided = false;

  auto operator==(const helper_candidate&) const -> bool = default;
};

/// What is known about the ways from an entry to the servers of one service.
struct path_input {
  std::size_t available_servers = 0;  ///< listed and not leaving
  std::size_t reachable_servers = 0;
  /// The call comes from another entry. It is not forwarded again.
  bool is_forwarded = false;
  std::uint32_t forwards = 0;  ///< times that this entry has forwarded the call
  std::uint64_t random = 0;
  std::vector<helper_candidate> helpers;

  auto operator==(const path_input&) const -> bool = default;
};

enum class call_path {
  kDirect,        ///< to a server of the service
  kThroughEntry,  ///< to another entry, which sends it to a server
  kNone,          ///< nobody reaches a server
};

struct path_choice {
  call_path path = call_path::kNone;
  std::size_t helper = 0;  ///< index, for kThroughEntry

  auto operator==(const path_choice&) const -> bool = default;
};

/// Times that one entry forwards a call.
inline constexpr std::uint32_t kMaxForwards = 3;

/// Decides how a call gets to a server. A call goes directly unless servers are
/// listed and none can be reached, and then to the less busy of two random
/// helpers.
auto ChoosePath(const path_input& input) -> path_choice;

}  // namespace lovagedale
