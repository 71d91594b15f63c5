#ifndef CACTUSGW_TELEMETRY_LOG_HPP
#define CACTUSGW_TELEMETRY_LOG_HPP

/// Log lines, each marked with the part that wrote it.

#include "cactusgw/config/process_settings.hpp"

#include <log4cplus/logger.h>

#include <string_view>

namespace cactusgw {

/// Sets level and output for all parts. Call once, before the first log line.
void StartLogging(const LogSettings& aSettings);

/// A logger whose lines carry the part's name.
class PartLog
{
public:
  explicit PartLog(std::string_view aPart);

  void Debug(std::string_view aText) const;
  void Info(std::string_view aText) const;
  void Warn(std::string_view aText) const;
  void Error(std::string_view aText) const;

private:
  log4cplus::Logger mLogger;
};

} // namespace cactusgw

#endif // CACTUSGW_TELEMETRY_LOG_HPP
