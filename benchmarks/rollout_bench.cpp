/// Prints how roll-outs of versions of each kind end: share of wrong verdicts,
/// time to the verdict, and exposure against its bound.

#include "rollout_fleet.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace cactusgw::test {

namespace {

constexpr Milliseconds kNever{ 1'000'000 };
constexpr Milliseconds kHalf{ 10'000 };

constexpr std::array<FleetCase, 14> kCases{ {
  { "none", 0, 1, kNever },
  { "failures 0.15", 0.15, 1 },
  { "failures 0.3", 0.3, 1 },
  { "failures 1", 1, 1 },
  { "3 times as slow", 0, 3 },
  { "6 times as slow", 0, 6 },
  { "failures 0.15, after half", 0.15, 1, kHalf },
  { "failures 0.3, after half", 0.3, 1, kHalf },
  { "failures 1, after half", 1, 1, kHalf },
  { "3 times as slow, after half", 0, 3, kHalf },
  { "failures 0.15, one route", 0.15, 1, Milliseconds{ 0 }, true },
  { "failures 1, one route", 1, 1, Milliseconds{ 0 }, true },
  { "3 times as slow, one route", 0, 3, Milliseconds{ 0 }, true },
  { "6 times as slow, under load", 0, 6, Milliseconds{ 0 }, false, true },
} };

void
Print(const FleetCase& aCase, int aSeeds)
{
  const bool isSound = aCase.mBadFrom > aCase.mDuration;
  int wrong = 0;
  int over = 0;
  std::vector<std::int64_t> times;
  double worst = 0;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    const FleetResult result =
      RunFleet(aCase, static_cast<std::uint64_t>(seed));
    const bool isCompleted = result.mStage == RolloutStage::Completed;
    wrong += isCompleted == isSound ? 0 : 1;
    times.push_back(result.mJudgedAt.count());
    const double bound =
      kFleetExposureShare * static_cast<double>(result.mRequests) +
      kFleetExposureExtra;
    const double exposure = static_cast<double>(result.mSentToTarget) / bound;
    worst = std::max(worst, exposure);
    over += exposure > 1 ? 1 : 0;
  }
  std::sort(times.begin(), times.end());
  std::printf("%-30s %8.4f %8lld %8lld %8.2f %8.4f\n",
              aCase.mName,
              static_cast<double>(wrong) / aSeeds,
              static_cast<long long>(times[times.size() / 2]),
              static_cast<long long>(times.back()),
              worst,
              static_cast<double>(over) / aSeeds);
  std::fflush(stdout);
}

} // namespace

} // namespace cactusgw::test

int
main(int aCount, char** aArguments)
{
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : 1000;
  if (seeds < 1) {
    std::fprintf(stderr, "usage: rollout_bench [SEEDS]\n");
    return 1;
  }
  std::printf("%d seeds, 76 gateways, 70 requests a second\n", seeds);
  std::printf("%-30s %8s %8s %8s %8s %8s\n",
              "target",
              "wrong",
              "ms",
              "max ms",
              "exposure",
              "over");
  for (const cactusgw::test::FleetCase& fleet : cactusgw::test::kCases) {
    cactusgw::test::Print(fleet, seeds);
  }
  return 0;
}
