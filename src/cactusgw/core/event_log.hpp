#ifndef CACTUSGW_CORE_EVENT_LOG_HPP
#define CACTUSGW_CORE_EVENT_LOG_HPP

/// A bounded buffer of typed events, the source of the time line.

#include "cactusgw/core/hybrid_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace cactusgw {

enum class EventKind
{
  ProcessStarted,
  ProcessStopping,
  RequestReceived,
  RequestAdmitted,
  RequestRefused,
  RequestSent,
  FirstToken,
  StreamResumed,
  RequestRetried,
  RequestFinished,
  RequestFailed,
  KeyClaimed,
  ConfigApplied,
  LeaseTaken,
  LeaseLost,
  OwnershipWritten,
  OwnershipTaken,
  OwnershipLapsed,
  CreditsGranted,
  CreditsLapsed,
  LimitChanged,
  UpstreamCold,
  UpstreamLost,
  PlatformLost,
  PlatformBack,
  DrainApplied,
  MessageRefused,
};

/// A stable lower-case identifier, as written by cactusgw-timeline.
std::string_view ToString(EventKind aKind);

struct Event
{
  EventStamp mStamp;
  EventKind mKind = EventKind::ProcessStarted;
  /// Empty when the event concerns no single request.
  std::string mRequestId;
  /// What the event is about: an upstream, a VM, a data centre, an object.
  std::string mSubject;
  /// A number that goes with the kind: a version, a limit, a count.
  std::int64_t mValue = 0;
};

/// Keeps the newest events; the oldest are dropped and counted.
class EventLog
{
public:
  static constexpr std::size_t kDefaultCapacity = 8192;

  static EventLog Create(std::size_t aCapacity = kDefaultCapacity);

  void Add(Event aEvent);

  const std::deque<Event>& Events() const { return mEvents; }
  std::uint64_t Dropped() const { return mDropped; }

private:
  explicit EventLog(std::size_t aCapacity);

  std::size_t mCapacity;
  std::deque<Event> mEvents;
  std::uint64_t mDropped = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_EVENT_LOG_HPP
