#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lovagedale/discovery/server_list.h"

namespace lovagedale {

/// Brings an entry from the list with number `base` to the list with `number`.
struct server_list_update {
  std::uint64_t number = 0;
  std::uint64_t base = 0;              ///< 0: `servers` is the complete list
  std::vector<listed_server> servers;  ///< new or changed since `base`
  std::vector<std::string> removed;    ///< ids

  auto operator==(const server_list_update&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(number, base, servers, removed);
  }
};

/// The list after an update; nothing if the update starts from another list
/// than `held`.
auto ApplyListUpdate(const server_list& held, const server_list_update& update)
    -> std::optional<server_list>;

/// Makes the updates from the lists that one leader has read. Pure.
class server_list_changes {
 public:
  /// Removals that are remembered; entries that hold an older list get the
  /// complete one.
  static constexpr std::size_t kMaxRemovals = 256;

  /// Starts over with the first list of a leader.
  auto Restart(const server_list& list) -> void;
  /// Records a list, read at `now`, with a greater number than the one before.
  auto Record(const server_list& list, monotonic_ms now = 0) -> void;
  /// The update to the latest list, for an entry that holds the list `base`.
  auto UpdateFrom(std::uint64_t base) const -> server_list_update;

 private:
  struct known_server {
    listed_server listed;
    std::uint64_t changed_in = 0;  ///< number of the list
  };

  std::uint64_t number_ = 0;
  std::uint64_t oldest_base_ = 0;  ///< changes since then are known
  std::map<std::string, known_server> servers_;  ///< by id
  /// Numbers of the lists, and ids, oldest first.
  std::deque<std::pair<std::uint64_t, std::string>> removals_;
};

}  // namespace lovagedale
