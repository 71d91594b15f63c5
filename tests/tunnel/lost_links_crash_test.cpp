#include "cactusgw/net/spawn.hpp"
#include "gateway/gateway_fixture.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cactusgw::test {

/// What new direct connections meet while links are lost.
enum class LostLinks
{
  /// They are accepted and reset.
  Reset,
  /// They are not accepted.
  Hang,
};

/// A gateway whose links to upstreams are lost, beside a carrier whose links
/// are whole. All requests are alike.
class LostLinksCrashTest
  : public GatewayTest
  , public ::testing::WithParamInterface<LostLinks>
{
protected:
  static constexpr int kUpstreams = 8;

  LostLinksCrashTest()
    : mResetter(mContext, { net::ip::address_v4::loopback(), 0 })
  {
    for (int i = 0; i < kUpstreams; ++i) {
      AddUpstream(
        "a" + std::to_string(i), "app", [this](ScriptedExchange& aExchange) {
          return ServeUnlessCut(aExchange);
        });
    }
  }

  /// Requests that wait when links are lost are reset.
  Task<void> ServeUnlessCut(ScriptedExchange& aExchange)
  {
    if (mAreCut || !mIsHeld) {
      co_await aExchange.Answer(200, kSealed, "x");
      co_return;
    }
    ++mHeld;
    while (!mAreCut) {
      co_await Sleep(Milliseconds{ 1 });
    }
    aExchange.Close(true);
  }
  static Task<void> Sleep(Milliseconds aTime)
  {
    net::steady_timer timer{ co_await net::this_coro::executor };
    timer.expires_after(aTime);
    co_await timer.async_wait(net::use_awaitable);
  }
  Task<void> ResetAll()
  {
    while (true) {
      net::ip::tcp::socket socket =
        co_await mResetter.async_accept(net::use_awaitable);
      socket.set_option(net::socket_base::linger{ true, 0 });
      socket.close();
    }
  }
  Task<Result<std::unique_ptr<HttpConnection>>> Connect(std::string aAddress,
                                                        Milliseconds aTime)
  {
    if (mAreCut && GetParam() == LostLinks::Hang) {
      co_await Sleep(aTime);
      co_return NotRun(FailureCode::UpstreamUnreachable, "no connection");
    }
    if (mAreCut) {
      aAddress =
        "127.0.0.1:" + std::to_string(mResetter.local_endpoint().port());
    }
    co_return co_await HttpConnection::Connect(aAddress, aTime);
  }
  static Task<TunnelResult<std::unique_ptr<HttpConnection>>> OpenTunnelTo(
    std::string aAddress,
    Milliseconds aTime)
  {
    Result<std::unique_ptr<HttpConnection>> connected =
      co_await HttpConnection::Connect(aAddress, aTime);
    if (!connected) {
      co_return TunnelFailure::UpstreamUnreachable;
    }
    co_return std::move(connected.value());
  }

  void Start()
  {
    StartGateway();
    SpawnTask(mContext.get_executor(), "resetter", ResetAll());
    ConnectorEvents events;
    events.mOnLinksLost = [] {};
    events.mOnLinksBack = [] {};
    events.mOnTunnelOpened = [](const TunnelUse&) {};
    events.mOnTunnelFailed = [](const TunnelUse&, TunnelFailure) {};
    events.mNextUpstreams = [this](std::size_t aCount) {
      std::vector<UpstreamTarget> targets;
      while (targets.size() < aCount) {
        const std::string id = "a" + std::to_string(mProbed++ % kUpstreams);
        targets.push_back(
          TargetOf(mGateway->State().mDirectory.Find(id)->mRecord));
      }
      return targets;
    };
    std::shared_ptr<UpstreamConnector>& connector =
      mGateway->State().mConnector;
    connector = UpstreamConnector::Create(
      mSettings.mPlace,
      std::move(events),
      { [this](std::string aAddress, Milliseconds aTime) {
         return Connect(std::move(aAddress), aTime);
       },
        [](const Carrier&, const TunnelRequest& aRequest, Milliseconds aTime) {
          return OpenTunnelTo(aRequest.mUpstream.mAddress, aTime);
        } });
    connector->Links().SetUpstreamCount(kUpstreams);
    connector->Carriers().SetRegions(mSettings.mRegions);
    connector->Carriers().SetPeer(
      { "carrier", "carrier:1", mCarrierDataCentre }, 1);
  }

  /// One of the requests, which differ in their ids only.
  HttpRequest NextRequest()
  {
    HttpRequest request = MakeRequest(http::verb::post, "/read/x");
    request.set("Request-Id", "r" + std::to_string(++mRequests));
    request.set("Prompt-Parts", "shared:7");
    return request;
  }

  Task<void> CallOnce()
  {
    co_await Call(NextRequest());
    ++mEnded;
  }

  net::ip::tcp::acceptor mResetter;
  std::string mCarrierDataCentre = "dc-a";
  int mRequests = 0;
  std::size_t mProbed = 0;
  int mHeld = 0;
  int mEnded = 0;
  bool mIsHeld = false;
  bool mAreCut = false;
};

// The links of a gateway were reset while all requests were alike: they were
// quarantined in the whole fleet.
TEST_P(LostLinksCrashTest, ClosedConnectionsAreNoEvidenceOfCrashes)
{
  Start();
  Run([&]() -> Task<void> {
    EXPECT_EQ((co_await Call(NextRequest())).mStatus, 200U);
    mIsHeld = true;
    for (int i = 0; i < kUpstreams; ++i) {
      SpawnTask(mContext.get_executor(), "caller", CallOnce());
    }
    while (mHeld < kUpstreams) {
      co_await Sleep(Milliseconds{ 1 });
    }
    mAreCut = true;
    mGateway->State().mPool.CloseDirect();
    while (mEnded < kUpstreams) {
      co_await Sleep(Milliseconds{ 1 });
    }
    for (int i = 0; i < kUpstreams; ++i) {
      EXPECT_EQ((co_await Call(NextRequest())).mStatus, 200U);
    }
  });
  EXPECT_TRUE(mGateway->State().mConnector->Links().AreBroken());
  EXPECT_TRUE(mGateway->State().mCrashes.Crashes().empty());
  EXPECT_EQ(mGateway->State().mRequestCrashes.Size(), 0U);
}

// A restricted request could use an idle tunnel outside its regions.
TEST_P(LostLinksCrashTest, IdleTunnelsElsewhereCarryNoRestrictedRequest)
{
  mCarrierDataCentre = "dc-b";
  Start();
  Run([&]() -> Task<void> {
    mAreCut = true;
    for (int i = 0; i < kUpstreams; ++i) {
      EXPECT_EQ((co_await Call(NextRequest())).mStatus, 200U);
    }
    Configure(
      2, [](GatewayConfig& aConfig) { SetAllHomes(aConfig, { "north" }); });
    std::size_t before = 0;
    std::size_t after = 0;
    for (const std::unique_ptr<ScriptedUpstream>& upstream : mUpstreams) {
      before += upstream->Requests().size();
    }
    EXPECT_EQ((co_await Call(NextRequest())).mStatus, 503U);
    for (const std::unique_ptr<ScriptedUpstream>& upstream : mUpstreams) {
      after += upstream->Requests().size();
    }
    EXPECT_EQ(after, before);
  });
}

INSTANTIATE_TEST_SUITE_P(Links,
                         LostLinksCrashTest,
                         ::testing::Values(LostLinks::Reset, LostLinks::Hang),
                         [](const auto& aInfo) {
                           return aInfo.param == LostLinks::Reset ? "Reset"
                                                                  : "Hang";
                         });

} // namespace cactusgw::test
