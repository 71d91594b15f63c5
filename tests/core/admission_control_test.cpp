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
    "wide": { "overflow": "region" },
    "all": { "overflow": "any" }
  },
  "models": { "m": { "service": "near" }, "w": { "service": "wide" },
              "g": { "service": "all" } },
  "upstreams": {
    "u1": { "dataCentre": "a", "service": "near", "models": ["m"],
            "address": "127.0.0.1:2001", "coldLimit": 2, "warmLimit": 8 },
    "w2": { "dataCentre": "b", "service": "wide", "models": ["w"],
            "address": "127.0.0.1:2002", "coldLimit": 2, "warmLimit": 8 },
    "w3": { "dataCentre": "c", "service": "wide", "models": ["w"],
            "address": "127.0.0.1:2003", "coldLimit": 2, "warmLimit": 8 },
    "g1": { "dataCentre": "a", "service": "all", "models": ["g"],
            "address": "127.0.0.1:2004", "coldLimit": 2, "warmLimit": 8 },
    "g3": { "dataCentre": "c", "service": "all", "models": ["g"],
            "address": "127.0.0.1:2005", "coldLimit": 2, "warmLimit": 8 }
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

  /// A request to a service that may overflow into all regions.
  AdmissionRequest AskAnywhere(std::string aWorkspace)
  {
    AdmissionRequest ask = Ask(std::move(aWorkspace));
    ask.mService = "all";
    ask.mModel = "g";
    return ask;
  }

  /// Puts a deployment in force that was changed by a function.
  template<typename Edit>
  void Configure(Edit aEdit)
  {
    boost::json::value document = boost::json::parse(kDocument);
    aEdit(document.get_object());
    ConfigFaults faults;
    mDeployment = ReadDeployment(document, "test", faults);
    EXPECT_EQ(ToString(faults), "");
    mAdmission.SetDeployment(mDeployment, mNow);
  }

  /// Restricts a member of "services" or "workspaces" to one region.
  static void SetHome(boost::json::object& aDocument,
                      std::string_view aMembers,
                      std::string_view aName,
                      std::string_view aRegion)
  {
    aDocument.at(aMembers).at(aName).get_object()["regions"] =
      boost::json::array{ aRegion };
  }

  /// Restricts a workspace to one region.
  void SetWorkspaceHome(std::string_view aWorkspace, std::string_view aRegion)
  {
    Configure([&](boost::json::object& aDocument) {
      SetHome(aDocument, "workspaces", aWorkspace, aRegion);
    });
  }

  /// Grants the VM credits of an upstream in another data centre.
  AdmissionControl::Decisions GrantCredits(std::string_view aUpstream,
                                           std::uint32_t aAllotment)
  {
    std::uint64_t report = 0;
    for (const OutgoingReport& it :
         mAdmission.DueReports([](std::string_view) { return 1U; }, mNow)) {
      report = it.mUpstream == aUpstream ? it.mReport.mReportSequence : report;
    }
    EXPECT_NE(report, 0U);
    CreditGrant grant;
    grant.mEpoch = 1;
    grant.mGrantSequence = ++mGrantSequence;
    grant.mAnswersReport = report;
    grant.mAllotment = aAllotment;
    return mAdmission.OnGrant(aUpstream, grant, mNow);
  }

  static AdmissionOutcome OutcomeOf(
    const AdmissionControl::Decisions& aDecisions)
  {
    EXPECT_EQ(aDecisions.size(), 1U);
    return aDecisions.empty() ? AdmissionOutcome::Busy : aDecisions[0].mOutcome;
  }

  void AdvanceTime(int aMs) { mNow += Milliseconds{ aMs }; }

  Instant mNow = Instant{} + std::chrono::hours{ 1 };
  Deployment mDeployment;
  std::uint64_t mCall = 0;
  std::uint64_t mGrantSequence = 0;
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

// A 404 for a known service from an agent that has just restarted.
TEST_F(AdmissionControlTest, RefusesAsBusyBeforeTheFirstDeployment)
{
  AdmissionControl fresh = AdmissionControl::Create("vm-1", "a", 2, mNow, {});
  fresh.Reconcile({}, true, mNow);
  EXPECT_EQ(OutcomeOf(fresh.Admit(Ask("big"), mNow)), AdmissionOutcome::Busy);
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

// A permit for the nearest upstream, although it is outside the regions.
TEST_F(AdmissionControlTest, GrantsOnlyWithinTheRegionsOfTheWorkspace)
{
  SetWorkspaceHome("big", "r2");
  GrantCredits("g3", 1);
  const AdmissionControl::Decisions granted =
    mAdmission.Admit(AskAnywhere("big"), mNow);
  ASSERT_EQ(OutcomeOf(granted), AdmissionOutcome::Granted);
  EXPECT_EQ(granted[0].mUpstream, "g3");
  EXPECT_TRUE(mAdmission.Admit(AskAnywhere("big"), mNow).empty());
}

// The same with a restriction of the service.
TEST_F(AdmissionControlTest, GrantsOnlyWithinTheRegionsOfTheService)
{
  Configure([](boost::json::object& aDocument) {
    SetHome(aDocument, "services", "all", "r2");
  });
  GrantCredits("g3", 1);
  const AdmissionControl::Decisions granted =
    mAdmission.Admit(AskAnywhere("big"), mNow);
  ASSERT_EQ(OutcomeOf(granted), AdmissionOutcome::Granted);
  EXPECT_EQ(granted[0].mUpstream, "g3");
  EXPECT_TRUE(mAdmission.Admit(AskAnywhere("big"), mNow).empty());
}

// One restriction lifting the other.
TEST_F(AdmissionControlTest, AppliesTheRegionsOfServiceAndWorkspaceTogether)
{
  Configure([](boost::json::object& aDocument) {
    SetHome(aDocument, "services", "all", "r1");
    SetHome(aDocument, "workspaces", "big", "r2");
  });
  EXPECT_EQ(OutcomeOf(mAdmission.Admit(AskAnywhere("big"), mNow)),
            AdmissionOutcome::OutsideHomeRegions);
}

// A wait until the queue time is over, although no wait can help.
TEST_F(AdmissionControlTest, RefusesAtOnceWithoutAnUpstreamInTheRegions)
{
  SetWorkspaceHome("big", "r2");
  EXPECT_EQ(OutcomeOf(mAdmission.Admit(Ask("big"), mNow)),
            AdmissionOutcome::OutsideHomeRegions);
}

// A queued request that leaves the queue under the homes it entered with.
TEST_F(AdmissionControlTest, JudgesQueuedRequestsByTheNewestHomes)
{
  const AdmissionDecision first =
    mAdmission.Admit(AskAnywhere("big"), mNow).at(0);
  mAdmission.Admit(AskAnywhere("big"), mNow);
  EXPECT_TRUE(mAdmission.Admit(AskAnywhere("big"), mNow).empty());
  SetWorkspaceHome("big", "r2");
  EXPECT_TRUE(
    mAdmission.OnRelease({ first.mPermit, true, false, false }, mNow).empty());
  EXPECT_TRUE(mAdmission.OnTick(mNow).empty());
  const AdmissionControl::Decisions granted = GrantCredits("g3", 1);
  ASSERT_EQ(OutcomeOf(granted), AdmissionOutcome::Granted);
  EXPECT_EQ(granted[0].mUpstream, "g3");
}

// A queued request that waits although its new homes have no upstream.
TEST_F(AdmissionControlTest, RefusesQueuedRequestsWhenTheirHomesMoveAway)
{
  Grant("big");
  Grant("big");
  EXPECT_TRUE(mAdmission.Admit(Ask("big"), mNow).empty());
  SetWorkspaceHome("big", "r2");
  EXPECT_EQ(OutcomeOf(mAdmission.OnTick(mNow)),
            AdmissionOutcome::OutsideHomeRegions);
  EXPECT_EQ(mAdmission.QueueLength(), 0U);
}

// A queued request that goes to an upstream that has moved out of its homes.
TEST_F(AdmissionControlTest, DoesNotFollowAnUpstreamOutOfTheRegions)
{
  SetWorkspaceHome("big", "r1");
  const AdmissionDecision first =
    mAdmission.Admit(AskAnywhere("big"), mNow).at(0);
  mAdmission.Admit(AskAnywhere("big"), mNow);
  EXPECT_TRUE(mAdmission.Admit(AskAnywhere("big"), mNow).empty());
  Configure([](boost::json::object& aDocument) {
    SetHome(aDocument, "workspaces", "big", "r1");
    aDocument["upstreams"].at("g1").get_object()["dataCentre"] = "c";
  });
  EXPECT_TRUE(
    mAdmission.OnRelease({ first.mPermit, true, false, false }, mNow).empty());
  EXPECT_EQ(OutcomeOf(mAdmission.OnTick(mNow)),
            AdmissionOutcome::OutsideHomeRegions);
}

// A restriction that is lost because its workspace is removed.
TEST_F(AdmissionControlTest, KeepsTheHomesOfARemovedWorkspace)
{
  SetWorkspaceHome("big", "r1");
  mAdmission.Admit(AskAnywhere("big"), mNow);
  mAdmission.Admit(AskAnywhere("big"), mNow);
  EXPECT_TRUE(mAdmission.Admit(AskAnywhere("big"), mNow).empty());
  Configure([](boost::json::object& aDocument) {
    aDocument["workspaces"].get_object().erase("big");
  });
  EXPECT_TRUE(GrantCredits("g3", 1).empty());
  EXPECT_EQ(mAdmission.QueueLength(), 1U);
}

// A refusal as final while the homes are only drained.
TEST_F(AdmissionControlTest, TellsDrainedHomesFromMissingOnes)
{
  SetWorkspaceHome("big", "r2");
  DrainTable drains = DrainTable::Create();
  drains.Merge({ "c", 1, true });
  mAdmission.SetDrains(drains);
  EXPECT_EQ(OutcomeOf(mAdmission.Admit(AskAnywhere("big"), mNow)),
            AdmissionOutcome::Drained);
}

// Requests that wait for one region holding up those for another.
TEST_F(AdmissionControlTest, DoesNotQueueBehindRequestsForOtherRegions)
{
  SetWorkspaceHome("big", "r2");
  EXPECT_TRUE(mAdmission.Admit(AskAnywhere("big"), mNow).empty());
  const AdmissionControl::Decisions granted =
    mAdmission.Admit(AskAnywhere("small"), mNow);
  ASSERT_EQ(OutcomeOf(granted), AdmissionOutcome::Granted);
  EXPECT_EQ(granted[0].mUpstream, "g1");
}

} // namespace
} // namespace cactusgw
