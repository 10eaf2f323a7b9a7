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

/// The machine's monotonic clock. Steps of the wall clock do not affect it. It
/// counts the time in which the machine is suspended, unlike steady_clock: a
/// leader that wakes up must not believe in a lease that has ended meanwhile.
class system_monotonic_clock {
 public:
  auto Now() const -> monotonic_ms {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return monotonic_ms{time.tv_sec} * 1'000 + time.tv_nsec / 1'000'000;
  }
};

/// Wall-clock time in milliseconds since 1970, for records that people read.
/// Never used to order events or to decide that a lease has ended.
inline auto WallClockMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace lovagedale
