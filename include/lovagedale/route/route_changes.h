#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "lovagedale/route/route_config.h"

namespace lovagedale {

/// Part of a changed list: `count` items of the old list from `begin` on,
/// followed by `added`.
template <typename Item>
struct list_part {
  std::uint32_t begin = 0;
  std::uint32_t count = 0;
  std::vector<Item> added;

  auto operator==(const list_part&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(begin, count, added);
  }
};

/// The difference between two route configurations: the new lists as runs of
/// the old ones' items and added items. An item that differs is an added one.
struct route_changes {
  route_config_version version = 0;
  std::vector<list_part<route>> routes;
  std::vector<list_part<routed_service>> services;
  std::vector<list_part<route_customer>> customers;
  caller_limits limits;

  auto operator==(const route_changes&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, routes, services, customers, limits);
  }
};

auto FindRouteChanges(const route_config& before, const route_config& after)
    -> route_changes;

/// The configuration after `changes`; nothing if they refer to items that
/// `before` does not have, so were made from another configuration.
auto ApplyRouteChanges(const route_changes& changes, const route_config& before)
    -> std::optional<route_config>;

/// Equal for two configurations only if they are equal.
auto HashRoutes(const route_config& config) -> std::uint64_t;

}  // namespace lovagedale
