#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Position of a version, server, pool or customer in its catalog's list.
using version_id = std::uint32_t;
using server_id = std::uint32_t;
using pool_id = std::uint32_t;
using customer_id = std::uint32_t;

/// Money in millionths of the deployment's currency unit.
using money_micros = std::int64_t;

struct availability_zone {
  std::string name;
  std::string region;
  auto operator==(const availability_zone&) const -> bool = default;
};

/// What a zone does with a version while the control leader cannot be reached.
enum class cut_off_policy {
  kServe,   ///< goes on under its last configuration
  kRefuse,  ///< stops within the permit's life
};

struct model_version {
  std::string name;  ///< `model@version`, unique
  std::string model;
  money_micros price_micros_per_1k_tokens = 0;
  /// Share of answers expected to satisfy a rater, before evidence, 0 to 1.
  double expected_quality = 0.5;
  monotonic_ms expected_first_token_ms = 0;
  double expected_token_ms = 0;
  cut_off_policy when_cut_off = cut_off_policy::kServe;
  /// Version that sessions move to when this one is withdrawn; may be empty.
  std::string successor;

  auto operator==(const model_version&) const -> bool = default;
};

struct backend_server {
  std::string name;
  std::string zone;
  std::string host;
  std::uint16_t port = 0;
  std::vector<version_id> versions;  ///< those it may run; empty for services
  std::int64_t slots = 1;            ///< requests it runs at once
  pool_id pool = 0;
  /// Versions that it holds at once, by control's orders; 0 if it always holds
  /// all of `versions` and takes no orders.
  std::int64_t max_loaded_versions = 0;

  auto operator==(const backend_server&) const -> bool = default;
};

enum class pool_kind { kEngine, kService };

struct server_pool {
  std::string name;
  pool_kind kind = pool_kind::kEngine;
  /// Methods whose calls may be sent again (services only).
  std::vector<std::string> repeatable_methods;
  std::vector<server_id> servers;

  auto operator==(const server_pool&) const -> bool = default;
  auto IsRepeatable(std::string_view method) const -> bool;
};

enum class patience_class {
  kInteractive,  ///< latency first; shed last
  kPatient,      ///< cost first; waits in the engines' low priority
};

/// One rung of a cascade that an operator has fixed.
struct cascade_rule {
  version_id version = 0;
  /// Answers whose own signal is at least this are kept, 0 to 1.
  double accept_signal = 0;

  auto operator==(const cascade_rule&) const -> bool = default;
};

struct customer {
  std::string name;
  std::string key;                   ///< bearer key
  std::vector<version_id> versions;  ///< allowed versions, cheapest first
  std::vector<pool_id> services;     ///< allowed services
  double target_quality = 0.0;       ///< mean quality to deliver, 0 to 1
  patience_class patience = patience_class::kInteractive;
  double rate_per_s = 0;  ///< fleet-wide; 0 means no limit
  double burst_requests = 0;
  std::int64_t max_concurrent_requests = 0;  ///< per entry; 0 means no limit
  /// Replaces the learned choice of versions if not empty.
  std::vector<cascade_rule> cascade;

  auto operator==(const customer&) const -> bool = default;
  auto AllowsVersion(version_id version) const -> bool;
  auto AllowsService(pool_id pool) const -> bool;
};

/// The service that rates answers.
struct rating_service {
  std::string host;
  std::uint16_t port = 0;
  double ratings_per_s = 0;  ///< fleet-wide limit

  auto operator==(const rating_service&) const -> bool = default;
};

/// The platform's list of live and leaving hosts.
struct host_list_service {
  std::string host;
  std::uint16_t port = 0;

  auto operator==(const host_list_service&) const -> bool = default;
};

/// One accepted configuration document: pure values, looked up by name or by
/// position. Never changed after ParseCatalog has built it.
class catalog {
 public:
  std::vector<availability_zone> zones;
  std::vector<model_version> versions;
  std::vector<backend_server> servers;
  std::vector<server_pool> pools;
  std::vector<customer> customers;
  std::optional<rating_service> rating;
  std::optional<host_list_service> host_list;
  /// Loads that the weight store serves at once, fleet-wide.
  std::int64_t max_concurrent_loads = 1;

  auto operator==(const catalog&) const -> bool = default;

  auto FindVersion(std::string_view name) const -> std::optional<version_id>;
  auto FindCustomer(std::string_view name) const -> std::optional<customer_id>;
  auto FindCustomerByKey(std::string_view key) const
      -> std::optional<customer_id>;
  auto FindPool(std::string_view name) const -> std::optional<pool_id>;
  auto FindServer(std::string_view name) const -> std::optional<server_id>;
  auto HasZone(std::string_view name) const -> bool;
  /// Servers that may run a version.
  auto ServersOf(version_id version) const -> const std::vector<server_id>&;

  /// Builds the look-up tables; ParseCatalog calls it.
  auto BuildIndex() -> void;

 private:
  using name_index = std::unordered_map<std::string, std::uint32_t>;

  name_index version_index_;
  name_index customer_index_;
  name_index key_index_;
  name_index pool_index_;
  name_index server_index_;
  std::vector<std::vector<server_id>> servers_of_version_;
};

/// Parses and checks a configuration document (JSON). Throws settings_invalid
/// with every error: unknown keys, wrong types, numbers out of range, zones
/// that nobody declared, versions that do not exist, duplicate names.
auto ParseCatalog(std::string_view document) -> catalog;

}  // namespace lovagedale
