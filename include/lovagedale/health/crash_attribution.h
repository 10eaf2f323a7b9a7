#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Identifies what may crash a server: a request, by a hash of its customer and
/// content, or a part of a prompt, by a hash of the part's id.
using crash_key = std::uint64_t;

/// Something that a server was processing, without an answer yet, when it
/// crashed.
struct crash_candidate {
  /// The specificity of a request that no sound request can be equal to.
  static constexpr std::uint8_t kUniqueRequest = 255;
  /// The specificity of a request that sound requests may be equal to.
  static constexpr std::uint8_t kSharedRequest = 254;

  crash_key key = 0;
  /// The position of a part in its prompt: later parts are shared by fewer
  /// requests. For whole requests, see above.
  std::uint8_t specificity = kUniqueRequest;

  auto operator<=>(const crash_candidate&) const = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(key, specificity);
  }
};

/// A server crashed while it was processing these candidates.
struct crash_report {
  std::string server;
  std::vector<crash_candidate> candidates;
  std::string report_id;  ///< a resent report with the same id counts once

  auto operator==(const crash_report&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(server, candidates, report_id);
  }
};

/// The candidates of a crash that are reported, at most
/// crash_attribution::kMaxCandidates: parts of prompts before whole requests,
/// of which a busy server has one for each call.
auto CandidatesToReport(const std::set<crash_candidate>& candidates)
    -> std::vector<crash_candidate>;

/// A key to be quarantined, and why.
struct crash_finding {
  crash_candidate candidate;
  std::size_t crashes = 0;  ///< those that no other quarantine explains

  auto operator==(const crash_finding&) const -> bool = default;
};

/// What explains the crashes of a quarantined key as well as the key itself:
/// the other keys that were candidates of each of them. None: the key is the
/// only explanation.
struct quarantine_alternatives {
  crash_key key = 0;
  std::vector<crash_key> others;

  auto operator==(const quarantine_alternatives&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(key, others);
  }
};

/// Finds the requests and prompt parts that crash servers, from the candidates
/// of each crash. A candidate is cleared when a request with it is answered.
/// The key that is a candidate of most crashes is quarantined and explains
/// them; only crashes without a quarantined candidate count against others. A
/// more general key that is also a candidate of an unexplained crash is the
/// better explanation of the others as well. Several processes may report the
/// same crash: reports of a server within kCrashMergeWindowMs count as one.
class crash_attribution {
 public:
  static constexpr std::size_t kCrashesToQuarantineUnique = 2;
  /// Sound requests may share the key, so it needs more evidence.
  static constexpr std::size_t kCrashesToQuarantineShared = 3;
  /// Servers that crash together have a cause outside of the requests: their
  /// crashes count once against a key that requests may share.
  static constexpr monotonic_ms kSimultaneousMs = 250;
  static constexpr monotonic_ms kCrashMergeWindowMs = 1'000;
  /// A suspect is cleared after this time without a further crash.
  static constexpr monotonic_ms kSuspicionLifetimeMs = 10LL * 60 * 1'000;
  static constexpr std::size_t kMaxCrashes = 256;
  static constexpr std::size_t kMaxSuspects = 32;
  /// Candidates in one report.
  static constexpr std::size_t kMaxCandidates = 64;
  /// Quarantined keys in Alternatives, and other keys of one.
  static constexpr std::size_t kMaxAlternativesKeys = 4;
  static constexpr std::size_t kMaxAlternatives = 16;

  /// A report with the id of an earlier one is ignored.
  auto ReportCrash(const crash_report& report, monotonic_ms now) -> void;
  /// Clears a suspect, after a request with it was answered.
  auto Clear(crash_key key, monotonic_ms now) -> void;
  /// The keys that are now to be quarantined, besides those `in_force`. A key
  /// must have been a suspect for `observation_ms`, so that requests that hold
  /// it could have cleared it. A key is not returned again within
  /// kProposalLifetimeMs. One whose quarantine is no longer in force is
  /// cleared.
  auto Decide(const std::set<crash_key>& in_force, monotonic_ms observation_ms,
              monotonic_ms now) -> std::vector<crash_finding>;
  /// Suspects that requests may share, those with most unexplained crashes
  /// first; at most kMaxSuspects. Among them are candidates of several crashes
  /// that a quarantine explains, as it may be lifted. As of the last call of
  /// Decide, without those cleared since.
  auto SharedSuspects() const -> const std::vector<crash_key>& {
    return shared_suspects_;
  }
  /// The alternatives of quarantined keys that requests may share, those with
  /// the latest crashes first; at most kMaxAlternativesKeys, only of keys with
  /// kCrashesToQuarantineShared known crashes. As of the last call of Decide,
  /// without keys cleared since.
  auto Alternatives() const -> const std::vector<quarantine_alternatives>& {
    return alternatives_;
  }
  auto IsSuspect(crash_key key) const -> bool;
  auto crashes() const -> std::size_t { return crashes_.size(); }
  /// Forgets the crashes and reports older than kSuspicionLifetimeMs.
  auto Expire(monotonic_ms now) -> void;

 private:
  /// Time for a proposed quarantine to come into force.
  static constexpr monotonic_ms kProposalLifetimeMs = 2'000;
  /// Without a report for this time there is nothing new to decide.
  static constexpr monotonic_ms kActiveMs = 5'000;

  struct server_crash {
    std::string server;
    monotonic_ms at = 0;
    std::set<crash_candidate> candidates;
    /// The lowest specificity of its quarantined candidates.
    std::optional<std::uint8_t> explained_by;
  };
  struct tally {
    std::size_t unexplained = 0;
    /// Those that no quarantined key explains that is as general.
    std::size_t attributable = 0;
    std::size_t total = 0;
    monotonic_ms first_at = 0;  ///< of the attributable crashes
    monotonic_ms last_at = 0;   ///< of the counted crashes
  };

  auto Erase(crash_key key) -> void;
  auto CountCrashes() const -> std::map<crash_candidate, tally>;
  auto UpdateExplained(const std::set<crash_key>& quarantined) -> void;
  auto UpdateSharedSuspects() -> void;
  auto UpdateAlternatives(const std::set<crash_key>& quarantined) -> void;

  std::deque<server_crash> crashes_;
  std::map<std::string, monotonic_ms> report_times_;
  std::map<crash_key, monotonic_ms> cleared_at_;
  std::map<crash_key, monotonic_ms> proposed_at_;
  std::set<crash_key> in_force_;
  std::vector<crash_key> shared_suspects_;
  std::vector<quarantine_alternatives> alternatives_;
  monotonic_ms last_report_at_ = 0;
};

}  // namespace lovagedale
