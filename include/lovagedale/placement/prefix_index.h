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
/// Blocks of a prompt that are looked at.
inline constexpr std::size_t kMaxPrefixBlocks = 64;

/// Hashes of the whole blocks at the beginning of a prompt. `version` is part
/// of each hash: caches of different versions share nothing.
auto PrefixHashes(std::string_view version, std::string_view prompt)
    -> std::vector<prefix_hash>;

/// Which servers probably hold which prompt prefixes: fed by what was routed
/// and by the engines' events, which come late and with gaps. Bounded; the
/// least recently used prefix is forgotten first. One thread.
class prefix_index {
 public:
  explicit prefix_index(std::size_t max_entries) : max_entries_(max_entries) {}

  /// A request with these prefixes was sent to the server.
  auto Record(server_id server, std::span<const prefix_hash> prefixes) -> void;
  /// The server reported that it dropped a prefix.
  auto Evict(server_id server, prefix_hash prefix) -> void;
  /// The server lost its cache, or its events had a gap.
  auto RemoveServer(server_id server) -> void;

  struct match {
    server_id server = 0;
    std::size_t blocks = 0;  ///< leading blocks that it probably holds
    auto operator==(const match&) const -> bool = default;
  };
  /// Servers that hold the longest known prefix, longest first, at most
  /// `limit`.
  auto Find(std::span<const prefix_hash> prefixes, std::size_t limit) const
      -> std::vector<match>;
  auto size() const -> std::size_t { return entries_.size(); }

 private:
  struct entry {
    std::vector<server_id> servers;
    std::list<prefix_hash>::iterator place;
  };

  std::size_t max_entries_;
  std::unordered_map<prefix_hash, entry> entries_;
  std::list<prefix_hash> lru_;  // Most recently used first.
};

}  // namespace lovagedale
