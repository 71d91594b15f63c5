#include "failure_fixture.hpp"
#include "link_relay.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <utility>

namespace cactusgw {
namespace {

namespace json = boost::json;

TEST_F(FailureTest, AKilledAgentCutsNoStreamAndComesBack)
{
  StartTwoVms();
  LoadSettings load = mCluster.Load({ "vm-1" });
  load.mRequests = 2;
  load.mConcurrency = 2;
  load.mLengths = { LengthKind::Fixed, 300, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(Cluster::WaitUntil([&] { return RunningOnBoth() == 2; }));
    mCluster.Signal("agent/vm-1", SIGKILL);
  });
  EXPECT_EQ(report.mWhole, 2U);
  mCluster.StartAgent("vm-1");
  ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
  const LoadReport after = Cluster::RunLoad(mCluster.Load({ "vm-1" }));
  EXPECT_EQ(after.mWhole, 1U);
  EXPECT_EQ(Counter("engine-1", "overloads"), 0);
  EXPECT_EQ(Counter("engine-2", "overloads"), 0);
}

TEST_F(FailureTest, AFrozenLeaseHolderIsReplacedAndDoesNotActWhenItWakes)
{
  StartTwoVms();
  std::string holder;
  ASSERT_TRUE(Cluster::WaitUntil([&] {
    holder = LeaseHolder();
    return !holder.empty();
  }));
  const std::string other = holder == "vm-1" ? "vm-2" : "vm-1";
  mCluster.Signal("agent/" + holder, SIGSTOP);
  ASSERT_TRUE(Cluster::WaitUntil(
    [&] { return mCluster.Status(other).at("holdsLease").as_bool(); }));
  ASSERT_TRUE(mCluster.WaitForCredits(other));
  LoadSettings load = mCluster.Load({ other });
  load.mRequests = 10;
  load.mConcurrency = 4;
  EXPECT_EQ(Cluster::RunLoad(load).mWhole, 10U);
  mCluster.Signal("agent/" + holder, SIGCONT);
  EXPECT_FALSE(mCluster.Status(holder).at("holdsLease").as_bool());
  ASSERT_TRUE(mCluster.WaitForCredits(holder));
  load.mTargets = mCluster.Load({ holder, other }).mTargets;
  EXPECT_EQ(Cluster::RunLoad(load).mWhole, 10U);
  EXPECT_EQ(Counter("engine-1", "overloads"), 0);
  EXPECT_EQ(Counter("engine-2", "overloads"), 0);
}

TEST_F(FailureTest, ServiceGoesOnThroughAnOutageOfThePlatform)
{
  StartTwoVms();
  mCluster.Control(mCluster.Platform(), R"({"down":true})");
  // Past the lease's duration: the holder goes on by the others' promises.
  ASSERT_TRUE(Cluster::WaitUntil([&] {
    const std::string holder = LeaseHolder();
    return !holder.empty() &&
           mCluster.Status(holder).at("leaseExtended").as_bool();
  }));
  LoadSettings load = mCluster.Load({ "vm-1", "vm-2" });
  load.mRequests = 40;
  load.mConcurrency = 8;
  const LoadReport report = Cluster::RunLoad(load);
  EXPECT_EQ(report.mWhole, 40U);
  EXPECT_FALSE(LeaseHolder().empty());
  // More than the static shares were in use: owners went on granting.
  EXPECT_GT(
    Counter("engine-1", "peakRunning") + Counter("engine-2", "peakRunning"), 4);
  mCluster.Control(mCluster.Platform(), R"({"down":false})");
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    const std::string holder = LeaseHolder();
    return !holder.empty() &&
           !mCluster.Status(holder).at("leaseExtended").as_bool();
  }));
}

TEST_F(FailureTest, WithoutOwnerAndPlatformTheStaticSharesServe)
{
  StartTwoVms();
  std::string holder;
  ASSERT_TRUE(Cluster::WaitUntil([&] {
    holder = LeaseHolder();
    return !holder.empty();
  }));
  const std::string other = holder == "vm-1" ? "vm-2" : "vm-1";
  mCluster.Control(mCluster.Platform(), R"({"down":true})");
  mCluster.Signal("agent/" + holder, SIGKILL);
  const auto source = [&] {
    const json::value status = mCluster.Status(other);
    std::string text;
    for (const json::value& it : status.at("upstreams").as_array()) {
      text += std::string{ it.at("source").as_string() } + " ";
    }
    return text;
  };
  EXPECT_TRUE(Cluster::WaitUntil(
    [&] { return source() == "static-share static-share "; }));
  LoadSettings load = mCluster.Load({ other });
  load.mRequests = 6;
  load.mConcurrency = 3;
  const LoadReport report = Cluster::RunLoad(load);
  EXPECT_EQ(report.mWhole, 6U);
  EXPECT_EQ(report.mOverloads, 0U);
}

