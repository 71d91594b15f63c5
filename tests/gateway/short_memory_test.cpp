#include "gateway_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cactusgw::test {

/// A gateway whose memory holds 128 KiB of requests and responses.
class ShortMemoryTest : public GatewayTest
{
protected:
  ShortMemoryTest() { mSettings.mMemoryMb = 1; }

  HttpRequest RequestWithBody(const std::string& aTarget, std::size_t aBytes)
  {
    HttpRequest request = MakeRequest(http::verb::post, aTarget);
    request.body() = std::string(aBytes, 'x');
    request.prepare_payload();
    return request;
  }

  const ByteBudget& Memory() { return *mGateway->State().mMemory; }
};

// Guards against bodies that end the process, and all requests with it.
TEST_F(ShortMemoryTest, ABodyThatDoesNotFitReachesNoUpstream)
{
  ScriptedUpstream& upstream =
    AddUpstream("u1", "app", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(200, kSealed, "done");
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse refused =
      co_await Call(RequestWithBody("/write/x", 200'000));
    EXPECT_EQ(refused.mStatus, 503U);
    EXPECT_FALSE(refused.mRetryAfter.empty());
    EXPECT_TRUE(upstream.Requests().empty());
    EXPECT_EQ(mGateway->State().mMetrics.mMemoryRefusals.Value(), 1U);
    const ClientResponse small =
      co_await Call(RequestWithBody("/write/x", 50'000));
    EXPECT_EQ(small.mStatus, 200U);
  });
  EXPECT_EQ(upstream.Requests().size(), 1U);
  EXPECT_EQ(Memory().Used(), 0U);
}

// Guards against a copy of the body for each attempt, and against an attempt
// that sends another body than the first one.
TEST_F(ShortMemoryTest, AllAttemptsSendTheOneBodyThatIsHeld)
{
  AddUpstream("u1", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(503, "Not-Run: 1\r\n", "");
  });
  ScriptedUpstream& second =
    AddUpstream("u2", "app", [this](ScriptedExchange& aExchange) -> Task<void> {
      EXPECT_EQ(Memory().Used(), 60'000U);
      co_await aExchange.Answer(200, kSealed, "done");
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(RequestWithBody("/write/x", 60'000));
    EXPECT_EQ(response.mStatus, 200U);
  });
  EXPECT_EQ(second.Requests().size(), 1U);
  EXPECT_EQ(second.Requests().front().body(), std::string(60'000, 'x'));
  EXPECT_EQ(Memory().Used(), 0U);
}

// Guards against a response that is given up for want of memory.
TEST_F(ShortMemoryTest, ALongResponseIsRelayedAsItArrives)
{
  AddUpstream("u1", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(200, kSealed, std::string(200'000, 'y'));
  });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    EXPECT_EQ(response.mStatus, 200U);
    EXPECT_TRUE(response.mIsWhole);
    EXPECT_EQ(response.mBody, std::string(200'000, 'y'));
  });
  EXPECT_LE(Memory().Peak(), Memory().Capacity());
  EXPECT_EQ(Memory().Used(), 0U);
}

// Guards against a long refusal that reaches the client as proof that its
// request did not run.
TEST_F(ShortMemoryTest, ALongResponseIsCheckedBeforeItIsRelayed)
{
  AddUpstream("u1", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(503, "", std::string(200'000, 'y'));
  });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    EXPECT_EQ(response.mStatus, 502U);
  });
}

} // namespace cactusgw::test
