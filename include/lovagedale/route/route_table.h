#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lovagedale/route/route_config.h"

namespace lovagedale {

/// The result of matching a request, before any server is chosen.
enum class route_verdict {
  kAllowed,
  kNoRoute,     ///< no route of that host matches the path
  kUnknownKey,  ///< the route needs a customer's key and none was recognised
};

struct route_match {
  route_verdict verdict = route_verdict::kNoRoute;
  const route* matched_route = nullptr;      ///< set if kAllowed
  const route_customer* customer = nullptr;  ///< whose key it was, if any

  /// The customer's priority, or else the route's. Only if kAllowed.
  auto Priority() const -> std::uint32_t;
};

/// A route configuration with its indexes. Immutable.
class route_table {
 public:
  explicit route_table(route_config config);
  route_table(const route_table&) = delete;
  auto operator=(const route_table&) -> route_table& = delete;

  /// `host` as in the Host header, with or without a port; `path` without its
  /// query; `key` empty if the caller sent none. No route needs a key if the
  /// configuration has no customers.
  auto Match(std::string_view host, std::string_view path,
             std::string_view key) const -> route_match;
  auto FindService(std::string_view name) const -> const routed_service*;
  auto config() const -> const route_config& { return config_; }
  auto version() const -> route_config_version { return config_.version; }

 private:
  route_config config_;
  /// Routes of one host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
  std::unordered_map<std::string, const route_customer*> by_key_;
};

/// Chooses a service by weight; a given `hash` always gets the same one.
auto ChooseService(const route& item, std::uint64_t hash) -> const std::string&;

}  // namespace lovagedale
