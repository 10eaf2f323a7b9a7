#pragma once

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

/// The machine's monotonic clock. Steps of the wall clock do not affect it.
class system_monotonic_clock {
 public:
  auto Now() const -> monotonic_ms {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
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
