#include "failure_fixture.hpp"

#include <boost/json/value.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <string>
#include <vector>

namespace cactusgw {
namespace {

/// Two data centres in two regions, each with a VM and an engine, and a service
/// that may overflow into all regions.
class HomesUnderLoadTest : public FailureTest
{
protected:
  void StartTwoRegions()
  {
    for (const std::string n : { "1", "2" }) {
      EnginePorts& engine = mCluster.AddEngine("engine-" + n, "dc-" + n);
      engine.mCold = 8;
      engine.mWarm = 16;
      mCluster.AddVm("vm-" + n, "dc-" + n).mRegion = "region-" + n;
    }
    mCluster.SetOverflow("any");
    mCluster.Start();
    ASSERT_TRUE(mCluster.WaitForCredits("vm-1"));
    ASSERT_TRUE(mCluster.WaitForCredits("vm-2"));
  }

  std::int64_t RevisionOf(const std::string& aVm)
  {
    const boost::json::value status = mCluster.EntryStatus(aVm);
    return status.is_object()
             ? status.at("configRevision").to_number<std::int64_t>()
             : -1;
  }

  /// Puts other homes in force and waits until both entries have them.
  void ApplyHomes(const std::vector<std::string>& aRegions)
  {
    const std::int64_t before =
      std::max(RevisionOf("vm-1"), RevisionOf("vm-2"));
    mCluster.SetHomes(aRegions);
    EXPECT_EQ(mCluster.Ctl({ "config", "apply", mCluster.Directory() }).first,
              0);
    EXPECT_TRUE(Cluster::WaitUntil([&] {
      return RevisionOf("vm-1") > before && RevisionOf("vm-2") > before;
    }));
  }

  /// Expects that an engine starts nothing while the other one starts some
  /// requests.
  void ExpectOnly(const std::string& aUsed, const std::string& aUnused)
  {
    constexpr std::int64_t kStarts = 30;
    EXPECT_TRUE(
      Cluster::WaitUntil([&] { return Counter(aUnused, "running") == 0; }));
    const std::int64_t unused = Counter(aUnused, "started");
    const std::int64_t used = Counter(aUsed, "started");
    EXPECT_TRUE(Cluster::WaitUntil(
      [&] { return Counter(aUsed, "started") >= used + kStarts; }));
    EXPECT_EQ(Counter(aUnused, "started"), unused) << aUnused;
  }
};

// Requests that are sent or refused under former homes.
TEST_F(HomesUnderLoadTest, HomesThatAreAddedMovedAndRemovedBindAtOnce)
{
  StartTwoRegions();
  LoadSettings load = mCluster.Load({ "vm-1", "vm-2" });
  load.mRate = 25;
  load.mRequests = 500;
  load.mLengths = { LengthKind::Fixed, 10, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    ApplyHomes({ "region-1" });
    ExpectOnly("engine-1", "engine-2");
    ApplyHomes({ "region-2" });
    ExpectOnly("engine-2", "engine-1");
    const std::int64_t first = Counter("engine-1", "started");
    ApplyHomes({});
    EXPECT_TRUE(Cluster::WaitUntil(
      [&] { return Counter("engine-1", "started") > first; }));
  });
  EXPECT_EQ(report.mViolations, 0U);
  EXPECT_EQ(report.mWhole, report.mRequests);
}

// An agent that has restarted without the platform and knows no homes. The
// owner of engine-1 may grant nothing until the platform is back.
TEST_F(HomesUnderLoadTest, HomesBindWhileAnAgentRestartsWithoutThePlatform)
{
  StartTwoRegions();
  ApplyHomes({ "region-1" });
  const std::int64_t before = Counter("engine-2", "started");
  LoadSettings load = mCluster.Load({ "vm-2" });
  load.mRate = 10;
  load.mRequests = 100;
  load.mLengths = { LengthKind::Fixed, 5, 0, 0 };
  const LoadReport report = Cluster::RunLoadWhile(load, [&] {
    mCluster.Signal("platform", SIGSTOP);
    mCluster.Signal("agent/vm-2", SIGKILL);
    mCluster.StartAgent("vm-2");
    EXPECT_TRUE(
      Cluster::WaitUntil([&] { return mCluster.Status("vm-2").is_object(); }));
    mCluster.Signal("platform", SIGCONT);
    EXPECT_TRUE(Cluster::WaitUntil([&] {
      const Answer answer =
        mCluster.Call(mCluster.Vm("vm-2").mListen,
                      http::verb::post,
                      "/v1/completions",
                      R"({ "model": "model-1", "prompt": "tokens:5 x" })");
      return answer.mStatus == 200;
    }));
  });
  EXPECT_EQ(Counter("engine-2", "started"), before);
  EXPECT_GT(Counter("engine-1", "started"), 0);
  EXPECT_EQ(report.mViolations, 0U);
}

} // namespace
} // namespace cactusgw
