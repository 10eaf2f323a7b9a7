#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Hash of a request's customer and body, to recognise a request that crashes
/// servers when it is sent again.
using request_fingerprint = std::uint64_t;

/// Fleet-wide record of the requests that ran on servers that crashed. A
/// request is a suspect after one crash, cleared once it finishes, and to be
/// quarantined after kCrashesToQuarantine crashes. Several entries may report
/// the same crash: reports of a server within kCrashMergeWindowMs count as one.
class crash_attribution {
 public:
  static constexpr std::size_t kCrashesToQuarantine = 2;
  static constexpr monotonic_ms kCrashMergeWindowMs = 2'000;
  /// A suspect is cleared after this time without a further crash.
  static constexpr monotonic_ms kSuspicionLifetimeMs = 10LL * 60 * 1'000;

  /// Records a crash of `server` while the requests `running` ran there;
  /// returns those that are now to be quarantined. A report with the id of an
  /// earlier one is ignored.
  auto ReportCrash(const std::string& report_id, const std::string& server,
                   const std::vector<request_fingerprint>& running,
                   monotonic_ms now) -> std::vector<request_fingerprint>;
  /// Clears a suspect, after it finished on a server that did not crash.
  auto Clear(request_fingerprint fingerprint) -> void;
  auto IsSuspect(request_fingerprint fingerprint) const -> bool {
    return suspects_.contains(fingerprint);
  }
  auto suspects() const -> std::vector<request_fingerprint>;
  /// Clears the suspects without a crash for kSuspicionLifetimeMs, and drops
  /// the ids of reports older than that.
  auto Expire(monotonic_ms now) -> void;

 private:
  struct server_crash {
    std::string server;
    monotonic_ms at = 0;
  };
  struct suspicion {
    std::vector<server_crash> crashes;
    monotonic_ms last_crash_at = 0;
  };

  std::map<request_fingerprint, suspicion> suspects_;
  std::map<std::string, monotonic_ms> report_times_;
};

}  // namespace lovagedale
