#ifndef CACTUSGW_GATEWAY_DECISION_LOG_HPP
#define CACTUSGW_GATEWAY_DECISION_LOG_HPP

/// One structured line for each decision. The number of lines a second is
/// bounded; what goes beyond is counted and told later.

#include "cactusgw/telemetry/log.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cactusgw {

/// One `name=value` pair of a line.
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

/// Not thread-safe. Time is passed in.
class DecisionLog
{
public:
  /// Lines a second that are written in the long run, and at once.
  static constexpr double kLinesPerSecond = 200;
  static constexpr double kBurstLines = 400;

  explicit DecisionLog(std::string_view aPart);

  void Write(std::string_view aEvent,
             std::initializer_list<LogField> aFields,
             Instant aNow);
  /// Never dropped: for starts, stops, and what was lost or is back.
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
