#include "lovagedale/relay/crash_monitor.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/relay/connection_pool.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Separates the keys of prompt parts from those of requests.
constexpr std::uint64_t kPartSalt = 0x70726f6d70742d70;
/// Separates the keys of the parts before those from all others.
constexpr std::uint64_t kLeadingPartsSalt = 0x6c656164696e672d;
/// Shared parts of one prompt that are candidates of their own, from its end.
constexpr std::size_t kMaxParts = 16;
/// A process that ends closes its connections before its listening socket.
constexpr std::array<std::chrono::milliseconds, 2> kConfirmDelays{
    std::chrono::milliseconds(20), std::chrono::milliseconds(100)};
/// Own evidence is used after a suspect could be cleared for this time.
constexpr monotonic_ms kOwnObservationMs = 600;
/// Interval between trials of a key that this entry has quarantined by itself.
constexpr monotonic_ms kOwnQuarantineMs = 60'000;
constexpr monotonic_ms kOwnDecisionPeriodMs = 100;
/// The leader answers each heartbeat within a second.
constexpr monotonic_ms kLeaderSilentMs = 2'000;
/// How long this entry looks for answers that clear its own suspects.
constexpr monotonic_ms kOwnSuspectLifetimeMs = 30'000;
/// Reports that are sent to a new leader, whose record of crashes is empty.
constexpr std::size_t kMaxReports = 16;
constexpr monotonic_ms kReportMaxAgeMs = 15'000;

}  // namespace

auto CrashCandidates(const call_request& call, const std::string& customer,
                     const http_request& request)
    -> std::vector<crash_candidate> {
  std::vector<crash_candidate> candidates;
  const auto shared = call.parts.empty() ? 0 : call.parts.size() - 1;
  const auto first = shared - std::min(shared, kMaxParts);
  if (first > 0) {
    auto key = kLeadingPartsSalt;
    for (std::size_t i = 0; i < first; ++i) {
      key = MixBits(key ^ call.parts[i].id);
    }
    candidates.push_back({key, 0});
  }
  for (auto i = first; i < shared; ++i) {
    candidates.push_back({MixBits(call.parts[i].id ^ kPartSalt),
                          static_cast<std::uint8_t>(i - first)});
  }
  candidates.push_back(
      {HashFields(customer, request.method, request.target, request.body),
       crash_candidate::kSharedRequest});
  return candidates;
}

auto crash_monitor::SetQuarantined(std::set<crash_key> keys) -> void {
  quarantined_ = std::move(keys);
  RetainTrials();
}

auto crash_monitor::RetainTrials() -> void {
  auto keys = quarantined_;
  for (const auto& [key, until_ms] : own_quarantines_) keys.insert(key);
  trials_->Retain(keys);
}

crash_monitor::trial::trial(std::shared_ptr<quarantine_trials> trials,
                            std::vector<crash_key> keys)
    : trials_(std::move(trials)), keys_(std::move(keys)) {
  for (const auto key : keys_) trials_->RecordStarted(key);
}

crash_monitor::trial::~trial() {
  for (const auto key : keys_) trials_->RecordEnded(key);
}

auto crash_monitor::StartTrial(const std::vector<crash_candidate>& candidates)
    -> std::unique_ptr<trial> {
  const auto now = clock_.Now();
  std::vector<crash_key> keys;
  for (const auto& candidate : candidates) {
    if (!IsQuarantined(candidate.key)) continue;
    const auto own = own_quarantines_.find(candidate.key);
    const bool is_due = own != own_quarantines_.end() && now >= own->second &&
                        !quarantined_.contains(candidate.key);
    if (!is_due && !trials_->MayStart(candidate.key, candidates, now)) {
      return nullptr;
    }
    keys.push_back(candidate.key);
  }
  for (const auto key : keys) {
    const auto own = own_quarantines_.find(key);
    // Renewed now: if the trial crashes its server, the next one has to wait.
    if (own != own_quarantines_.end()) own->second = now + kOwnQuarantineMs;
  }
  ++trial_count_;
  return std::make_unique<trial>(trials_, std::move(keys));
}

auto crash_monitor::SetSuspects(const std::vector<crash_key>& keys) -> void {
  const auto now = clock_.Now();
  leader_heard_ms_ = now;
  std::erase_if(suspects_, [&](const auto& item) {
    return now - item.second > kOwnSuspectLifetimeMs &&
           std::find(keys.begin(), keys.end(), item.first) == keys.end();
  });
  for (const auto key : keys) suspects_.try_emplace(key, now);
}

auto crash_monitor::QuarantinedKey(
    const std::vector<crash_candidate>& candidates)
    -> std::optional<crash_key> {
  UpdateOwnQuarantines();
  for (const auto& candidate : candidates) {
    if (IsQuarantined(candidate.key)) return candidate.key;
  }
  return std::nullopt;
}

