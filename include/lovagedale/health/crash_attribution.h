#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Identifies a request for blame: hash of its customer and body.
using request_fingerprint = std::uint64_t;

/// Fleet-wide record of which requests ran on servers that crashed. A request
/// is suspect after one crash, cleared once it finishes, and condemned after
/// kCrashesToQuarantine crashes. Reports about one server within
/// kCrashMergeWindowMs come from several entries and are one crash.
class crash_attribution {
 public:
  static constexpr std::size_t kCrashesToQuarantine = 2;
  static constexpr monotonic_ms kCrashMergeWindowMs = 2'000;
  /// A suspicion that is not confirmed ends after this time.
  static constexpr monotonic_ms kSuspicionLifetimeMs = 10LL * 60 * 1'000;

  /// Records a crash; returns fingerprints that are condemned by it. A report
  /// with a known id changes nothing.
  auto ReportCrash(const std::string& report_id, const std::string& server,
                   const std::vector<request_fingerprint>& running,
                   monotonic_ms now) -> std::vector<request_fingerprint>;
  /// A suspect finished on a server that lives on.
  auto Clear(request_fingerprint fingerprint) -> void;
  auto IsSuspect(request_fingerprint fingerprint) const -> bool {
    return suspects_.contains(fingerprint);
  }
  auto suspects() const -> std::vector<request_fingerprint>;
  /// Drops suspicions that have ended.
  auto Expire(monotonic_ms now) -> void;

 private:
  struct server_crash {
    std::string server;
    monotonic_ms at = 0;
  };
  struct suspicion {
    std::vector<server_crash> crashes;
    monotonic_ms since = 0;
  };

  std::map<request_fingerprint, suspicion> suspects_;
  std::map<std::string, monotonic_ms> report_times_;
};

}  // namespace lovagedale
