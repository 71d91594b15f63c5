#include "cluster.hpp"
#include "link_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace cactusgw {
namespace {

namespace json = boost::json;
using testing_support::Answer;
using testing_support::Cluster;
using testing_support::EnginePorts;

/// Two VMs and two engines in one data centre.
class FailureTest : public testing::Test
{
protected:
  void StartTwoVms()
  {
    mCluster.AddEngine("engine-1", "dc-1");
    mCluster.AddEngine("engine-2", "dc-1");
    mCluster.AddVm("vm-1", "dc-1");
    mCluster.AddVm("vm-2", "dc-1");
    mCluster.Start();
    ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
    ASSERT_TRUE(mCluster.WaitForCredits("vm-2"));
  }

  void StartOneEngine(const std::string& aName = "engine-1")
  {
    mCluster.AddEngine(aName, "dc-1");
    mCluster.AddVm("vm-1", "dc-1");
    mCluster.AddVm("vm-2", "dc-1");
    mCluster.Start();
    ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
    ASSERT_TRUE(mCluster.WaitForCredits("vm-2"));
  }

  std::int64_t Counter(const std::string& aEngine, const std::string& aName)
  {
    const json::value counters = mCluster.Counters(aEngine);
    return counters.is_object() ? counters.at(aName).to_number<std::int64_t>()
                                : -1;
  }

  bool WaitForRunning(const std::string& aEngine, std::int64_t aCount)
  {
    return Cluster::WaitUntil(
      [&] { return Counter(aEngine, "running") >= aCount; });
  }

  /// One stream through vm-1 with a fault of the engine set before.
  LoadReport StreamWithFault(const std::string& aFault)
  {
    mCluster.Control(mCluster.Engine("engine-1").mAddress, aFault);
    return Cluster::RunLoad(mCluster.Load({ "vm-1" }));
  }

  /// The name of the VM that holds the lease, or nothing.
  std::string LeaseHolder()
  {
    for (const std::string vm : { "vm-1", "vm-2" }) {
      const json::value status = mCluster.Status(vm);
      if (status.is_object() && status.at("holdsLease").as_bool()) {
        return vm;
      }
    }
    return "";
  }

  Cluster mCluster;
};

struct StreamFault
{
  const char* mName;
  const char* mControl;
};

void
PrintTo(const StreamFault& aFault, std::ostream* aOut)
{
  *aOut << aFault.mName;
}

class UpstreamFaultTest
  : public FailureTest
  , public testing::WithParamInterface<StreamFault>
{};

TEST_P(UpstreamFaultTest, LeavesTheCallersStreamWhole)
{
  StartOneEngine();
  const LoadReport report = StreamWithFault(GetParam().mControl);
  EXPECT_EQ(report.mWhole, 1U);
  EXPECT_EQ(report.mViolations, 0U);
  EXPECT_EQ(report.mTokens, 40U);
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  UpstreamFaultTest,
  testing::Values(
    StreamFault{ "DiesBeforeHeaders", R"({"dieBeforeHeaders":1})" },
    StreamFault{ "DiesAfterHeaders", R"({"dieAfterHeaders":1})" },
    StreamFault{ "BreaksMidStream", R"({"breakMidStream":1})" },
    StreamFault{ "GoesSilentMidStream", R"({"silentMidStream":1})" },
    StreamFault{ "RepeatsAToken", R"({"repeatToken":1})" },
    StreamFault{ "SkipsAToken", R"({"skipToken":1})" },
    StreamFault{ "SendsAForeignToken", R"({"foreignToken":1})" }),
  [](const testing::TestParamInfo<StreamFault>& aInfo) {
    return aInfo.param.mName;
  });

TEST_F(FailureTest, AKilledEngineEndsItsStreamsWithAnErrorAndOthersServe)
{
  StartTwoVms();
  LoadSettings load = mCluster.Load({ "vm-1", "vm-2" });
  load.mRequests = 24;
  load.mConcurrency = 4;
  load.mLengths = { LengthKind::Fixed, 100, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(WaitForRunning("engine-1", 1));
    mCluster.Signal("engine-1", SIGKILL);
  });
  EXPECT_EQ(report.mViolations, 0U);
  EXPECT_EQ(report.mConnectionFailures, 0U);
  EXPECT_GT(report.mWhole, 12U);
  EXPECT_EQ(report.mWhole + report.mBroken, 24U);
}

