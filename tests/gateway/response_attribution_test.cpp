#include "cactusgw/gateway/response_attribution.hpp"
#include "gateway_fixture.hpp"

#include <map>

namespace cactusgw::test {

namespace {

std::string
IdHeader(const std::string& aId)
{
  return "Request-Id: " + aId + "\r\n";
}

} // namespace

class ResponseAttributionTest : public GatewayTest
{
protected:
  /// Sends a request that can't be repeated.
  Task<ClientResponse> Write(const std::string& aId)
  {
    HttpRequest request = MakeRequest(http::verb::post, "/write/x");
    request.set("Request-Id", aId);
    request.set("Time-Left", "1000");
    co_return co_await Call(std::move(request));
  }

  /// Adds the first upstream and a second one that runs all requests.
  void AddUpstreams(Script aFirst)
  {
    AddUpstream("a", "app", std::move(aFirst));
    AddUpstream("b", "app", [this](ScriptedExchange& aExchange) -> Task<void> {
      co_await RunRequest(aExchange);
    });
    StartGateway();
  }

  Task<void> RunRequest(ScriptedExchange& aExchange)
  {
    const std::string id = aExchange.Header("Request-Id");
    ++mRuns[id];
    co_await aExchange.Answer(200, "Seal: s\r\n" + IdHeader(id), id);
  }

  void RemoveSecondUpstream()
  {
    mGateway->OnUpstreamChanges({ { "b", std::nullopt } });
  }

