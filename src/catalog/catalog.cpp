#include "lovagedale/catalog/catalog.h"

#include <algorithm>

#include "lovagedale/common/json_reader.h"

namespace lovagedale {
namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxPriceMicros = 1'000'000'000'000;
constexpr std::int64_t kMaxLatencyMs = 600'000;
constexpr double kMaxRatePerSecond = 1e9;

template <typename Index>
auto FindByName(const Index& index, std::string_view name)
    -> std::optional<std::uint32_t> {
  const auto found = index.find(std::string(name));
  if (found == index.end()) return std::nullopt;
  return found->second;
}

template <typename List>
auto IndexByName(const List& list)
    -> std::unordered_map<std::string, std::uint32_t> {
  std::unordered_map<std::string, std::uint32_t> index;
  for (std::uint32_t i = 0; i < list.size(); ++i) {
    index.emplace(list[i].name, i);
  }
  return index;
}

template <typename List>
auto IsNameTaken(const List& list, const std::string& name) -> bool {
  return std::any_of(list.begin(), list.end(),
                     [&](const auto& item) { return item.name == name; });
}

template <typename List>
auto ReadUniqueName(object_reader& reader, const List& list) -> std::string {
  auto name = reader.RequiredString("name");
  if (!name.empty() && IsNameTaken(list, name)) {
    reader.AddError("name", "\"" + name + "\"",
                    "a name that no other element has");
  }
  return name;
}

/// Reads a catalog's lists in order of dependency: each list refers only to
/// those before it.
class catalog_builder {
 public:
  auto Read(object_reader& root) -> void {
    root.ForEach("zones", [&](object_reader& r) { ReadZone(r); });
    root.ForEach("models", [&](object_reader& r) { ReadModel(r); });
    CheckSuccessors();
    root.ForEach("pools", [&](object_reader& r) { ReadPool(r); });
    root.ForEach("customers", [&](object_reader& r) { ReadCustomer(r); });
    root.Object("rating", [&](object_reader& r) { ReadRating(r); });
    root.Object("host_list", [&](object_reader& r) {
      catalog_.host_list = {
          r.RequiredString("host"),
          static_cast<std::uint16_t>(r.Integer("port", 1, kMaxPort, 0))};
    });
    root.Object("weight_store", [&](object_reader& r) {
      catalog_.max_concurrent_loads =
          r.Integer("loads_at_once", 1, kMaxSlots, 1);
    });
    if (catalog_.zones.empty()) {
      root.AddError("zones", "", "at least one availability zone");
    }
  }

  auto Build() -> catalog {
    catalog_.BuildIndex();
    return std::move(catalog_);
  }

  auto successor_errors() const -> const std::vector<setting_error>& {
    return successor_errors_;
  }

 private:
  auto ReadZone(object_reader& reader) -> void {
    auto name = ReadUniqueName(reader, catalog_.zones);
    catalog_.zones.push_back({name, reader.String("region", "")});
  }

  auto ReadModel(object_reader& reader) -> void {
    const auto model = reader.RequiredString("name");
    if (model.find('@') != std::string::npos) {
      reader.AddError("name", "\"" + model + "\"", "a name without \"@\"");
    }
    reader.ForEach("versions",
                   [&](object_reader& r) { ReadVersion(r, model); });
  }

  auto ReadVersion(object_reader& reader, const std::string& model) -> void {
    model_version version;
    version.model = model;
    version.name = model + "@" + reader.RequiredString("name");
    if (IsNameTaken(catalog_.versions, version.name)) {
      reader.AddError("name", "\"" + version.name + "\"",
                      "a version that the model does not have yet");
    }
    version.price_micros_per_1k_tokens =
        reader.Integer("price_micros_per_1k_tokens", 0, kMaxPriceMicros, 0);
    version.expected_quality = reader.Number("expected_quality", 0, 1, 0.5);
    version.expected_first_token_ms =
        reader.Integer("expected_first_token_ms", 0, kMaxLatencyMs, 0);
    version.expected_token_ms =
        reader.Number("expected_token_ms", 0, kMaxLatencyMs, 0);
    version.when_cut_off =
        reader.Choice("when_cut_off", {"serve", "refuse"}, "serve") == "serve"
            ? cut_off_policy::kServe
            : cut_off_policy::kRefuse;
    version.successor = reader.String("successor", "");
    if (!version.successor.empty()) {
      successor_paths_.push_back(reader.PathOf("successor"));
    } else {
      successor_paths_.emplace_back();
    }
    catalog_.versions.push_back(std::move(version));
  }