TEST_F(FailureTest, AnEngineRestartedColdIsNeverGivenMoreThanItBears)
{
  StartOneEngine();
  LoadSettings load = mCluster.Load({ "vm-1", "vm-2" });
  load.mRequests = 60;
  load.mConcurrency = 8;
  LoadReport report = Cluster::RunLoad(load);
  EXPECT_EQ(report.mWhole, 60U);
  EXPECT_GT(Counter("engine-1", "peakRunning"), 2);
  mCluster.Signal("engine-1", SIGKILL);
  mCluster.StartEngine("engine-1");
  report = Cluster::RunLoad(load);
  EXPECT_EQ(Counter("engine-1", "overloads"), 0);
  EXPECT_EQ(report.mViolations, 0U);
  EXPECT_GT(report.mWhole, 0U);
}

TEST_F(FailureTest, EightVmsTogetherNeverOverloadAFreshEngine)
{
  mCluster.AddEngine("engine-1", "dc-1");
  std::vector<std::string> vms;
  for (int i = 1; i <= 8; ++i) {
    vms.push_back("vm-" + std::to_string(i));
    mCluster.AddVm(vms.back(), "dc-1");
  }
  mCluster.Start();
  for (const std::string& vm : vms) {
    ASSERT_TRUE(mCluster.WaitForCredits(vm));
  }
  LoadSettings load = mCluster.Load(vms);
  load.mRequests = 160;
  load.mConcurrency = 64;
  load.mLengths = { LengthKind::Uniform, 5, 60, 0 };
  const LoadReport report = Cluster::RunLoad(load);
  EXPECT_EQ(report.mOverloads, 0U);
  EXPECT_EQ(Counter("engine-1", "overloads"), 0);
  EXPECT_EQ(report.mViolations, 0U);
  EXPECT_EQ(report.mWhole, 160U);
}

TEST_F(FailureTest, AKilledEntryCostsOnlyItsOwnStreams)
{
  StartTwoVms();
  LoadSettings load = mCluster.Load({ "vm-2" });
  load.mRequests = 8;
  load.mConcurrency = 2;
  load.mLengths = { LengthKind::Fixed, 150, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    LoadSettings doomed = mCluster.Load({ "vm-1" });
    doomed.mLengths = { LengthKind::Fixed, 5000, 0, 0 };
    const LoadReport lost = Cluster::RunLoadWhile(doomed, [&] {
      const auto holdsOne = [&] {
        const json::value status = mCluster.Status("vm-1");
        std::int64_t n = 0;
        for (const json::value& it : status.at("upstreams").as_array()) {
          n += it.at("inUse").as_int64();
        }
        return n == 1;
      };
      ASSERT_TRUE(Cluster::WaitUntil(holdsOne));
      mCluster.Signal("entry/vm-1", SIGKILL);
    });
    EXPECT_EQ(lost.mWhole, 0U);
    EXPECT_EQ(lost.mConnectionFailures, 1U);
  });
  EXPECT_EQ(report.mWhole, 8U);
  // The abandoned generation ends on the engine by itself.
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    return Counter("engine-1", "running") + Counter("engine-2", "running") == 0;
  }));
}