TEST_F(FailureTest, AnswersLostByThePlatformLeaveOneLeaseHolder)
{
  mCluster.AddEngine("engine-1", "dc-1");
  mCluster.AddVm("vm-1", "dc-1");
  mCluster.AddVm("vm-2", "dc-1");
  mCluster.Start();
  mCluster.Control(mCluster.Platform(), R"({"loseAnswers":6})");
  ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
  ASSERT_TRUE(mCluster.WaitForCredits("vm-2"));
  const bool first = mCluster.Status("vm-1").at("holdsLease").as_bool();
  const bool second = mCluster.Status("vm-2").at("holdsLease").as_bool();
  EXPECT_FALSE(first && second);
  EXPECT_EQ(Cluster::RunLoad(mCluster.Load({ "vm-1" })).mWhole, 1U);
}

TEST_F(FailureTest, AVmCutFromThePlatformAloneGoesOnServing)
{
  mCluster.AddEngine("engine-1", "dc-1");
  standins::LinkRelay link{ mCluster.Platform() };
  mCluster.AddVm("vm-1", "dc-1").mPlatform = link.Address();
  mCluster.AddVm("vm-2", "dc-1");
  mCluster.Start();
  ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
  ASSERT_TRUE(mCluster.WaitForCredits("vm-2"));
  link.SetCut(true);
  ASSERT_TRUE(Cluster::WaitUntil([&] {
    return !mCluster.Status("vm-1").at("platformReachable").as_bool();
  }));
  mCluster.SetLimit("maxBodyBytes", 4096);
  EXPECT_EQ(mCluster.Ctl({ "config", "apply", mCluster.Directory() }).first, 0);
  // The change arrives through the other VM.
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    return mCluster.Status("vm-1").at("configRevision").as_int64() == 2;
  }));
  LoadSettings load = mCluster.Load({ "vm-1", "vm-2" });
  load.mRequests = 10;
  load.mConcurrency = 4;
  EXPECT_EQ(Cluster::RunLoad(load).mWhole, 10U);
}

TEST_F(FailureTest, ADrainedDataCentreTakesNoNewWorkAndFinishesTheRest)
{
  StartTwoVms();
  mCluster.Control(mCluster.Platform(), R"({"down":true})");
  LoadSettings load = mCluster.Load({ "vm-1" });
  load.mLengths = { LengthKind::Fixed, 600, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(Cluster::WaitUntil([&] { return RunningOnBoth() == 1; }));
    EXPECT_EQ(mCluster.Ctl({ "data-centre", "drain", "dc-1" }).first, 0);
    for (const std::string vm : { "vm-1", "vm-2" }) {
      EXPECT_TRUE(Cluster::WaitUntil([&] {
        const Answer ready = mCluster.Call(
          mCluster.Vm(vm).mEntryOperator, http::verb::get, "/readyz", "");
        return ready.mStatus == 503;
      }));
      const Answer refused =
        mCluster.Call(mCluster.Vm(vm).mListen,
                      http::verb::post,
                      "/v1/completions",
                      R"({"model":"model-1","prompt":"tokens:5"})");
      EXPECT_EQ(refused.mStatus, 503U);
      EXPECT_EQ(refused.mVerdict, "not-run");
    }
  });
  EXPECT_EQ(report.mWhole, 1U);
  EXPECT_EQ(mCluster.Ctl({ "data-centre", "return", "dc-1" }).first, 0);
  ASSERT_TRUE(mCluster.WaitForCredits("vm-2"));
  EXPECT_EQ(Cluster::RunLoad(mCluster.Load({ "vm-2" })).mWhole, 1U);
}

