#include "cactusgw/gateway/decision_log.hpp"

#include <algorithm>

namespace cactusgw {

namespace {

std::string
Line(std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  std::string line = "event=" + std::string{ aEvent };
  for (const LogField& field : aFields) {
    const bool quoted = field.mValue.find_first_of(" \"=") != std::string::npos;
    line += ' ';
    line += field.mName;
    line += quoted ? "=\"" : "=";
    for (const char c : field.mValue) {
      line += c == '"' || c == '\n' || c == '\r' ? '\'' : c;
    }
    line += quoted ? "\"" : "";
  }
  return line;
}

} // namespace

DecisionLog::DecisionLog(std::string_view aPart)
  : mLog(aPart)
{
}

void
DecisionLog::Write(std::string_view aEvent,
                   std::initializer_list<LogField> aFields,
                   Instant aNow)
{
  if (!TryTakeToken(aNow)) {
    ++mSuppressed;
    return;
  }
  if (mSuppressed != mReportedSuppressed) {
    WriteAlways(
      "lines-suppressed",
      { { "count",
          static_cast<std::int64_t>(mSuppressed - mReportedSuppressed) } });
    mReportedSuppressed = mSuppressed;
  }
  mLog.Info(Line(aEvent, aFields));
}

void
DecisionLog::WriteAlways(std::string_view aEvent,
                         std::initializer_list<LogField> aFields)
{
  mLog.Info(Line(aEvent, aFields));
}

bool
DecisionLog::TryTakeToken(Instant aNow)
{
  if (mRefilledAt != Instant{}) {
    const std::chrono::duration<double> passed = aNow - mRefilledAt;
    mTokens = std::min(kBurstLines, mTokens + passed.count() * kLinesPerSecond);
  }
  mRefilledAt = aNow;
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace cactusgw
