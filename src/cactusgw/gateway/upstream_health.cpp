#include "cactusgw/gateway/upstream_health.hpp"

#include <algorithm>
#include <cmath>

namespace cactusgw {

namespace {

/// Factor that each success applies to the penalty.
constexpr double kPenaltyDecayOnSuccess = 0.7;

} // namespace

void
UpstreamHealth::OnFailure(std::string_view aUpstream,
                          double aWeight,
                          Instant aNow)
{
  const double penalty = FailurePenalty(aUpstream, aNow) + aWeight;
  mRecords[std::string{ aUpstream }] =
    Record{ std::min(penalty, kMaxFailurePenalty), aNow };
}

void
UpstreamHealth::OnSuccess(std::string_view aUpstream, Instant aNow)
{
  const auto it = mRecords.find(aUpstream);
  if (it != mRecords.end()) {
    it->second =
      Record{ FailurePenalty(aUpstream, aNow) * kPenaltyDecayOnSuccess, aNow };
  }
}

void
UpstreamHealth::Forget(std::string_view aUpstream)
{
  const auto it = mRecords.find(aUpstream);
  if (it != mRecords.end()) {
    mRecords.erase(it);
  }
}

double
UpstreamHealth::FailurePenalty(std::string_view aUpstream, Instant aNow) const
{
  const auto it = mRecords.find(aUpstream);
  if (it == mRecords.end()) {
    return 0;
  }
  const std::chrono::duration<double> age = aNow - it->second.mUpdatedAt;
  const std::chrono::duration<double> halfLife = kHalfLife;
  return it->second.mFailurePenalty * std::exp2(-age / halfLife);
}

} // namespace cactusgw
