#include "lovagedale/http/connection_account.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagedale {
namespace {

/// Differences in idle time below this are left to the order of opening.
constexpr monotonic_ms kIdleStepMs = 1'000;
/// A body gives way to another one only after this time: its caller would get
/// no answer, while the other one gets 503. On a busy machine 300 ms closed
/// callers whose bodies had arrived and were not read yet.
constexpr monotonic_ms kMinBehindForBytesMs = 2'000;

constexpr std::size_t kMinSmallPartBytes = 1UL << 20U;

auto MaxLargeBytes(std::size_t max_bytes) -> std::size_t {
  // With less than 1 MB beside them, a few bodies that grow take it all.
  return max_bytes -
         std::max(max_bytes / 8, std::min(kMinSmallPartBytes, max_bytes / 2));
}

}  // namespace

auto GivesWayBefore(const connection_view& first, const connection_view& second)
    -> bool {
  const auto rank = [](const connection_view& item) {
    return std::tuple(!item.is_over_share, item.phase,
                      -(item.behind_ms / kIdleStepMs), ~item.number);
  };
  return rank(first) < rank(second);
}

auto MayGiveWay(const connection_view& connection, bool needs_idle) -> bool {
  if (connection.phase == connection_phase::kRunning) return false;
  if (connection.phase == connection_phase::kRefused) return true;
  return connection.behind_ms >= connection_account::kMinBehindMs ||
         (connection.is_over_share && !needs_idle);
}

auto connection_account::IsOverShare(port_class ports,
                                     const peer_use& use) const -> bool {
  const auto peers = part(ports).peers.size();
  if (peers < 2) return false;
  const auto& limits = LimitsOf(ports);
  return use.connections > limits.max_connections / peers ||
         use.bytes > limits.max_bytes / peers;
}

auto connection_account::ViewOf(const accounted_connection& connection,
                                monotonic_ms now) const -> connection_view {
  return {connection.number_, connection.phase_,
          IsOverShare(connection.ports_, connection.peer_->second),
          connection.pace_.BehindMs(now)};
}

auto connection_account::CloseOne(port_class ports,
                                  const accounted_connection* newcomer,
                                  monotonic_ms now) -> bool {
  const bool needs_idle =
      newcomer == nullptr || IsOverShare(ports, newcomer->peer_->second);
  accounted_connection* chosen = nullptr;
  connection_view chosen_view;
  for (auto* item : part(ports).open) {
    if (item == newcomer || item->is_closing_) continue;
    const auto view = ViewOf(*item, now);
    if (!MayGiveWay(view, needs_idle)) continue;
    if (chosen != nullptr && !GivesWayBefore(view, chosen_view)) continue;
    chosen = item;
    chosen_view = view;
  }
  if (chosen == nullptr) return false;
  Close(*chosen);
  return true;
}

auto connection_account::FreeDescriptor(monotonic_ms now) -> bool {
  for (const auto ports : {port_class::kGeneral, port_class::kReserved}) {
    if (!CloseOne(ports, nullptr, now)) continue;
    ++part(ports).counts.closed_for_descriptors;
    return true;
  }
  return false;
}

auto connection_account::CloseForBytes(accounted_connection& wanting,
                                       std::size_t bytes, monotonic_ms now)
    -> bool {
  auto& own = part(wanting.ports_);
  const auto& limits = LimitsOf(wanting.ports_);
  const auto max_large = MaxLargeBytes(limits.max_bytes);
  const bool needs_idle = IsOverShare(wanting.ports_, wanting.peer_->second);
  // What would be held once those that are closing are gone.
  auto held =
      own.counts.bytes - own.closing_bytes - wanting.held_bytes_ + bytes;
  auto large = own.large_bytes - own.closing_large_bytes -
               wanting.LargeBytes(wanting.held_bytes_) +
               wanting.LargeBytes(bytes);
  const auto fits = [&] {
    return held <= limits.max_bytes && large <= max_large;
  };
  std::vector<std::pair<connection_view, accounted_connection*>> candidates;
  if (!fits()) {
    for (auto* item : own.open) {
      if (item == &wanting || item->is_closing_ || item->held_bytes_ == 0) {
        continue;
      }
      const auto view = ViewOf(*item, now);
      const bool is_late = view.behind_ms >= kMinBehindForBytesMs ||
                           view.phase == connection_phase::kRefused ||
                           view.is_over_share;
      if (is_late && MayGiveWay(view, needs_idle)) {
        candidates.emplace_back(view, item);
      }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& first, const auto& second) {
                return GivesWayBefore(first.first, second.first);
              });
  }
  std::vector<accounted_connection*> chosen;
  for (const auto& [view, item] : candidates) {
    if (fits()) break;
    const auto item_large = item->LargeBytes(item->held_bytes_);
    // Callers of small requests do not give way to a large body.
    if (wanting.LargeBytes(bytes) > 0 && item_large == 0) continue;
    held -= item->held_bytes_ + kConnectionBytes;
    large -= item_large;
    chosen.push_back(item);
  }
  if (!fits()) return false;
  for (auto* item : chosen) {
    ++own.counts.closed_for_bytes;
    Close(*item);
  }
  return true;
}

