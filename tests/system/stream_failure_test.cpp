#include "failure_fixture.hpp"
#include "link_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace cactusgw {
namespace {

namespace json = boost::json;

/// Resident memory of a process, in megabytes.
double
ResidentMb(pid_t aPid)
{
  std::ifstream file{ "/proc/" + std::to_string(aPid) + "/statm" };
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  constexpr double kBytesPerMb = 1024.0 * 1024.0;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

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

// Each entry would need crashes of its own to blame a message of the prompt.
TEST_F(FailureTest, APromptPartThatCrashesEnginesIsRefusedOnEveryVm)
{
  StartTwoVms();
  const auto ask = [&](const std::string& aVm, const std::string& aSystem) {
    const json::object body{
      { "model", "model-1" },
      { "messages",
        json::array{
          json::object{ { "role", "system" }, { "content", aSystem } },
          json::object{ { "role", "user" }, { "content", "own" } } } }
    };
    return mCluster.Call(mCluster.Vm(aVm).mListen,
                         http::verb::post,
                         "/v1/chat/completions",
                         json::serialize(body));
  };
  const auto setFault = [&](const std::string& aControl) {
    for (const char* const engine : { "engine-1", "engine-2" }) {
      mCluster.Control(mCluster.Engine(engine).mAddress, aControl);
    }
  };
  setFault(R"({"dieBeforeHeaders":1000})");
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    const Answer answer = ask("vm-1", "deadly");
    return answer.mBody.find("quarantined") != std::string::npos &&
           answer.mStatus == 503;
  }));
  setFault(R"({"dieBeforeHeaders":0})");
  EXPECT_TRUE(Cluster::WaitUntil([&] {
    return mCluster.Metrics(mCluster.Vm("vm-2").mEntryOperator)
             .find("cactusgw_quarantines 1") != std::string::npos;
  }));
  EXPECT_EQ(ask("vm-2", "deadly").mStatus, 503U);
  EXPECT_EQ(ask("vm-2", "sound").mStatus, 200U);
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
  EXPECT_TRUE(Cluster::WaitUntil([&] { return RunningOnBoth() == 0; }));
}

TEST_F(FailureTest, AStoppedEntryFinishesItsStreamsFirst)
{
  StartTwoVms();
  LoadSettings load = mCluster.Load({ "vm-1" });
  load.mRequests = 3;
  load.mConcurrency = 3;
  load.mLengths = { LengthKind::Fixed, 300, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(Cluster::WaitUntil([&] { return RunningOnBoth() == 3; }));
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

TEST_F(FailureTest, AFrozenEngineEndsItsStreamsWithAnErrorAndOthersServe)
{
  StartTwoVms();
  LoadSettings load = mCluster.Load({ "vm-1", "vm-2" });
  load.mRequests = 12;
  load.mConcurrency = 4;
  load.mLengths = { LengthKind::Fixed, 150, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(WaitForRunning("engine-1", 1));
    mCluster.Signal("engine-1", SIGSTOP);
  });
  EXPECT_EQ(report.mViolations, 0U);
  EXPECT_EQ(report.mConnectionFailures, 0U);
  EXPECT_EQ(report.mWhole + report.mBroken, 12U);
  EXPECT_GT(report.mWhole, 6U);
}

TEST_F(FailureTest, AFrozenEntryGoesOnWhereItStopped)
{
  StartTwoVms();
  LoadSettings load = mCluster.Load({ "vm-1" });
  load.mLengths = { LengthKind::Fixed, 200, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ASSERT_TRUE(Cluster::WaitUntil([&] { return RunningOnBoth() == 1; }));
    mCluster.Signal("entry/vm-1", SIGSTOP);
    // Frozen until the engine has produced all that was asked for.
    EXPECT_TRUE(Cluster::WaitUntil([&] { return RunningOnBoth() == 0; }));
    mCluster.Signal("entry/vm-1", SIGCONT);
  });
  EXPECT_EQ(report.mWhole, 1U);
  EXPECT_EQ(report.mTokens, 200U);
}

TEST_F(FailureTest, ACallerThatDoesNotReadIsNotBufferedWithoutBound)
{
  mCluster.AddEngine("engine-1", "dc-1").mOptions = { "--step-ms", "1" };
  mCluster.AddVm("vm-1", "dc-1");
  mCluster.Start();
  ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
  const pid_t entry = mCluster.ProcessId("entry/vm-1");
  const std::string address = mCluster.Vm("vm-1").mListen;
  const std::string port = address.substr(address.find(':') + 1);
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket{ context };
  socket.open(boost::asio::ip::tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size{ 4096 });
  socket.connect({ boost::asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(std::stoi(port)) });
  const std::string body =
    R"({"model":"model-1","prompt":"tokens:19000","stream":true})";
  boost::asio::write(
    socket,
    boost::asio::buffer("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer test-key\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body));
  ASSERT_TRUE(WaitForRunning("engine-1", 1));
  const double before = ResidentMb(entry);
  // 4,000 tokens are about 0.8 MB of events; the sockets hold 0.2 MB.
  ASSERT_TRUE(Cluster::WaitUntil([&] {
    const json::value counters = mCluster.Counters("engine-1");
    return counters.at("produced").to_number<std::int64_t>() > 4000;
  }));
  const std::string metrics =
    mCluster.Metrics(mCluster.Vm("vm-1").mEntryOperator);
  const std::string name = "\ncactusgw_tokens_total ";
  const std::size_t at = metrics.find(name);
  ASSERT_NE(at, std::string::npos);
  EXPECT_LT(std::stoi(metrics.substr(at + name.size())), 2000);
  EXPECT_LT(ResidentMb(entry) - before, 1.0);
}

} // namespace
} // namespace cactusgw
