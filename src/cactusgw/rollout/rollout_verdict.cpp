#include "cactusgw/rollout/rollout_verdict.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace cactusgw {

namespace {

/// Probability of rejecting a sound version, over all routes and measures.
constexpr double kFalseRejectRate = 0.001;
/// Probability of accepting a version that fails kExcessFailures more of its
/// requests, or of which kSlowShare of the responses are slow.
constexpr double kFalseAcceptRate = 0.01;
constexpr double kExcessFailures = 0.15;
constexpr double kSlowShare = 0.5;
/// A response is slow if it takes longer than this share of the other versions'
/// responses.
constexpr double kSlowPercentile = 0.9;
/// Responses of the other versions that a route needs to be compared.
constexpr std::uint64_t kMinBaseline = 20;
/// Responses of the target that each compared route needs for Sound. The
/// measures of a route are tested further while the share of the target grows.
constexpr std::uint64_t kMinPerRoute = 6;
/// Part of the service's requests below which a route need not have responses
/// of the target: it could take longer than the roll-out to get them.
constexpr double kMinRouteShare = 0.05;
/// Responses of the target from which a route must be accepted by itself, with
/// kRouteAcceptRate; with fewer it must not look bad. All routes together must
/// reach kFalseAcceptRate. Each route at that rate would take 35 responses,
/// more than a sound version gets on each of several routes.
constexpr std::uint64_t kEnoughForRoute = 30;
constexpr double kRouteAcceptRate = 0.1;
/// How much likelier bad than sound the responses since an earlier moment may
/// look while the version counts as sound.
constexpr double kMaxRecentRatio = 3;
/// Standard errors by which the other versions' rate is raised, as it is an
/// estimate.
constexpr double kBaselineMargin = 2.0;

/// A count of bad responses among all.
struct Sample
{
  std::uint64_t mBad = 0;
  std::uint64_t mAll = 0;

  Sample& operator+=(const Sample& aOther)
  {
    mBad += aOther.mBad;
    mAll += aOther.mAll;
    return *this;
  }
};

std::uint64_t
Count(const TimeHistogram& aTimes)
{
  return std::accumulate(aTimes.begin(), aTimes.end(), std::uint64_t{ 0 });
}

/// The first bucket that counts as slow.
std::size_t
SlowBucket(const TimeHistogram& aOthers)
{
  const double limit = kSlowPercentile * static_cast<double>(Count(aOthers));
  std::uint64_t sum = 0;
  std::size_t bucket = 0;
  while (bucket < aOthers.size() && static_cast<double>(sum) < limit) {
    sum += aOthers[bucket];
    ++bucket;
  }
  return bucket;
}

Sample
SlowerThan(const TimeHistogram& aTimes, std::size_t aBucket)
{
  return { std::accumulate(aTimes.begin() +
                             static_cast<std::ptrdiff_t>(aBucket),
                           aTimes.end(),
                           std::uint64_t{ 0 }),
           Count(aTimes) };
}

/// The rate of bad responses that is assumed of a sound version: that of the
/// others, raised by the error of its estimate.
double
SoundRate(const Sample& aOthers)
{
  constexpr double kMin = 0.005;
  constexpr double kMax = 0.8;
  const double all = static_cast<double>(aOthers.mAll) + 1;
  const double rate = (static_cast<double>(aOthers.mBad) + 0.5) / all;
  const double error = std::sqrt(rate * (1 - rate) / all);
  return std::clamp(rate + kBaselineMargin * error, kMin, kMax);
}

/// Logarithm of how much likelier the sample is at the bad rate.
double
LikelihoodRatio(const Sample& aTarget, double aSoundRate, double aBadRate)
{
  const double bad = static_cast<double>(aTarget.mBad);
  const double good = static_cast<double>(aTarget.mAll - aTarget.mBad);
  return bad * std::log(aBadRate / aSoundRate) +
         good * std::log((1 - aBadRate) / (1 - aSoundRate));
}

/// Wald's sequential test of one measure.
class SequentialTest
{
public:
  SequentialTest(const Sample& aOthers, double aBadRate, double aTests)
    : mSoundRate(SoundRate(aOthers))
    , mBadRate(std::min(0.98, std::max(aBadRate, mSoundRate + kExcessFailures)))
    , mRejectAt(std::log(aTests * (1 - kFalseAcceptRate) / kFalseRejectRate))
  {
  }

