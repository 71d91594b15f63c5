#include "brittle_standin.hpp"
#include "gateway_process.hpp"
#include "soak_documents.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace cactusgw::soak {

namespace {

/// No bound on speed: only how long a test waits before it gives up.
constexpr long kPatienceMs = 30'000;
/// Time of sound upstreams, whose rate is what can be served.
constexpr long kSoundMs = 3000;
/// From the statement until fewer requests may wait.
constexpr long kStableWindowMs = 4000;
/// Several times the time that a fallen upstream is away.
constexpr long kBrittleMs = 12'000;
constexpr long kPauseAfterRefusalMs = 150;
/// Of what sound upstreams serve. Less than all, as what is free becomes known
/// late; two fallen ones of four for a quarter of the time cost 0.125.
constexpr double kServedShare = 0.7;

struct Day
{
  int mUpstreams = 4;
  int mGateways = 4;
  int mCallers = 80;
  int mBearable = 5;
  bool mIsAlike = false;
  /// Gateways that have callers; zero for all.
  int mUsed = 0;
};

} // namespace

class BrittleUpstreamsTest : public ::testing::Test
{
protected:
  ~BrittleUpstreamsTest() override
  {
    mGateways.clear();
    if (!HasFailure()) {
      std::filesystem::remove_all(mFolder);
    }
  }

  void Start(const Day& aDay)
  {
    RouteDocument route;
    route.mName = "work";
    route.mPrefix = "/w/";
    route.mKind = "safe";
    route.mService = "app";
    mStore.Put(
      "config", "main", ConfigText(7, RouteText(route), ServiceText("app")));
    BrittleOptions options;
    options.mBearable = aDay.mBearable;
    for (int i = 0; i < aDay.mUpstreams; ++i) {
      mUpstreams.push_back(
        new BrittleStandin{ mStore, "u-" + std::to_string(i), "app", options });
    }
    std::string folder =
      (std::filesystem::temp_directory_path() / "brittle-XXXXXX").string();
    mFolder = mkdtemp(folder.data());
    const int port = mStore.Open({});
    for (int i = 0; i < aDay.mGateways; ++i) {
      mGateways.push_back(std::make_unique<GatewayProcess>(GatewayOptions{
        CACTUSGW_GATEWAY, mFolder, "gateway-" + std::to_string(i) }));
      mGateways.back()->SetStorePort(port);
      mGateways.back()->Start();
    }
    for (const std::unique_ptr<GatewayProcess>& gateway : mGateways) {
      const long until = NowMs() + kPatienceMs;
      while (!IsReady(*gateway) && NowMs() < until) {
        SleepMs(20);
      }
      ASSERT_LT(NowMs(), until);
    }
  }

