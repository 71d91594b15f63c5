#include "checkers.hpp"
#include "schedule.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>

namespace cactusgw::soak {

namespace {

using testing::IsEmpty;
using testing::SizeIs;

/// A request that ran at a sound upstream and was cut.
Sent
CutRequest(const std::string& aId)
{
  Sent sent;
  sent.mId = aId;
  sent.mKind = RequestKind::AtMostOnce;
  sent.mIsKept = true;
  sent.mBeganMs = 20'000;
  sent.mWholeMs = 20'001;
  sent.mTimeMs = 2000;
  sent.mEndedMs = 20'500;
  sent.mRuns = { Run{ 0, 20'010, 20'400, false, false } };
  return sent;
}

Records
With(const Sent& aSent)
{
  Records records;
  records.mSent.emplace(aSent.mId, aSent);
  return records;
}

Records
WithCutRequests(int aCount)
{
  Records records;
  for (int i = 0; i < aCount; ++i) {
    const std::string id = "c-" + std::to_string(i);
    records.mSent.emplace(id, CutRequest(id));
  }
  return records;
}

} // namespace

TEST(CheckersTest, AnEndByItselfIsAFault)
{
  Records records;
  records.mEndings.push_back({ 1, 5000, SIGSEGV, -1, false, false });
  EXPECT_THAT(FindFaults(records, {}), SizeIs(1));
  records.mEndings.front().mWasKilled = true;
  EXPECT_THAT(FindFaults(records, {}), IsEmpty());
}

TEST(CheckersTest, AStopThatFailsOrOutlastsTheGraceIsAFault)
{
  constexpr int kExitCode4 = 4 << 8;
  Records records;
  records.mEndings.push_back({ 1, 9000, kExitCode4, 5000, false, false });
  records.mEndings.push_back({ 1, 13'001, 0, 5000, false, false });
  EXPECT_THAT(FindFaults(records, {}), SizeIs(2));
  records.mEndings = { { 1, 13'000, 0, 5000, false, false } };
  EXPECT_THAT(FindFaults(records, {}), IsEmpty());
}

TEST(CheckersTest, AProcessThatIsNotReadyInTimeIsAFaultUnlessItsStoreIsAway)
{
  Records records;
  records.mStarts.push_back({ 0, 1000, -1, 16'001 });
  EXPECT_THAT(FindFaults(records, {}), SizeIs(1));
  records.mDisturbances.push_back({ DisturbanceKind::Store, -1, 2000, 3000 });
  EXPECT_THAT(FindFaults(records, {}), IsEmpty());
}

TEST(CheckersTest, MemoryOverTheLimitIsAFault)
{
  Records records;
  records.mPeaks.push_back({ 0, 99'000'001 });
  EXPECT_THAT(FindFaults(records, {}), SizeIs(1));
}

TEST(CheckersTest, MoreThanThreeLossesOfRunningGatewaysAreFound)
{
  EXPECT_THAT(FindLosses(WithCutRequests(3), {}), IsEmpty());
  EXPECT_THAT(FindLosses(WithCutRequests(4), {}), SizeIs(4));
}

TEST(CheckersTest, ALossIsExcusedByItsUpstreamItsTimeOrItsClient)
{
  Limits limits;
  limits.mLosses = 0;
  Sent sent = CutRequest("c-0");
  EXPECT_THAT(FindLosses(With(sent), limits), SizeIs(1));
  sent.mRuns.front().mHasBrokenOff = true;
  EXPECT_THAT(FindLosses(With(sent), limits), IsEmpty());
  sent = CutRequest("c-0");
  sent.mEndedMs = sent.mBeganMs + sent.mTimeMs;
  EXPECT_THAT(FindLosses(With(sent), limits), IsEmpty());
  sent = CutRequest("c-0");
  sent.mHasLeft = true;
  EXPECT_THAT(FindLosses(With(sent), limits), IsEmpty());
}

TEST(CheckersTest, AStoreThatIsAwayExcusesNoLossAndAKillDoes)
{
  Limits limits;
  limits.mLosses = 0;
  Records records = With(CutRequest("c-0"));
  records.mDisturbances = { { DisturbanceKind::Store, -1, 19'000, 21'000 } };
  EXPECT_THAT(FindLosses(records, limits), SizeIs(1));
  records.mDisturbances = { { DisturbanceKind::Kill, 0, 19'000, 21'000 } };
  EXPECT_THAT(FindLosses(records, limits), IsEmpty());
  records.mDisturbances.front().mTarget = 1;
  EXPECT_THAT(FindLosses(records, limits), SizeIs(1));
}

TEST(CheckersTest, OneRequestCutAroundPlannedWorkIsFound)
{
  Records records = With(CutRequest("c-0"));
  EXPECT_THAT(FindPlannedLosses(records, {}), IsEmpty());
  records.mDisturbances = { { DisturbanceKind::Reload, 0, 20'100, 20'100 } };
  EXPECT_THAT(FindPlannedLosses(records, {}), SizeIs(1));
  records.mDisturbances.push_back(
    { DisturbanceKind::UpstreamGone, 5, 19'000, 19'000 });
  EXPECT_THAT(FindPlannedLosses(records, {}), IsEmpty());
}

// The upstream's work at the end of the grace excuses a cut, and only that.
TEST(CheckersTest, AStopExcusesWhatItsUpstreamWorksOnAtTheEndOfTheGrace)
{
  Sent sent = CutRequest("c-0");
  sent.mTimeMs = 19'000;
  sent.mEndedMs = 27'500;
  sent.mRuns.front().mEndedMs = 27'490;
  Records records = With(sent);
  records.mDisturbances = { { DisturbanceKind::Terminate, 0, 20'000, 28'000 } };
  EXPECT_THAT(FindPlannedLosses(records, {}), IsEmpty());
  records.mSent.begin()->second.mRuns.front().mEndedMs = 26'000;
  EXPECT_THAT(FindPlannedLosses(records, {}), SizeIs(1));
  records.mSent.begin()->second.mRuns.front().mEndedMs = 27'490;
  records.mDisturbances.front().mBeginMs = 16'999;
  EXPECT_THAT(FindPlannedLosses(records, {}), SizeIs(1));
}

TEST(CheckersTest, ARequestThatMayRunOnceIsFoundWhenItRunsTwice)
{
  Sent sent = CutRequest("c-0");
  sent.mRuns.push_back(sent.mRuns.front());
  EXPECT_THAT(FindRepeats(With(sent)), SizeIs(1));
  sent.mKind = RequestKind::Idempotent;
  EXPECT_THAT(FindRepeats(With(sent)), IsEmpty());
}

TEST(CheckersTest, ARefusalAsNotRunIsFoundWhenTheRequestRan)
{
  Sent sent = CutRequest("c-0");
  sent.mStatus = 503;
  sent.mIsWhole = true;
  EXPECT_THAT(FindRepeats(With(sent)), SizeIs(1));
  sent.mStatus = 502;
  EXPECT_THAT(FindRepeats(With(sent)), IsEmpty());
}

TEST(CheckersTest, WrongResponsesAndBodiesAreFound)
{
  Sent sent = CutRequest("c-0");
  sent.mDefect = " seal 'seal-c-1';";
  EXPECT_THAT(FindMixed(With(sent)), SizeIs(1));
  sent.mDefect.clear();
  sent.mRuns.front().mIsAltered = true;
  EXPECT_THAT(FindMixed(With(sent)), SizeIs(1));
  Records records;
  records.mUnasked.push_back("c-9");
  EXPECT_THAT(FindMixed(records), SizeIs(1));
}

TEST(ScheduleTest, OneSeedMakesOneSchedule)
{
  ScheduleOptions options;
  options.mEndMs = 60'000;
  const auto text = [](const ScheduleOptions& aOptions) {
    std::string result;
    for (const Action& action : MakeSchedule(aOptions)) {
      result += TextOf(action) + "\n";
    }
    return result;
  };
  const std::string first = text(options);
  EXPECT_EQ(text(options), first);
  options.mSeed = 2;
  EXPECT_NE(text(options), first);
}

} // namespace cactusgw::soak
