#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/tunnel/upstream_connector.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusgw::test {

namespace {

/// Longer than any test runs.
constexpr Milliseconds kForever{ 3'600'000 };

/// What becomes of an attempt, and after which time.
struct DirectWay
{
  Milliseconds mAfter{ 0 };
  bool mIsEstablished = true;
};

struct CarrierWay
{
  Milliseconds mAfter{ 0 };
  /// Absent if the tunnel opens.
  std::optional<TunnelFailure> mFailure;
};

constexpr DirectWay kHangs{ kForever, false };
constexpr DirectWay kRefused{ Milliseconds{ 0 }, false };

} // namespace

class UpstreamConnectorTest : public ::testing::Test
{
protected:
  UpstreamConnectorTest()
    : mAcceptor(mContext, { net::ip::address_v4::loopback(), 0 })
  {
    ConnectorEvents events;
    events.mOnLinksLost = [this] { ++mLost; };
    events.mOnLinksBack = [this] { ++mBack; };
    events.mOnTunnelOpened = [](const TunnelUse&) {};
    events.mOnTunnelFailed = [](const TunnelUse&, TunnelFailure) {};
    events.mNextUpstreams = [this](std::size_t aCount) {
      std::vector<UpstreamTarget> targets;
      while (targets.size() < aCount) {
        targets.push_back(Target("p" + std::to_string(++mProbed)));
      }
      return targets;
    };
    mConnector = UpstreamConnector::Create(
      { "self", "a" },
      std::move(events),
      { [this](std::string aAddress, Milliseconds aTime)
          -> Task<Result<std::unique_ptr<HttpConnection>>> {
         ++mDirectAttempts;
         const DirectWay way = mDirect[aAddress];
         co_await Sleep(std::min(way.mAfter, aTime));
         if (!way.mIsEstablished || way.mAfter > aTime) {
           co_return NotRun(FailureCode::UpstreamUnreachable, "refused");
         }
         co_return MakeConnection();
       },
        [this](Carrier aCarrier, TunnelRequest, Milliseconds aTime)
          -> Task<TunnelResult<std::unique_ptr<HttpConnection>>> {
          mAsked.push_back(aCarrier.mName);
          const CarrierWay way = mCarriers[aCarrier.mName];
          co_await Sleep(std::min(way.mAfter, aTime));
          if (way.mAfter > aTime) {
            co_return TunnelFailure::CarrierUnreachable;
          }
          if (way.mFailure) {
            co_return *way.mFailure;
          }
          co_return MakeConnection();
        } });
    mConnector->Links().SetUpstreamCount(8);
    mConnector->Carriers().SetRegions(
      { { "a", "north" }, { "b", "north" }, { "c", "south" } });
  }

  static UpstreamTarget Target(const std::string& aId)
  {
    return { aId, aId + ":1", 1 };
  }
  static Task<void> Sleep(Milliseconds aTime)
  {
    net::steady_timer timer{ co_await net::this_coro::executor };
    timer.expires_after(aTime);
    co_await timer.async_wait(net::use_awaitable);
  }
  std::unique_ptr<HttpConnection> MakeConnection()
  {
    TcpStream stream{ mContext };
    stream.socket().connect(mAcceptor.local_endpoint());
    mPeers.push_back(mAcceptor.accept());
    return HttpConnection::Adopt(std::move(stream));
  }
  void AddCarrier(const std::string& aName, CarrierWay aWay)
  {
    mCarriers[aName] = aWay;
    mConnector->Carriers().SetPeer(
      { aName, aName + ":1", std::string(1, aName[0]) }, 1);
  }
  /// Connects, and lets the attempts that lost end.
  UpstreamConnector::Connected Connect(
    const std::string& aUpstream,
    AllowedRegions aRegions = AllowedRegions::Everywhere())
  {
    std::optional<UpstreamConnector::Connected> connected;
    SpawnTask(mContext.get_executor(), "connect", [&]() -> Task<void> {
      const Instant begun = SteadyNow();
      connected =
        co_await mConnector->Connect(Target(aUpstream), std::move(aRegions));
      mTook = SteadyNow() - begun;
    }());
    mContext.restart();
    mContext.run();
    return std::move(*connected);
  }
  static bool IsTunnel(const UpstreamConnector::Connected& aConnected)
  {
    return aConnected && aConnected.value()->Tunnel() != nullptr;
  }
  /// Connections whose other side is open.
  std::size_t OpenConnections()
  {
    std::size_t open = 0;
    for (net::ip::tcp::socket& peer : mPeers) {
      peer.non_blocking(true);
      char byte = 0;
      beast::error_code ec;
      peer.read_some(net::buffer(&byte, 1), ec);
      open += ec == net::error::would_block ? 1 : 0;
    }
    return open;
  }
  /// Two upstreams that only the carrier reaches.
  void BreakLinks(DirectWay aWay = kRefused)
  {
    for (const char* upstream : { "u1", "u2" }) {
      mDirect[std::string{ upstream } + ":1"] = aWay;
      EXPECT_TRUE(IsTunnel(Connect(upstream)));
    }
    EXPECT_TRUE(mConnector->Links().AreBroken());
    EXPECT_EQ(mLost, 1);
    mDirectAttempts = 0;
    mAsked.clear();
  }

