#include "cactusgw/config/deployment.hpp"
#include "cactusgw/core/admission_control.hpp"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <string>

namespace cactusgw {
namespace {

constexpr const char* kDocument = R"({
  "dataCentres": {
    "a": { "region": "r1", "vms": { "vm-1": { "peer": "127.0.0.1:1001" } } },
    "b": { "region": "r1", "vms": { "vm-2": { "peer": "127.0.0.1:1002" } } },
    "c": { "region": "r2", "vms": { "vm-3": { "peer": "127.0.0.1:1003" } } }
  },
  "services": {
    "near": { "queueMs": 100, "queueLength": 4, "retryPercent": 0,
              "retryBurst": 1 },
    "wide": { "overflow": "region" }
  },
  "models": { "m": { "service": "near" }, "w": { "service": "wide" } },
  "upstreams": {
    "u1": { "dataCentre": "a", "service": "near", "models": ["m"],
            "address": "127.0.0.1:2001", "coldLimit": 2, "warmLimit": 8 },
    "w2": { "dataCentre": "b", "service": "wide", "models": ["w"],
            "address": "127.0.0.1:2002", "coldLimit": 2, "warmLimit": 8 },
    "w3": { "dataCentre": "c", "service": "wide", "models": ["w"],
            "address": "127.0.0.1:2003", "coldLimit": 2, "warmLimit": 8 }
  },
  "workspaces": {
    "big": { "keySha256":
      ["1111111111111111111111111111111111111111111111111111111111111111"] },
    "small": { "keySha256":
      ["2222222222222222222222222222222222222222222222222222222222222222"] },
    "capped": { "maxInFlight": 1, "keySha256":
      ["3333333333333333333333333333333333333333333333333333333333333333"] }
  }
})";

class AdmissionControlTest : public testing::Test
{
protected:
  AdmissionControlTest()
  {
    ConfigFaults faults;
    mDeployment = ReadDeployment(boost::json::parse(kDocument), "test", faults);
    EXPECT_EQ(ToString(faults), "");
    mAdmission.SetDeployment(mDeployment, mNow);
    mAdmission.Reconcile({}, true, mNow);
    // Waits until the static shares may be used.
    AdvanceTime(5000);
  }

  AdmissionRequest Ask(std::string aWorkspace)
  {
    AdmissionRequest ask;
    ask.mCall = ++mCall;
    ask.mService = "near";
    ask.mModel = "m";
    ask.mWorkspace = std::move(aWorkspace);
    return ask;
  }

  AdmissionDecision Grant(std::string aWorkspace)
  {
    AdmissionControl::Decisions decisions =
      mAdmission.Admit(Ask(std::move(aWorkspace)), mNow);
    EXPECT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].mOutcome, AdmissionOutcome::Granted);
    return decisions[0];
  }

  void AdvanceTime(int aMs) { mNow += Milliseconds{ aMs }; }

  Instant mNow = Instant{} + std::chrono::hours{ 1 };
  Deployment mDeployment;
  std::uint64_t mCall = 0;
  AdmissionControl mAdmission =
    AdmissionControl::Create("vm-1", "a", 1, mNow, {});
};

TEST_F(AdmissionControlTest, GrantsWithinItsCreditsAndQueuesTheRest)
{
  Grant("big");
  Grant("big");
  EXPECT_TRUE(mAdmission.Admit(Ask("big"), mNow).empty());
  EXPECT_EQ(mAdmission.QueueLength(), 1U);
  EXPECT_EQ(mAdmission.InUse("u1"), 2U);
}

TEST_F(AdmissionControlTest, ServesTheQueueWhenACreditComesBack)
{
  const AdmissionDecision first = Grant("big");
  Grant("big");
  mAdmission.Admit(Ask("big"), mNow);
  const AdmissionControl::Decisions served =
    mAdmission.OnRelease({ first.mPermit, true, false, false }, mNow);
  ASSERT_EQ(served.size(), 1U);
  EXPECT_EQ(served[0].mOutcome, AdmissionOutcome::Granted);
}

TEST_F(AdmissionControlTest, RejectsQueuedRequestsAfterTheirQueueTime)
{
  Grant("big");
  Grant("big");
  mAdmission.Admit(Ask("big"), mNow);
  AdvanceTime(100);
  const AdmissionControl::Decisions expired = mAdmission.OnTick(mNow);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].mOutcome, AdmissionOutcome::Busy);
  EXPECT_GT(expired[0].mRetryAfter.count(), 0);
}

TEST_F(AdmissionControlTest, RefusesAtOnceWhenTheQueueIsFull)
{
  Grant("big");
  Grant("big");
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(mAdmission.Admit(Ask("big"), mNow).empty());
  }
  const AdmissionControl::Decisions refused =
    mAdmission.Admit(Ask("big"), mNow);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].mOutcome, AdmissionOutcome::Busy);
}

TEST_F(AdmissionControlTest, ASmallWorkspaceGoesBeforeOneThatHasMoreInFlight)
{
  const AdmissionDecision first = Grant("big");
  Grant("big");
  mAdmission.Admit(Ask("big"), mNow);
  const AdmissionRequest small = Ask("small");
  mAdmission.Admit(small, mNow);
  const AdmissionControl::Decisions served =
    mAdmission.OnRelease({ first.mPermit, true, false, false }, mNow);
  ASSERT_EQ(served.size(), 1U);
  EXPECT_EQ(served[0].mCall, small.mCall);
}

