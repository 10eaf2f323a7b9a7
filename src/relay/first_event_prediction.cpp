#include "lovagedale/relay/first_event_prediction.h"

#include <algorithm>
#include <cmath>

namespace lovagedale {
namespace {

/// A step of the server, which ends before the prompt's first chunk starts, and
/// the network's round trip. Not learned: it is small beside any prompt.
constexpr double kBaseMs = 6;
/// Part of the queued work that is still to be done: the prompt in progress is
/// half done on average, and most shared parts, which the queued work includes,
/// are cached. Chosen, not measured; the learned time per work corrects its
/// mean error.
constexpr double kQueuedWorkFraction = 0.5;
/// Multiplies this entry's own work while loads are not reported, as in the
/// choice of a server.
constexpr double kUnreportedWorkFactor = 2;

}  // namespace

auto work_time::Record(double ms, double work) -> void {
  // The first answers replace the prior, which may be wrong for the model by a
  // large factor; later the latest two dozen answers count.
  constexpr std::uint64_t kWarmUpAnswers = 8;
  constexpr double kMinWeight = 1.0 / 24;
  constexpr double kMaxWarmUpDifference = 1.4;
  constexpr double kMaxDifference = 0.7;
  constexpr double kMinMs = 0.5;
  if (!std::isfinite(ms) || !std::isfinite(work) || work <= 0) return;
  const auto difference =
      std::log(std::max(kMinMs, ms - kBaseMs) / (work * ms_per_work_));
  const auto limit =
      answers_ < kWarmUpAnswers ? kMaxWarmUpDifference : kMaxDifference;
  const auto weight =
      std::max(kMinWeight, 1.0 / (2 + static_cast<double>(answers_)));
  ms_per_work_ *= std::exp(weight * std::clamp(difference, -limit, limit));
  ++answers_;
}

auto work_time::ms_per_work() const -> double { return ms_per_work_; }

auto WorkToFirstEvent(const server_queue& queue, double request_work)
    -> double {
  const auto queued = queue.other_entries_work
                          ? queue.own_work + *queue.other_entries_work
                          : queue.own_work * kUnreportedWorkFactor;
  return queued * kQueuedWorkFraction + request_work;
}

auto PredictFirstEvent(const server_queue& queue, double request_work,
                       double ms_per_work)
    -> std::optional<first_event_prediction> {
  const auto ms = kBaseMs + queue.pace * ms_per_work *
                                WorkToFirstEvent(queue, request_work);
  if (!std::isfinite(ms) || ms <= 0) return std::nullopt;
  return first_event_prediction{ms, queue.age_ms};
}

}  // namespace lovagedale
