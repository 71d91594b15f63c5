#ifndef CACTUSGW_TELEMETRY_COUNTED_WARNING_HPP
#define CACTUSGW_TELEMETRY_COUNTED_WARNING_HPP

/// Logs a warning that others can cause as often as they like.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/telemetry/log.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusgw {

/// Writes at most one line a second, with the number of reports since the line
/// before. Not thread-safe. Time is passed in.
class CountedWarning
{
public:
  static constexpr Milliseconds kLogInterval{ 1000 };

  explicit CountedWarning(std::string_view aPart)
    : mLog(aPart)
  {
  }

  void Report(std::string_view aText, Instant aNow)
  {
    ++mCount;
    if (aNow - mLoggedAt < kLogInterval) {
      return;
    }
    mLog.Warn(std::string{ aText } + " count=" + std::to_string(mCount));
    mCount = 0;
    mLoggedAt = aNow;
  }

private:
  PartLog mLog;
  std::uint64_t mCount = 0;
  Instant mLoggedAt;
};

} // namespace cactusgw

#endif // CACTUSGW_TELEMETRY_COUNTED_WARNING_HPP
