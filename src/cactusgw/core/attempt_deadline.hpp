#ifndef CACTUSGW_CORE_ATTEMPT_DEADLINE_HPP
#define CACTUSGW_CORE_ATTEMPT_DEADLINE_HPP

/// Decides how long an attempt of a request may take, and when it is given up
/// so that there is time for a retry.

#include "cactusgw/core/verdict.hpp"

namespace cactusgw {

/// What is known of an attempt when its time for a retry has come.
struct AttemptState
{
  /// Whether the response to the client has begun.
  bool mHasBegun = false;
  /// Whether the request may be sent again, and to another upstream.
  bool mCanRetry = false;
};

/// Immutable. Time is passed in.
class AttemptDeadline
{
public:
  /// Extra time to wait for a response after the request's deadline: upstreams
  /// enforce the deadline themselves, and their own error response is
  /// preferred.
  static constexpr Milliseconds kGrace{ 100 };

  /// @param aDeadline of the request: the earlier of the client's deadline and
  ///        the route's timeout
  /// @param aMinTime what the attempt gets before a retry, if the request has
  ///        as much time
  static AttemptDeadline Create(Instant aSentAt,
                                Instant aDeadline,
                                Milliseconds aMinTime);

  /// When to ask whether the attempt makes way for a retry.
  Instant RetryAt() const { return mRetryAt; }
  /// Until when it is worth asking.
  Instant RetryUntil() const { return mRetryUntil; }
  /// When the attempt ends in any case.
  Instant End() const { return mDeadline + kGrace; }
  /// Whether to give the attempt up for a retry. A response that has begun
  /// can't be repeated, and an attempt that can't be repeated has all of the
  /// request's time.
  bool MakesWayForRetry(const AttemptState& aState, Instant aNow) const;

private:
  AttemptDeadline(Instant aRetryAt, Instant aRetryUntil, Instant aDeadline)
    : mRetryAt(aRetryAt)
    , mRetryUntil(aRetryUntil)
    , mDeadline(aDeadline)
  {
  }

  Instant mRetryAt;
  /// Until when a retry has a quarter of the attempt's time left.
  Instant mRetryUntil;
  Instant mDeadline;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_ATTEMPT_DEADLINE_HPP