  auto CheckSuccessors() -> void {
    for (std::size_t i = 0; i < catalog_.versions.size(); ++i) {
      const auto& successor = catalog_.versions[i].successor;
      if (successor.empty()) continue;
      if (successor == catalog_.versions[i].name ||
          !IsNameTaken(catalog_.versions, successor)) {
        successor_errors_.push_back({successor_paths_[i],
                                     "\"" + successor + "\"",
                                     "another declared model@version"});
      }
    }
  }

  auto ReadPool(object_reader& reader) -> void {
    server_pool pool;
    pool.name = ReadUniqueName(reader, catalog_.pools);
    pool.kind =
        reader.Choice("kind", {"engine", "service"}, "engine") == "engine"
            ? pool_kind::kEngine
            : pool_kind::kService;
    pool.repeatable_methods = reader.StringList("repeatable_methods");
    if (pool.repeatable_methods.empty()) {
      pool.repeatable_methods = {"GET", "HEAD"};
    }
    catalog_.pools.push_back(std::move(pool));
    reader.ForEach("servers", [&](object_reader& r) { ReadServer(r); });
  }

  auto ReadServer(object_reader& reader) -> void {
    backend_server server;
    server.pool = static_cast<pool_id>(catalog_.pools.size() - 1);
    auto& pool = catalog_.pools.back();
    server.name = ReadUniqueName(reader, catalog_.servers);
    server.zone = reader.RequiredString("zone");
    if (!server.zone.empty() && !IsNameTaken(catalog_.zones, server.zone)) {
      reader.AddError("zone", "\"" + server.zone + "\"", ZoneNames());
    }
    server.host = reader.RequiredString("host");
    server.port =
        static_cast<std::uint16_t>(reader.Integer("port", 1, kMaxPort, 0));
    if (!reader.Has("port")) reader.AddError("port", "", "a port number");
    server.versions = ReadVersions(reader);
    if (pool.kind == pool_kind::kService && !server.versions.empty()) {
      reader.AddError("versions", "a list", "nothing, for a plain service");
    }
    server.slots = reader.Integer("slots", 1, kMaxSlots, 1);
    server.max_loaded_versions = reader.Integer("max_loaded", 0, kMaxSlots, 0);
    pool.servers.push_back(static_cast<server_id>(catalog_.servers.size()));
    catalog_.servers.push_back(std::move(server));
  }

  auto ReadVersions(object_reader& reader) -> std::vector<version_id> {
    std::vector<version_id> ids;
    for (const auto& name : reader.StringList("versions")) {
      const auto found = std::find_if(
          catalog_.versions.begin(), catalog_.versions.end(),
          [&](const auto& version) { return version.name == name; });
      if (found == catalog_.versions.end()) {
        reader.AddError("versions", "\"" + name + "\"",
                        "declared model@version names");
        continue;
      }
      ids.push_back(static_cast<version_id>(found - catalog_.versions.begin()));
    }
    return ids;
  }

  auto ReadCustomer(object_reader& reader) -> void {
    customer item;
    item.name = ReadUniqueName(reader, catalog_.customers);
    item.key = reader.RequiredString("key");
    const bool is_key_taken =
        std::any_of(catalog_.customers.begin(), catalog_.customers.end(),
                    [&](const auto& other) { return other.key == item.key; });
    if (is_key_taken && !item.key.empty()) {
      reader.AddError("key", "a key", "a key that no other customer has");
    }
    item.versions = ReadVersions(reader);
    std::sort(item.versions.begin(), item.versions.end(),
              [&](version_id a, version_id b) {
                const auto& left = catalog_.versions[a];
                const auto& right = catalog_.versions[b];
                return std::pair(left.price_micros_per_1k_tokens, a) <
                       std::pair(right.price_micros_per_1k_tokens, b);
              });
    item.versions.erase(std::unique(item.versions.begin(), item.versions.end()),
                        item.versions.end());
    item.services = ReadServices(reader);
    item.target_quality = reader.Number("target_quality", 0, 1, 0);
    item.patience = reader.Choice("patience", {"interactive", "patient"},
                                  "interactive") == "interactive"
                        ? patience_class::kInteractive
                        : patience_class::kPatient;
    item.rate_per_s = reader.Number("rate_per_s", 0, kMaxRatePerSecond, 0);
    item.burst_requests =
        reader.Number("burst", 0, kMaxRatePerSecond, 2 * item.rate_per_s);
    item.max_concurrent_requests =
        reader.Integer("max_concurrent", 0, kMaxSlots, 0);
    reader.ForEach("cascade", [&](object_reader& stage) {
      item.cascade.push_back(ReadCascadeStage(stage, item));
    });
    catalog_.customers.push_back(std::move(item));
  }

