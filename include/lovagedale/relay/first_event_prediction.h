#pragma once

#include <cstdint>
#include <optional>

namespace lovagedale {

/// Time that a server needs per unit of a model's work, in milliseconds, from
/// the times to the first event of this entry's answers. A median-like estimate
/// (each answer moves it by a bounded factor): times are multiplied by whatever
/// else a server does, and a few servers are much slower than the others.
class work_time {
 public:
  /// An answer's first event arrived `ms` after its request, which had `work`
  /// before it, its own included.
  auto Record(double ms, double work) -> void;
  auto ms_per_work() const -> double;

 private:
  /// 38.4 prompt tokens per millisecond on the smallest model, as measured at
  /// the model servers (docs/HARD_LOAD.md). Work is in tokens of that model.
  static constexpr double kPriorMsPerWork = 1 / 38.4;

  double ms_per_work_ = kPriorMsPerWork;
  std::uint64_t answers_ = 0;
};

/// What is known of a server's queue when a request is about to be sent.
struct server_queue {
  double own_work = 0;  ///< this entry's, see server_candidate
  /// The other entries'; nothing if unknown.
  std::optional<double> other_entries_work;
  double pace = 1;  ///< see server_speed
  /// Age of what is known of other entries, in milliseconds; negative if
  /// nothing is.
  double age_ms = -1;

  auto operator==(const server_queue&) const -> bool = default;
};

struct first_event_prediction {
  double ms = 0;       ///< from sending the request to its first event
  double age_ms = -1;  ///< see server_queue

  auto operator==(const first_event_prediction&) const -> bool = default;
};

/// Work that a server does before the first event of a request with
/// `request_work`, which lacks the prompt part that the server has cached.
auto WorkToFirstEvent(const server_queue& queue, double request_work) -> double;

/// Time to the first event of a request that is sent to the server now. Servers
/// process prompts one after the other. Nothing if the result is no finite,
/// positive number.
auto PredictFirstEvent(const server_queue& queue, double request_work,
                       double ms_per_work)
    -> std::optional<first_event_prediction>;

}  // namespace lovagedale
