#ifndef CACTUSGW_GATEWAY_STORE_CONTACT_HPP
#define CACTUSGW_GATEWAY_STORE_CONTACT_HPP

/// Whether calls to the store are being answered, and how long to pause
/// between those that are not.

#include "cactusgw/net/http_types.hpp"

#include <functional>

namespace cactusgw {

/// How often a loop that does not read at present looks whether it should.
inline constexpr Milliseconds kIdlePause{ 100 };

/// Waits on the current executor.
Task<void> Sleep(Milliseconds aTime);

/// Not thread-safe; one instance per loop of calls.
class StoreContact
{
public:
  /// Pauses between failed calls double from the first to the last.
  static constexpr Milliseconds kFirstPause{ 100 };
  static constexpr Milliseconds kLastPause{ 400 };
  /// The last one for a gateway that has another one to ask as soon as the
  /// store answers that one again. Bounds on knowing of a change start to count
  /// four seconds or more after an outage.
  static constexpr Milliseconds kLastPauseOfFollower{ 1600 };

  /// @param aOnBack called when the last call had failed
  void OnAnswer(const std::function<void()>& aOnBack);

  /// Pauses. @param aOnLost called when the last call was answered
  Task<void> OnFailure(Failure aFailure,
                       Milliseconds aLastPause,
                       std::function<void(const Failure&)> aOnLost);

  /// How long to pause after one more failed call.
  Milliseconds NextPause(Milliseconds aLastPause);

private:
  bool mIsLost = false;
  Milliseconds mPause = kFirstPause;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_STORE_CONTACT_HPP