TEST_F(AdmissionControlTest, EnforcesTheWorkspaceLimit)
{
  Grant("capped");
  const AdmissionControl::Decisions refused =
    mAdmission.Admit(Ask("capped"), mNow);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].mOutcome, AdmissionOutcome::Busy);
}

TEST_F(AdmissionControlTest, RefusesAllNewWorkOfADrainedDataCentre)
{
  DrainTable drains = DrainTable::Create();
  drains.Merge({ "a", 1, true });
  mAdmission.SetDrains(drains);
  const AdmissionControl::Decisions refused =
    mAdmission.Admit(Ask("big"), mNow);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].mOutcome, AdmissionOutcome::Drained);
}

TEST_F(AdmissionControlTest, RefusesWaitingWorkWhenTheDataCentreIsDrained)
{
  Grant("big");
  Grant("big");
  mAdmission.Admit(Ask("big"), mNow);
  DrainTable drains = DrainTable::Create();
  drains.Merge({ "a", 1, true });
  mAdmission.SetDrains(drains);
  const AdmissionControl::Decisions refused = mAdmission.OnTick(mNow);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].mOutcome, AdmissionOutcome::Drained);
}

TEST_F(AdmissionControlTest, DistinguishesUnknownTargetFromBusy)
{
  AdmissionRequest ask = Ask("big");
  ask.mModel = "unheard-of";
  const AdmissionControl::Decisions refused =
    mAdmission.Admit(std::move(ask), mNow);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].mOutcome, AdmissionOutcome::UnknownTarget);
}

TEST_F(AdmissionControlTest, RefusesRetriesBeyondTheBudget)
{
  AdmissionRequest retry = Ask("big");
  retry.mIsRetry = true;
  mAdmission.Admit(retry, mNow);
  const AdmissionControl::Decisions refused = mAdmission.Admit(retry, mNow);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].mOutcome, AdmissionOutcome::RetryBudgetSpent);
}

TEST_F(AdmissionControlTest, SkipsAFailedUpstream)
{
  const AdmissionDecision first = Grant("big");
  mAdmission.OnRelease({ first.mPermit, false, false, true }, mNow);
  EXPECT_TRUE(mAdmission.Admit(Ask("big"), mNow).empty());
  AdvanceTime(99); // Just before the queue time of 100 ms.
  EXPECT_TRUE(mAdmission.OnTick(mNow).empty());
}

TEST_F(AdmissionControlTest, CountsPermitsReportedAfterARestart)
{
  AdmissionControl restarted =
    AdmissionControl::Create("vm-1", "a", 2, mNow, {});
  restarted.SetDeployment(mDeployment, mNow);
  const std::vector<LivePermit> live{ { 71, "u1" }, { 72, "u1" } };
  restarted.Reconcile(live, true, mNow);
  AdvanceTime(5000);
  EXPECT_EQ(restarted.InUse("u1"), 2U);
  EXPECT_TRUE(restarted.Admit(Ask("big"), mNow).empty());
}

TEST_F(AdmissionControlTest, GrantsNothingBeforeTheFirstEntryReport)
{
  AdmissionControl fresh = AdmissionControl::Create("vm-1", "a", 2, mNow, {});
  fresh.SetDeployment(mDeployment, mNow);
  AdvanceTime(5000);
  EXPECT_TRUE(fresh.Admit(Ask("big"), mNow).empty());
}

TEST_F(AdmissionControlTest, KeepsCreditsOfAVanishedEntryUntilItsRequestsEnd)
{
  Grant("big");
  mAdmission.Reconcile({}, true, mNow);
  mAdmission.OnTick(mNow);
  EXPECT_EQ(mAdmission.InUse("u1"), 1U);
  mNow += AdmissionControl::kAbandonTime;
  mAdmission.OnTick(mNow);
  EXPECT_EQ(mAdmission.InUse("u1"), 0U);
}

TEST_F(AdmissionControlTest, ReportsDemandAtOnceWhenARequestIsQueued)
{
  const auto epochOf = [](std::string_view) { return 1U; };
  mAdmission.DueReports(epochOf, mNow);
  EXPECT_TRUE(mAdmission.DueReports(epochOf, mNow).empty());
  Grant("big");
  Grant("big");
  mAdmission.Admit(Ask("big"), mNow);
  const std::vector<OutgoingReport> reports =
    mAdmission.DueReports(epochOf, mNow);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].mUpstream, "u1");
  EXPECT_GE(reports[0].mReport.mWanted, 1U);
}

TEST_F(AdmissionControlTest, OverflowsOnlyWithinTheConfiguredScope)
{
  AdmissionRequest ask = Ask("big");
  ask.mService = "wide";
  ask.mModel = "w";
  mAdmission.Admit(ask, mNow);
  const std::vector<OutgoingReport> reports =
    mAdmission.DueReports([](std::string_view) { return 1U; }, mNow);
  std::uint32_t wantedNear = 0;
  std::uint32_t wantedFar = 0;
  for (const OutgoingReport& report : reports) {
    wantedNear += report.mUpstream == "w2" ? report.mReport.mWanted : 0;
    wantedFar += report.mUpstream == "w3" ? report.mReport.mWanted : 0;
  }
  EXPECT_EQ(wantedNear, 1U);
  EXPECT_EQ(wantedFar, 0U);
}

} // namespace
} // namespace cactusgw
