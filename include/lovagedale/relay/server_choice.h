#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/relay/server_groups.h"
#include "lovagedale/relay/server_load.h"

namespace lovagedale {

/// A server that may be chosen for a request, as this entry sees it.
struct server_candidate {
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;  ///< this entry's requests at it
  std::uint32_t capacity = 1;
  /// Work of this entry's requests there that have not had their first event,
  /// in the unit of prompt_work.
  double work = 0;
  /// The other entries' work there, by their last reports; nothing if unknown.
  std::optional<double> other_entries_work;
  double pace = 1;  ///< see server_speed
  double failure_fraction = 0;
  bool own_zone = false;
  bool ejected = false;

  auto operator==(const server_candidate&) const -> bool = default;
};

/// The work of a request with a prompt, in prompt tokens times the model's
/// cost.
struct prompt_work {
  std::uint64_t shared_part_id = 0;  ///< identifies the prompt's shared part
  double shared_work = 0;            ///< saved where the shared part is cached
  double total_work = 0;             ///< of the complete prompt

  auto operator==(const prompt_work&) const -> bool = default;
};

struct choice_input {
  std::optional<prompt_work> prompt;
  std::uint64_t random = 0;
  /// Fraction of other_entries_work that counts; see ReportFraction.
  double report_fraction = ReportFraction(0);
  /// The service's groups of servers, if it has any; only prompts follow them.
  std::optional<server_groups> groups;

  auto operator==(const choice_input&) const -> bool = default;
};

/// Index of the server that gets the request; nothing without candidates.
/// Ejected servers are used only if all are ejected. A prompt goes to the
/// server with the least work before its first event: the work queued there
/// times the server's pace, and the shared part unless the server has it
/// cached. Rendezvous hashing assigns a part to the same two servers at all
/// entries; where loads are reported, other servers must be less busy than both
/// by more than the noise in the reports. With groups, these two are of the
/// request's own group, and a server of the other group must save more; a group
/// without candidates has no effect. A request without a prompt goes to the
/// less loaded of two random servers of the own zone, unless another server is
/// much less busy.
auto ChooseServer(const std::vector<server_candidate>& candidates,
                  const choice_input& input) -> std::optional<std::size_t>;

/// Whether the candidate is one of the two servers to which its hash assigns
/// the prompt's shared part, so that it has the part cached. False without a
/// prompt.
auto IsPartCached(const std::vector<server_candidate>& candidates,
                  std::size_t chosen, const choice_input& input) -> bool;

}  // namespace lovagedale
