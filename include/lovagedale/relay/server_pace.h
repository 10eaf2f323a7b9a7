#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Paces outside this range are taken for faults of the measurement.
inline constexpr double kMinPace = 0.2;
inline constexpr double kMaxPace = 8;

/// Into kMinPace to kMaxPace; 1 if `pace` is no number.
inline auto ClampPace(double pace) -> double {
  return std::isnan(pace) ? 1 : std::clamp(pace, kMinPace, kMaxPace);
}

/// The pace of a server, or of one of its answers: the time to the first event
/// as a multiple of what is expected for the work. Above 1 is slow.
struct server_speed {
  std::uint32_t server = 0;  ///< ServerKey of its id
  double pace = 1;

  auto operator==(const server_speed&) const -> bool = default;
};

/// Recent pace of one server, from single answers of all entries. Servers
/// differ in speed and slow down for some seconds; a single answer says little,
/// as the queue that it waited in is only estimated. Each answer moves the pace
/// towards its own by a step that doubles while answers differ from the pace in
/// the same direction: five such answers are enough to see that a server has
/// become three times slower, while one outlier moves the pace by at most a
/// fifth. A server that gets no more answers counts as average again, so that
/// none stays avoided for what it was.
class server_pace {
 public:
  /// An answer took `ratio` times the expected time.
  auto Record(double ratio, monotonic_ms now) -> void {
    log_pace_ = LogPace(now);
    const auto difference = std::log(ClampPace(ratio)) - log_pace_;
    const bool is_slower = difference > 0;
    const bool has_trend =
        is_slower == was_slower_ && std::abs(difference) > step_;
    step_ = has_trend ? std::min(step_ * 2, kMaxStep)
                      : std::max(step_ / 2, kMinStep);
    was_slower_ = is_slower;
    log_pace_ += std::clamp(difference, -step_, step_);
    latest_at_ = now;
  }
  /// kMinPace to kMaxPace; 1 without answers.
  auto Pace(monotonic_ms now) const -> double {
    return ClampPace(std::exp(LogPace(now)));
  }
  auto latest_at() const -> monotonic_ms { return latest_at_; }

 private:
  /// log(1.2): one answer moves the pace by at most a fifth.
  static constexpr double kMaxStep = 0.1823;
  static constexpr double kMinStep = 0.08;
  /// A server of a large fleet gets an answer every few hundred milliseconds.
  static constexpr monotonic_ms kHoldMs = 1'000;
  static constexpr double kHalfLifeMs = 1'500;

  auto LogPace(monotonic_ms now) const -> double {
    const auto idle_ms = std::max<monotonic_ms>(0, now - latest_at_ - kHoldMs);
    return log_pace_ * std::exp2(-static_cast<double>(idle_ms) / kHalfLifeMs);
  }

  double log_pace_ = 0;
  double step_ = kMinStep;
  bool was_slower_ = false;
  monotonic_ms latest_at_ = 0;
};

/// The paces of all servers, at the leader.
class server_paces {
 public:
  auto Record(const std::vector<server_speed>& answers, monotonic_ms now)
      -> void {
    for (const auto& answer : answers) {
      by_server_[answer.server].Record(answer.pace, now);
    }
  }
  /// Of the servers with recent answers, ascending by server; forgets others.
  auto Paces(monotonic_ms now) -> std::vector<server_speed> {
    std::erase_if(by_server_, [&](const auto& item) {
      return now - item.second.latest_at() > kForgetMs;
    });
    std::vector<server_speed> paces;
    for (const auto& [server, pace] : by_server_) {
      paces.push_back({server, pace.Pace(now)});
    }
    return paces;
  }

 private:
  /// By then a pace of kMaxPace is within 1% of 1.
  static constexpr monotonic_ms kForgetMs = 15'000;

  std::map<std::uint32_t, server_pace> by_server_;
};

/// Answers of this entry that are to be reported. Without a leader they are
/// dropped when they say nothing about the present any more.
class unreported_answers {
 public:
  auto Add(const server_speed& answer, monotonic_ms now) -> void {
    Drop(now);
    if (answers_.size() == kMaxAnswers) answers_.pop_front();
    answers_.push_back({answer, now});
  }
  /// Removes and returns them, oldest first.
  auto Take(monotonic_ms now) -> std::vector<server_speed> {
    Drop(now);
    std::vector<server_speed> taken;
    for (const auto& item : answers_) taken.push_back(item.answer);
    answers_.clear();
    return taken;
  }

 private:
  static constexpr std::size_t kMaxAnswers = 64;
  static constexpr monotonic_ms kMaxAgeMs = 1'500;

  struct timed_answer {
    server_speed answer;
    monotonic_ms at = 0;
  };
  auto Drop(monotonic_ms now) -> void {
    while (!answers_.empty() && now - answers_.front().at > kMaxAgeMs) {
      answers_.pop_front();
    }
  }

  std::deque<timed_answer> answers_;
};

}  // namespace lovagedale
