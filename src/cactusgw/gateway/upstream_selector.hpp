#ifndef CACTUSGW_GATEWAY_UPSTREAM_SELECTOR_HPP
#define CACTUSGW_GATEWAY_UPSTREAM_SELECTOR_HPP

/// Selects an upstream with free capacity for a request, and queues the request
/// while there is none.

#include "cactusgw/gateway/call_admission.hpp"

#include <span>
#include <string>
#include <vector>

namespace cactusgw {

/// Not thread-safe; one instance per request.
class UpstreamSelector
{
public:
  /// @param aStart when the request was received; the maximum wait counts from
  /// it
  UpstreamSelector(GatewayState& aState, Instant aStart);

  /// Returns the id of an upstream. Errors: NotRun with Busy,
  /// UpstreamUnreachable, OutsideHomeRegions or StoreUnavailable. Busy carries
  /// the time until the first pause ends when all upstreams are paused.
  /// @param aTried upstreams that the request was already sent to; excluded
  Task<Result<std::string>> Find(const AdmittedRequest& aRequest,
                                 std::span<const std::string> aTried);
  /// The upstream that Find would return without a wait; empty if none.
  std::string FindAtOnce(const AdmittedRequest& aRequest,
                         std::span<const std::string> aTried) const;
  /// Cancels a pending wait; Find then returns an error.
  void Cancel();

private:
  Task<Result<std::string>> Wait(const AdmittedRequest& aRequest,
                                 std::span<const std::string> aTried);
  /// Name of the queue of requests that may use the same upstreams.
  std::string QueueOf(const AdmittedRequest& aRequest) const;
  /// Refuses a request whose upstreams are all paused for longer than the
  /// request may wait.
  Result<void> CheckPauses(const AdmittedRequest& aRequest) const;
  Instant WaitEnd(const AdmittedRequest& aRequest) const;
  /// Returns an empty string when no upstream has free capacity.
  std::string SelectAvailable(const AdmittedRequest& aRequest,
                              std::span<const std::string> aTried) const;
  /// The same, and when other requests wait ahead of this one.
  std::string SelectAtOnce(const AdmittedRequest& aRequest,
                           std::span<const std::string> aTried) const;

  GatewayState& mState;
  Instant mStart;
  WaitQueue::Entry* mWaitEntry = nullptr;
  bool mIsCancelled = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_UPSTREAM_SELECTOR_HPP
