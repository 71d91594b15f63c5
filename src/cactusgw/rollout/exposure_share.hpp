#ifndef CACTUSGW_ROLLOUT_EXPOSURE_SHARE_HPP
#define CACTUSGW_ROLLOUT_EXPOSURE_SHARE_HPP

/// Limits the requests that one gateway sends to the target version of a
/// roll-out, so that all gateways together keep a share without a message.

#include "cactusgw/rollout/rollout_order.hpp"

#include <cstdint>

namespace cactusgw {

/// Not thread-safe; one instance per order.
class ExposureShare
{
public:
  /// @param aGateway stable hash of the gateway's name and incarnation
  /// @param aInitial requests that this gateway may send at the start beyond
  ///   the share, on average over all gateways
  static ExposureShare Create(const RolloutId& aRollout,
                              std::uint64_t aGateway,
                              double aInitial);

  /// Counts a request of the service and returns the side that gets it.
  /// @param aShare share of the requests that the target may get now
  RolloutSide OnRequest(double aShare);
  /// Whether a further attempt of a request may go to the target.
  bool AllowsRetry(double aShare) const;
  /// Counts a send to the target that OnRequest did not choose: a retry, or a
  /// resumed or continued stream.
  void OnFurtherSend();
  /// Returns a request that OnRequest chose for the target and that went
  /// elsewhere.
  void OnNotSent();

private:
  explicit ExposureShare(double aAllowed)
    : mAllowed(aAllowed)
  {
  }

  /// What the target may get in all, in requests. Its start has a fraction that
  /// differs from gateway to gateway.
  double mAllowed;
  double mSent = 0;
};

} // namespace cactusgw

#endif // CACTUSGW_ROLLOUT_EXPOSURE_SHARE_HPP
