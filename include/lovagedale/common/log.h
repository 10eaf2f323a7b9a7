#pragma once

#include <concepts>
#include <sstream>
#include <string>
#include <string_view>

namespace lovagedale {

enum class log_level { kDebug, kInfo, kWarning, kError };

/// Sets up log4cplus once per process: one line per record on standard output,
/// or in `file` when that is not empty. `process` is printed in every line.
/// Logging never blocks on the output: while the queue is full, records are
/// dropped and counted. Throws std::runtime_error if the file cannot be opened.
auto InitializeLogging(const std::string& process, const std::string& file,
                       log_level level) -> void;

/// Writes the queued records. Nothing may be logged afterwards.
auto ShutdownLogging() -> void;

/// Writes one record. Prefer log_line, which formats the fields.
auto WriteLog(log_level level, std::string_view text) -> void;

/// One log record of `event key=value ...`, written when it is destroyed.
/// Values that are empty or contain white space, `"` or `=` are quoted; line
/// breaks in them become spaces.
///
///     log_line(log_level::kInfo, "placement").With("server", name);
class log_line {
 public:
  log_line(log_level level, std::string_view event)
      : level_(level), text_(event) {}
  log_line(const log_line&) = delete;
  auto operator=(const log_line&) -> log_line& = delete;
  ~log_line() { WriteLog(level_, text_); }

  auto With(std::string_view key, std::string_view value) -> log_line& {
    AppendKey(key);
    AppendValue(value);
    return *this;
  }
  auto With(std::string_view key, const char* value) -> log_line& {
    return With(key, std::string_view(value));
  }
  template <typename Number>
  requires std::integral<Number> || std::floating_point<Number>
  auto With(std::string_view key, Number value) -> log_line& {
    AppendKey(key);
    if constexpr (std::floating_point<Number>) {
      std::ostringstream out;
      out << value;
      text_ += out.str();
    } else {
      text_ += std::to_string(value);
    }
    return *this;
  }

 private:
  auto AppendKey(std::string_view key) -> void {
    text_ += ' ';
    text_ += key;
    text_ += '=';
  }
  auto AppendValue(std::string_view value) -> void;

  log_level level_;
  std::string text_;
};

}  // namespace lovagedale
