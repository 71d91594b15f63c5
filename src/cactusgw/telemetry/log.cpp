#include "cactusgw/telemetry/log.hpp"

#include "cactusgw/telemetry/stream_appender.hpp"

#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

#include <fcntl.h>
#include <memory>
#include <string>
#include <unistd.h>

namespace cactusgw {

namespace {

log4cplus::LogLevel
LevelOf(std::string_view aName)
{
  if (aName == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (aName == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  if (aName == "error") {
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr
MakeAppender(const std::string& aOutput)
{
  constexpr bool kFlushEachLine = true;
  if (aOutput == "stdout") {
    return log4cplus::SharedAppenderPtr{ new StreamAppender(STDOUT_FILENO) };
  }
  if (aOutput == "stderr") {
    return log4cplus::SharedAppenderPtr{ new StreamAppender(STDERR_FILENO) };
  }
  return log4cplus::SharedAppenderPtr{ new log4cplus::FileAppender(
    aOutput, std::ios_base::app, kFlushEachLine) };
}

/// A socket that got the number of a closed standard stream would receive what
/// is written to that stream.
void
OpenClosedStandardStreams()
{
  for (int i = STDIN_FILENO; i <= STDERR_FILENO; ++i) {
    if (fcntl(i, F_GETFD) < 0) {
      open("/dev/null", O_RDWR);
    }
  }
}

} // namespace

void
StartLogging(const LogSettings& aSettings)
{
  OpenClosedStandardStreams();
  static const log4cplus::Initializer sInitializer;
  log4cplus::SharedAppenderPtr appender = MakeAppender(aSettings.mOutput);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(LevelOf(aSettings.mLevel));
}

PartLog::PartLog(std::string_view aPart)
  : mLogger(log4cplus::Logger::getInstance(std::string{ aPart }))
{
}

void
PartLog::Debug(std::string_view aText) const
{
  LOG4CPLUS_DEBUG(mLogger, aText);
}

void
PartLog::Info(std::string_view aText) const
{
  LOG4CPLUS_INFO(mLogger, aText);
}

void
PartLog::Warn(std::string_view aText) const
{
  LOG4CPLUS_WARN(mLogger, aText);
}

void
PartLog::Error(std::string_view aText) const
{
  LOG4CPLUS_ERROR(mLogger, aText);
}

} // namespace cactusgw
