#pragma once

#include <cstdint>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Bounds an entry's lines about calls. Calls and attempts that failed are kept
/// longest; of those that went well one in kGoodEvery is written. What is left
/// out is counted.
class log_budget {
 public:
  /// Whether a line may be written about a call or an attempt that failed.
  auto AllowFailure(monotonic_ms now) -> bool {
    return Take(failures_, kFailuresPerSecond, now);
  }
  /// The same for one that went well; `id_hash` picks the same calls at every
  /// entry.
  auto AllowSuccess(std::uint64_t id_hash, monotonic_ms now) -> bool {
    if (id_hash % kGoodEvery != 0) {
      ++left_out_;
      return false;
    }
    return Take(successes_, kSuccessesPerSecond, now);
  }
  auto left_out() const -> std::uint64_t { return left_out_; }

 private:
  /// Together about 20 KB a second: a hundredth of an entry host's link.
  static constexpr std::uint64_t kFailuresPerSecond = 80;
  static constexpr std::uint64_t kSuccessesPerSecond = 20;
  static constexpr std::uint64_t kGoodEvery = 16;
  static constexpr monotonic_ms kSecondMs = 1'000;

  struct second {
    monotonic_ms number = -1;
    std::uint64_t lines = 0;
  };

  auto Take(second& of, std::uint64_t most, monotonic_ms now) -> bool {
    if (of.number != now / kSecondMs) of = {now / kSecondMs, 0};
    if (of.lines >= most) {
      ++left_out_;
      return false;
    }
    ++of.lines;
    return true;
  }

  second failures_;
  second successes_;
  std::uint64_t left_out_ = 0;
};

}  // namespace lovagedale
