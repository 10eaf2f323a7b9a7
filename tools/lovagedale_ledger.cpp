// lovagedale-ledger: one replica of the idempotency claims and one store of
// bills.

#include "lovagedale/common/hash.h"
#include "lovagedale/ledger/service.h"
#include "lovagedale/process/replica_main.h"
#include "lovagedale/process/replica_process.h"

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.

auto Run(boost::asio::io_context& context, const replica_settings& settings,
         posix_disk& disk, log_store& store) -> int {
  bill_store bills(disk, settings.data_folder,
                   HashFields(settings.name) ^ store.recovered().incarnation);
  ledger_service service(context, settings, store, bills);
  return replica_process(context, service, settings).Run();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  return RunReplicaProgram(
      argc, argv, "lovagedale-ledger",
      "One replica of the claims of non-repeatable requests, and a store of "
      "bills.",
      Run);
}
