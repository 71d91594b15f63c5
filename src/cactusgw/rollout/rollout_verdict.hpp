#ifndef CACTUSGW_ROLLOUT_ROLLOUT_VERDICT_HPP
#define CACTUSGW_ROLLOUT_ROLLOUT_VERDICT_HPP

/// Whether the target version of a roll-out is as good as the other versions.

#include "cactusgw/rollout/rollout_evidence.hpp"

#include <span>
#include <string>
#include <string_view>

namespace cactusgw {

enum class RolloutSoundness
{
  Undecided,
  /// Tests with a stated error rate found no difference on any route that has
  /// enough requests.
  Sound,
  Bad,
};

std::string_view ToString(RolloutSoundness aSoundness);

struct RolloutVerdict
{
  RolloutSoundness mSoundness = RolloutSoundness::Undecided;
  /// The route and the measure that decided it, such as "failures", "first
  /// events", "gaps"; empty if undecided. The route
  /// is also empty if all routes together decided it.
  std::string mRoute;
  std::string mMeasure;
  std::uint64_t mTargetResponses = 0;
  std::uint64_t mTargetFailures = 0;
};

/// Doesn't remember an earlier verdict: the caller keeps Bad.
/// @param aEarlier totals of earlier moments. What was counted since each of
///   them is tested too: the sound responses of a version that turns bad later
///   would otherwise outweigh its bad ones for long.
RolloutVerdict JudgeRollout(const RolloutTotals& aTotals,
                            std::span<const RolloutTotals> aEarlier = {});

} // namespace cactusgw

#endif // CACTUSGW_ROLLOUT_ROLLOUT_VERDICT_HPP