  /// Runs of each request.
  std::map<std::string, int> mRuns;
};

// A refusal that was written twice was taken for the answer to the next
// request, which its client sent again although the upstream ran it.
TEST_F(ResponseAttributionTest, ARepeatedRefusalWithoutIdIsNotTheNextResponse)
{
  AddUpstreams([this](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(503, "Not-Run: 1\r\n", "");
    if (aExchange.Index() > 0) {
      co_await RunRequest(aExchange);
    }
  });
  Run([&]() -> Task<void> {
    co_await Write("r-1");
    RemoveSecondUpstream();
    const ClientResponse response = co_await Write("r-2");
    EXPECT_TRUE(response.mStatus != 503 || mRuns["r-2"] == 0)
      << "refused after " << mRuns["r-2"] << " runs";
  });
  EXPECT_EQ(mUpstreams[0]->Requests().size(), 2U);
}

// The same refusal made the gateway send a request to a second upstream that
// the first one was running.
TEST_F(ResponseAttributionTest, ARepeatedRefusalDoesNotRunTheNextRequestTwice)
{
  AddUpstreams([this](ScriptedExchange& aExchange) -> Task<void> {
    // The second upstream is back once the first one was chosen.
    if (aExchange.Header("Request-Id") == "r-2") {
      Register("b");
    }
    co_await aExchange.Answer(503, "Not-Run: 1\r\n", "");
    if (aExchange.Index() > 0) {
      co_await RunRequest(aExchange);
    }
  });
  Run([&]() -> Task<void> {
    co_await Write("r-1");
    RemoveSecondUpstream();
    co_await Write("r-2");
  });
  EXPECT_EQ(mRuns["r-2"], 1);
}

// The id doesn't tell a repeated refusal from a new one when the client sends
// the refused request again.
TEST_F(ResponseAttributionTest, ARepeatedRefusalIsNotTheResponseToASecondSend)
{
  AddUpstreams([this](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(
      503, "Not-Run: 1\r\n" + IdHeader(aExchange.Header("Request-Id")), "");
    if (aExchange.Index() > 0) {
      co_await RunRequest(aExchange);
    }
  });
  RemoveSecondUpstream();
  Run([&]() -> Task<void> {
    co_await Write("r-1");
    const ClientResponse response = co_await Write("r-1");
    EXPECT_TRUE(response.mStatus != 503 || mRuns["r-1"] == 0)
      << "refused after " << mRuns["r-1"] << " runs";
  });
  EXPECT_EQ(mUpstreams[0]->Requests().size(), 2U);
}

/// Bytes without the request's id that an upstream writes on a connection that
/// has carried a response, before it runs the request.
class UnidentifiedResponseTest
  : public ResponseAttributionTest
  , public ::testing::WithParamInterface<const char*>
{};

// Bytes that belong to no request were taken for the answer to the next one.
TEST_P(UnidentifiedResponseTest, IsNoResponseOnAReusedConnection)
{
  AddUpstreams([this](ScriptedExchange& aExchange) -> Task<void> {
    if (aExchange.Index() > 0) {
      co_await aExchange.Write(GetParam());
    }
    co_await RunRequest(aExchange);
  });
  RemoveSecondUpstream();
  Run([&]() -> Task<void> {
    const ClientResponse first = co_await Write("r-1");
    EXPECT_EQ(first.mStatus, 200U);
    const ClientResponse second = co_await Write("r-2");
    EXPECT_EQ(second.mStatus, 502U);
  });
  EXPECT_EQ(mRuns["r-2"], 1);
}

INSTANTIATE_TEST_SUITE_P(
  AllStatuses,
  UnidentifiedResponseTest,
  ::testing::Values(
    "HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 S\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 S\r\nSeal: x\r\nContent-Length: 3\r\n\r\nold"));

// Refusals on a new connection can only be the answer to its first request.
TEST_F(ResponseAttributionTest, ARefusalWithoutIdOnANewConnectionIsNotRun)
{
  AddUpstreams([](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(421, "", "");
  });
  RemoveSecondUpstream();
  Run([&]() -> Task<void> {
    for (const char* const id : { "r-1", "r-2" }) {
      const ClientResponse response = co_await Write(id);
      EXPECT_EQ(response.mStatus, 503U);
    }
  });
}

// Under overload, connections must outlive refusals: new ones cost the
// upstream more than the refusal.
TEST_F(ResponseAttributionTest, AnIdentifiedRefusalKeepsTheConnection)
{
  std::vector<std::size_t> indices;
  AddUpstreams([&](ScriptedExchange& aExchange) -> Task<void> {
    indices.push_back(aExchange.Index());
    co_await aExchange.Answer(
      503, "Not-Run: 1\r\n" + IdHeader(aExchange.Header("Request-Id")), "");
  });
  RemoveSecondUpstream();
  Run([&]() -> Task<void> {
    for (const char* const id : { "r-1", "r-2", "r-3" }) {
      const ClientResponse response = co_await Write(id);
      EXPECT_EQ(response.mStatus, 503U);
    }
  });
  EXPECT_EQ(indices, (std::vector<std::size_t>{ 0, 1, 2 }));
}

// An interim response carries no id and says nothing about the request.
TEST_F(ResponseAttributionTest, InterimResponsesOnAReusedConnectionAreSkipped)
{
  AddUpstreams([this](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Write("HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n");
    co_await RunRequest(aExchange);
  });
  RemoveSecondUpstream();
  Run([&]() -> Task<void> {
    for (const std::string id : { "r-1", "r-2" }) {
      const ClientResponse response = co_await Write(id);
      EXPECT_EQ(response.mBody, id);
    }
  });
}

// An upstream that refuses for hours must not make its connections grow.
TEST(ResponseAttributionStateTest, IsNotReusableAfterTheMaximumOfRefusals)
{
  ResponseAttribution attribution;
  for (std::size_t n = 0; n < ResponseAttribution::kMaxRefusals; ++n) {
    EXPECT_TRUE(attribution.IsReusable());
    const std::string id = std::to_string(n);
    attribution.OnRequest(id);
    EXPECT_EQ(attribution.OnResponse(id), ResponseOwner::CurrentRequest);
    attribution.OnRefused();
    EXPECT_TRUE(attribution.HasRefused(id));
  }
  EXPECT_FALSE(attribution.IsReusable());
}

// A response that was skipped counts: the next one without an id may be another
// of the same kind.
TEST(ResponseAttributionStateTest, AResponseWithoutIdAfterASkippedOneIsUnknown)
{
  ResponseAttribution attribution;
  attribution.OnRequest("r-2");
  EXPECT_EQ(attribution.OnResponse("r-1"), ResponseOwner::OtherRequest);
  EXPECT_EQ(attribution.OnResponse(""), ResponseOwner::Unknown);
  EXPECT_FALSE(attribution.IsReusable());
}

} // namespace cactusgw::test
