#ifndef CACTUSGW_GATEWAY_UPSTREAM_SELECTOR_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_SELECTOR_HPP

/// Finds an upstream with room for one request, and waits in line for it when
/// there is none.

#include "cactusgw/gateway/call_admission.hpp"

#include <span>
#include <string>
#include <vector>

namespace cactusgw {

/// Not thread-safe; one instance per request.
class UpstreamSelector
{
public:
  /// @param aStart when the request was received; bounds the wait
  UpstreamSelector(GatewayState& aState, Instant aStart);

  /// The id of an upstream. Errors: NotRun with Busy or UpstreamUnreachable.
  /// @param aTried upstreams that the request must not go to again
  Task<Result<std::string>> Find(const AdmittedRequest& aRequest,
                                 std::span<const std::string> aTried);
  /// Ends a wait; Find then returns an error.
  void Cancel();

private:
  Task<Result<std::string>> Wait(const AdmittedRequest& aRequest,
                                 std::span<const std::string> aTried);
  /// Empty when none has room.
  std::string SelectAvailable(const AdmittedRequest& aRequest,
                              std::span<const std::string> aTried) const;

  GatewayState& mState;
  Instant mStart;
  WaitQueue::Entry* mWaitEntry = nullptr;
  bool mIsCancelled = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_SELECTOR_HPP
