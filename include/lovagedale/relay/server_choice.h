#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagedale {

/// A server that may get a request, as this entry sees it.
struct server_candidate {
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;  ///< this entry's requests at it
  std::uint32_t capacity = 1;
  double failure_share = 0;
  bool own_zone = false;
  bool held_out = false;

  auto operator==(const server_candidate&) const -> bool = default;
};

/// What a request asks of the choice.
struct choice_input {
  /// Identifies the prompt's shared parts; requests with the same one go to
  /// the same server while it is not busier than the others.
  std::optional<std::uint64_t> affinity;
  std::uint64_t random = 0;

  auto operator==(const choice_input&) const -> bool = default;
};

/// Index of the server that gets the request; nothing without candidates. All
/// entries choose the same one for an affinity, without telling each other.
/// Servers that are held out get work only where all are.
auto ChooseServer(const std::vector<server_candidate>& candidates,
                  const choice_input& input) -> std::optional<std::size_t>;

}  // namespace lovagedale
