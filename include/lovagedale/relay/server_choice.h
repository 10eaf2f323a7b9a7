#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/relay/server_load.h"

namespace lovagedale {

/// A server that may get a request, as this entry sees it.
struct server_candidate {
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;  ///< this entry's requests at it
  std::uint32_t capacity = 1;
  /// What this entry's requests still have to do there before their first
  /// event, in the unit of choice_input.
  double work = 0;
  /// The other entries' work there, as they last reported; nothing if that is
  /// not known.
  std::optional<double> other_entries_work;
  double failure_fraction = 0;
  bool own_zone = false;
  bool ejected = false;

  auto operator==(const server_candidate&) const -> bool = default;
};

/// What a request with a prompt asks of the choice. Work is counted in prompt
/// tokens, times the model's cost.
struct prompt_work {
  std::uint64_t shared_part_id = 0;  ///< identifies the prompt's shared part
  double shared_work = 0;  ///< spared by a server that keeps the shared part
  double total_work = 0;   ///< of the whole prompt

  auto operator==(const prompt_work&) const -> bool = default;
};

struct choice_input {
  std::optional<prompt_work> prompt;
  std::uint64_t random = 0;
  /// Of others_work, the part that counts.
  double report_fraction = ReportFraction(0);

  auto operator==(const choice_input&) const -> bool = default;
};

/// Index of the server that gets the request; nothing without candidates.
/// Servers that are held out get work only where all are. A prompt goes where
/// the least work is left before its first event: what waits there, and the
/// shared part unless the server keeps it. Two servers keep a part, the same
/// for all entries by rendezvous hashing; where loads are reported, others must
/// be less busy than both by more than the noise in the reports.
auto ChooseServer(const std::vector<server_candidate>& candidates,
                  const choice_input& input) -> std::optional<std::size_t>;

}  // namespace lovagedale
