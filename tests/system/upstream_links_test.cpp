#include "gateway_process.hpp"
#include "ledger.hpp"
#include "link_proxy.hpp"
#include "soak_documents.hpp"
#include "store_standin.hpp"
#include "work.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cactusgw::soak {

namespace {

constexpr int kUpstreams = 4;
constexpr int kGateways = 4;
constexpr int kClientsPerGateway = 6;
constexpr long kNever = 1'000'000'000;
/// No bound on speed: only how long a test waits before it gives up.
constexpr long kPatienceMs = 30'000;
/// Time after which a partition may not show any more.
constexpr long kStableMs = 4000;
/// How long clients are counted after that.
constexpr long kCountedMs = 4000;
constexpr long kClientMs = 4000;

/// How the links of a gateway to all upstreams fail.
struct LinkLoss
{
  const char* mName;
  LinkFault mFault;
  bool mResetsOpen;
  /// Gateways that lose their links, from the first on.
  int mGateways;
};

void
PrintTo(const LinkLoss& aLoss, std::ostream* aOut)
{
  *aOut << aLoss.mName << " at " << aLoss.mGateways;
}

/// An upstream, and the links of the gateways to it.
class LinkedUpstream
{
public:
  LinkedUpstream(StoreStandin& aStore, Ledger& aLedger, int aNumber)
    : mLedger(aLedger)
    , mNumber(aNumber)
    , mName("u-" + std::to_string(aNumber))
    , mListener([this](Channel& aChannel) { Serve(aChannel); })
  {
    for (int i = 0; i < kGateways; ++i) {
      mLinks.push_back(std::make_unique<LinkProxy>(mListener.Port()));
    }
    aStore.Put(
      "servers",
      mName,
      UpstreamText(
        "app", AddressOf(mListener.Port()), "ready", 1'780'000'000'000, 1));
  }

  int Port() const { return mListener.Port(); }
  LinkProxy& Link(int aGateway) { return *mLinks[aGateway]; }

private:
  void Serve(Channel& aChannel)
  {
    std::optional<Message> request;
    while ((request = aChannel.Read(kNever, false)) && request->mIsWhole) {
      const std::string id = request->Header(RequestIdName());
      Run run;
      run.mUpstream = mNumber;
      run.mBeganMs = NowMs();
      const std::size_t number = mLedger.BeginRun(id, run);
      SleepMs(Work::FromPath(request->Target()).mMs);
      mLedger.EndRun(id, number, false);
      if (!aChannel.Send(AnswerHeader(id, 200) +
                         "Content-Length: 2\r\n\r\nok")) {
        return;
      }
    }
  }

  Ledger& mLedger;
  int mNumber;
  std::string mName;
  Listener mListener;
  std::vector<std::unique_ptr<LinkProxy>> mLinks;
};

} // namespace

class UpstreamLinksTest : public ::testing::TestWithParam<LinkLoss>
{
protected:
  UpstreamLinksTest()
  {
    mStore.Put(
      "config",
      "main",
      ConfigText(7,
                 Route("read", "safe", 2) + "," + Route("submit", "unsafe", 1),
                 ServiceText("app")));
    for (int i = 0; i < kUpstreams; ++i) {
      mUpstreams.push_back(new LinkedUpstream{ mStore, mLedger, i });
    }
    std::string folder =
      (std::filesystem::temp_directory_path() / "links-XXXXXX").string();
    mFolder = mkdtemp(folder.data());
    for (int i = 0; i < kGateways; ++i) {
      StoreStandin::Rewrites rewrites;
      for (LinkedUpstream* const upstream : mUpstreams) {
        rewrites.emplace_back(AddressOf(upstream->Port()),
                              AddressOf(upstream->Link(i).Port()));
      }
      mGateways.push_back(std::make_unique<GatewayProcess>(
        GatewayOptions{ CACTUSGW_GATEWAY,
                        mFolder,
                        "gateway-" + std::to_string(i),
                        4100,
                        std::string{ "zone-" } + static_cast<char>('a' + i) }));
      mGateways.back()->SetStorePort(mStore.Open(rewrites));
      mGateways.back()->Start();
    }
    for (int i = 0; i < kGateways; ++i) {
      const long until = NowMs() + kPatienceMs;
      while (!IsServed(i) && NowMs() < until) {
        SleepMs(20);
      }
    }
  }

  ~UpstreamLinksTest() override
  {
    mIsOver = true;
    for (std::thread& thread : mClients) {
      thread.join();
    }
    mGateways.clear();
    if (!HasFailure()) {
      std::filesystem::remove_all(mFolder);
    }
  }

  static std::string Route(const std::string& aName,
                           const std::string& aKind,
                           int aAttempts)
  {
    RouteDocument route;
    route.mName = aName;
    route.mPrefix = "/" + aName + "/";
    route.mKind = aKind;
    route.mService = "app";
    route.mTimeoutMs = kClientMs;
    route.mAttempts = aAttempts;
    return RouteText(route);
  }

  /// Sends a request and records it. Returns its status; zero for none.
  int Send(std::unique_ptr<Channel>& aChannel, int aGateway, bool aIsSafe)
  {
    char id[17];
    std::snprintf(id, sizeof id, "9c41d07b%08x", ++mLastId);
    Sent sent;
    sent.mId = id;
    sent.mKind = aIsSafe ? RequestKind::Idempotent : RequestKind::AtMostOnce;
    sent.mGateway = aGateway;
    sent.mBeganMs = NowMs();
    mLedger.Begin(sent);
    if (!aChannel) {
      aChannel = Channel::Connect(mGateways[aGateway]->Front());
    }
    const Work work;
    const std::string text =
      std::string{ "POST /" } + (aIsSafe ? "read/" : "submit/") + work.Text() +
      " HTTP/1.1\r\nHost: site.example\r\n" + RequestHeader(id, kClientMs) +
      "Content-Length: 0\r\n\r\n";
    std::optional<Message> answer;
    if (aChannel && aChannel->Send(text)) {
      answer = aChannel->Read(NowMs() + kClientMs + 1000, true);
    }
    sent.mEndedMs = NowMs();
    sent.mStatus = answer ? answer->Status() : 0;
    mLedger.End(sent);
    if (sent.mStatus == 0 || answer->Header("Connection") == "close") {
      aChannel.reset();
    }
    return sent.mStatus;
  }

