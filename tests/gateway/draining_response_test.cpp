#include "gateway_fixture.hpp"

namespace cactusgw::test {

namespace {

Script
RespondWith(unsigned aStatus, std::string aHeaders)
{
  return [aStatus, aHeaders = std::move(aHeaders)](
           ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(aStatus, aHeaders, "x");
  };
}

const char* const kDraining = "Seal: s\r\nDraining: 1\r\n";

} // namespace

class DrainingResponseTest : public GatewayTest
{
protected:
  void CallTimes(int aTimes, const std::string& aTarget = "/write/x")
  {
    Run([&]() -> Task<void> {
      for (int n = 0; n < aTimes; ++n) {
        const ClientResponse response =
          co_await Call(MakeRequest(http::verb::post, aTarget));
        mStatus = response.mStatus;
      }
    });
  }

  unsigned mStatus = 0;
};

class DrainingResponseKindTest
  : public DrainingResponseTest
  , public ::testing::WithParamInterface<Script>
{};

// An upstream that stated in a response that it is draining got requests
// until its registration said so too, and again when an older one was read.
TEST_P(DrainingResponseKindTest, TheUpstreamGetsNoFurtherRequest)
{
  ScriptedUpstream& draining = AddUpstream("a", "app", GetParam());
  StartGateway();
  CallTimes(1);
  ASSERT_EQ(draining.Requests().size(), 1U);
  CallTimes(1);
  EXPECT_EQ(mStatus, 503U);
  Register("a");
  CallTimes(1);
  EXPECT_EQ(mStatus, 503U);
  EXPECT_EQ(draining.Requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  DrainingResponseKindTest,
  ::testing::Values(RespondWith(200, kDraining),
                    RespondWith(404, kDraining),
                    RespondWith(429, "Not-Run: 1\r\nDraining: 1\r\n"),
                    RespondWith(500, kDraining),
                    RespondWith(503, "Not-Run: 1\r\nDraining: 1\r\n"),
                    RespondWith(503, "Draining: 1\r\n"),
                    [](ScriptedExchange& aExchange) -> Task<void> {
                      co_await aExchange.BeginChunks(kDraining);
                      co_await aExchange.Chunk("x");
                      co_await aExchange.EndChunks();
                    }));

// The registration of a draining upstream expires and returns when the store
// is down for a while.
TEST_F(DrainingResponseTest, ARegistrationThatReturnsDoesNotUndoTheStatement)
{
  ScriptedUpstream& draining =
    AddUpstream("a", "app", RespondWith(200, kDraining));
  AddUpstream("b", "app", RespondWith(200, "Seal: s\r\n"));
  StartGateway();
  CallTimes(1);
  mGateway->OnUpstreamChanges({ { "a", std::nullopt } });
  Register("a");
  CallTimes(3);
  EXPECT_EQ(draining.Requests().size(), 1U);
}

// A connection of a draining upstream stayed in the pool.
TEST_F(DrainingResponseTest, ConnectionsToTheUpstreamAreClosed)
{
  bool wasClosed = false;
  AddUpstream(
    "a", "app", [&wasClosed](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Answer(200, kDraining, "x");
      co_await aExchange.WaitForClose();
      wasClosed = true;
    });
  StartGateway();
  CallTimes(1);
  const Instant end = std::chrono::steady_clock::now() +
                      UpstreamConnectionPool::kDefaultIdleTimeout / 4;
  while (!wasClosed && std::chrono::steady_clock::now() < end) {
    mContext.poll_one();
  }
  EXPECT_TRUE(wasClosed);
}

TEST_F(DrainingResponseTest, ARestartedUpstreamGetsRequestsAgain)
{
  ScriptedUpstream& upstream =
    AddUpstream("a", "app", RespondWith(200, kDraining));
  AddUpstream("b", "app", RespondWith(200, "Seal: s\r\n"));
  StartGateway();
  CallTimes(1);
  Register("a", 2);
  CallTimes(1);
  EXPECT_EQ(upstream.Requests().size(), 2U);
}

class OtherStatementTest
  : public DrainingResponseTest
  , public ::testing::WithParamInterface<Script>
{};

// Responses that state nothing, or nothing about this upstream, took it out of
// service.
TEST_P(OtherStatementTest, TheUpstreamKeepsGettingRequests)
{
  ScriptedUpstream& upstream = AddUpstream("a", "app", GetParam());
  StartGateway();
  CallTimes(2);
  EXPECT_EQ(upstream.Requests().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  OtherStatementTest,
  ::testing::Values(RespondWith(200, "Seal: s\r\nDraining: 0\r\n"),
                    RespondWith(200, "Seal: s\r\nDraining:\r\n"),
                    // Another upstream took over the address.
                    RespondWith(421, "Not-Run: 1\r\nDraining: 1\r\n"),
                    [](ScriptedExchange& aExchange) -> Task<void> {
                      co_await aExchange.Write(
                        "HTTP/1.1 503 x\r\nRequest-Id: other\r\n"
                        "Draining: 1\r\nContent-Length: 0\r\n\r\n");
                      co_await aExchange.Answer(
                        200, "Seal: s\r\nRequest-Id: r-1\r\n", "x");
                    }));

} // namespace cactusgw::test
