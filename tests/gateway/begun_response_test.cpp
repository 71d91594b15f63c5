/// Guards against responses that are cut at half of the request's time, for a
/// retry that can't happen any more.

#include "gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>

namespace cactusgw::test {

class BegunResponseTest : public GatewayTest
{
protected:
  static constexpr Milliseconds kTimeout{ 4000 };
  static constexpr Milliseconds kPastHalf{ kTimeout / 2 + kTimeout / 10 };

  /// Sends the first bytes of a response at once, and the rest after half of
  /// the request's time.
  Script SlowScript(std::size_t aFirst)
  {
    return [aFirst](ScriptedExchange& aExchange) -> Task<void> {
      const std::string rest(1000, 'b');
      co_await aExchange.Write(
        "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: " +
        aExchange.Header("Request-Id") +
        "\r\nContent-Length: " + std::to_string(aFirst + rest.size()) +
        "\r\n\r\n" + std::string(aFirst, 'a'));
      net::steady_timer timer{ co_await net::this_coro::executor, kPastHalf };
      co_await timer.async_wait(net::use_awaitable);
      co_await aExchange.Write(rest);
    };
  }

  void Start(std::uint32_t aMaxAttempts)
  {
    StartGateway();
    Configure(2, [&](GatewayConfig& aConfig) {
      for (GatewayRoute& route : aConfig.mRoutes) {
        route.mTimeout = kTimeout;
        route.mLatencyObjective = Milliseconds{ 100 };
        route.mMaxAttempts = aMaxAttempts;
      }
    });
  }

  void ExpectWhole(std::size_t aBytes)
  {
    Run([&]() -> Task<void> {
      const ClientResponse response =
        co_await Call(MakeRequest(http::verb::get, "/read/x"));
      EXPECT_EQ(response.mStatus, 200U);
      EXPECT_TRUE(response.mIsWhole);
      EXPECT_EQ(response.mBody.size(), aBytes);
    });
  }
};

// More than is buffered, so the client has received the first bytes.
TEST_F(BegunResponseTest, IsNotCutForARetry)
{
  AddUpstream("a", "app", SlowScript(400'000));
  AddUpstream("b", "app", SlowScript(400'000));
  Start(2);
  ExpectWhole(401'000);
}

TEST_F(BegunResponseTest, IsNotCutWhenNoOtherUpstreamCanRepeatIt)
{
  AddUpstream("a", "app", SlowScript(1000));
  Start(2);
  ExpectWhole(2000);
}

TEST_F(BegunResponseTest, IsNotCutWhenTheRetryBudgetIsSpent)
{
  mSettings.mBounds.mRetryExtra = 0;
  AddUpstream("a", "app", SlowScript(1000));
  AddUpstream("b", "app", SlowScript(1000));
  Start(2);
  ExpectWhole(2000);
}

// What is buffered can still be repeated: the other upstream responds at once.
TEST_F(BegunResponseTest, ABufferedOneMakesWayForARetry)
{
  bool isFirst = true;
  const Script script = [&](ScriptedExchange& aExchange) -> Task<void> {
    if (std::exchange(isFirst, false)) {
      co_await aExchange.WaitForClose();
      co_return;
    }
    co_await aExchange.Answer(200,
                              std::string{ kSealed } + "Request-Id: " +
                                aExchange.Header("Request-Id") + "\r\n",
                              "ok");
  };
  AddUpstream("a", "app", script);
  AddUpstream("b", "app", script);
  Start(2);
  ExpectWhole(2);
  EXPECT_EQ(mUpstreams[0]->Requests().size(), 1U);
  EXPECT_EQ(mUpstreams[1]->Requests().size(), 1U);
}

} // namespace cactusgw::test
