#ifndef CACTUSGW_ROLLOUT_ROLLOUT_STAGES_HPP
#define CACTUSGW_ROLLOUT_ROLLOUT_STAGES_HPP

/// The stage to which a roll-out advances.

#include "cactusgw/rollout/rollout_verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cactusgw {

std::string_view ToString(RolloutStage aStage);

/// The share of the service's requests that the target gets in a stage.
/// @param aExposureShare the share that a bad version may get in all
double TargetShare(RolloutStage aStage, double aExposureShare);

/// How many of the target's upstreams take requests in a stage: in Observing
/// as few as carry its share at the load of the others, so that a version that
/// is bad only under load shows it.
std::size_t TargetUpstreams(RolloutStage aStage,
                            double aExposureShare,
                            std::size_t aKnown);

struct RolloutSituation
{
  RolloutStage mStage = RolloutStage::Observing;
  /// Time since the order, and in this stage.
  Milliseconds mAge{ 0 };
  Milliseconds mTimeInStage{ 0 };
  Milliseconds mDuration{ 0 };
  RolloutSoundness mSoundness = RolloutSoundness::Undecided;
  /// Upstreams of the target that accept requests, and the requests in progress
  /// on other versions, of all gateways.
  std::uint32_t mTargetUpstreams = 0;
  std::uint64_t mRequestsOnOthers = 0;
};

/// Returns the stage that follows; the present one while nothing is due.
RolloutStage NextRolloutStage(const RolloutSituation& aSituation);

} // namespace cactusgw

#endif // CACTUSGW_ROLLOUT_ROLLOUT_STAGES_HPP
