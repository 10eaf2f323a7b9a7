#include "lovagedale/admission/limit_shares.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <optional>
#include <random>
#include <utility>

#include "lovagedale/admission/customer_limits.h"

namespace lovagedale::testing {
namespace {

constexpr double kLimit = 100;
constexpr monotonic_ms kStepMs = 1'000;

auto Customers() -> std::vector<customer> {
  customer item;
  item.name = "carts";
  item.rate_per_s = kLimit;
  item.burst_requests = kLimit;
  return {item};
}

/// Entries and a control leader on a virtual clock. Heartbeats and answers to
/// them may be lost.
class limited_fleet {
 public:
  explicit limited_fleet(std::size_t size) : size_(size) {
    for (std::size_t i = 0; i < size; ++i) {
      entries_.emplace_back(size);
      names_.push_back("entry-" + std::to_string(i));
    }
    knows_leader_.assign(size, false);
    needs_limits_.assign(size, true);
    wanted_.assign(size, 0);
  }

  auto Want(std::size_t entry, int per_s) -> void { wanted_[entry] = per_s; }
  auto ReplaceLeader() -> void {
    leader_.emplace(now_);
    // The entries find that the old leader no longer answers.
    knows_leader_.assign(size_, false);
  }
  /// One second of requests and heartbeats; `is_lost(entry)` decides for each
  /// message whether it is lost.
  template <typename IsLost>
  auto Step(IsLost is_lost) -> void {
    now_ += kStepMs;
    for (std::size_t i = 0; i < size_; ++i) {
      for (int n = 0; n < wanted_[i]; ++n) {
        if (entries_[i].TryAdmit(customers_[0], now_) == 0) ++admitted_;
      }
      Heartbeat(i, is_lost);
    }
    leader_->Allocate({{"carts", kLimit}}, names_, now_);
  }
  auto SumInForce() -> double {
    double sum = 0;
    for (std::size_t i = 0; i < size_; ++i) sum += ShareOf(i);
    return sum;
  }
  auto ShareOf(std::size_t entry) -> double {
    return entries_[entry].ShareOf(customers_[0], now_);
  }
  auto TakeAdmitted() -> int { return std::exchange(admitted_, 0); }

 private:
  template <typename IsLost>
  auto Heartbeat(std::size_t i, IsLost is_lost) -> void {
    // Without a known leader, an entry first looks for the leader.
    if (!knows_leader_[i]) {
      knows_leader_[i] = !is_lost(i) && !is_lost(i);
      needs_limits_[i] = true;
      return;
    }
    knows_leader_[i] = false;  // Until the answer arrives.
    const auto demands =
        entries_[i].CollectDemands(customers_, needs_limits_[i], 8, now_);
    if (is_lost(i)) return;
    leader_->Report(names_[i], demands, needs_limits_[i], now_);
    const auto shares = leader_->SharesFor(names_[i], 8);
    if (is_lost(i)) return;
    knows_leader_[i] = true;
    needs_limits_[i] = !leader_->HasReportedAll(names_[i]);
    entries_[i].SetShares(shares, now_);
  }

  std::size_t size_;
  monotonic_ms now_ = 0;
  std::vector<customer> customers_ = Customers();
  std::deque<customer_limits> entries_;
  std::vector<std::string> names_;
  std::vector<bool> knows_leader_;
  std::vector<bool> needs_limits_;
  std::vector<int> wanted_;
  std::optional<limit_allocator> leader_{0};
  int admitted_ = 0;
};

auto NothingLost(std::size_t /*entry*/) -> bool { return false; }

}  // namespace

TEST_CASE("shares in force never sum to more than the limit") {
  CHECK(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::size_t size = 2 + random() % 6;
    limited_fleet fleet(size);
    std::vector<int> cut_off_s(size, 0);  // Remaining time of a disconnection.
    for (int step = 0; step < 200; ++step) {
      if (random() % 8 == 0) {
        fleet.Want(random() % size, static_cast<int>(random() % 150));
      }
      if (random() % 25 == 0) cut_off_s[random() % size] = random() % 60;
      if (random() % 40 == 0) fleet.ReplaceLeader();
      fleet.Step(
          [&](std::size_t i) { return cut_off_s[i] > 0 || random() % 5 == 0; });
      for (auto& time_s : cut_off_s) time_s = std::max(0, time_s - 1);
      RC_ASSERT(fleet.SumInForce() <= kLimit * (1 + 1e-9));
    }
  }));
}

TEST_CASE("a customer that uses one entry of eight gets most of its limit") {
  limited_fleet fleet(8);
  fleet.Want(3, 150);
  for (int step = 0; step < 6; ++step) fleet.Step(NothingLost);
  fleet.TakeAdmitted();
  constexpr int kSeconds = 30;
  for (int step = 0; step < kSeconds; ++step) fleet.Step(NothingLost);
  CHECK(fleet.TakeAdmitted() >= 0.75 * kLimit * kSeconds);
  CHECK(fleet.SumInForce() <= kLimit * (1 + 1e-9));
}

TEST_CASE("shares follow demand that moves to another entry") {
  limited_fleet fleet(4);
  fleet.Want(0, 90);
  for (int step = 0; step < 10; ++step) fleet.Step(NothingLost);
  CHECK(fleet.ShareOf(0) >= 0.75 * kLimit);
  fleet.Want(0, 0);
  fleet.Want(2, 90);
  for (int step = 0; step < 15; ++step) fleet.Step(NothingLost);
  CHECK(fleet.ShareOf(2) >= 0.75 * kLimit);
}

TEST_CASE("a disconnected entry keeps its share, up to an equal share") {
  limited_fleet fleet(4);
  fleet.Want(0, 90);
  for (int step = 0; step < 10; ++step) fleet.Step(NothingLost);
  const auto held = fleet.ShareOf(1);
  // An entry without demand keeps a quarter of an equal share.
  CHECK(held >= kLimit / 4 / 4);
  CHECK(fleet.ShareOf(0) > kLimit / 4);
  const auto lost = [](std::size_t i) { return i <= 1; };
  for (int step = 0; step < 30; ++step) fleet.Step(lost);
  CHECK(fleet.ShareOf(0) == kLimit / 4);
  CHECK(fleet.ShareOf(1) == held);
}

}  // namespace lovagedale::testing
