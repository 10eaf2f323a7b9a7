#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lovagedale/catalog/catalog.h"

namespace lovagedale {

/// Hash of a prompt's first k blocks, for k = 1, 2, ...
using prefix_hash = std::uint64_t;

/// Bytes of prompt text per block.
inline constexpr std::size_t kPrefixBlockBytes = 256;
/// Blocks of a prompt that are hashed at most.
inline constexpr std::size_t kMaxPrefixBlocks = 64;

/// Hashes of the complete blocks at the beginning of a prompt. `version` is
/// part of each hash, since versions do not share cached blocks.
auto PrefixHashes(std::string_view version, std::string_view prompt)
    -> std::vector<prefix_hash>;

/// Records which servers probably hold which prompt prefixes in their caches,
/// from the requests sent and from the engines' events, which arrive late and
/// incompletely. A bounded LRU map of prefixes. Not thread-safe.
class prefix_index {
 public:
  explicit prefix_index(std::size_t max_entries) : max_entries_(max_entries) {}

  /// Records that a request with these prefixes was sent to the server.
  auto Record(server_id server, std::span<const prefix_hash> prefixes) -> void;
  /// Removes a prefix that the server reported as evicted from its cache.
  auto Evict(server_id server, prefix_hash prefix) -> void;
  /// Removes all prefixes of a server, after it lost its cache or events of it
  /// were missed.
  auto RemoveServer(server_id server) -> void;

  struct match {
    server_id server = 0;
    std::size_t blocks = 0;  ///< leading blocks that it probably holds
    auto operator==(const match&) const -> bool = default;
  };
  /// At most `limit` servers that hold a prefix of the prompt, by decreasing
  /// length of their longest prefix.
  auto Find(std::span<const prefix_hash> prefixes, std::size_t limit) const
      -> std::vector<match>;
  auto size() const -> std::size_t { return entries_.size(); }

 private:
  struct entry {
    std::vector<server_id> servers;
    std::list<prefix_hash>::iterator lru_position;
  };

  std::size_t max_entries_;
  std::unordered_map<prefix_hash, entry> entries_;
  std::list<prefix_hash> lru_;  // Most recently used first.
};

}  // namespace lovagedale