TEST_F(FailureTest, OfTwoRacingChangesOneWinsAndTheOtherIsTold)
{
  StartTwoVms();
  mCluster.SetLimit("maxBodyBytes", 4096);
  const std::string directory = mCluster.Directory();
  EXPECT_EQ(
    mCluster.Ctl({ "--expect", "1", "config", "apply", directory }).first, 0);
  mCluster.SetLimit("maxBodyBytes", 8192);
  const std::pair<int, std::string> late =
    mCluster.Ctl({ "--expect", "1", "config", "apply", directory });
  EXPECT_EQ(late.first, 6);
  EXPECT_THAT(late.second, testing::HasSubstr("maxBodyBytes"));
  for (const std::string vm : { "vm-1", "vm-2" }) {
    EXPECT_TRUE(Cluster::WaitUntil([&] {
      return mCluster.Status(vm).at("configRevision").as_int64() == 2;
    }));
  }
  // In force means: the entry acts on it.
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    const Answer answer = mCluster.Call(mCluster.Vm("vm-1").mListen,
                                        http::verb::post,
                                        "/v1/completions",
                                        std::string(5000, 'x'));
    return answer.mStatus == 413;
  }));
}

TEST_F(FailureTest, AnAgentThatStartsWithoutThePlatformLearnsFromItsPeers)
{
  StartTwoVms();
  mCluster.Control(mCluster.Platform(), R"({"down":true})");
  mCluster.Signal("agent/vm-2", SIGKILL);
  mCluster.StartAgent("vm-2");
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    const json::value status = mCluster.Status("vm-2");
    return status.is_object() && status.at("configRevision").as_int64() == 1;
  }));
  LoadSettings load = mCluster.Load({ "vm-2" });
  load.mRequests = 4;
  EXPECT_EQ(Cluster::RunLoad(load).mWhole, 4U);
}

TEST_F(FailureTest, AFrozenPlatformStopsNoRequestWithoutAKey)
{
  StartTwoVms();
  mCluster.Signal("platform", SIGSTOP);
  ASSERT_TRUE(Cluster::WaitUntil([&] {
    const std::string holder = LeaseHolder();
    return !holder.empty() &&
           mCluster.Status(holder).at("leaseExtended").as_bool();
  }));
  LoadSettings load = mCluster.Load({ "vm-1", "vm-2" });
  load.mRequests = 20;
  load.mConcurrency = 6;
  EXPECT_EQ(Cluster::RunLoad(load).mWhole, 20U);
  mCluster.Signal("platform", SIGCONT);
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    const std::string holder = LeaseHolder();
    return !holder.empty() &&
           !mCluster.Status(holder).at("leaseExtended").as_bool();
  }));
}

TEST_F(FailureTest, ReplacingAllVmsInTurnCutsNoStreamAndLosesNoRequest)
{
  StartTwoVms();
  for (const std::string vm : { "vm-1", "vm-2" }) {
    // The balancer sends to the VM that stays, and to the other what it still
    // accepts while it is unready.
    const std::string other = vm == "vm-1" ? "vm-2" : "vm-1";
    LoadSettings staying = mCluster.Load({ other });
    staying.mRequests = 20;
    staying.mConcurrency = 3;
    LoadSettings leaving = mCluster.Load({ vm });
    leaving.mLengths = { LengthKind::Fixed, 300, 0, 0 };
    leaving.mRequests = 2;
    leaving.mConcurrency = 2;
    const LoadReport stayed = Cluster::RunLoadWhile(staying, [&] {
      const LoadReport left = Cluster::RunLoadWhile(leaving, [&] {
        ASSERT_TRUE(Cluster::WaitUntil([&] {
          const Answer answer = mCluster.Call(mCluster.Vm(vm).mEntryOperator,
                                              http::verb::get,
                                              "/status",
                                              "",
                                              "operator-token");
          return json::parse(answer.mBody).at("permitsInUse").as_int64() == 2;
        }));
        mCluster.Signal("entry/" + vm, SIGTERM);
      });
      EXPECT_EQ(left.mWhole, 2U);
    });
    EXPECT_EQ(stayed.mWhole, 20U);
    EXPECT_EQ(mCluster.WaitForExit("entry/" + vm), 0);
    mCluster.Signal("agent/" + vm, SIGTERM);
    EXPECT_EQ(mCluster.WaitForExit("agent/" + vm), 0);
    mCluster.StartAgent(vm);
    mCluster.StartEntry(vm);
    ASSERT_TRUE(mCluster.WaitForCredits(vm));
  }
}

} // namespace
} // namespace cactusgw
