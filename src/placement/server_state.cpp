#include "lovagedale/placement/server_state.h"

#include <algorithm>

namespace lovagedale {

auto server_state::Holds(std::uint64_t version_hash) const -> bool {
  const auto held = loaded_versions.load(std::memory_order_acquire);
  return !held || std::binary_search(held->begin(), held->end(), version_hash);
}

auto server_state::AddRunning(std::uint64_t fingerprint) -> void {
  const std::lock_guard lock(mutex_);
  running_.push_back(fingerprint);
}

auto server_state::RemoveRunning(std::uint64_t fingerprint) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = std::find(running_.begin(), running_.end(), fingerprint);
  if (found == running_.end()) return;
  *found = running_.back();
  running_.pop_back();
}

auto server_state::Running() const -> std::vector<std::uint64_t> {
  const std::lock_guard lock(mutex_);
  return running_;
}

auto server_state::TryReportCrash(monotonic_ms now, monotonic_ms hold_ms)
    -> bool {
  return crash_reported_until_.exchange(now + hold_ms) <= now;
}

auto server_registry::Get(const std::string& name)
    -> std::shared_ptr<server_state> {
  auto& state = states_[name];
  if (!state) state = std::make_shared<server_state>(name);
  return state;
}

}  // namespace lovagedale