  bool Rejects(const Sample& aTarget) const
  {
    return LikelihoodRatio(aTarget, mSoundRate, mBadRate) >= mRejectAt;
  }
  /// @param aRatio how much likelier bad than sound the sample may be
  bool Accepts(const Sample& aTarget, double aRatio) const
  {
    return LikelihoodRatio(aTarget, mSoundRate, mBadRate) <= std::log(aRatio);
  }

private:
  double mSoundRate;
  double mBadRate;
  double mRejectAt;
};

/// The samples of one measure on both sides.
struct Measure
{
  std::string_view mName;
  Sample mTarget;
  Sample mOthers;
  double mBadRate = 0;
};

std::array<Measure, 3>
MeasuresOf(const RolloutTotals::Route& aRoute)
{
  const RolloutCounts& target = aRoute.mTarget;
  const RolloutCounts& others = aRoute.mOtherVersions;
  const std::size_t slowEvent = SlowBucket(others.mFirstEvents);
  const std::size_t slowGap = SlowBucket(others.mGaps);
  return { Measure{ "failures",
                    { target.mFailed, target.mAnswered },
                    { others.mFailed, others.mAnswered },
                    0 },
           Measure{ "first-events",
                    SlowerThan(target.mFirstEvents, slowEvent),
                    SlowerThan(others.mFirstEvents, slowEvent),
                    kSlowShare },
           Measure{ "gaps",
                    SlowerThan(target.mGaps, slowGap),
                    SlowerThan(others.mGaps, slowGap),
                    kSlowShare } };
}

void
Subtract(RolloutCounts& aCounts, const RolloutCounts& aEarlier)
{
  aCounts.mSent -= aEarlier.mSent;
  aCounts.mAnswered -= aEarlier.mAnswered;
  aCounts.mFailed -= aEarlier.mFailed;
  for (std::size_t i = 0; i < aCounts.mGaps.size(); ++i) {
    aCounts.mFirstEvents[i] -= aEarlier.mFirstEvents[i];
    aCounts.mGaps[i] -= aEarlier.mGaps[i];
  }
}

/// What was counted since an earlier moment.
RolloutTotals
Since(const RolloutTotals& aEarlier, RolloutTotals aTotals)
{
  for (const auto& [name, earlier] : aEarlier.mRoutes) {
    const auto it = aTotals.mRoutes.find(name);
    if (it != aTotals.mRoutes.end()) {
      Subtract(it->second.mTarget, earlier.mTarget);
      Subtract(it->second.mOtherVersions, earlier.mOtherVersions);
    }
  }
  return aTotals;
}

/// A measure that a test rejects, and its route.
struct Rejection
{
  std::string_view mRoute;
  std::string_view mMeasure;
};

bool
IsComparable(const RolloutTotals::Route& aRoute)
{
  return aRoute.mOtherVersions.mAnswered >= kMinBaseline;
}

std::array<Measure, 3>
SumsOf(const RolloutTotals& aTotals)
{
  std::array<Measure, 3> sums{};
  for (const auto& [name, route] : aTotals.mRoutes) {
    if (IsComparable(route)) {
      const std::array<Measure, 3> measures = MeasuresOf(route);
      for (std::size_t i = 0; i < measures.size(); ++i) {
        sums[i].mName = measures[i].mName;
        sums[i].mTarget += measures[i].mTarget;
        sums[i].mOthers += measures[i].mOthers;
        sums[i].mBadRate = measures[i].mBadRate;
      }
    }
  }
  return sums;
}

bool
Rejects(const Measure& aMeasure, double aTests)
{
  return aMeasure.mOthers.mAll >= kMinBaseline &&
         SequentialTest{ aMeasure.mOthers, aMeasure.mBadRate, aTests }.Rejects(
           aMeasure.mTarget);
}

/// Tests each route, and all together: a version that is bad on all routes
/// shows it with a part of the responses that each of them would need.
std::optional<Rejection>
FindRejection(const RolloutTotals& aTotals, double aTests)
{
  for (const Measure& measure : SumsOf(aTotals)) {
    if (Rejects(measure, aTests)) {
      return Rejection{ "", measure.mName };
    }
  }
  for (const auto& [name, route] : aTotals.mRoutes) {
    if (IsComparable(route)) {
      for (const Measure& measure : MeasuresOf(route)) {
        if (Rejects(measure, aTests)) {
          return Rejection{ name, measure.mName };
        }
      }
    }
  }
  return std::nullopt;
}

bool
Accepts(const Measure& aMeasure, double aRatio)
{
  return aMeasure.mOthers.mAll < kMinBaseline ||
         SequentialTest{ aMeasure.mOthers, aMeasure.mBadRate, 1 }.Accepts(
           aMeasure.mTarget, aRatio);
}

/// Whether each measure of all routes together is at most this much likelier
/// for a bad version.
bool
AcceptsSums(const RolloutTotals& aTotals, double aRatio)
{
  const std::array<Measure, 3> sums = SumsOf(aTotals);
  return std::all_of(sums.begin(), sums.end(), [&](const Measure& aMeasure) {
    return Accepts(aMeasure, aRatio);
  });
}

bool
AcceptsRoute(const RolloutTotals::Route& aRoute)
{
  const std::array<Measure, 3> measures = MeasuresOf(aRoute);
  return std::all_of(
    measures.begin(), measures.end(), [](const Measure& aMeasure) {
      const bool isEnough = aMeasure.mTarget.mAll >= kEnoughForRoute;
      return Accepts(aMeasure, isEnough ? kRouteAcceptRate : 1);
    });
}

} // namespace

