#include "lovagedale/common/log.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace lovagedale {
namespace {

constexpr unsigned kMaxQueuedRecords = 100'000;

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

auto MakeAppender(const std::string& file) -> log4cplus::SharedAppenderPtr {
  if (file.empty()) {
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true));
  }
  return log4cplus::SharedAppenderPtr(
      new log4cplus::FileAppender(file, std::ios_base::app, true));
}

auto IsQuotingNeeded(std::string_view value) -> bool {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

}  // namespace

auto InitializeLogging(const std::string& process, const std::string& file,
                       log_level level) -> void {
  static log4cplus::Initializer initializer;
  auto appender = MakeAppender(file);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p " + process + " %m%n"));
  // A thread of its own writes: traffic threads must not wait for the disk.
  const log4cplus::SharedAppenderPtr asynchronous(
      new log4cplus::AsyncAppender(appender, kMaxQueuedRecords));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(asynchronous);
  root.setLogLevel(ToLog4cplus(level));
}

auto ShutdownLogging() -> void { log4cplus::Logger::shutdown(); }

auto WriteLog(log_level level, std::string_view text) -> void {
  static const auto root = log4cplus::Logger::getRoot();
  const auto native = ToLog4cplus(level);
  if (!root.isEnabledFor(native)) return;
  root.forcedLog(native, std::string(text));
}

auto log_line::AppendValue(std::string_view value) -> void {
  if (!IsQuotingNeeded(value)) {
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
