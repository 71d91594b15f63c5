#ifndef CACTUSGW_CORE_REQUEST_TRIAL_HPP
#define CACTUSGW_CORE_REQUEST_TRIAL_HPP

/// Keeps gateways from sending copies of a suspected request beside each other.

#include "cactusgw/core/request_fingerprint.hpp"
#include "cactusgw/core/verdict.hpp"

#include <cstdint>
#include <optional>

namespace cactusgw {

/// One send of a request that is a suspect of crashes. Its copies are held back
/// until the upstream has responded or crashed. Gateways that begin trials at
/// the same time agree on one of them; the later one in this order applies.
struct RequestTrial
{
  /// Counts the trials of the request.
  std::uint64_t mNumber = 0;
  /// Stable hash of the name of the gateway that sends the request.
  std::uint64_t mGateway = 0;
  bool mIsEnded = false;

  auto operator<=>(const RequestTrial& aOther) const = default;
};

/// The newest trial of a request that a gateway knows.
struct KnownTrial
{
  RequestTrial mTrial;
  Instant mSentAt;

  /// Adopts a later trial. Returns whether it was one.
  bool Merge(const KnownTrial& aOther);
  /// Whether copies must wait for the outcome.
  bool IsRunning(Instant aNow) const;
};

/// A gateway's place among all gateways, by which they take turns after a
/// suspected request was held back.
struct GatewayPlace
{
  /// Number of gateways whose names come before this one's.
  std::uint32_t mRank = 0;
  std::uint32_t mCount = 1;
  /// Stable hash of the gateway's name.
  std::uint64_t mId = 0;

  /// Time for which this gateway waits longer than the first one.
  Milliseconds TurnDelay(RequestFingerprint aRequest) const;
};

} // namespace cactusgw

#endif // CACTUSGW_CORE_REQUEST_TRIAL_HPP
