#include "cactusgw/rollout/exposure_share.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <string>

namespace cactusgw {

ExposureShare
ExposureShare::Create(const RolloutId& aRollout,
                      std::uint64_t aGateway,
                      double aInitial)
{
  constexpr double kHashes = 18446744073709551616.0; // 2 to the power of 64.
  const std::uint64_t hash = StableHash(
    aRollout.mService + "\n" + aRollout.mTarget + "\n" +
    std::to_string(aRollout.mOrder) + "\n" + std::to_string(aGateway));
  return ExposureShare{ aInitial + static_cast<double>(hash) / kHashes };
}

RolloutSide
ExposureShare::OnRequest(double aShare)
{
  mAllowed += aShare;
  if (mAllowed < mSent + 1) {
    return RolloutSide::OtherVersions;
  }
  ++mSent;
  return RolloutSide::Target;
}

bool
ExposureShare::AllowsRetry(double aShare) const
{
  return aShare >= 1 || mAllowed >= mSent + 1;
}

void
ExposureShare::OnFurtherSend()
{
  ++mSent;
}

void
ExposureShare::OnNotSent()
{
  mSent = std::max(0.0, mSent - 1);
}

} // namespace cactusgw
