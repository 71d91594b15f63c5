#include "cactusgw/telemetry/recorder.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <utility>

namespace cactusgw {

EventRecorder::EventRecorder(std::string aProcess)
  : mProcess(std::move(aProcess))
  , mClock(HybridClock::Create())
  , mLog(EventLog::Create())
{
}

void
EventRecorder::Record(EventKind aKind,
                      std::string_view aRequestId,
                      std::string_view aSubject,
                      std::int64_t aValue)
{
  Event event;
  event.mStamp = Tick();
  event.mKind = aKind;
  event.mRequestId = aRequestId;
  event.mSubject = aSubject;
  event.mValue = aValue;
  mLog.Add(std::move(event));
}

EventStamp
EventRecorder::Tick()
{
  return mClock.Tick(WallClockMs());
}

void
EventRecorder::Observe(EventStamp aRemote)
{
  mClock.Observe(aRemote, WallClockMs());
}

std::string
EventRecorder::WriteJsonLines() const
{
  std::string text;
  for (const Event& event : mLog.Events()) {
    boost::json::object line;
    line["ms"] = event.mStamp.mPhysicalMs;
    line["logical"] = event.mStamp.mLogical;
    line["process"] = mProcess;
    line["event"] = std::string{ ToString(event.mKind) };
    line["request"] = event.mRequestId;
    line["subject"] = event.mSubject;
    line["value"] = event.mValue;
    text += boost::json::serialize(line) + "\n";
  }
  return text;
}

std::int64_t
WallClockMs()
{
  const std::chrono::system_clock::duration since =
    std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace cactusgw