  bool IsServed(int aGateway)
  {
    std::unique_ptr<Channel> channel;
    return Send(channel, aGateway, true) == 200;
  }

  void StartClients()
  {
    for (int i = 0; i < kGateways * kClientsPerGateway; ++i) {
      mClients.emplace_back([this, i] {
        std::unique_ptr<Channel> channel;
        for (int n = i; !mIsOver; ++n) {
          Send(channel, i % kGateways, n % 2 == 0);
          SleepMs(30);
        }
      });
    }
  }

  void SetLinks(const LinkLoss& aLoss, LinkFault aFault)
  {
    for (LinkedUpstream* const upstream : mUpstreams) {
      for (int i = 0; i < aLoss.mGateways; ++i) {
        upstream->Link(i).SetFault(aFault);
        if (aLoss.mResetsOpen) {
          upstream->Link(i).ResetAll();
        }
      }
    }
  }

  struct Share
  {
    int mServed = 0;
    int mTried = 0;
    double Part() const { return mTried == 0 ? 1 : double(mServed) / mTried; }
  };
  /// Requests that began in this time, at the first gateways or at the others.
  Share ShareOf(bool aAtLost, int aLost, long aFromMs, long aToMs)
  {
    Share share;
    for (const auto& [id, sent] : mLedger.Copy().mSent) {
      if ((sent.mGateway < aLost) == aAtLost && sent.mBeganMs >= aFromMs &&
          sent.mBeganMs < aToMs && sent.mEndedMs >= 0) {
        ++share.mTried;
        share.mServed += sent.mStatus == 200 ? 1 : 0;
      }
    }
    return share;
  }

  /// Requests that ran twice though they may not, or were refused and ran.
  int BrokenPromises()
  {
    int count = 0;
    for (const auto& [id, sent] : mLedger.Copy().mSent) {
      const bool isRefusal = sent.mStatus == 503 || sent.mStatus == 429;
      if (sent.mKind == RequestKind::AtMostOnce &&
          (sent.mRuns.size() > 1 || (isRefusal && !sent.mRuns.empty()))) {
        ++count;
      }
    }
    return count;
  }

  // Stand-ins live to the end of the process, as their threads do.
  StoreStandin& mStore = *new StoreStandin;
  Ledger& mLedger = *new Ledger;
  std::vector<LinkedUpstream*> mUpstreams;
  std::string mFolder;
  std::vector<std::unique_ptr<GatewayProcess>> mGateways;
  std::vector<std::thread> mClients;
  std::atomic<unsigned> mLastId{ 0 };
  std::atomic<bool> mIsOver{ false };
};

// Guards against clients of a gateway that has lost its links to all upstreams
// being served worse than those of the gateways beside it.
TEST_P(UpstreamLinksTest, AGatewayThatLosesItsLinksGoesOnServing)
{
  const LinkLoss loss = GetParam();
  StartClients();
  SleepMs(1000);
  const long cutMs = NowMs();
  SetLinks(loss, loss.mFault);
  SleepMs(kStableMs + kCountedMs);
  const long healedMs = NowMs();
  LinkLoss healing = loss;
  healing.mResetsOpen = false;
  SetLinks(healing, LinkFault::None);
  SleepMs(kStableMs);
  mIsOver = true;
  const auto report = [&](const char* aWhen, long aFromMs, long aToMs) {
    const Share lost = ShareOf(true, loss.mGateways, aFromMs, aToMs);
    const Share others = ShareOf(false, loss.mGateways, aFromMs, aToMs);
    std::cout << aWhen << ": served without links " << lost.mServed << " of "
              << lost.mTried << ", beside them " << others.mServed << " of "
              << others.mTried << std::endl;
    return std::pair{ lost, others };
  };
  report("first 1 s", cutMs, cutMs + 1000);
  report("then up to 4 s", cutMs + 1000, cutMs + kStableMs);
  const auto [lost, others] = report("then", cutMs + kStableMs, healedMs);
  report("healed", healedMs + 1000, healedMs + kStableMs);
  EXPECT_GT(others.Part(), 0.9);
  EXPECT_GE(lost.Part(), others.Part() * 2 / 3);
  EXPECT_LE(lost.mTried - lost.mServed,
            10 + (lost.mTried + others.mTried) / 50);
  EXPECT_EQ(BrokenPromises(), 0);
}

INSTANTIATE_TEST_SUITE_P(
  Losses,
  UpstreamLinksTest,
  ::testing::Values(LinkLoss{ "Hang", LinkFault::Cut, false, 1 },
                    LinkLoss{ "HangMost", LinkFault::Cut, false, 3 },
                    LinkLoss{ "Reset", LinkFault::Reset, true, 2 },
                    LinkLoss{ "NewOnesHang", LinkFault::HangNew, false, 2 },
                    LinkLoss{ "NewOnesRefused", LinkFault::Reset, false, 3 }),
  [](const ::testing::TestParamInfo<LinkLoss>& aInfo) {
    return aInfo.param.mName;
  });

} // namespace cactusgw::soak
