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
  if (!TakeLine(aNow)) {
    ++mSuppressed;
    return;
  }
  if (mSuppressed != mTold) {
    WriteAlways(
      "lines-suppressed",
      { { "count", static_cast<std::int64_t>(mSuppressed - mTold) } });
    mTold = mSuppressed;
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
DecisionLog::TakeLine(Instant aNow)
{
  if (mAt != Instant{}) {
    const std::chrono::duration<double> passed = aNow - mAt;
    mLines = std::min(kBurstLines, mLines + passed.count() * kLinesPerSecond);
  }
  mAt = aNow;
  if (mLines < 1) {
    return false;
  }
  mLines -= 1;
  return true;
}

} // namespace cactusgw
