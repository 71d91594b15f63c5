#include "cactusgw/programs/start_retries.hpp"

#include "cactusgw/programs/early_signals.hpp"
#include "cactusgw/telemetry/log.hpp"

#include <chrono>
#include <cstdio>

namespace cactusgw {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Milliseconds kStartRetryInterval{ 100 };

} // namespace

StartResult
StartWithRetries(const char* aName, const std::function<std::string()>& aStart)
{
  const Clock::time_point until = Clock::now() + kStartRetryTime;
  const PartLog log{ "start" };
  std::string error = aStart();
  if (!error.empty()) {
    log.Warn("event=start-delayed error=\"" + error + "\"");
  }
  while (!error.empty() && Clock::now() < until) {
    if (TakeStopSignal(kStartRetryInterval)) {
      log.Info("event=stopped");
      return StartResult::Stopped;
    }
    error = aStart();
  }
  if (!error.empty()) {
    std::fprintf(stderr, "%s: %s\n", aName, error.c_str());
    return StartResult::Failed;
  }
  return StartResult::Started;
}

} // namespace cactusgw
