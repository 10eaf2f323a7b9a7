#include "lovagedale/route/route_config.h"

#include <map>
#include <set>

namespace lovagedale {
namespace {

auto Quoted(const std::string& text) -> std::string {
  return "\"" + text + "\"";
}

auto FindRouteProblem(const route& item, const std::set<std::string>& services)
    -> std::optional<std::string> {
  const auto where = "route " + Quoted(item.name) + ": ";
  if (item.host.empty()) return where + "host: missing";
  if (item.prefix.empty() || item.prefix.front() != '/' ||
      item.prefix.back() != '/') {
    return where + "path prefix: got " + Quoted(item.prefix) +
           "; allowed: begins and ends with a slash";
  }
  if (item.timeout_ms <= 0) {
    return where + "timeout: got " + std::to_string(item.timeout_ms) +
           " ms; allowed: more than 0";
  }
  std::uint64_t weights = 0;
  for (const auto& [service, weight] : item.services) {
    if (!services.contains(service)) {
      return where + "service: got " + Quoted(service) +
             "; allowed: a service of this configuration";
    }
    weights += weight;
  }
  if (weights == 0) return where + "weights: add up to 0; allowed: more";
  return std::nullopt;
}

}  // namespace

auto FindConfigProblem(const route_config& config)
    -> std::optional<std::string> {
  std::set<std::string> services;
  for (const auto& item : config.services) {
    if (item.name.empty()) return "service: name: missing";
    if (!services.insert(item.name).second) {
      return "service " + Quoted(item.name) + ": named twice";
    }
  }
  std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
  for (const auto& item : config.routes) {
    if (auto problem = FindRouteProblem(item, services)) return problem;
    if (!hosts_and_prefixes.emplace(item.host, item.prefix).second) {
      return "route " + Quoted(item.name) + ": another route has host " +
             Quoted(item.host) + " and path prefix " + Quoted(item.prefix);
    }
  }
  std::map<std::string, std::string> owners;
  for (const auto& customer : config.customers) {
    for (const auto& key : customer.keys) {
      const auto owner = owners.emplace(key, customer.name).first->second;
      if (owner != customer.name) {
        return "customer " + Quoted(customer.name) +
               ": one of its keys belongs to customer " + Quoted(owner);
      }
    }
  }
  return std::nullopt;
}

}  // namespace lovagedale
