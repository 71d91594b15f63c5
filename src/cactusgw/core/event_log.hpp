#ifndef CACTUSGW_CORE_EVENT_LOG_HPP
#define CACTUSGW_CORE_EVENT_LOG_HPP

/// A bounded buffer of typed events, from which cactusgw-timeline builds the
/// timeline.

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

/// Returns a stable lower-case identifier, as written by cactusgw-timeline.
std::string_view ToString(EventKind aKind);

struct Event
{
  EventStamp mStamp;
  EventKind mKind = EventKind::ProcessStarted;
  /// Empty if the event does not belong to a single request.
  std::string mRequestId;
  /// The upstream, VM, data centre or object that the event concerns.
  std::string mSubject;
  /// A version, limit or count, depending on the kind.
  std::int64_t mValue = 0;
};

/// Ring buffer of the newest events. Counts the older events that it drops.
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
