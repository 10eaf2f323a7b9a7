#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/health/crash_attribution.h"

namespace lovagedale {

/// Decides which requests with a quarantined key are sent nevertheless, as
/// trials, so that an answer can lift a quarantine whose key is not the cause.
/// Answers the load in which requests with a bad prompt part crash servers
/// while the sound requests that share its other parts pause: any of the common
/// parts may then have been blamed.
///
/// A request is tried if it lacks one of the key's alternatives (see
/// quarantine_alternatives): no request like it has crashed a server. If it
/// crashes one, it rules that alternative out, so requests of that kind are
/// refused from then on. Not thread-safe.
class quarantine_trials {
 public:
  /// The alternatives of a quarantine that this process has known for less may
  /// be sound parts of which no request was answered meanwhile.
  static constexpr monotonic_ms kMinKnownMs = 1'000;
  /// After a trial's server has broken off, no further trial of its keys starts
  /// here for this time: control's next answer takes the crash into account.
  static constexpr monotonic_ms kPauseAfterBrokenMs = 2'000;

  /// Replaces the alternatives of these keys. Those of other keys stay: a new
  /// leader of control does not know the crashes before.
  auto Adopt(const std::vector<quarantine_alternatives>& items,
             monotonic_ms now) -> void;
  /// Forgets all other keys: they are not quarantined any more.
  auto Retain(const std::set<crash_key>& quarantined) -> void;

  /// Whether no request like this one is known to have crashed a server with
  /// `key`, one of its candidates.
  auto IsUnlikeCrashed(crash_key key,
                       const std::vector<crash_candidate>& candidates) const
      -> bool;
  /// Whether a request may be sent now although `key` is quarantined. Until one
  /// was answered, one trial of a key runs at a time.
  auto MayStart(crash_key key, const std::vector<crash_candidate>& candidates,
                monotonic_ms now) const -> bool;
  auto RecordStarted(crash_key key) -> void;
  auto RecordEnded(crash_key key) -> void;
  /// A server closed the connection of a request before its answer.
  auto RecordBroken(const std::vector<crash_candidate>& candidates,
                    monotonic_ms now) -> void;
  /// A request whose first event arrived at `first_event_ms` was answered.
  /// Returns its keys that this clears.
  auto RecordAnswered(const std::vector<crash_candidate>& candidates,
                      monotonic_ms first_event_ms) -> std::vector<crash_key>;

 private:
  struct trial_state {
    std::set<crash_key> alternatives;
    monotonic_ms known_since_ms = 0;
    std::size_t running = 0;
    bool is_answered = false;  ///< and no server has broken off since
    monotonic_ms next_start_ms = 0;
  };

  /// The state of a key, which is known from now on if it was not.
  auto StateOf(crash_key key, monotonic_ms now) -> trial_state&;

  std::map<crash_key, trial_state> states_;
};

}  // namespace lovagedale
