#include "lovagedale/entry/entry_state.h"

#include <algorithm>

namespace lovagedale {
namespace {

constexpr std::size_t kMaxDecisions = 20'000;

}  // namespace

auto evidence_buffer::Add(const evidence_key& key,
                          const evidence_counts& counts) -> void {
  const std::lock_guard lock(mutex_);
  pending_[key] += counts;
}

auto evidence_buffer::Take() -> evidence_table {
  const std::lock_guard lock(mutex_);
  auto taken = std::move(pending_);
  pending_.clear();
  return taken;
}

auto suspect_set::Add(std::uint64_t fingerprint) -> void {
  const std::lock_guard lock(mutex_);
  fingerprints_.insert(fingerprint);
}

auto suspect_set::Contains(std::uint64_t fingerprint) const -> bool {
  const std::lock_guard lock(mutex_);
  return fingerprints_.contains(fingerprint);
}

auto suspect_set::Remove(std::uint64_t fingerprint) -> bool {
  const std::lock_guard lock(mutex_);
  return fingerprints_.erase(fingerprint) > 0;
}

auto entry_state::MayRun(const routing_table& routes, version_id version,
                         monotonic_ms now) const -> bool {
  if (!routes.MayRun(version, HasPermit(now))) return false;
  if (routes.Route(version).phase != version_phase::kRollout) return true;
  return !stopped_versions.load()->contains(
      {routes.config().versions[version].name, routes.revision()});
}

auto decision_log::Add(const std::string& request_id, const std::string& json)
    -> void {
  const std::lock_guard lock(mutex_);
  decisions_.push_back({request_id, json});
  if (decisions_.size() > kMaxDecisions) decisions_.pop_front();
}

auto decision_log::Find(const std::string& request_id) const
    -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> found;
  for (const auto& item : decisions_) {
    if (item.request_id == request_id) found.push_back(item.json);
  }
  return found;
}

}  // namespace lovagedale
