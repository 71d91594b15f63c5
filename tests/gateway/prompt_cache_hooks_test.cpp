#include "gateway_fixture.hpp"

namespace cactusgw::test {

namespace {

Task<void>
ServeStream(ScriptedExchange& aExchange)
{
  co_await aExchange.Answer(200, "Seal: s\r\n", "id: 1\ndata: x\n\n");
}

} // namespace

class PromptCacheHooksTest : public GatewayTest
{
protected:
  void CallTimes(int aTimes, const std::string& aTarget)
  {
    Run([&]() -> Task<void> {
      for (int n = 0; n < aTimes; ++n) {
        HttpRequest request = MakeRequest(http::verb::post, aTarget);
        request.set("Prompt-Parts", "base:700,own:9");
        const ClientResponse response = co_await Call(std::move(request));
        EXPECT_EQ(response.mStatus, 200);
      }
    });
  }

  std::uint64_t Hits() const
  {
    return mGateway->State().mMetrics.mPromptCacheHits.Value();
  }
  std::uint64_t Misses() const
  {
    return mGateway->State().mMetrics.mPromptCacheMisses.Value();
  }
};

// A stream that began was not reported to the index, or the last part, which no
// other request has, was counted as shared.
TEST_F(PromptCacheHooksTest, AStreamThatBeganMakesItsUpstreamHoldTheParts)
{
  AddUpstream("a", "engine", &ServeStream);
  StartGateway();
  CallTimes(1, "/stream/x");
  EXPECT_EQ(Hits(), 0U);
  EXPECT_EQ(Misses(), 700U);
  CallTimes(2, "/stream/x");
  EXPECT_EQ(Hits(), 1400U);
  EXPECT_EQ(Misses(), 700U);
}

// A restarted upstream has lost its cache.
TEST_F(PromptCacheHooksTest, ARestartDropsTheParts)
{
  AddUpstream("a", "engine", &ServeStream);
  StartGateway();
  CallTimes(1, "/stream/x");
  UpstreamRecord record = mGateway->State().mDirectory.Find("a")->mRecord;
  record.mStartedMs += 1000;
  mGateway->OnUpstreamChanges({ { "a", record } });
  CallTimes(1, "/stream/x");
  EXPECT_EQ(Hits(), 0U);
  EXPECT_EQ(Misses(), 1400U);
}

// Plain services have no prompt cache.
TEST_F(PromptCacheHooksTest, PlainServicesCountNothing)
{
  AddUpstream("a", "app", &ServeStream);
  StartGateway();
  CallTimes(2, "/write/x");
  EXPECT_EQ(Hits() + Misses(), 0U);
}

} // namespace cactusgw::test
