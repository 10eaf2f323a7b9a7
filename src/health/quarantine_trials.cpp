#include "lovagedale/health/quarantine_trials.h"

#include <algorithm>

namespace lovagedale {
namespace {

auto Holds(const std::vector<crash_candidate>& candidates, crash_key key)
    -> bool {
  return std::any_of(
      candidates.begin(), candidates.end(),
      [&](const crash_candidate& candidate) { return candidate.key == key; });
}

}  // namespace

auto quarantine_trials::StateOf(crash_key key, monotonic_ms now)
    -> trial_state& {
  const auto [found, is_new] = states_.try_emplace(key);
  if (is_new) found->second.known_since_ms = now;
  return found->second;
}

auto quarantine_trials::Adopt(const std::vector<quarantine_alternatives>& items,
                              monotonic_ms now) -> void {
  for (const auto& item : items) {
    auto& state = StateOf(item.key, now);
    // The sender may not know of the answer yet.
    if (state.is_answered) continue;
    state.alternatives = {item.others.begin(), item.others.end()};
  }
}

auto quarantine_trials::Retain(const std::set<crash_key>& quarantined) -> void {
  std::erase_if(states_, [&](const auto& item) {
    return !quarantined.contains(item.first);
  });
}

auto quarantine_trials::IsUnlikeCrashed(
    crash_key key, const std::vector<crash_candidate>& candidates) const
    -> bool {
  const auto found = states_.find(key);
  if (found == states_.end()) return false;
  const auto& alternatives = found->second.alternatives;
  return std::any_of(
      alternatives.begin(), alternatives.end(),
      [&](crash_key other) { return !Holds(candidates, other); });
}

auto quarantine_trials::MayStart(crash_key key,
                                 const std::vector<crash_candidate>& candidates,
                                 monotonic_ms now) const -> bool {
  const auto found = states_.find(key);
  if (found == states_.end()) return false;
  const auto& state = found->second;
  if (!IsUnlikeCrashed(key, candidates)) return false;
  const auto earliest_ms =
      std::max(state.known_since_ms + kMinKnownMs, state.next_start_ms);
  return state.is_answered || (state.running == 0 && now >= earliest_ms);
}

auto quarantine_trials::RecordStarted(crash_key key) -> void {
  const auto found = states_.find(key);
  if (found == states_.end()) return;
  ++found->second.running;
}

auto quarantine_trials::RecordEnded(crash_key key) -> void {
  const auto found = states_.find(key);
  // The key may have been forgotten and become known again meanwhile.
  if (found == states_.end() || found->second.running == 0) return;
  --found->second.running;
}

auto quarantine_trials::RecordBroken(
    const std::vector<crash_candidate>& candidates, monotonic_ms now) -> void {
  for (auto& [key, state] : states_) {
    if (!Holds(candidates, key)) continue;
    state.is_answered = false;
    state.next_start_ms = now + kPauseAfterBrokenMs;
  }
}

auto quarantine_trials::RecordAnswered(
    const std::vector<crash_candidate>& candidates, monotonic_ms first_event_ms)
    -> std::vector<crash_key> {
  std::set<crash_key> cleared;
  for (auto& [key, state] : states_) {
    if (!Holds(candidates, key) || first_event_ms < state.known_since_ms) {
      continue;
    }
    state.is_answered = true;
    // The answer rules out all parts of the request, not only the key.
    for (const auto& candidate : candidates) {
      if (candidate.key == key || state.alternatives.erase(candidate.key) > 0) {
        cleared.insert(candidate.key);
      }
    }
  }
  return {cleared.begin(), cleared.end()};
}

}  // namespace lovagedale
