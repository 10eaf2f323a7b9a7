#pragma once

#include "lovagedale/control/settings.h"
#include "lovagedale/replication/log_store.h"

namespace lovagedale {

/// Creates the data folder of one replica of a new group from its settings.
/// Throws storage_error if the folder already holds data.
inline auto InitializeGroupMember(const replica_settings& settings) -> void {
  std::vector<std::string> names;
  for (const auto& replica : settings.replicas) names.push_back(replica.name);
  InitializeDataFolder(settings.data_folder, names);
}

}  // namespace lovagedale