TEST_F(FailureTest, AKilledAgentCutsNoStreamAndComesBack)
{
  StartTwoVms();
  LoadSettings load = mCluster.Load({ "vm-1" });
  load.mRequests = 2;
  load.mConcurrency = 2;
  load.mLengths = { LengthKind::Fixed, 300, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(Cluster::WaitUntil([&] {
      return Counter("engine-1", "running") + Counter("engine-2", "running") ==
             2;
    }));
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

TEST_F(FailureTest, AStoppedEntryFinishesItsStreamsFirst)
{
  StartTwoVms();
  LoadSettings load = mCluster.Load({ "vm-1" });
  load.mRequests = 3;
  load.mConcurrency = 3;
  load.mLengths = { LengthKind::Fixed, 300, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(Cluster::WaitUntil([&] {
      return Counter("engine-1", "running") + Counter("engine-2", "running") ==
             3;
    }));
    mCluster.Signal("entry/vm-1", SIGTERM);
    const Answer ready = mCluster.Call(
      mCluster.Vm("vm-1").mEntryOperator, http::verb::get, "/readyz", "");
    EXPECT_EQ(ready.mStatus, 503U);
  });
  EXPECT_EQ(report.mWhole, 3U);
  EXPECT_EQ(mCluster.WaitForExit("entry/vm-1"), 0);
}

TEST_F(FailureTest, ACallerThatLeavesHasItsGenerationCancelled)
{
  StartOneEngine();
  {
    boost::asio::io_context context{ 1 };
    LoadSettings load = mCluster.Load({ "vm-1" });
    load.mLengths = { LengthKind::Fixed, 19'000, 0, 0 };
    LoadRun run{ context, load };
    boost::asio::co_spawn(
      context, run.Run(), [](const std::exception_ptr&, const LoadReport&) {});
    ASSERT_TRUE(Cluster::WaitUntil([&] {
      context.run_for(std::chrono::milliseconds{ 20 });
      return Counter("engine-1", "running") == 1;
    }));
  }
  EXPECT_TRUE(
    Cluster::WaitUntil([&] { return Counter("engine-1", "cancelled") == 1; }));
}

TEST_F(FailureTest, ASilentConnectionIsLeftForAFreshOneAndTheStreamResumes)
{
  EnginePorts& engine = mCluster.AddEngine("engine-1", "dc-1");
  standins::LinkRelay link{ engine.mAddress };
  engine.mConfigured = link.Address();
  mCluster.AddVm("vm-1", "dc-1");
  mCluster.Start();
  ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
  LoadSettings load = mCluster.Load({ "vm-1" });
  load.mLengths = { LengthKind::Fixed, 200, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(WaitForRunning("engine-1", 1));
    link.ForgetOpenConnections();
  });
  EXPECT_EQ(report.mWhole, 1U);
  EXPECT_EQ(report.mTokens, 200U);
  EXPECT_THAT(mCluster.Metrics(mCluster.Vm("vm-1").mEntryOperator),
              testing::HasSubstr("cactusgw_resumes_total 1"));
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

TEST_F(FailureTest, OneKeyOnTwoVmsRunsOnce)
{
  StartOneEngine("plain-1");
  const std::string target = "/v1/services/portal/plain/reserve";
  std::vector<Answer> answers(8);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    threads.emplace_back([&, i] {
      const std::string vm = i % 2 == 0 ? "vm-1" : "vm-2";
      answers[i] = mCluster.Call(mCluster.Vm(vm).mListen,
                                 http::verb::post,
                                 target,
                                 "bench 7",
                                 "test-key",
                                 "key-1");
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const json::value counters = mCluster.Counters("plain-1");
  EXPECT_EQ(counters.at("plainCalls").at("/plain/reserve").as_int64(), 1);
  for (const Answer& answer : answers) {
    const bool isAnswer = answer.mStatus == 200 && answer.mVerdict == "ran";
    const bool isInProgress =
      answer.mStatus == 409 && answer.mVerdict == "may-have-run";
    EXPECT_TRUE(isAnswer || isInProgress) << answer.mStatus;
  }
}

TEST_F(FailureTest, AKeyRunsOnceThoughThePlatformLosesItsAnswers)
{
  StartOneEngine("plain-1");
  mCluster.Control(mCluster.Platform(), R"({"loseAnswers":3})");
  const std::string target = "/v1/services/portal/plain/pay";
  for (const std::string vm : { "vm-1", "vm-2", "vm-1", "vm-2" }) {
    mCluster.Call(mCluster.Vm(vm).mListen,
                  http::verb::post,
                  target,
                  "12 euro",
                  "test-key",
                  "key-2");
  }
  const json::value counters = mCluster.Counters("plain-1");
  EXPECT_EQ(counters.at("plainCalls").at("/plain/pay").as_int64(), 1);
}

TEST_F(FailureTest, AKeyIsRefusedAsNotRunWhileThePlatformIsOut)
{
  StartOneEngine("plain-1");
  mCluster.Control(mCluster.Platform(), R"({"down":true})");
  const Answer answer = mCluster.Call(mCluster.Vm("vm-1").mListen,
                                      http::verb::post,
                                      "/v1/services/portal/plain/pay",
                                      "12 euro",
                                      "test-key",
                                      "key-3");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_EQ(answer.mVerdict, "not-run");
  EXPECT_NE(answer.mRetryAfter, "");
  EXPECT_TRUE(
    mCluster.Counters("plain-1").at("plainCalls").as_object().empty());
}

TEST_F(FailureTest, APostThatMayHaveRunIsNotSentAgain)
{
  StartOneEngine("plain-1");
  mCluster.Control(mCluster.Engine("plain-1").mAddress,
                   R"({"dieBeforeHeaders":1})");
  const Answer answer = mCluster.Call(mCluster.Vm("vm-1").mListen,
                                      http::verb::post,
                                      "/v1/services/portal/plain/notify",
                                      "hello");
  EXPECT_EQ(answer.mStatus, 502U);
  EXPECT_EQ(answer.mVerdict, "may-have-run");
  const json::value counters = mCluster.Counters("plain-1");
  EXPECT_EQ(counters.at("plainCalls").at("/plain/notify").as_int64(), 1);
}

TEST_F(FailureTest, ADrainedDataCentreTakesNoNewWorkAndFinishesTheRest)
{
  StartTwoVms();
  mCluster.Control(mCluster.Platform(), R"({"down":true})");
  LoadSettings load = mCluster.Load({ "vm-1" });
  load.mLengths = { LengthKind::Fixed, 600, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(Cluster::WaitUntil([&] {
      return Counter("engine-1", "running") + Counter("engine-2", "running") ==
             1;
    }));
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

} // namespace
} // namespace cactusgw