  static bool IsReady(const GatewayProcess& aGateway)
  {
    const std::unique_ptr<Channel> channel = Channel::Connect(aGateway.Ready());
    if (!channel ||
        !channel->Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    const std::optional<Message> answer = channel->Read(NowMs() + 1000, true);
    return answer && answer->Status() == 200;
  }

  /// Sends requests until the day ends: at once after an answer, after a pause
  /// when refused.
  void Call(int aPort, bool aIsAlike)
  {
    std::unique_ptr<Channel> channel;
    while (!mHasEnded) {
      if (!channel) {
        channel = Channel::Connect(aPort);
      }
      char id[17];
      std::snprintf(id, sizeof id, "9c41d07b%08x", ++mLastId);
      const std::string body = aIsAlike ? "alike" : id;
      const bool isSent =
        channel &&
        channel->Send("POST /w/x HTTP/1.1\r\nHost: site.example\r\n" +
                      RequestHeader(id, 2000) + "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
      const std::optional<Message> answer =
        isSent ? channel->Read(NowMs() + kPatienceMs, true) : std::nullopt;
      if (!answer) {
        channel.reset();
      }
      if (!answer || answer->Status() != 200) {
        ++mRefused;
        SleepMs(kPauseAfterRefusalMs);
      }
    }
  }

  BrittleCounts Sum() const
  {
    BrittleCounts sum;
    for (const BrittleStandin* const upstream : mUpstreams) {
      const BrittleCounts counts = upstream->Counts();
      sum.mServed += counts.mServed;
      sum.mTurnedAway += counts.mTurnedAway;
      sum.mFalls += counts.mFalls;
    }
    return sum;
  }

  int LinesWith(std::string_view aText) const
  {
    int count = 0;
    for (const std::unique_ptr<GatewayProcess>& gateway : mGateways) {
      std::ifstream file{ gateway->LogFile() };
      std::string line;
      while (std::getline(file, line)) {
        count += line.find(aText) != std::string::npos;
      }
    }
    return count;
  }

  void Run(const Day& aDay)
  {
    ASSERT_NO_FATAL_FAILURE(Start(aDay));
    std::vector<std::thread> callers;
    for (int i = 0; i < aDay.mCallers; ++i) {
      const int used = aDay.mUsed == 0 ? aDay.mGateways : aDay.mUsed;
      const int port = mGateways[static_cast<std::size_t>(i % used)]->Front();
      callers.emplace_back([this, port, &aDay] { Call(port, aDay.mIsAlike); });
    }
    // The first second belongs to the start.
    SleepMs(1000);
    const int servedAtStart = Sum().mServed;
    SleepMs(kSoundMs);
    const int sound = Sum().mServed - servedAtStart;
    for (BrittleStandin* const upstream : mUpstreams) {
      upstream->SetStating(true);
    }
    SleepMs(kStableWindowMs);
    for (BrittleStandin* const upstream : mUpstreams) {
      upstream->SetBrittle(true);
    }
    const BrittleCounts before = Sum();
    const int refusedBefore = mRefused;
    SleepMs(kBrittleMs);
    const BrittleCounts after = Sum();
    const int refused = mRefused - refusedBefore;
    mHasEnded = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    const int served = after.mServed - before.mServed;
    const int could = static_cast<int>(sound * kBrittleMs / kSoundMs);
    std::cout << "served " << served << " of " << could << ", refused "
              << refused << ", turned away by upstreams "
              << after.mTurnedAway - before.mTurnedAway << ", falls "
              << after.mFalls << ", crash-suspected "
              << LinesWith("event=crash-suspected") << std::endl;
    EXPECT_LE(after.mFalls, 2 + aDay.mUpstreams / 10);
    EXPECT_GE(served, kServedShare * could);
    EXPECT_EQ(LinesWith("event=request-quarantined"), 0);
    EXPECT_EQ(LinesWith("event=parts-quarantined"), 0);
  }

  // Stand-ins live to the end of the process, as their threads do.
  StoreStandin& mStore = *new StoreStandin;
  std::vector<BrittleStandin*> mUpstreams;
  std::string mFolder;
  std::vector<std::unique_ptr<GatewayProcess>> mGateways;
  std::atomic<bool> mHasEnded{ false };
  std::atomic<int> mRefused{ 0 };
  std::atomic<unsigned> mLastId{ 0 };
};

// Guards against upstreams that fall again as soon as they are back, since all
// gateways send to them together.
TEST_F(BrittleUpstreamsTest, MoreCallersThanRoomMakeFewFall)
{
  Run({});
}

TEST_F(BrittleUpstreamsTest, MoreUpstreamsAndGatewaysKeepTheBound)
{
  Run({ 12, 8, 240, 3 });
}

// Guards against falls that are taken for crashes by the request.
TEST_F(BrittleUpstreamsTest, RequestsThatAreAllAlikeAreServed)
{
  Run({ 4, 4, 80, 5, true });
}

TEST_F(BrittleUpstreamsTest, CallersThatFitAreServed)
{
  Run({ 4, 4, 24 });
}

// Guards against slots that lie idle as the shares of gateways without callers.
TEST_F(BrittleUpstreamsTest, CallersOfFewGatewaysAreServed)
{
  Run({ 12, 8, 240, 3, false, 2 });
}

} // namespace cactusgw::soak
