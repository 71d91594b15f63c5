#include "cactusgw/net/spawn.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw::test {

class BrittleFallTest : public GatewayTest
{
protected:
  /// An upstream that answers the second request, and then ends with the first.
  void AddFallingUpstream(unsigned aStatus, const std::string& aHeaders)
  {
    AddUpstream(
      "u",
      "app",
      [this, aStatus, aHeaders](ScriptedExchange& aExchange) -> Task<void> {
        if (aExchange.Request().target() == "/write/second") {
          co_await aExchange.Answer(aStatus, aHeaders + "Brittle: 3\r\n", "");
          mIsAnswered = true;
          co_return;
        }
        mHasFirst = true;
        co_await WaitFor(mIsAnswered);
        aExchange.Close();
      });
  }

  Task<void> WaitFor(const bool& aCondition)
  {
    while (!aCondition) {
      net::steady_timer timer{ mContext, Milliseconds{ 5 } };
      co_await timer.async_wait(net::use_awaitable);
    }
  }

  Task<void> CallFirst()
  {
    co_await Call(MakeRequest(http::verb::post, "/write/first"));
    mHasFallen = true;
  }

  /// Suspects after the upstream has ended.
  std::size_t Suspects()
  {
    StartGateway();
    Run([&]() -> Task<void> {
      SpawnTask(mContext.get_executor(), "first", CallFirst());
      co_await WaitFor(mHasFirst);
      co_await Call(MakeRequest(http::verb::post, "/write/second"));
      co_await WaitFor(mHasFallen);
    });
    return mGateway->State().mRequestCrashes.Size();
  }

  bool mHasFirst = false;
  bool mIsAnswered = false;
  bool mHasFallen = false;
};

// Guards against sound requests that are quarantined for falls of upstreams
// that turned too many others away.
TEST_F(BrittleFallTest, AnUpstreamThatTurnedAwayIsNoEvidence)
{
  AddFallingUpstream(503, "Not-Run: 1\r\n");
  EXPECT_EQ(Suspects(), 0U);
}

// Guards against requests that crash upstreams unseen while these are brittle.
TEST_F(BrittleFallTest, AnUpstreamThatTurnedNobodyAwayIsEvidence)
{
  AddFallingUpstream(200, "Seal: s\r\n");
  EXPECT_EQ(Suspects(), 1U);
}

} // namespace cactusgw::test