auto connection_account::Close(accounted_connection& connection) -> void {
  auto& own = part(connection.ports_);
  connection.is_closing_ = true;
  own.closing_bytes += connection.held_bytes_ + kConnectionBytes;
  own.closing_large_bytes += connection.LargeBytes(connection.held_bytes_);
  --own.counts.connections;
  // Moved out first: the function may lead to the connection's end.
  const auto close = std::move(connection.close_);
  connection.close_ = nullptr;
  if (close) close();
}

accounted_connection::accounted_connection(
    std::shared_ptr<connection_account> account, port_class ports,
    const std::string& peer, monotonic_ms now, std::function<void()> close)
    : account_(std::move(account)),
      ports_(ports),
      close_(std::move(close)),
      number_(account_->next_number_++),
      pace_(now) {
  auto& own = account_->part(ports_);
  const auto& limits = account_->LimitsOf(ports_);
  peer_ = own.peers.try_emplace(peer).first;
  ++peer_->second.connections;
  position_ = own.open.insert(own.open.end(), this);
  ++own.counts.connections;
  own.counts.bytes += connection_account::kConnectionBytes;
  peer_->second.bytes += connection_account::kConnectionBytes;
  const auto is_full = [&] {
    return own.counts.connections > limits.max_connections ||
           own.counts.bytes - own.closing_bytes > limits.max_bytes;
  };
  while (is_full()) {
    if (!account_->CloseOne(ports_, this, now)) {
      is_accepted_ = false;
      ++own.counts.refused_connections;
      return;
    }
    ++own.counts.closed_for_connections;
  }
}

accounted_connection::~accounted_connection() {
  auto& own = account_->part(ports_);
  SetHeld(0);
  own.counts.bytes -= connection_account::kConnectionBytes;
  peer_->second.bytes -= connection_account::kConnectionBytes;
  if (is_closing_) {
    own.closing_bytes -= connection_account::kConnectionBytes;
  } else {
    --own.counts.connections;
  }
  if (--peer_->second.connections == 0) own.peers.erase(peer_);
  own.open.erase(position_);
}

auto accounted_connection::SetPhase(connection_phase phase, monotonic_ms now)
    -> void {
  phase_ = phase;
  pace_ = transfer_pace(now);
}

auto accounted_connection::LargeBytes(std::size_t bytes) const -> std::size_t {
  return bytes - std::min(bytes, connection_account::kSmallBytes);
}

auto accounted_connection::Fits(std::size_t bytes) const -> bool {
  const auto& own = account_->part(ports_);
  const auto max_bytes = account_->LimitsOf(ports_).max_bytes;
  const auto large =
      own.large_bytes - LargeBytes(held_bytes_) + LargeBytes(bytes);
  return own.counts.bytes - held_bytes_ + bytes <= max_bytes &&
         (LargeBytes(bytes) <= LargeBytes(held_bytes_) ||
          large <= MaxLargeBytes(max_bytes));
}

auto accounted_connection::SetHeld(std::size_t bytes) -> void {
  auto& own = account_->part(ports_);
  const auto change = [&](std::size_t& sum, std::size_t from, std::size_t to) {
    sum = sum - from + to;
  };
  change(own.counts.bytes, held_bytes_, bytes);
  change(own.large_bytes, LargeBytes(held_bytes_), LargeBytes(bytes));
  change(peer_->second.bytes, held_bytes_, bytes);
  if (is_closing_) {
    change(own.closing_bytes, held_bytes_, bytes);
    change(own.closing_large_bytes, LargeBytes(held_bytes_), LargeBytes(bytes));
  }
  held_bytes_ = bytes;
}

auto accounted_connection::Reserve(std::size_t bytes, monotonic_ms now)
    -> reserve_result {
  if (bytes <= held_bytes_ || Fits(bytes)) {
    SetHeld(bytes);
    return reserve_result::kGranted;
  }
  if (is_closing_) return reserve_result::kRefused;
  return account_->CloseForBytes(*this, bytes, now) ? reserve_result::kWait
                                                    : reserve_result::kRefused;
}

auto accounted_connection::Charge(std::size_t bytes, monotonic_ms now) -> void {
  if (!is_closing_ && bytes > held_bytes_ && !Fits(bytes)) {
    account_->CloseForBytes(*this, bytes, now);
  }
  SetHeld(bytes);
}

auto accounted_connection::CountRefusedRequest() -> void {
  ++account_->part(ports_).counts.refused_requests;
}

}  // namespace lovagedale