std::string_view
ToString(RolloutSoundness aSoundness)
{
  switch (aSoundness) {
    case RolloutSoundness::Undecided:
      return "undecided";
    case RolloutSoundness::Sound:
      return "sound";
    case RolloutSoundness::Bad:
      return "bad";
  }
  return "unknown";
}

RolloutVerdict
JudgeRollout(const RolloutTotals& aTotals,
             std::span<const RolloutTotals> aEarlier)
{
  RolloutVerdict verdict;
  std::uint64_t othersAnswered = 0;
  for (const auto& [name, route] : aTotals.mRoutes) {
    verdict.mTargetResponses += route.mTarget.mAnswered;
    verdict.mTargetFailures += route.mTarget.mFailed;
    othersAnswered += route.mOtherVersions.mAnswered;
  }
  const double tests = 3.0 * static_cast<double>((1 + aTotals.mRoutes.size()) *
                                                 (1 + aEarlier.size()));
  std::optional<Rejection> rejection = FindRejection(aTotals, tests);
  bool isRecentlySound = true;
  for (const RolloutTotals& earlier : aEarlier) {
    const RolloutTotals recent = Since(earlier, aTotals);
    if (!rejection) {
      rejection = FindRejection(recent, tests);
    }
    isRecentlySound = isRecentlySound && AcceptsSums(recent, kMaxRecentRatio);
  }
  if (rejection) {
    verdict.mSoundness = RolloutSoundness::Bad;
    verdict.mRoute = rejection->mRoute;
    verdict.mMeasure = rejection->mMeasure;
    return verdict;
  }
  bool hasEnough = false;
  bool areRoutesSound = true;
  for (const auto& [name, route] : aTotals.mRoutes) {
    if (!IsComparable(route)) {
      continue;
    }
    const double share = static_cast<double>(route.mOtherVersions.mAnswered) /
                         static_cast<double>(othersAnswered);
    const bool lacksSome =
      share >= kMinRouteShare && route.mTarget.mAnswered < kMinPerRoute;
    areRoutesSound = areRoutesSound && !lacksSome && AcceptsRoute(route);
    hasEnough = true;
  }
  if (hasEnough && areRoutesSound && isRecentlySound &&
      AcceptsSums(aTotals, kFalseAcceptRate)) {
    verdict.mSoundness = RolloutSoundness::Sound;
  }
  return verdict;
}

} // namespace cactusgw
