#include "lovagedale/process/process.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "lovagedale/common/json_reader.h"
#include "lovagedale/common/log.h"
#include "lovagedale/replication/errors.h"

ABSL_FLAG(std::string, config, "", "path of the JSON settings file");
ABSL_FLAG(bool, check_config, false,
          "check the settings file and exit: 0 if it is accepted, 2 if not");

namespace lovagedale {
namespace {

auto LoadSettings(const program_definition& program, std::string& text) -> int {
  const auto path = absl::GetFlag(FLAGS_config);
  if (path.empty()) {
    std::cerr << program.name << ": --config: missing; allowed: the path of a "
              << "JSON settings file\n";
    return kExitBadSettings;
  }
  try {
    text = ReadFile(path);
    program.check(text);
    return kExitOk;
  } catch (const std::exception& error) {
    std::cerr << program.name << ": " << path << ": " << error.what() << "\n";
    return kExitBadSettings;
  }
}

/// Runs the program and returns its exit code; logs why it failed.
auto RunProgram(const program_definition& program, const std::string& settings)
    -> int {
  try {
    return program.run(settings);
  } catch (const storage_error& error) {
    log_line(log_level::kError, "storage_failed").With("reason", error.what());
    std::cerr << program.name << ": " << error.what() << "\n";
    return kExitStorage;
  } catch (const std::exception& error) {
    log_line(log_level::kError, "process_failed").With("reason", error.what());
    std::cerr << program.name << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

/// Writes the queued log lines and ends the process. Skips the destructors of
/// static objects: those of libraries may wait for their threads without end.
[[noreturn]] auto EndProcess(int exit_code) -> void {
  log_line(log_level::kInfo, "process_ended").With("exit_code", exit_code);
  ShutdownLogging();
  std::cout.flush();
  std::_Exit(exit_code);
}

/// Large blocks go back to the system when they are freed. By default the
/// allocator raises this size up to 32 MB as it meets large blocks, and keeps
/// them: bodies of 4 MiB then stay in the process's memory for good.
constexpr int kReturnedBlockBytes = 256 << 10;
/// Free memory at the heap's end beyond this is returned too.
constexpr int kKeptFreeBytes = 1 << 20;

}  // namespace

auto ReadSettingsFile() -> std::string {
  return ReadFile(absl::GetFlag(FLAGS_config));
}

auto RunProcess(int argc, char** argv, const program_definition& program)
    -> int {
  ::mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptFreeBytes);
  absl::SetProgramUsageMessage(program.description);
  absl::FlagsUsageConfig usage;
  usage.version_string = [&program] {
    return program.name + " " LOVAGEDALE_VERSION "\n";
  };
  usage.contains_help_flags = [](absl::string_view file) {
    return file.find("src/process/") != absl::string_view::npos ||
           file.find("tools/") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);
  // Writing to a connection that the caller closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::string settings;
  const int loaded = LoadSettings(program, settings);
  if (loaded != kExitOk) return loaded;
  if (absl::GetFlag(FLAGS_check_config)) {
    std::cout << program.name << ": settings accepted\n";
    return kExitOk;
  }
  EndProcess(RunProgram(program, settings));
}

}  // namespace lovagedale
