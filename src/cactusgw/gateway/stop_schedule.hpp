#ifndef CACTUSGW_GATEWAY_STOP_SCHEDULE_HPP
#define CACTUSGW_GATEWAY_STOP_SCHEDULE_HPP

/// The times of a graceful stop, and which requests still fit into it.

#include "cactusgw/core/verdict.hpp"

namespace cactusgw {

/// Immutable. Time is passed in.
class StopSchedule
{
public:
  /// Part of the stop time that is reserved for the exit of the process.
  static constexpr Milliseconds kExitMargin{ 500 };
  /// Time reserved for the responses to requests that can't be finished.
  static constexpr Milliseconds kAnswerMargin{ 250 };

  /// @param aUnreadyTime how long new connections are accepted while the load
  ///        balancer learns of the stop; at most half of the stop time is used
  /// @param aStopTime time of the whole stop
  static StopSchedule Create(Instant aBegun,
                             Milliseconds aUnreadyTime,
                             Milliseconds aStopTime);

  /// When to stop accepting connections.
  Instant AcceptUntil() const { return mAcceptUntil; }
  /// When requests without a response are given up and answered.
  Instant AnswerAt() const { return mEnd - kAnswerMargin; }
  /// When the process exits.
  Instant End() const { return mEnd; }
  /// Whether a request ends in time however long it takes.
  /// @param aDeadline of the request
  bool Covers(Instant aDeadline) const { return aDeadline <= AnswerAt(); }

private:
  StopSchedule(Instant aAcceptUntil, Instant aEnd)
    : mAcceptUntil(aAcceptUntil)
    , mEnd(aEnd)
  {
  }

  Instant mAcceptUntil;
  Instant mEnd;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STOP_SCHEDULE_HPP
