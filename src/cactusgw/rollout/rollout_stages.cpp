#include "cactusgw/rollout/rollout_stages.hpp"

#include <cmath>

namespace cactusgw {

namespace {

/// Part of the exposure share that is used while the version is observed. The
/// rest is for the stages in which the share grows.
constexpr double kObservingFraction = 0.6;
constexpr double kQuarterShare = 0.25;
constexpr double kHalfShare = 0.5;
/// Time for which each growing share is held: the news of a failure passes four
/// levels of the relay tree in some 200 ms.
constexpr Milliseconds kRampStageTime{ 500 };
/// Time that the requests in progress on other versions need to end or to be
/// migrated.
constexpr Milliseconds kDrainTime{ 3000 };
/// Time for the last writes to the store.
constexpr Milliseconds kWriteTime{ 1000 };

/// When the target's share begins to grow, at the earliest: a version may turn
/// bad only after some time.
Milliseconds
ObservedUntil(Milliseconds aDuration)
{
  return aDuration - 2 * kRampStageTime - kDrainTime - kWriteTime;
}

} // namespace

std::string_view
ToString(RolloutStage aStage)
{
  switch (aStage) {
    case RolloutStage::Observing:
      return "observing";
    case RolloutStage::Quarter:
      return "quarter";
    case RolloutStage::Half:
      return "half";
    case RolloutStage::All:
      return "all";
    case RolloutStage::Drained:
      return "drained";
    case RolloutStage::Completed:
      return "completed";
    case RolloutStage::RolledBack:
      return "rolled-back";
  }
  return "unknown";
}

double
TargetShare(RolloutStage aStage, double aExposureShare)
{
  switch (aStage) {
    case RolloutStage::Observing:
      return kObservingFraction * aExposureShare;
    case RolloutStage::Quarter:
      return kQuarterShare;
    case RolloutStage::Half:
      return kHalfShare;
    case RolloutStage::All:
    case RolloutStage::Drained:
    case RolloutStage::Completed:
      return 1;
    case RolloutStage::RolledBack:
      return 0;
  }
  return 0;
}

std::size_t
TargetUpstreams(RolloutStage aStage, double aExposureShare, std::size_t aKnown)
{
  if (aStage != RolloutStage::Observing) {
    return aKnown;
  }
  return static_cast<std::size_t>(std::ceil(
    TargetShare(aStage, aExposureShare) * static_cast<double>(aKnown)));
}

RolloutStage
NextRolloutStage(const RolloutSituation& aSituation)
{
  const RolloutStage stage = aSituation.mStage;
  const bool hasEnded =
    stage == RolloutStage::Completed || stage == RolloutStage::RolledBack;
  if (hasEnded) {
    return stage;
  }
  if (aSituation.mSoundness == RolloutSoundness::Bad) {
    return RolloutStage::RolledBack;
  }
  const bool isHeld = aSituation.mTimeInStage < kRampStageTime;
  switch (stage) {
    case RolloutStage::Observing:
      if (aSituation.mSoundness == RolloutSoundness::Sound &&
          aSituation.mTargetUpstreams > 0 &&
          aSituation.mAge >= ObservedUntil(aSituation.mDuration)) {
        return RolloutStage::Quarter;
      }
      return aSituation.mAge >= aSituation.mDuration ? RolloutStage::RolledBack
                                                     : stage;
    case RolloutStage::Quarter:
      return isHeld ? stage : RolloutStage::Half;
    case RolloutStage::Half:
      return isHeld ? stage : RolloutStage::All;
    case RolloutStage::All:
      return isHeld || aSituation.mRequestsOnOthers > 0 ? stage
                                                        : RolloutStage::Drained;
    case RolloutStage::Drained:
      // Gateways that haven't heard of the stage may still use other versions,
      // which the platform stops at once.
      return isHeld || aSituation.mRequestsOnOthers > 0
               ? stage
               : RolloutStage::Completed;
    case RolloutStage::Completed:
    case RolloutStage::RolledBack:
      break;
  }
  return stage;
}

} // namespace cactusgw
