#include "lovagedale/process/replica_main.h"

#include <absl/flags/flag.h>

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

auto Run(const replica_settings& settings, const run_replica& run) -> int {
  if (absl::GetFlag(FLAGS_initialize)) {
    InitializeGroupMember(settings);
    return kExitOk;
  }
  InitializeLogging(settings.name, settings.log_file,
                    ParseLogLevel(settings.log_level));
  boost::asio::io_context context(1);
  posix_disk disk;
  log_store store(disk, settings.data_folder);
  return run(context, settings, disk, store);
}

}  // namespace

auto RunReplicaProgram(int argc, char** argv, const std::string& name,
                       const std::string& description, const run_replica& run)
    -> int {
  return RunProcess(
      argc, argv,
      {name, description,
       [](const std::string& text) { ParseReplicaSettings(text); },
       [&run](const std::string& text) {
         return Run(ParseReplicaSettings(text), run);
       }});
}

}  // namespace lovagedale
