#include "cactusgw/core/event_log.hpp"

#include <utility>

namespace cactusgw {

std::string_view
ToString(EventKind aKind)
{
  switch (aKind) {
    case EventKind::ProcessStarted:
      return "process-started";
    case EventKind::ProcessStopping:
      return "process-stopping";
    case EventKind::RequestReceived:
      return "request-received";
    case EventKind::RequestAdmitted:
      return "request-admitted";
    case EventKind::RequestRefused:
      return "request-refused";
    case EventKind::RequestSent:
      return "request-sent";
    case EventKind::FirstToken:
      return "first-token";
    case EventKind::StreamResumed:
      return "stream-resumed";
    case EventKind::RequestRetried:
      return "request-retried";
    case EventKind::RequestFinished:
      return "request-finished";
    case EventKind::RequestFailed:
      return "request-failed";
    case EventKind::KeyClaimed:
      return "key-claimed";
    case EventKind::ConfigApplied:
      return "config-applied";
    case EventKind::LeaseTaken:
      return "lease-taken";
    case EventKind::LeaseLost:
      return "lease-lost";
    case EventKind::OwnershipWritten:
      return "ownership-written";
    case EventKind::OwnershipTaken:
      return "ownership-taken";
    case EventKind::OwnershipLapsed:
      return "ownership-lapsed";
    case EventKind::CreditsGranted:
      return "credits-granted";
    case EventKind::CreditsLapsed:
      return "credits-lapsed";
    case EventKind::LimitChanged:
      return "limit-changed";
    case EventKind::UpstreamCold:
      return "upstream-cold";
    case EventKind::UpstreamLost:
      return "upstream-lost";
    case EventKind::PlatformLost:
      return "platform-lost";
    case EventKind::PlatformBack:
      return "platform-back";
    case EventKind::DrainApplied:
      return "drain-applied";
    case EventKind::MessageRefused:
      return "message-refused";
  }
  return "unknown";
}

EventLog
EventLog::Create(std::size_t aCapacity)
{
  return EventLog{ aCapacity };
}

EventLog::EventLog(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

void
EventLog::Add(Event aEvent)
{
  if (mEvents.size() == mCapacity) {
    mEvents.pop_front();
    ++mDropped;
  }
  mEvents.push_back(std::move(aEvent));
}

} // namespace cactusgw