  net::io_context mContext{ 1 };
  net::ip::tcp::acceptor mAcceptor;
  std::vector<net::ip::tcp::socket> mPeers;
  std::map<std::string, DirectWay> mDirect;
  std::map<std::string, CarrierWay> mCarriers;
  std::vector<std::string> mAsked;
  int mDirectAttempts = 0;
  int mProbed = 0;
  int mLost = 0;
  int mBack = 0;
  Instant::duration mTook{};
  std::shared_ptr<UpstreamConnector> mConnector;
};

TEST_F(UpstreamConnectorTest, HealthyLinksAskNoCarrier)
{
  AddCarrier("a1", {});
  const UpstreamConnector::Connected connected = Connect("u1");
  ASSERT_TRUE(connected);
  EXPECT_FALSE(IsTunnel(connected));
  EXPECT_TRUE(mAsked.empty());
}

TEST_F(UpstreamConnectorTest, ACarrierWinsAgainstASlowDirectConnection)
{
  AddCarrier("a1", {});
  mDirect["u1:1"] = { Milliseconds{ 250 }, true };
  const UpstreamConnector::Connected connected = Connect("u1");
  EXPECT_TRUE(IsTunnel(connected));
  // The direct connection came too late and was closed.
  EXPECT_EQ(mPeers.size(), 2U);
  EXPECT_EQ(OpenConnections(), 1U);
  EXPECT_FALSE(mConnector->Links().PrefersTunnel("u1", SteadyNow()));
}

TEST_F(UpstreamConnectorTest, TwoUpstreamsBehindACarrierBreakTheLinks)
{
  AddCarrier("a1", {});
  BreakLinks(kHangs);
  EXPECT_TRUE(IsTunnel(Connect("u3")));
  EXPECT_EQ(mDirectAttempts, 0);
}

TEST_F(UpstreamConnectorTest, ADownUpstreamIsAskedOfFewCarriersOnceInASecond)
{
  for (const char* name : { "a1", "a2", "a3", "a4", "b1", "b2" }) {
    AddCarrier(name, { Milliseconds{ 0 }, TunnelFailure::UpstreamUnreachable });
  }
  mDirect["u1:1"] = kRefused;
  for (int i = 0; i < 5; ++i) {
    const UpstreamConnector::Connected connected = Connect("u1");
    ASSERT_FALSE(connected);
    EXPECT_EQ(connected.error().mCode, FailureCode::UpstreamUnreachable);
  }
  EXPECT_EQ(mAsked.size(), 3U);
  EXPECT_FALSE(mConnector->Links().AreBroken());
  // The carriers are as good for other upstreams.
  EXPECT_EQ(mConnector->Carriers()
              .Order(AllowedRegions::Everywhere(), SteadyNow())
              .size(),
            6U);
}

