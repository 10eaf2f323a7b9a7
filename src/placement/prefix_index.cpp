#include "lovagedale/placement/prefix_index.h"

#include <algorithm>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

/// Servers recorded for one prefix at most.
constexpr std::size_t kMaxHolders = 8;

}  // namespace

auto PrefixHashes(std::string_view version, std::string_view prompt)
    -> std::vector<prefix_hash> {
  std::vector<prefix_hash> hashes;
  auto hash = Hash64(version);
  while (prompt.size() >= kPrefixBlockBytes &&
         hashes.size() < kMaxPrefixBlocks) {
    hash = Hash64(prompt.substr(0, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
    prompt.remove_prefix(kPrefixBlockBytes);
  }
  return hashes;
}

auto prefix_index::Record(server_id server,
                          std::span<const prefix_hash> prefixes) -> void {
  for (const auto prefix : prefixes) {
    const auto [position, is_new] = entries_.try_emplace(prefix);
    auto& item = position->second;
    if (is_new) {
      lru_.push_front(prefix);
    } else {
      lru_.splice(lru_.begin(), lru_, item.lru_position);
    }
    item.lru_position = lru_.begin();
    auto& servers = item.servers;
    const auto listed = std::find(servers.begin(), servers.end(), server);
    if (listed != servers.end()) servers.erase(listed);
    servers.insert(servers.begin(), server);
    if (servers.size() > kMaxHolders) servers.pop_back();
  }
  while (entries_.size() > max_entries_) {
    entries_.erase(lru_.back());
    lru_.pop_back();
  }
}

auto prefix_index::Evict(server_id server, prefix_hash prefix) -> void {
  const auto found = entries_.find(prefix);
  if (found == entries_.end()) return;
  std::erase(found->second.servers, server);
}

auto prefix_index::RemoveServer(server_id server) -> void {
  for (auto& [prefix, item] : entries_) std::erase(item.servers, server);
}

auto prefix_index::Find(std::span<const prefix_hash> prefixes,
                        std::size_t limit) const -> std::vector<match> {
  std::vector<match> matches;
  for (auto blocks = prefixes.size(); blocks > 0; --blocks) {
    const auto found = entries_.find(prefixes[blocks - 1]);
    if (found == entries_.end()) continue;
    for (const auto server : found->second.servers) {
      const bool is_listed =
          std::any_of(matches.begin(), matches.end(),
                      [&](const auto& m) { return m.server == server; });
      if (!is_listed) matches.push_back({server, blocks});
      if (matches.size() >= limit) return matches;
    }
  }
  return matches;
}

}  // namespace lovagedale
