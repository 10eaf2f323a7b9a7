#pragma once

#include <time.h>

#include <chrono>
#include <concepts>
#include <cstdint>

namespace lovagedale {

/// Time since an arbitrary fixed start, in milliseconds, that never steps
/// backwards. Decision logic takes it as an argument and reads no clock.
using monotonic_ms = std::int64_t;

/// A source of monotonic time; tests pass a virtual one.
template <typename T>
concept monotonic_clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<monotonic_ms>;
};

/// The machine's monotonic clock, which wall-clock adjustments do not affect.
/// Unlike steady_clock, it includes time in which the machine is suspended: a
/// leader must not rely on a lease that expired during the suspension.
class system_monotonic_clock {
 public:
  auto Now() const -> monotonic_ms {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return monotonic_ms{time.tv_sec} * 1'000 + time.tv_nsec / 1'000'000;
  }
};

/// Wall-clock time in milliseconds since 1970, for records that people read.
/// Never used to order events or to decide that a lease has expired.
inline auto WallClockMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace lovagedale