// Carriers of the same data centre were asked until the connection failed,
// though they were cut off as well.
TEST_F(UpstreamConnectorTest, ACarrierElsewhereIsFoundBehindOnesThatAreCutOff)
{
  AddCarrier("a1", { Milliseconds{ 0 }, TunnelFailure::CarrierRefused });
  AddCarrier("a2", { Milliseconds{ 0 }, TunnelFailure::UpstreamUnreachable });
  AddCarrier("a3", { kForever, std::nullopt });
  AddCarrier("a4", { Milliseconds{ 0 }, TunnelFailure::CarrierRefused });
  AddCarrier("b1", {});
  mDirect["u1:1"] = kRefused;
  const UpstreamConnector::Connected connected = Connect("u1");
  ASSERT_TRUE(IsTunnel(connected));
  EXPECT_EQ(connected.value()->Tunnel()->mCarrier.mName, "b1");
}

TEST_F(UpstreamConnectorTest, WithoutACarrierLostLinksFailAtOnce)
{
  AddCarrier("a1", {});
  BreakLinks(kHangs);
  mConnector->Carriers().RemovePeer("a1");
  const UpstreamConnector::Connected connected = Connect("u1");
  ASSERT_FALSE(connected);
  EXPECT_EQ(connected.error().mCode, FailureCode::LinksLost);
  EXPECT_EQ(connected.error().mVerdict, Verdict::NotRun);
  EXPECT_EQ(mDirectAttempts, 0);
}

// An upstream that one carrier reached, and this gateway not, was given up
// without a direct attempt when no carrier was left.
TEST_F(UpstreamConnectorTest, OneUpstreamWithoutACarrierIsTriedDirectly)
{
  AddCarrier("a1", {});
  mDirect["u1:1"] = kRefused;
  EXPECT_TRUE(IsTunnel(Connect("u1")));
  mDirect["u1:1"] = {};
  mConnector->Carriers().RemovePeer("a1");
  const UpstreamConnector::Connected connected = Connect("u1");
  ASSERT_TRUE(connected);
  EXPECT_FALSE(IsTunnel(connected));
}

TEST_F(UpstreamConnectorTest, RestrictedRequestsAskNoCarrierElsewhere)
{
  AddCarrier("a1", {});
  BreakLinks();
  const UpstreamConnector::Connected connected =
    Connect("u3", AllowedRegions::Only({ "south" }));
  ASSERT_FALSE(connected);
  EXPECT_EQ(connected.error().mCode, FailureCode::LinksLost);
  EXPECT_TRUE(mAsked.empty());
}

TEST_F(UpstreamConnectorTest, ProbesEndTheUseOfTunnels)
{
  AddCarrier("a1", {});
  BreakLinks();
  const Instant now = SteadyNow();
  for (int n = 1; n <= 2; ++n) {
    EXPECT_EQ(mBack, 0);
    for (int i = 0; i < 3; ++i) {
      mConnector->Tick(mContext.get_executor(),
                       now + n * LinkMonitor::kProbeInterval);
    }
    mContext.restart();
    mContext.run();
    EXPECT_EQ(mDirectAttempts, n);
  }
  EXPECT_EQ(mBack, 1);
  EXPECT_FALSE(IsTunnel(Connect("u3")));
}

TEST_F(UpstreamConnectorTest, StoppedWhileAttemptsRun)
{
  AddCarrier("a1", { Milliseconds{ 150 }, std::nullopt });
  mDirect["u1:1"] = kRefused;
  std::optional<UpstreamConnector::Connected> connected;
  SpawnTask(mContext.get_executor(), "connect", [&]() -> Task<void> {
    connected =
      co_await mConnector->Connect(Target("u1"), AllowedRegions::Everywhere());
  }());
  mContext.run_for(Milliseconds{ 50 });
  mConnector->Stop();
  const std::weak_ptr<UpstreamConnector> connector = mConnector;
  mContext.run();
  EXPECT_TRUE(IsTunnel(*connected));
  mConnector.reset();
  EXPECT_TRUE(connector.expired());
  connected.reset();
  EXPECT_EQ(OpenConnections(), 0U);
}

} // namespace cactusgw::test
