#include "lovagedale/route/route_changes.h"

#include <string_view>
#include <unordered_map>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

template <typename Item>
auto FindListChanges(const std::vector<Item>& before,
                     const std::vector<Item>& after)
    -> std::vector<list_part<Item>> {
  std::unordered_map<std::string_view, std::size_t> index;
  for (std::size_t i = 0; i < before.size(); ++i) index[before[i].name] = i;
  std::vector<list_part<Item>> parts;
  std::size_t next = 0;  // of `before`, after the last run
  for (const auto& item : after) {
    if (next >= before.size() || before[next] != item) {
      const auto found = index.find(item.name);
      if (found == index.end() || before[found->second] != item) {
        if (parts.empty()) parts.emplace_back();
        parts.back().added.push_back(item);
        continue;
      }
      next = found->second;
    }
    if (parts.empty() || !parts.back().added.empty() ||
        parts.back().begin + parts.back().count != next) {
      parts.push_back({static_cast<std::uint32_t>(next), 0, {}});
    }
    ++parts.back().count;
    ++next;
  }
  return parts;
}

template <typename Item>
auto ApplyListChanges(const std::vector<list_part<Item>>& parts,
                      const std::vector<Item>& before, std::vector<Item>& after)
    -> bool {
  for (const auto& part : parts) {
    if (part.begin > before.size() || part.count > before.size() - part.begin) {
      return false;
    }
    const auto first = before.begin() + part.begin;
    after.insert(after.end(), first, first + part.count);
    after.insert(after.end(), part.added.begin(), part.added.end());
  }
  return true;
}

}  // namespace

auto FindRouteChanges(const route_config& before, const route_config& after)
    -> route_changes {
  return {after.version, FindListChanges(before.routes, after.routes),
          FindListChanges(before.services, after.services),
          FindListChanges(before.customers, after.customers), after.limits};
}

auto ApplyRouteChanges(const route_changes& changes, const route_config& before)
    -> std::optional<route_config> {
  route_config after;
  after.version = changes.version;
  after.limits = changes.limits;
  if (!ApplyListChanges(changes.routes, before.routes, after.routes) ||
      !ApplyListChanges(changes.services, before.services, after.services) ||
      !ApplyListChanges(changes.customers, before.customers, after.customers)) {
    return std::nullopt;
  }
  return after;
}

auto HashRoutes(const route_config& config) -> std::uint64_t {
  return Hash64(EncodeFixed(config));
}

}  // namespace lovagedale
