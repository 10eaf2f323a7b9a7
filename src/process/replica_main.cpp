#include "lovagedale/process/replica_main.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <filesystem>

#include "lovagedale/common/settings_fields.h"
#include "lovagedale/process/process.h"

ABSL_FLAG(bool, initialize, false,
          "create the data folder of a new group's replica and exit; once per "
          "group, never to repair a replica");

namespace lovagedale {
namespace {

/// Creates the data folder of one replica of a new group. Throws storage_error
/// if the folder already holds data.
auto InitializeGroupMember(const replica_settings& settings) -> void {
  std::vector<std::string> names;
  for (const auto& replica : settings.replicas) names.push_back(replica.name);
  InitializeDataFolder(settings.data_folder, names);
}

/// Whether this replica forms a new group with the other seeds: it is a seed,
/// `bootstrap` is set, and its data folder is missing or empty.
auto FormsNewGroup(const replica_settings& settings) -> bool {
  const bool is_seed = std::find(settings.seeds.begin(), settings.seeds.end(),
                                 settings.name) != settings.seeds.end();
  std::error_code error;
  const bool is_blank = !std::filesystem::exists(settings.data_folder, error) ||
                        std::filesystem::is_empty(settings.data_folder, error);
  return settings.bootstrap && is_seed && is_blank && !error;
}

auto Run(const replica_settings& settings, const run_replica& run) -> int {
  InitializeLogging(settings.name, settings.log_file,
                    ParseLogLevel(settings.log_level));
  if (absl::GetFlag(FLAGS_initialize)) {
    InitializeGroupMember(settings);
    return kExitOk;
  }
  boost::asio::io_context context(1);
  if (FormsNewGroup(settings)) {
    InitializeDataFolder(settings.data_folder, settings.seeds);
  }
  posix_disk disk;
  log_store store(disk, settings.data_folder);
  return run(context, settings, disk, store);
}

}  // namespace

auto RunReplicaProgram(int argc, char** argv, const std::string& name,
                       const std::string& description, const run_replica& run,
                       const extract_settings& extract) -> int {
  const auto parse = [&extract](const std::string& text) {
    return ParseReplicaSettings(extract ? extract(text) : text);
  };
  return RunProcess(
      argc, argv,
      {name, description, [&parse](const std::string& text) { parse(text); },
       [&](const std::string& text) { return Run(parse(text), run); }});
}

}  // namespace lovagedale
