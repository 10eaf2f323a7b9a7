#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

/// Index of a version, server, pool or customer in its list in the catalog.
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

/// Whether a zone keeps serving a version while the control leader is
/// unreachable.
enum class cut_off_policy {
  kServe,   ///< continues with its last configuration
  kRefuse,  ///< each entry stops when its permit from control expires
};

struct model_version {
  std::string name;  ///< `model@version`, unique
  std::string model;
  money_micros price_micros_per_1k_tokens = 0;
  /// Expected fraction of answers that satisfy a rater, 0 to 1; used until
  /// there is evidence.
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
  /// Versions that it may run; empty for services.
  std::vector<version_id> versions;
  std::int64_t slots = 1;  ///< requests it runs concurrently
  pool_id pool = 0;
  /// Maximum number of versions that control may have loaded on the server at
  /// the same time; 0 if all of `versions` are always loaded and control does
  /// not order loads.
  std::int64_t max_loaded_versions = 0;

  auto operator==(const backend_server&) const -> bool = default;
};

enum class pool_kind { kEngine, kService };

struct server_pool {
  std::string name;
  pool_kind kind = pool_kind::kEngine;
  /// HTTP methods whose requests may be retried (services only).
  std::vector<std::string> repeatable_methods;
  std::vector<server_id> servers;

  auto operator==(const server_pool&) const -> bool = default;
  auto IsRepeatable(std::string_view method) const -> bool;
};

enum class patience_class {
  kInteractive,  ///< optimizes latency; shed last
  kPatient,      ///< optimizes cost; low priority at the engines
};

/// One stage of a cascade that an operator has configured.
struct cascade_stage {
  version_id version = 0;
  /// Minimum confidence signal of an accepted answer, 0 to 1. Other answers are
  /// escalated to the next stage.
  double accept_signal = 0;

  auto operator==(const cascade_stage&) const -> bool = default;
};

struct customer {
  std::string name;
  std::string key;                   ///< bearer key
  std::vector<version_id> versions;  ///< allowed versions, cheapest first
  std::vector<pool_id> services;     ///< allowed services
  double target_quality = 0.0;       ///< required mean quality, 0 to 1
  patience_class patience = patience_class::kInteractive;
  double rate_per_s = 0;  ///< fleet-wide; 0 means no limit
  double burst_requests = 0;
  std::int64_t max_concurrent_requests = 0;  ///< per entry; 0 means no limit
  /// If not empty, used instead of the learned choice of versions.
  std::vector<cascade_stage> cascade;

  auto operator==(const customer&) const -> bool = default;
  auto AllowsVersion(version_id version) const -> bool;
  auto AllowsService(pool_id pool) const -> bool;
};

/// Address and limit of the service that rates answers.
struct rating_service {
  std::string host;
  std::uint16_t port = 0;
  double ratings_per_s = 0;  ///< fleet-wide limit

  auto operator==(const rating_service&) const -> bool = default;
};

/// Address of the service that lists the platform's live and leaving hosts.
struct host_list_service {
  std::string host;
  std::uint16_t port = 0;

  auto operator==(const host_list_service&) const -> bool = default;
};

/// One valid configuration document, with look-ups by name and by index.
/// Immutable after ParseCatalog has built it.
class catalog {
 public:
  std::vector<availability_zone> zones;
  std::vector<model_version> versions;
  std::vector<backend_server> servers;
  std::vector<server_pool> pools;
  std::vector<customer> customers;
  std::optional<rating_service> rating;
  std::optional<host_list_service> host_list;
  /// Maximum number of concurrent loads from the weight store, fleet-wide.
  std::int64_t max_concurrent_loads = 1;

  auto operator==(const catalog&) const -> bool = default;

  auto FindVersion(std::string_view name) const -> std::optional<version_id>;
  auto FindCustomer(std::string_view name) const -> std::optional<customer_id>;
  auto FindCustomerByKey(std::string_view key) const
      -> std::optional<customer_id>;
  auto FindPool(std::string_view name) const -> std::optional<pool_id>;
  auto FindServer(std::string_view name) const -> std::optional<server_id>;
  auto HasZone(std::string_view name) const -> bool;
  /// Servers that may run a version. Throws std::out_of_range.
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

/// Parses and validates a configuration document (JSON). Throws
/// settings_invalid with all errors: unknown keys, wrong types, numbers out of
/// range, undeclared zones, unknown versions, duplicate names. Unknown
/// successors are reported only if there is no other error.
auto ParseCatalog(std::string_view document) -> catalog;

}  // namespace lovagedale
