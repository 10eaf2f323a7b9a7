#include "lovagedale/health/crash_attribution.h"

#include <algorithm>

namespace lovagedale {

auto crash_attribution::ReportCrash(
    const std::string& report_id, const std::string& server,
    const std::vector<request_fingerprint>& running, monotonic_ms now)
    -> std::vector<request_fingerprint> {
  std::vector<request_fingerprint> condemned;
  if (!known_reports_.emplace(report_id, now).second) return condemned;
  for (const auto fingerprint : running) {
    auto& suspicion = suspects_[fingerprint];
    suspicion.since = now;
    const bool is_known = std::any_of(
        suspicion.crashes.begin(), suspicion.crashes.end(),
        [&](const auto& crash) {
          return crash.server == server && now - crash.at < kSameCrashMs;
        });
    if (is_known) continue;
    suspicion.crashes.push_back({server, now});
    if (suspicion.crashes.size() >= kCrashesToCondemn) {
      condemned.push_back(fingerprint);
    }
  }
  for (const auto fingerprint : condemned) suspects_.erase(fingerprint);
  return condemned;
}

auto crash_attribution::Clear(request_fingerprint fingerprint) -> void {
  suspects_.erase(fingerprint);
}

auto crash_attribution::suspects() const -> std::vector<request_fingerprint> {
  std::vector<request_fingerprint> list;
  for (const auto& [fingerprint, suspicion] : suspects_) {
    list.push_back(fingerprint);
  }
  return list;
}

auto crash_attribution::Expire(monotonic_ms now) -> void {
  std::erase_if(suspects_, [&](const auto& item) {
    return now - item.second.since > kSuspicionMs;
  });
  std::erase_if(known_reports_, [&](const auto& item) {
    return now - item.second > kSuspicionMs;
  });
}

}  // namespace lovagedale
