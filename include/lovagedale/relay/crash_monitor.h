#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lovagedale/health/crash_attribution.h"
#include "lovagedale/health/quarantine_trials.h"
#include "lovagedale/relay/call.h"
#include "lovagedale/relay/server_table.h"

namespace lovagedale {

/// What may make a call crash servers: the shared parts of its prompt, for any
/// caller, and the customer's whole request. In a long prompt, the first parts
/// are one candidate together, so that they are never without a suspect.
auto CrashCandidates(const call_request& call, const std::string& customer,
                     const http_request& request)
    -> std::vector<crash_candidate>;

/// Detects crashes of servers from calls that they break off, reports them, and
/// tracks which calls are refused because they crash servers. Control decides
/// for all entries. This entry decides by itself only while control cannot be
/// reached: it does not see the calls of other entries that crash servers, so
/// its own popular prompt parts would be blamed. Not thread-safe.
class crash_monitor {
 public:
  explicit crash_monitor(boost::asio::io_context& context)
      : context_(context) {}
  crash_monitor(const crash_monitor&) = delete;
  auto operator=(const crash_monitor&) -> crash_monitor& = delete;

  /// `on_report` is called when UnacknowledgedReports has a new report.
  auto SetReportHandler(std::function<void()> on_report) -> void {
    on_report_ = std::move(on_report);
  }
  /// Replaces the keys that control has quarantined.
  auto SetQuarantined(std::set<crash_key> keys) -> void;
  /// Replaces the suspects of control's leader.
  auto SetSuspects(const std::vector<crash_key>& keys) -> void;
  /// Adopts what control's leader knows of quarantined keys.
  auto SetAlternatives(const std::vector<quarantine_alternatives>& items)
      -> void {
    trials_->Adopt(items, clock_.Now());
  }

  /// The trial of a call with quarantined candidates; see quarantine_trials. It
  /// ends with its destruction. May outlive the monitor: the event loop
  /// destroys the fibers of its calls last.
  class trial {
   public:
    trial(std::shared_ptr<quarantine_trials> trials,
          std::vector<crash_key> keys);
    ~trial();
    trial(const trial&) = delete;
    auto operator=(const trial&) -> trial& = delete;

   private:
    const std::shared_ptr<quarantine_trials> trials_;
    const std::vector<crash_key> keys_;
  };
  /// Starts a trial of a call with quarantined candidates. Null if the call is
  /// to be refused.
  auto StartTrial(const std::vector<crash_candidate>& candidates)
      -> std::unique_ptr<trial>;

  /// The first candidate that is quarantined.
  auto QuarantinedKey(const std::vector<crash_candidate>& candidates)
      -> std::optional<crash_key>;
  /// A server closed the connection of a call that had no answer yet. It has
  /// crashed if it then refuses connections.
  auto RecordBroken(const server_handle& server,
                    const std::vector<crash_candidate>& candidates) -> void;
  /// The first event of a call's answer arrived at `first_event_ms`, and the
  /// server has not crashed since.
  auto RecordAnswered(const std::vector<crash_candidate>& candidates,
                      monotonic_ms first_event_ms) -> void;

  /// Recent reports that this control replica has not received as the leader.
  auto UnacknowledgedReports(const std::string& leader) const
      -> std::vector<crash_report>;
  auto Acknowledge(const std::vector<crash_report>& reports,
                   const std::string& leader) -> void;
  /// Suspects that were cleared since the last call.
  auto TakeCleared() -> std::vector<crash_key>;

  /// Crashes that this entry has detected.
  auto crashes() const -> std::uint64_t { return crash_count_; }
  /// Trials that this entry has started.
  auto trials() const -> std::uint64_t { return trial_count_; }

 private:
  struct recent_report {
    crash_report report;
    monotonic_ms at = 0;
    std::string acknowledged_by;
  };

  /// Tries to connect until the server refuses it or accepts.
  auto ConfirmCrash(const server_handle& server,
                    boost::asio::yield_context yield) -> void;
  auto Report(const server_handle& server,
              const std::set<crash_candidate>& candidates) -> void;
  auto UpdateOwnQuarantines() -> void;
  /// Records that the key does not crash servers.
  auto Clear(crash_key key) -> void;
  /// Forgets the trials of keys that are not quarantined any more.
  auto RetainTrials() -> void;
  auto IsQuarantined(crash_key key) const -> bool {
    return quarantined_.contains(key) || own_quarantines_.contains(key);
  }

  boost::asio::io_context& context_;
  system_monotonic_clock clock_;
  std::mt19937_64 random_{std::random_device{}()};
  std::function<void()> on_report_;
  crash_attribution attribution_;
  std::set<crash_key> quarantined_;  ///< by control
  /// By this entry's own evidence, and when the next request with the key is a
  /// trial, whatever else it holds.
  std::map<crash_key, monotonic_ms> own_quarantines_;
  const std::shared_ptr<quarantine_trials> trials_ =
      std::make_shared<quarantine_trials>();
  std::map<crash_key, monotonic_ms> suspects_;  ///< and since when
  std::set<crash_key> cleared_;
  /// Candidates of the servers that ConfirmCrash examines, by server id.
  std::map<std::string, std::set<crash_candidate>> unconfirmed_;
  std::deque<recent_report> reports_;
  std::uint64_t crash_count_ = 0;
  std::uint64_t trial_count_ = 0;
  monotonic_ms next_decision_ms_ = 0;
  std::optional<monotonic_ms> leader_heard_ms_;
};

}  // namespace lovagedale
