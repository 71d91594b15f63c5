#include "rollout_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace cactusgw::test {

namespace {

constexpr Milliseconds kStep{ 10 };
constexpr Milliseconds kDelay{ 200 };
constexpr Milliseconds kExchangeInterval{ 100 };
constexpr Milliseconds kStoreInterval{ 50 };
constexpr double kRequestsPerStep = 0.7;
constexpr std::uint32_t kUpstreams = 28;
constexpr double kBaseFailures = 0.02;
constexpr std::uint64_t kBadAnswers = 50;
const RolloutOrder kOrder{ { "service", "v2", 1 }, Milliseconds{ 20'000 } };

struct Answer
{
  std::size_t mGateway = 0;
  std::string_view mRoute;
  RolloutSide mSide = RolloutSide::OtherVersions;
  bool mIsFailure = false;
  bool mIsBad = false;
  Milliseconds mTime{ 0 };
};

/// One run. Time is in steps; nothing waits.
class Fleet
{
public:
  Fleet(const FleetCase& aCase, std::uint64_t aSeed)
    : mCase(aCase)
    , mRandom(aSeed)
    , mHub(RolloutEvidence::Create(0))
  {
    mStored.mOrder = kOrder;
    mStored.mOrder.mDuration = aCase.mDuration;
    mStored.mRevision = 1;
    std::vector<double> weights;
    for (std::uint32_t i = 0; i < aCase.mGateways; ++i) {
      mGateways.push_back(RolloutControl::Create(aSeed * 1000 + i + 1));
      mGateways.back().SetSettings(
        { kFleetExposureShare, kFleetExposureExtra, aCase.mGateways });
      mGateways.back().OnStoreListed();
      mSentVersions.push_back(0);
      weights.push_back(1 + i % 5);
    }
    mTraffic = { weights.begin(), weights.end() };
    mHub.Begin(mStored.mOrder.mId, mStart);
    Publish();
  }

  FleetResult Run()
  {
    while (mNow < mCase.mDuration) {
      Deliver(mPublished, [&](const StoredRollout& aStored) {
        for (RolloutControl& gateway : mGateways) {
          gateway.OnStored("service", aStored, At(mNow));
        }
      });
      Deliver(mAnswers, [&](const Answer& aAnswer) { OnAnswer(aAnswer); });
      Deliver(mMessages, [&](const RolloutCountsEntry& aEntry) {
        for (std::uint32_t i = 0; i < mCase.mJudges; ++i) {
          mGateways[i].Evidence().Merge(aEntry);
        }
      });
      const int requests =
        std::poisson_distribution<int>{ kRequestsPerStep }(mRandom);
      for (int i = 0; i < requests; ++i) {
        OnRequest();
      }
      if (mNow % kExchangeInterval == Milliseconds::zero()) {
        Exchange();
      }
      if (mNow % kStoreInterval == Milliseconds::zero()) {
        WriteStage();
      }
      mRecent *= 0.99;
      mNow += kStep;
    }
    return mResult;
  }

private:
  template<typename T>
  using Timeline = std::multimap<Milliseconds, T>;

  Instant At(Milliseconds aTime) const { return mStart + aTime; }

  template<typename T, typename Handler>
  void Deliver(Timeline<T>& aTimeline, const Handler& aHandler)
  {
    while (!aTimeline.empty() && aTimeline.begin()->first <= mNow) {
      const T next = aTimeline.begin()->second;
      aTimeline.erase(aTimeline.begin());
      aHandler(next);
    }
  }

  void Publish() { mPublished.emplace(mNow + kDelay, mStored); }

  bool IsBad(std::string_view aRoute) const
  {
    const RolloutStage stage = mStored.mStage.value_or(RolloutStage::Observing);
    const double used = static_cast<double>(
      TargetUpstreams(stage, kFleetExposureShare, kUpstreams));
    // mRecent decays by 0.01 in each step, so that it covers one second.
    const bool isLoaded = mRecent / used > 0.5 * 70 / kUpstreams;
    return mNow >= mCase.mBadFrom && (!mCase.mIsOnOneRoute || aRoute == "a") &&
           (!mCase.mIsUnderLoad || isLoaded);
  }

  void OnRequest()
  {
    const std::size_t number = mTraffic(mRandom);
    RolloutControl& gateway = mGateways[number];
    const std::string_view route =
      std::bernoulli_distribution{ 0.5 }(mRandom) ? "a" : "b";
    const std::optional<RolloutSide> side = gateway.OnRequest("service", true);
    const RolloutControl& judge =
      mGateways[number < mCase.mJudges ? number : 0];
    const bool isTarget =
      side == RolloutSide::Target && judge.MaySend("service", "v2");
    gateway.OnSent("service", isTarget ? "v2" : "v1", route, side);
    ++mResult.mRequests;
    const bool isBad = isTarget && IsBad(route);
    const bool isExcess =
      isBad && std::bernoulli_distribution{ mCase.mExcessFailures }(mRandom);
    const bool isFailure =
      isExcess || std::bernoulli_distribution{ kBaseFailures }(mRandom);
    // Median 150 ms.
    const double time =
      std::lognormal_distribution<double>{ std::log(150), 0.4 }(mRandom) *
      (isBad ? mCase.mSlowdown : 1);
    const Milliseconds whole{ static_cast<std::int64_t>(time) };
    const bool isBadAnswer = isExcess || (isBad && mCase.mSlowdown > 1);
    mAnswers.emplace(
      mNow + whole,
      Answer{ number,
              route,
              isTarget ? RolloutSide::Target : RolloutSide::OtherVersions,
              isFailure,
              isBadAnswer,
              whole });
    ++(isTarget ? mOnTarget : mOnOthers);
    if (isTarget) {
      ++mRecent;
      ++mResult.mSentToTarget;
      mResult.mSentToBad += mNow >= mCase.mBadFrom ? 1 : 0;
      if (mBadAnswers >= kBadAnswers) {
        mResult.mSentAfterLimit = mNow - mLimitAt;
      }
    }
  }

  void OnAnswer(const Answer& aAnswer)
  {
    RolloutEvidence& evidence = mGateways[aAnswer.mGateway].Evidence();
    const RolloutId& id = mStored.mOrder.mId;
    if (aAnswer.mIsFailure) {
      evidence.OnFailed(id, aAnswer.mRoute, aAnswer.mSide, false);
    } else {
      evidence.OnFirstEvent(id, aAnswer.mRoute, aAnswer.mSide, aAnswer.mTime);
    }
    --(aAnswer.mSide == RolloutSide::Target ? mOnTarget : mOnOthers);
    if (aAnswer.mIsBad && ++mBadAnswers == kBadAnswers) {
      mLimitAt = mNow;
    }
  }

  void Exchange()
  {
    for (std::size_t i = 0; i < mGateways.size(); ++i) {
      const auto [changed, version] =
        mGateways[i].Evidence().ChangedSince(mSentVersions[i], 10'000);
      mSentVersions[i] = version;
      for (const RolloutCountsEntry& entry : changed) {
        mHub.Merge(entry);
      }
    }
    const auto [changed, version] = mHub.ChangedSince(mHubVersion, 10'000);
    mHubVersion = version;
    for (const RolloutCountsEntry& entry : changed) {
      mMessages.emplace(mNow + kDelay, entry);
    }
    for (std::uint32_t i = 0; i < mCase.mJudges; ++i) {
      for (const RolloutEvent& event : mGateways[i].Update(At(mNow))) {
        if (event.mName == "rollout-verdict" &&
            event.mVerdict.mSoundness != mResult.mVerdict) {
          mResult.mVerdict = event.mVerdict.mSoundness;
          mResult.mJudgedAt = mNow;
        }
      }
    }
  }

  void WriteStage()
  {
    const std::vector<VersionedUpstream> upstreams{
      { "s1", "v1", false, false, mOnOthers },
      { "s2", "v2", false, false, mOnTarget }
    };
    const std::vector<RolloutEdit> edits = mGateways.front().NextEdits(
      [&](std::string_view) { return upstreams; }, At(mNow));
    for (const RolloutEdit& edit : edits) {
      if (edit.mRevision == mStored.mRevision) {
        mStored.mStage = edit.mStage;
        ++mStored.mRevision;
        mResult.mStage = edit.mStage;
        if (edit.mStage >= RolloutStage::Completed) {
          mResult.mEndedAt = mNow;
        }
        Publish();
      }
    }
  }

  FleetCase mCase;
  std::mt19937_64 mRandom;
  Instant mStart{ std::chrono::hours{ 1 } };
  Milliseconds mNow{ 0 };
  std::vector<RolloutControl> mGateways;
  std::vector<std::uint64_t> mSentVersions;
  std::discrete_distribution<std::size_t> mTraffic;
  RolloutEvidence mHub;
  std::uint64_t mHubVersion = 0;
  StoredRollout mStored;
  Timeline<StoredRollout> mPublished;
  Timeline<Answer> mAnswers;
  Timeline<RolloutCountsEntry> mMessages;
  std::uint32_t mOnTarget = 0;
  std::uint32_t mOnOthers = 0;
  double mRecent = 0;
  std::uint64_t mBadAnswers = 0;
  Milliseconds mLimitAt{ 0 };
  FleetResult mResult;
};

} // namespace

FleetResult
RunFleet(const FleetCase& aCase, std::uint64_t aSeed)
{
  return Fleet{ aCase, aSeed }.Run();
}

} // namespace cactusgw::test
