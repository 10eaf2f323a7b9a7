#pragma once

#include <algorithm>
#include <cstddef>

namespace lovagedale {

/// Limits the memory that many concurrent users hold together. Not thread-safe.
class byte_budget {
 public:
  /// Of each reservation, `free_bytes` are not counted, so that small users are
  /// served while large ones hold the whole budget.
  byte_budget(std::size_t max_bytes, std::size_t free_bytes)
      : max_bytes_(max_bytes), free_bytes_(free_bytes) {}

  auto used_bytes() const -> std::size_t { return used_bytes_; }

 private:
  friend class byte_reservation;

  std::size_t max_bytes_;
  std::size_t free_bytes_;
  std::size_t used_bytes_ = 0;
};

/// One user's part of a budget, returned by the destructor.
class byte_reservation {
 public:
  explicit byte_reservation(byte_budget& budget) : budget_(&budget) {}
  ~byte_reservation() { budget_->used_bytes_ -= counted_bytes_; }
  byte_reservation(const byte_reservation&) = delete;
  auto operator=(const byte_reservation&) -> byte_reservation& = delete;

  /// Changes the reservation to `bytes`; false, and unchanged, if the budget
  /// does not allow it.
  auto Resize(std::size_t bytes) -> bool {
    const auto counted = bytes - std::min(bytes, budget_->free_bytes_);
    const auto others = budget_->used_bytes_ - counted_bytes_;
    if (counted > counted_bytes_ && others + counted > budget_->max_bytes_) {
      return false;
    }
    budget_->used_bytes_ = others + counted;
    counted_bytes_ = counted;
    return true;
  }

 private:
  byte_budget* budget_;
  std::size_t counted_bytes_ = 0;
};

}  // namespace lovagedale
