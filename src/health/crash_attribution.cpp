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
    auto& suspect = suspects_[fingerprint];
    suspect.last_crash_at = now;
    const bool is_same_crash = std::any_of(
        suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& crash) {
          return crash.server == server && now - crash.at < kCrashMergeWindowMs;
        });
    if (is_same_crash) continue;
    suspect.crashes.push_back({server, now});
    if (suspect.crashes.size() >= kCrashesToQuarantine) {
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
  for (const auto& [fingerprint, suspect] : suspects_) {
    fingerprints.push_back(fingerprint);
  }
  return fingerprints;
}

auto crash_attribution::Expire(monotonic_ms now) -> void {
  std::erase_if(suspects_, [&](const auto& item) {
    return now - item.second.last_crash_at > kSuspicionLifetimeMs;
  });
  std::erase_if(report_times_, [&](const auto& item) {
    return now - item.second > kSuspicionLifetimeMs;
  });
}

}  // namespace lovagedale
