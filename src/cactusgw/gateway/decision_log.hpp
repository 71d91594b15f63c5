#ifndef CACTUSGW_GATEWAY_DECISION_LOG_HPP
#define CACTUSGW_GATEWAY_DECISION_LOG_HPP

/// Writes one structured log line for each decision. A token bucket limits the
/// lines per second. Suppressed lines are counted, and a later line reports
/// their number.

#include "cactusgw/telemetry/log.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cactusgw {

/// A `name=value` pair of a log line.
struct LogField
{
  LogField(std::string_view aName, std::string_view aValue)
    : mName(aName)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aName, std::int64_t aValue)
    : mName(aName)
    , mValue(std::to_string(aValue))
  {
  }

  std::string_view mName;
  std::string mValue;
};

/// Not thread-safe. The caller passes the time in.
class DecisionLog
{
public:
  /// Refill rate and size of the token bucket: lines per second in the long
  /// run, and lines in one burst.
  static constexpr double kLinesPerSecond = 200;
  static constexpr double kBurstLines = 400;

  explicit DecisionLog(std::string_view aPart);

  void Write(std::string_view aEvent,
             std::initializer_list<LogField> aFields,
             Instant aNow);
  /// Writes a line that is never suppressed. For starts and stops, and for
  /// dependencies that were lost or have recovered.
  void WriteAlways(std::string_view aEvent,
                   std::initializer_list<LogField> aFields);

  std::uint64_t Suppressed() const { return mSuppressed; }

private:
  bool TryTakeToken(Instant aNow);

  PartLog mLog;
  double mTokens = kBurstLines;
  Instant mRefilledAt;
  std::uint64_t mSuppressed = 0;
  std::uint64_t mReportedSuppressed = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_DECISION_LOG_HPP
