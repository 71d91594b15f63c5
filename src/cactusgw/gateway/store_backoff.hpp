#ifndef CACTUSGW_GATEWAY_STORE_BACKOFF_HPP
#define CACTUSGW_GATEWAY_STORE_BACKOFF_HPP

/// Whether the store responds to calls, and the exponential backoff between
/// failed calls.

#include "cactusgw/net/http_types.hpp"

#include <functional>

namespace cactusgw {

/// Interval at which an idle read loop checks whether it should read again.
inline constexpr Milliseconds kIdlePollInterval{ 100 };

/// Suspends the coroutine on the current executor.
Task<void> Sleep(Milliseconds aTime);

/// Not thread-safe; one instance per loop of calls.
class StoreBackoff
{
public:
  /// The backoff doubles with each failed call from the first to the maximum.
  static constexpr Milliseconds kFirstBackoff{ 100 };
  static constexpr Milliseconds kMaxBackoff{ 400 };
  /// Maximum backoff for a gateway with a parent, from which it gets the
  /// content as soon as the store responds to that one again. The limits on the
  /// time in which a change must become known start four seconds or more after
  /// an outage, so the longer backoff doesn't break them.
  static constexpr Milliseconds kMaxBackoffWithRelay{ 1600 };

  /// Records a successful call and resets the backoff.
  /// @param aOnRecovered called if the call before had failed
  void OnSuccess(const std::function<void()>& aOnRecovered);

  /// Records a failed call and waits for the backoff.
  /// @param aOnUnavailable called if the call before had succeeded
  Task<void> OnFailure(Failure aFailure,
                       Milliseconds aMaxBackoff,
                       std::function<void(const Failure&)> aOnUnavailable);

  /// Returns the backoff for one more failed call and doubles the next one.
  Milliseconds NextBackoff(Milliseconds aMaxBackoff);

private:
  bool mIsUnavailable = false;
  Milliseconds mNextBackoff = kFirstBackoff;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_BACKOFF_HPP