  auto ReadCascadeStage(object_reader& reader, const customer& owner)
      -> cascade_stage {
    const auto name = reader.RequiredString("version");
    const auto signal = reader.Number("accept_signal", 0, 1, 0);
    for (const auto version : owner.versions) {
      if (catalog_.versions[version].name == name) return {version, signal};
    }
    reader.AddError("version", "\"" + name + "\"",
                    "a version that the customer may use");
    return {};
  }

  auto ReadServices(object_reader& reader) -> std::vector<pool_id> {
    std::vector<pool_id> ids;
    for (const auto& name : reader.StringList("services")) {
      const auto found = std::find_if(
          catalog_.pools.begin(), catalog_.pools.end(), [&](const auto& pool) {
            return pool.name == name && pool.kind == pool_kind::kService;
          });
      if (found == catalog_.pools.end()) {
        reader.AddError("services", "\"" + name + "\"",
                        "declared pools of kind \"service\"");
        continue;
      }
      ids.push_back(static_cast<pool_id>(found - catalog_.pools.begin()));
    }
    return ids;
  }

  auto ReadRating(object_reader& reader) -> void {
    rating_service rating;
    rating.host = reader.RequiredString("host");
    rating.port =
        static_cast<std::uint16_t>(reader.Integer("port", 1, kMaxPort, 0));
    rating.ratings_per_s =
        reader.Number("ratings_per_s", 0, kMaxRatePerSecond, 1);
    catalog_.rating = std::move(rating);
  }

  auto ZoneNames() const -> std::string {
    std::string names = "a declared zone:";
    for (const auto& zone : catalog_.zones) names += " " + zone.name;
    return names;
  }

  catalog catalog_;
  std::vector<std::string> successor_paths_;
  std::vector<setting_error> successor_errors_;
};

}  // namespace

auto server_pool::IsRepeatable(std::string_view method) const -> bool {
  return std::find(repeatable_methods.begin(), repeatable_methods.end(),
                   method) != repeatable_methods.end();
}

auto customer::AllowsVersion(version_id version) const -> bool {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

auto customer::AllowsService(pool_id pool) const -> bool {
  return std::find(services.begin(), services.end(), pool) != services.end();
}

auto catalog::FindVersion(std::string_view name) const
    -> std::optional<version_id> {
  return FindByName(version_index_, name);
}

auto catalog::FindCustomer(std::string_view name) const
    -> std::optional<customer_id> {
  return FindByName(customer_index_, name);
}

auto catalog::FindCustomerByKey(std::string_view key) const
    -> std::optional<customer_id> {
  return FindByName(key_index_, key);
}

auto catalog::FindPool(std::string_view name) const -> std::optional<pool_id> {
  return FindByName(pool_index_, name);
}

auto catalog::FindServer(std::string_view name) const
    -> std::optional<server_id> {
  return FindByName(server_index_, name);
}

auto catalog::HasZone(std::string_view name) const -> bool {
  return IsNameTaken(zones, std::string(name));
}

auto catalog::ServersOf(version_id version) const
    -> const std::vector<server_id>& {
  return servers_of_version_.at(version);
}

auto catalog::BuildIndex() -> void {
  version_index_ = IndexByName(versions);
  customer_index_ = IndexByName(customers);
  pool_index_ = IndexByName(pools);
  server_index_ = IndexByName(servers);
  key_index_.clear();
  for (customer_id i = 0; i < customers.size(); ++i) {
    key_index_.emplace(customers[i].key, i);
  }
  servers_of_version_.assign(versions.size(), {});
  for (server_id i = 0; i < servers.size(); ++i) {
    for (const auto version : servers[i].versions) {
      servers_of_version_[version].push_back(i);
    }
  }
}

auto ParseCatalog(std::string_view document) -> catalog {
  catalog_builder builder;
  ReadSettings(document, [&](object_reader& root) { builder.Read(root); });
  if (!builder.successor_errors().empty()) {
    throw settings_invalid(builder.successor_errors());
  }
  return builder.Build();
}

}  // namespace lovagedale
