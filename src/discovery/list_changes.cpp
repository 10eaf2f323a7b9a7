#include "lovagedale/discovery/list_changes.h"

#include <set>

namespace lovagedale {

auto ApplyListUpdate(const server_list& held, const server_list_update& update)
    -> std::optional<server_list> {
  if (update.base == 0) return server_list{update.number, update.servers};
  if (update.base != held.number) return std::nullopt;
  std::set<std::string> replaced(update.removed.begin(), update.removed.end());
  for (const auto& server : update.servers) replaced.insert(server.id);
  server_list list{update.number, {}};
  for (const auto& server : held.servers) {
    if (!replaced.contains(server.id)) list.servers.push_back(server);
  }
  list.servers.insert(list.servers.end(), update.servers.begin(),
                      update.servers.end());
  return list;
}

auto server_list_changes::Restart(const server_list& list) -> void {
  *this = {};
  oldest_base_ = list.number;
  Record(list);
}

auto server_list_changes::Record(const server_list& list, monotonic_ms now)
    -> void {
  number_ = list.number;
  std::set<std::string> present;
  for (const auto& server : list.servers) {
    present.insert(server.id);
    const auto [known, is_new] = servers_.try_emplace(server.id);
    if (!is_new && IsSameListing(known->second.listed, server, now)) continue;
    known->second = {server, number_};
  }
  std::erase_if(servers_, [&](const auto& item) {
    if (present.contains(item.first)) return false;
    removals_.emplace_back(number_, item.first);
    return true;
  });
  while (removals_.size() > kMaxRemovals) {
    oldest_base_ = removals_.front().first;
    removals_.pop_front();
  }
}

auto server_list_changes::UpdateFrom(std::uint64_t base) const
    -> server_list_update {
  const bool is_known = base >= oldest_base_ && base <= number_;
  server_list_update update{number_, is_known ? base : 0, {}, {}};
  for (const auto& [id, known] : servers_) {
    if (known.changed_in > update.base) update.servers.push_back(known.listed);
  }
  if (!is_known) return update;
  for (const auto& [number, id] : removals_) {
    // A server that was removed and has returned is among the changed ones.
    if (number > base && !servers_.contains(id)) update.removed.push_back(id);
  }
  return update;
}

}  // namespace lovagedale
