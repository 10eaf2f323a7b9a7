// lovagedale-control: one replica of the fleet's configuration.

#include <absl/flags/flag.h>

#include <boost/asio/io_context.hpp>

#include "lovagedale/common/settings_fields.h"
#include "lovagedale/control/service.h"
#include "lovagedale/process/replica_process.h"
#include "lovagedale/replication/group_setup.h"

ABSL_FLAG(bool, initialize, false,
          "create the data folder of a new group's replica and exit; once per "
          "group, never to repair a replica");

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.

auto Run(const replica_settings& settings) -> int {
  if (absl::GetFlag(FLAGS_initialize)) {
    InitializeGroupMember(settings);
    return kExitOk;
  }
  InitializeLogging(settings.name, settings.log_file,
                    ParseLogLevel(settings.log_level));
  boost::asio::io_context context(1);
  posix_disk disk;
  log_store store(disk, settings.data_folder);
  control_service service(context, settings, store);
  return replica_process(context, service, settings).Run();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  return RunProcess(
      argc, argv,
      {"lovagedale-control",
       "One replica of the fleet's configuration, entries and roll-outs.",
       [](const std::string& text) { ParseReplicaSettings(text); },
       [](const std::string& text) {
         return Run(ParseReplicaSettings(text));
       }});
}
