#include "lovagedale/route/route_table.h"

#include <algorithm>
#include <cctype>

namespace lovagedale {
namespace {

auto NormalizeHost(std::string_view host) -> std::string {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return key;
}

}  // namespace

auto route_match::Priority() const -> std::uint32_t {
  if (customer != nullptr && customer->priority) return *customer->priority;
  return matched_route->priority;
}

route_table::route_table(route_config config) : config_(std::move(config)) {
  for (const auto& item : config_.routes) {
    by_host_[NormalizeHost(item.host)].push_back(&item);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const route* a, const route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const auto& customer : config_.customers) {
    for (const auto& key : customer.keys) {
      // Callers without a key have an empty one.
      if (!key.empty()) by_key_[key] = &customer;
    }
  }
}

auto route_table::Match(std::string_view host, std::string_view path,
                        std::string_view key) const -> route_match {
  route_match match;
  const auto routes = by_host_.find(NormalizeHost(host));
  if (routes == by_host_.end()) return match;
  const auto found = std::find_if(
      routes->second.begin(), routes->second.end(),
      [&](const route* item) { return path.starts_with(item->prefix); });
  if (found == routes->second.end()) return match;
  const auto customer = by_key_.find(std::string(key));
  if (customer != by_key_.end()) match.customer = customer->second;
  if (match.customer == nullptr && !(*found)->open &&
      !config_.customers.empty()) {
    match.verdict = route_verdict::kUnknownKey;
    return match;
  }
  match.verdict = route_verdict::kAllowed;
  match.matched_route = *found;
  return match;
}

auto route_table::FindService(std::string_view name) const
    -> const routed_service* {
  const auto found =
      std::find_if(config_.services.begin(), config_.services.end(),
                   [&](const auto& item) { return item.name == name; });
  return found == config_.services.end() ? nullptr : &*found;
}

auto ChooseService(const route& item, std::uint64_t hash)
    -> const std::string& {
  std::uint64_t total = 0;
  for (const auto& [service, weight] : item.services) total += weight;
  auto offset = total == 0 ? 0 : hash % total;
  for (const auto& [service, weight] : item.services) {
    if (offset < weight) return service;
    offset -= weight;
  }
  return item.services.front().service;
}

}  // namespace lovagedale
