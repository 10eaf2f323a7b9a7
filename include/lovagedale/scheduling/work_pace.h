#pragma once

#include <array>
#include <optional>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Estimates how many milliseconds a unit of queued work adds to the time to
/// the first event, from this entry's own answers. The median of recent ratios
/// is used, so that single slow answers have no effect; with few recent ones it
/// is blended with the long-run value, so that the estimate recovers while no
/// requests are sent.
class work_pace {
 public:
  /// An answer's first event arrived `ms` after its request was sent to a
  /// server where `work` was queued, the request's own included.
  auto Record(double ms, double work, monotonic_ms now) -> void;
  /// Milliseconds per unit of work; nothing before kMinAnswers answers.
  auto MsPerWork(monotonic_ms now) const -> std::optional<double>;

 private:
  static constexpr std::size_t kMinAnswers = 16;
  static constexpr std::size_t kMinRecent = 8;
  /// Queues at servers change within a second or two, and an entry gets a few
  /// answers per second.
  static constexpr monotonic_ms kRecentMs = 4'000;
  /// Weight of one answer in the long-run value.
  static constexpr double kPriorWeight = 0.02;
  /// Bounds one answer's part in the long-run value, as a multiple of it.
  static constexpr double kMaxPriorRatio = 3;

  struct sample {
    double ratio = 0;
    monotonic_ms at = 0;
  };
  std::array<sample, 32> samples_{};
  std::size_t count_ = 0;
  double prior_ = 0;
};

}  // namespace lovagedale
