// lovagedale-control: one replica of the fleet's configuration service.

#include "lovagedale/control/service.h"
#include "lovagedale/process/replica_main.h"
#include "lovagedale/process/replica_process.h"

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.

auto Run(boost::asio::io_context& context, const replica_settings& settings,
         posix_disk& /*disk*/, log_store& store) -> int {
  control_service service(context, settings, store);
  return replica_process(context, service, settings).Run();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  return RunReplicaProgram(
      argc, argv, "lovagedale-control",
      "One replica of the service for configuration, entries and roll-outs.",
      Run);
}
