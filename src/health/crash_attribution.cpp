#include "lovagedale/health/crash_attribution.h"

#include <algorithm>

namespace lovagedale {

auto crash_attribution::ReportCrash(
    const std::string& report_id, const std::string& server,
    const std::vector<request_fingerprint>& running, monotonic_ms now)
    -> std::vector<request_fingerprint> {
  std::vector<request_fingerprint> to_quarantine;
  if (!report_times_.emplace(report_id, now).second) return to_quarantine;
  for (const auto fingerprint : running) {
    auto& suspicion = suspects_[fingerprint];
    suspicion.since = now;
    const bool is_same_crash = std::any_of(
        suspicion.crashes.begin(), suspicion.crashes.end(),
        [&](const auto& crash) {
          return crash.server == server && now - crash.at < kCrashMergeWindowMs;
        });
    if (is_same_crash) continue;
    suspicion.crashes.push_back({server, now});
    if (suspicion.crashes.size() >= kCrashesToQuarantine) {
      to_quarantine.push_back(fingerprint);
    }
  }
  for (const auto fingerprint : to_quarantine) suspects_.erase(fingerprint);
  return to_quarantine;
}

auto crash_attribution::Clear(request_fingerprint fingerprint) -> void {
  suspects_.erase(fingerprint);
}

auto crash_attribution::suspects() const -> std::vector<request_fingerprint> {
  std::vector<request_fingerprint> fingerprints;
  for (const auto& [fingerprint, suspicion] : suspects_) {
    fingerprints.push_back(fingerprint);
  }
  return fingerprints;
}

auto crash_attribution::Expire(monotonic_ms now) -> void {
  std::erase_if(suspects_, [&](const auto& item) {
    return now - item.second.since > kSuspicionLifetimeMs;
  });
  std::erase_if(report_times_, [&](const auto& item) {
    return now - item.second > kSuspicionLifetimeMs;
  });
}

}  // namespace lovagedale