auto crash_monitor::UpdateOwnQuarantines() -> void {
  if (attribution_.crashes() == 0 && own_quarantines_.empty()) return;
  const auto now = clock_.Now();
  if (now < next_decision_ms_) return;
  next_decision_ms_ = now + kOwnDecisionPeriodMs;
  if (leader_heard_ms_ && now - *leader_heard_ms_ < kLeaderSilentMs) {
    own_quarantines_.clear();
    RetainTrials();
    return;
  }
  attribution_.Expire(now);
  // No request has come since a trial was due.
  std::erase_if(own_quarantines_, [&](const auto& item) {
    return item.second + kOwnQuarantineMs <= now;
  });
  auto in_force = quarantined_;
  for (const auto& [key, until_ms] : own_quarantines_) in_force.insert(key);
  for (const auto& finding :
       attribution_.Decide(in_force, kOwnObservationMs, now)) {
    own_quarantines_[finding.candidate.key] = now + kOwnQuarantineMs;
    log_line(log_level::kWarning, "quarantined_by_own_evidence")
        .With("key", ToHex(finding.candidate.key))
        .With("position", static_cast<int>(finding.candidate.specificity))
        .With("crashes", finding.crashes);
  }
  // Control knows the crashes of all entries: what it said of its quarantines
  // stays.
  auto alternatives = attribution_.Alternatives();
  std::erase_if(alternatives, [&](const quarantine_alternatives& item) {
    return !own_quarantines_.contains(item.key);
  });
  trials_->Adopt(alternatives, now);
  RetainTrials();
}

auto crash_monitor::RecordBroken(const server_handle& server,
                                 const std::vector<crash_candidate>& candidates)
    -> void {
  trials_->RecordBroken(candidates, clock_.Now());
  const auto [item, is_first] = unconfirmed_.try_emplace(server->listed.id);
  item->second.insert(candidates.begin(), candidates.end());
  if (!is_first) return;
  SpawnTask(context_, [this, server](asio::yield_context yield) {
    ConfirmCrash(server, yield);
  });
}

auto crash_monitor::ConfirmCrash(const server_handle& server,
                                 asio::yield_context yield) -> void {
  boost::system::error_code error;
  for (const auto delay : kConfirmDelays) {
    Pause(context_.get_executor(), delay, yield);
    boost::beast::tcp_stream stream(context_);
    const auto ip = asio::ip::make_address(server->listed.host, error);
    if (error) break;
    stream.expires_after(kServerConnectTimeout);
    stream.async_connect(tcp::endpoint(ip, server->listed.port), yield[error]);
    if (error == asio::error::connection_refused) break;
  }
  const auto found = unconfirmed_.find(server->listed.id);
  const auto candidates = std::move(found->second);
  unconfirmed_.erase(found);
  if (error != asio::error::connection_refused) return;
  Report(server, candidates);
}

auto crash_monitor::Report(const server_handle& server,
                           const std::set<crash_candidate>& candidates)
    -> void {
  const auto now = clock_.Now();
  ++crash_count_;
  crash_report report{server->listed.id, CandidatesToReport(candidates),
                      ToHex(random_())};
  for (const auto& candidate : report.candidates) {
    suspects_.try_emplace(candidate.key, now);
  }
  log_line(log_level::kWarning, "server_crash_detected")
      .With("server", report.server)
      .With("report", report.report_id)
      .With("candidates", report.candidates.size())
      .With("left_out", candidates.size() - report.candidates.size());
  attribution_.ReportCrash(report, now);
  if (reports_.size() == kMaxReports) reports_.pop_front();
  reports_.push_back({std::move(report), now, ""});
  if (on_report_) on_report_();
}

auto crash_monitor::RecordAnswered(
    const std::vector<crash_candidate>& candidates, monotonic_ms first_event_ms)
    -> void {
  for (const auto key : trials_->RecordAnswered(candidates, first_event_ms)) {
    Clear(key);
  }
  for (const auto& candidate : candidates) {
    const auto suspect = suspects_.find(candidate.key);
    if (suspect == suspects_.end() || first_event_ms < suspect->second) {
      continue;
    }
    Clear(candidate.key);
  }
}

auto crash_monitor::Clear(crash_key key) -> void {
  suspects_.erase(key);
  attribution_.Clear(key, clock_.Now());
  cleared_.insert(key);
  // What explains the crashes instead is to be decided before the next call.
  if (own_quarantines_.erase(key) > 0) next_decision_ms_ = 0;
}

auto crash_monitor::UnacknowledgedReports(const std::string& leader) const
    -> std::vector<crash_report> {
  std::vector<crash_report> reports;
  const auto oldest_ms = clock_.Now() - kReportMaxAgeMs;
  for (const auto& item : reports_) {
    if (item.at < oldest_ms || item.acknowledged_by == leader) continue;
    reports.push_back(item.report);
  }
  return reports;
}

auto crash_monitor::Acknowledge(const std::vector<crash_report>& reports,
                                const std::string& leader) -> void {
  for (auto& item : reports_) {
    if (std::find(reports.begin(), reports.end(), item.report) !=
        reports.end()) {
      item.acknowledged_by = leader;
    }
  }
}

auto crash_monitor::TakeCleared() -> std::vector<crash_key> {
  std::vector<crash_key> keys(cleared_.begin(), cleared_.end());
  cleared_.clear();
  return keys;
}

}  // namespace lovagedale
