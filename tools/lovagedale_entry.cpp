// lovagedale-entry: the edge proxy, which answers callers on one entry host.

#include "lovagedale/common/settings_fields.h"
#include "lovagedale/entry/entry_process.h"
#include "lovagedale/entry/settings.h"
#include "lovagedale/process/process.h"

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.

auto Run(entry_settings settings) -> int {
  InitializeLogging(settings.name, settings.log_file,
                    ParseLogLevel(settings.log_level));
  entry_process process(std::move(settings));
  return process.Run();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  return RunProcess(
      argc, argv,
      {"lovagedale-entry",
       "Edge proxy of one entry host: admits calls, picks versions and "
       "servers.",
       [](const std::string& text) { ParseEntrySettings(text); },
       [](const std::string& text) { return Run(ParseEntrySettings(text)); }});
}
