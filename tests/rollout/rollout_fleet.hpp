#ifndef CACTUSGW_TESTS_ROLLOUT_ROLLOUT_FLEET_HPP
#define CACTUSGW_TESTS_ROLLOUT_ROLLOUT_FLEET_HPP

/// Simulates the gateways of a deployment during one roll-out, without network.

#include "cactusgw/rollout/rollout_control.hpp"

#include <cstdint>

namespace cactusgw::test {

struct FleetCase
{
  const char* mName = "";
  /// Failures of the target beyond those of other versions.
  double mExcessFailures = 0;
  /// Factor of the target's response times.
  double mSlowdown = 1;
  /// When the target turns bad; never if it is later than the duration.
  Milliseconds mBadFrom{ 0 };
  /// Whether only one of two routes is bad, and whether only upstreams that
  /// carry as much as those of other versions are.
  bool mIsOnOneRoute = false;
  bool mIsUnderLoad = false;
  Milliseconds mDuration{ 20'000 };
  std::uint32_t mGateways = 76;
  /// Gateways that merge and judge the evidence; the others use the judgement
  /// of the first one, which saves most of the time of a run.
  std::uint32_t mJudges = 1;
};

struct FleetResult
{
  std::uint64_t mRequests = 0;
  std::uint64_t mSentToTarget = 0;
  /// Sent after the target had turned bad.
  std::uint64_t mSentToBad = 0;
  /// Time from the 50th bad answer to the last request for the target.
  Milliseconds mSentAfterLimit{ 0 };
  /// When the first gateway judged the target as Sound or Bad last.
  Milliseconds mJudgedAt{ 0 };
  RolloutSoundness mVerdict = RolloutSoundness::Undecided;
  RolloutStage mStage = RolloutStage::Observing;
  /// When the status was final; the end of the simulation if it was not.
  Milliseconds mEndedAt{ 0 };
};

constexpr double kFleetExposureShare = 0.1;
constexpr double kFleetExposureExtra = 50;

FleetResult RunFleet(const FleetCase& aCase, std::uint64_t aSeed);

} // namespace cactusgw::test

#endif // CACTUSGW_TESTS_ROLLOUT_ROLLOUT_FLEET_HPP
