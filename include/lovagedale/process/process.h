#pragma once

#include <functional>
#include <string>
#include <vector>

namespace lovagedale {

/// Exit codes of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadSettings = 2;
inline constexpr int kExitStorage = 3;

/// A program's name and its callbacks, which take the text of its settings
/// file.
struct program_definition {
  std::string name;
  std::string description;
  /// Throws settings_invalid if the settings are refused.
  std::function<void(const std::string& settings)> check;
  /// Runs until a signal stops the process; returns the exit code.
  std::function<int(const std::string& settings)> run;
};

/// Returns the current text of the settings file. Throws std::runtime_error.
auto ReadSettingsFile() -> std::string;

/// Parses --config, --check_config, --help and --version, reads and checks the
/// settings and runs the program. Errors go to standard error. Returns the exit
/// code if the program is not to run; otherwise ends the process with it,
/// without running the destructors of static objects.
auto RunProcess(int argc, char** argv, const program_definition& program)
    -> int;

}  // namespace lovagedale
