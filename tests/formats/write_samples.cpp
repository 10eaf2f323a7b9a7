// Writes the samples of this build's format into a folder: write_samples
// FOLDER. Run once with the build that introduces a format; the files stay as
// they are.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "formats/samples.h"
#include "lovagedale/billing/bill_store.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/configuration/control_machine.h"
#include "lovagedale/replication/log_store.h"

namespace {

using namespace lovagedale;
using lovagedale::testing::MakeRoutes;
using lovagedale::testing::MakeSample;

/// A data folder with a snapshot of control's state and a log after it, and the
/// bills of a ledger.
auto WriteDataFolder(const std::string& folder) -> void {
  InitializeDataFolder(folder, {"c0", "c1", "c2"});
  posix_disk disk;
  {
    log_store store(disk, folder);
    control_machine machine;
    replica_output output;
    output.hard = hard_state{3, "c1"};
    log_index index = 0;
    for (const auto& command :
         {control_command(change{"first", 0, "operator", 1000,
                                 set_routes{MakeRoutes(), "{}"}}),
          control_command(register_node{"e0", "akl-a"})}) {
      output.appended.push_back(
          {++index, 3, entry_kind::kCommand, Encode(command)});
      machine.Apply(output.appended.back());
    }
    if (machine.view().revision != 1) {
      throw std::logic_error("the sample routes are refused: " +
                             machine.FindRecord("first")->result.message);
    }
    store.Persist(output);
    store.SaveSnapshot(
        {index, 3, store.recovered().snapshot.members, machine.TakeSnapshot()},
        *output.hard, {});
    replica_output later;
    later.appended.push_back({++index, 3, entry_kind::kCommand,
                              Encode(control_command(remove_node{"e0"}))});
    store.Persist(later);
  }
  basic_bill_store<posix_disk> bills(disk, folder, /*store_id=*/7, {});
  bills.Add(MakeSample<bill_batch>().records, bill_source::kEntry);
  bills.SaveCheckpoint({{"l1", MakeSample<exchange_progress>()}});
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 2) {
    std::cerr << "usage: write_samples FOLDER\n";
    return 2;
  }
  const std::string folder = argv[1];
  std::filesystem::create_directories(folder);
  lovagedale::testing::ForEachSampleOf(
      kFormat, [&](const std::string& name, const auto& message) {
        std::ofstream(folder + "/" + name + ".bin", std::ios::binary)
            << Encode(message);
      });
  WriteDataFolder(folder + "/data");
  return 0;
}
