#include "lovagedale/common/log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <memory>
#include <sstream>
#include <stdexcept>

#include "lovagedale/common/bounded_writer.h"

namespace lovagedale {
namespace {

/// Enough for a few seconds of an entry's records at peak load.
constexpr std::size_t kMaxQueuedBytes = 1UL << 20U;

/// Formats records on the calling thread and writes them on a background
/// thread.
class bounded_appender : public log4cplus::Appender {
 public:
  explicit bounded_appender(int fd) : writer_(fd, kMaxQueuedBytes) {}
  ~bounded_appender() override { destructorImpl(); }
  bounded_appender(const bounded_appender&) = delete;
  auto operator=(const bounded_appender&) -> bounded_appender& = delete;
  auto close() -> void override { closed = true; }

 protected:
  auto append(const log4cplus::spi::InternalLoggingEvent& event)
      -> void override {
    std::ostringstream out;
    layout->formatAndAppend(out, event);
    writer_.Write(std::move(out).str());
  }

 private:
  bounded_writer writer_;
};

auto ToLog4cplus(log_level level) -> log4cplus::LogLevel {
  switch (level) {
    case log_level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

/// Standard output if `file` is empty, else `file` opened for appending.
auto OpenLogFile(const std::string& file) -> int {
  if (file.empty()) return STDOUT_FILENO;
  constexpr int kMode = 0644;
  const int fd =
      ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  if (fd < 0) throw std::runtime_error("cannot open log file " + file);
  return fd;
}

auto NeedsQuotes(std::string_view value) -> bool {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

}  // namespace

auto InitializeLogging(const std::string& process, const std::string& file,
                       log_level level) -> void {
  static log4cplus::Initializer initializer;
  const log4cplus::SharedAppenderPtr appender(
      new bounded_appender(OpenLogFile(file)));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p " + process + " %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(level));
}

auto ShutdownLogging() -> void { log4cplus::Logger::shutdown(); }

auto WriteLog(log_level level, std::string_view text) -> void {
  static const auto root = log4cplus::Logger::getRoot();
  const auto log4cplus_level = ToLog4cplus(level);
  if (!root.isEnabledFor(log4cplus_level)) return;
  root.forcedLog(log4cplus_level, std::string(text));
}

auto log_line::AppendValue(std::string_view value) -> void {
  if (!NeedsQuotes(value)) {
    text_ += value;
    return;
  }
  text_ += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') text_ += '\\';
    text_ += (c == '\n' || c == '\r') ? ' ' : c;
  }
  text_ += '"';
}

}  // namespace lovagedale
