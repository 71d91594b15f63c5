#include "cactusgw/rollout/rollout_stages.hpp"

#include <gtest/gtest.h>

namespace cactusgw {

namespace {

/// A situation in which each stage lasts as long as it must.
RolloutSituation
Situation(RolloutStage aStage, Milliseconds aDuration)
{
  RolloutSituation situation;
  situation.mStage = aStage;
  situation.mDuration = aDuration;
  situation.mAge = aDuration - Milliseconds{ 5000 };
  situation.mTimeInStage = Milliseconds{ 500 };
  situation.mSoundness = RolloutSoundness::Sound;
  situation.mTargetUpstreams = 1;
  return situation;
}

} // namespace

class RolloutStagesTest : public ::testing::TestWithParam<int>
{
protected:
  Milliseconds mDuration{ GetParam() };
};

TEST_P(RolloutStagesTest, EachStageFollowsTheFormerOne)
{
  RolloutStage stage = RolloutStage::Observing;
  for (const RolloutStage next : { RolloutStage::Quarter,
                                   RolloutStage::Half,
                                   RolloutStage::All,
                                   RolloutStage::Drained,
                                   RolloutStage::Completed }) {
    RolloutSituation situation = Situation(stage, mDuration);
    EXPECT_EQ(NextRolloutStage(situation), next);
    // Gateways that haven't heard of a stage still follow the former one.
    situation.mTimeInStage = Milliseconds{ 499 };
    if (stage != RolloutStage::Observing) {
      EXPECT_EQ(NextRolloutStage(situation), stage) << ToString(stage);
    }
    situation = Situation(stage, mDuration);
    situation.mRequestsOnOthers = 1;
    const bool waits =
      stage == RolloutStage::All || stage == RolloutStage::Drained;
    EXPECT_EQ(NextRolloutStage(situation), waits ? stage : next);
    situation = Situation(stage, mDuration);
    situation.mSoundness = RolloutSoundness::Bad;
    EXPECT_EQ(NextRolloutStage(situation), RolloutStage::RolledBack);
    stage = next;
  }
  for (const RolloutStage last :
       { RolloutStage::Completed, RolloutStage::RolledBack }) {
    RolloutSituation situation = Situation(last, mDuration);
    situation.mSoundness = RolloutSoundness::Bad;
    EXPECT_EQ(NextRolloutStage(situation), last);
  }
}

TEST_P(RolloutStagesTest, ObservesAsLongAsTheDurationAllows)
{
  RolloutSituation situation = Situation(RolloutStage::Observing, mDuration);
  situation.mAge -= Milliseconds{ 1 };
  EXPECT_EQ(NextRolloutStage(situation), RolloutStage::Observing);
  situation = Situation(RolloutStage::Observing, mDuration);
  situation.mTargetUpstreams = 0;
  EXPECT_EQ(NextRolloutStage(situation), RolloutStage::Observing);
  situation = Situation(RolloutStage::Observing, mDuration);
  situation.mSoundness = RolloutSoundness::Undecided;
  EXPECT_EQ(NextRolloutStage(situation), RolloutStage::Observing);
  situation.mAge = mDuration;
  EXPECT_EQ(NextRolloutStage(situation), RolloutStage::RolledBack);
}

INSTANTIATE_TEST_SUITE_P(Durations,
                         RolloutStagesTest,
                         ::testing::Values(12'000, 20'000));

} // namespace cactusgw
