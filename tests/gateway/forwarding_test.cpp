#include "cactusgw/gateway/store_backoff.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gmock/gmock.h>

namespace cactusgw::test {

namespace {

Task<void>
RespondOk(ScriptedExchange& aExchange)
{
  co_await aExchange.Answer(200, "Seal: s\r\n", "body");
}

Task<void>
ResetAfterReading(ScriptedExchange& aExchange)
{
  aExchange.Close(true);
  co_return;
}

Task<void>
RefuseAsNotRun(ScriptedExchange& aExchange)
{
  co_await aExchange.Answer(503, "Not-Run: 1\r\n", "");
}

/// An outcome of the first attempt and the response that the client must get.
struct AttemptCase
{
  const char* mName;
  Script mFirstUpstream;
  const char* mTarget;
  unsigned mStatus;
  /// Requests that the two upstreams receive in total.
  std::size_t mAttempts;
};

std::ostream&
operator<<(std::ostream& aOut, const AttemptCase& aCase)
{
  return aOut << aCase.mName;
}

} // namespace

class ForwardingTest : public GatewayTest
{};

class AttemptOutcomeTest
  : public GatewayTest
  , public ::testing::WithParamInterface<AttemptCase>
{};

TEST_P(AttemptOutcomeTest, RespondsAsTheRouteKindAllows)
{
  const AttemptCase& param = GetParam();
  AddUpstream("a-first", "app", param.mFirstUpstream);
  AddUpstream("b-second", "app", &RespondOk);
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, param.mTarget));
    EXPECT_EQ(response.mStatus, param.mStatus);
    EXPECT_TRUE(response.mIsWhole);
    EXPECT_EQ(response.mSeal.empty(), param.mStatus != 200);
  });
  EXPECT_EQ(mUpstreams[0]->Requests().size() + mUpstreams[1]->Requests().size(),
            param.mAttempts);
}

INSTANTIATE_TEST_SUITE_P(
  AllOutcomes,
  AttemptOutcomeTest,
  ::testing::Values(
    AttemptCase{ "ResetIsRetried", &ResetAfterReading, "/read/x", 200, 2 },
    AttemptCase{ "ResetIsNotRetried", &ResetAfterReading, "/write/x", 502, 1 },
    AttemptCase{ "RefusalIsRetried", &RefuseAsNotRun, "/write/x", 200, 2 },
    AttemptCase{
      "TruncatedResponseIsRetried",
      [](ScriptedExchange& aExchange) -> Task<void> {
        co_await aExchange.Write(
          "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 9\r\n\r\nbo");
        aExchange.Close();
      },
      "/read/x",
      200,
      2 },
    AttemptCase{
      "TruncatedResponseIsNotRetried",
      [](ScriptedExchange& aExchange) -> Task<void> {
        co_await aExchange.Write(
          "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 9\r\n\r\nbo");
        aExchange.Close();
      },
      "/write/x",
      502,
      1 },
    AttemptCase{ "UnsealedSuccessIsInvalid",
                 [](ScriptedExchange& aExchange) -> Task<void> {
                   co_await aExchange.Answer(200, "", "forged");
                 },
                 "/write/x",
                 502,
                 1 },
    AttemptCase{ "NonHttpResponseIsInvalid",
                 [](ScriptedExchange& aExchange) -> Task<void> {
                   co_await aExchange.Write("garbage\r\n\r\n");
                 },
                 "/write/x",
                 502,
                 1 },
    AttemptCase{ "UnprovenRefusalMayHaveRun",
                 [](ScriptedExchange& aExchange) -> Task<void> {
                   co_await aExchange.Answer(503, "Seal: s\r\n", "");
                 },
                 "/write/x",
                 502,
                 1 },
    AttemptCase{ "ServerErrorIsRetried",
                 [](ScriptedExchange& aExchange) -> Task<void> {
                   co_await aExchange.Answer(500, "Seal: s\r\n", "");
                 },
                 "/read/x",
                 200,
                 2 },
    AttemptCase{ "EncodedResponseIsInvalid",
                 [](ScriptedExchange& aExchange) -> Task<void> {
                   co_await aExchange.Answer(
                     200, "Seal: s\r\nContent-Encoding: gzip\r\n", "x");
                 },
                 "/write/x",
                 502,
                 1 }),
  [](const ::testing::TestParamInfo<AttemptCase>& aInfo) {
    return std::string{ aInfo.param.mName };
  });

TEST_F(ForwardingTest, SkipsAResponseToAnotherRequest)
{
  AddUpstream("a", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(200, "Seal: x\r\nRequest-Id: old\r\n", "old");
    co_await aExchange.Answer(200, "Seal: s\r\nRequest-Id: r-1\r\n", "mine");
  });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    EXPECT_EQ(response.mBody, "mine");
    EXPECT_EQ(response.mSeal, "s");
  });
}

TEST_F(ForwardingTest, DoesNotReuseAConnectionAfterAnExtraResponse)
{
  AddUpstream("a", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    const std::string id = aExchange.Header("Request-Id");
    co_await aExchange.Answer(200, "Seal: s\r\nRequest-Id: " + id + "\r\n", id);
    co_await aExchange.Answer(
      200, "Seal: s\r\nRequest-Id: " + id + "\r\n", "extra");
  });
  StartGateway();
  Run([&]() -> Task<void> {
    for (const char* const id : { "r-1", "r-2", "r-3" }) {
      HttpRequest request = MakeRequest(http::verb::post, "/write/x");
      request.set("Request-Id", id);
      const ClientResponse response = co_await Call(std::move(request));
      EXPECT_EQ(response.mBody, id);
    }
  });
}

TEST_F(ForwardingTest, ReplacesReservedHeaders)
{
  ScriptedUpstream& upstream = AddUpstream("a", "app", &RespondOk);
  StartGateway();
  Run([&]() -> Task<void> {
    HttpRequest request = MakeRequest(http::verb::post, "/write/x");
    request.set("Expected", "forged");
    request.set("Workspace", "forged");
    request.set("Moved-From", "forged");
    request.set("Connection", "X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Other", "kept");
    co_await Call(std::move(request));
  });
  ASSERT_EQ(upstream.Requests().size(), 1U);
  const HttpRequest& got = upstream.Requests()[0];
  EXPECT_EQ(got["Expected"], "a");
  EXPECT_EQ(got["Workspace"], "workspace");
  EXPECT_EQ(got["Moved-From"], "");
  EXPECT_EQ(got["Authorization"], "");
  EXPECT_EQ(got["X-Hop"], "");
  EXPECT_EQ(got["X-Other"], "kept");
}

TEST_F(ForwardingTest, SendsTheSmallerOfClientAndRouteTimeout)
{
  ScriptedUpstream& upstream = AddUpstream("a", "app", &RespondOk);
  StartGateway();
  Run([&]() -> Task<void> {
    HttpRequest request = MakeRequest(http::verb::post, "/write/x");
    request.set("Time-Left", "900");
    co_await Call(std::move(request));
    HttpRequest patient = MakeRequest(http::verb::post, "/write/x");
    patient.set("Time-Left", "90000");
    co_await Call(std::move(patient));
  });
  ASSERT_EQ(upstream.Requests().size(), 2U);
  EXPECT_LE(std::stoi(std::string{ upstream.Requests()[0]["Time-Left"] }), 900);
  EXPECT_LE(std::stoi(std::string{ upstream.Requests()[1]["Time-Left"] }),
            5000);
}

TEST_F(ForwardingTest, ClientDisconnectCancelsTheUpstreamRequest)
{
  bool closed = false;
  AddUpstream("a", "app", [&](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.WaitForClose();
    closed = true;
    aExchange.Close();
  });
  StartGateway();
  Run([&]() -> Task<void> {
    Result<std::unique_ptr<HttpConnection>> client =
      co_await HttpConnection::Connect(GatewayAddress(), Milliseconds{ 1000 });
    HttpRequest request = MakeRequest(http::verb::post, "/write/x");
    const Instant soon = std::chrono::steady_clock::now() + Milliseconds{ 200 };
    const Result<void> sent = co_await client.value()->Exchange(request, soon);
    EXPECT_FALSE(sent.has_value());
    client.value().reset();
    while (!closed) {
      co_await net::post(net::use_awaitable);
    }
  });
}

struct AdmissionCase
{
  const char* mName;
  const char* mTarget;
  const char* mKey;
  unsigned mStatus;
};

std::ostream&
operator<<(std::ostream& aOut, const AdmissionCase& aCase)
{
  return aOut << aCase.mName;
}

class AdmissionTest
  : public GatewayTest
  , public ::testing::WithParamInterface<AdmissionCase>
{};

TEST_P(AdmissionTest, RespondsByRouteAndKey)
{
  AddUpstream("a", "app", &RespondOk);
  StartGateway();
  Run([&]() -> Task<void> {
    HttpRequest request = MakeRequest(http::verb::post, GetParam().mTarget);
    request.set(http::field::authorization, GetParam().mKey);
    const ClientResponse response = co_await Call(std::move(request));
    EXPECT_EQ(response.mStatus, GetParam().mStatus);
  });
}

INSTANTIATE_TEST_SUITE_P(
  AllCases,
  AdmissionTest,
  ::testing::Values(
    AdmissionCase{ "KnownKey", "/write/x", "Bearer key", 200 },
    AdmissionCase{ "UnknownKey", "/write/x", "Bearer other", 401 },
    AdmissionCase{ "OtherScheme", "/write/x", "Basic key", 401 },
    AdmissionCase{ "UnknownRoute", "/nowhere/x", "Bearer key", 404 },
    AdmissionCase{ "PrefixWithoutSlash", "/write", "Bearer key", 404 }),
  [](const ::testing::TestParamInfo<AdmissionCase>& aInfo) {
    return std::string{ aInfo.param.mName };
  });

TEST_F(ForwardingTest, StaleKeysAreRefusedAsNotRunAndNotAsUnknown)
{
  AddUpstream("a", "app", &RespondOk);
  mSettings.mBounds.mKeyFreshness = Milliseconds{ 60'000 };
  mConfigAge = Milliseconds{ 60'000 };
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    EXPECT_EQ(response.mStatus, 503U);
    EXPECT_FALSE(response.mRetryAfter.empty());
  });
}

TEST_F(ForwardingTest, IgnoresAnOlderConfiguration)
{
  AddUpstream("a", "app", &RespondOk);
  StartGateway();
  GatewayConfig older = StandardConfig();
  older.mVersion = 0;
  older.mRoutes.clear();
  mGateway->OnConfig(std::move(older));
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    EXPECT_EQ(response.mStatus, 200U);
  });
}

TEST_F(ForwardingTest, SendsNothingToADrainingUpstream)
{
  ScriptedUpstream& draining = AddUpstream("a", "app", &RespondOk);
  AddUpstream("b", "app", &RespondOk);
  StartGateway();
  Drain("a");
  Run([&]() -> Task<void> {
    for (int n = 0; n < 5; ++n) {
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    }
  });
  EXPECT_TRUE(draining.Requests().empty());
}

TEST_F(ForwardingTest, WithoutUpstreamsTheRequestIsRefusedAsNotRun)
{
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    EXPECT_EQ(response.mStatus, 503U);
    EXPECT_FALSE(response.mRetryAfter.empty());
  });
}

TEST_F(ForwardingTest, ResumesAStreamAtAnotherUpstream)
{
  AddUpstream("a", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.BeginChunks("Seal: s\r\n");
    co_await aExchange.Chunk("id: 1\ndata: t\n\nid: 2\nda");
    aExchange.Close(true);
  });
  ScriptedUpstream& second =
    AddUpstream("b", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks("Seal: other\r\n");
      co_await aExchange.Chunk("id: 2\ndata: t\n\n");
      co_await aExchange.EndChunks();
    });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/resumable/x"));
    EXPECT_TRUE(response.mIsWhole);
    EXPECT_EQ(response.mSeal, "s");
    EXPECT_EQ(response.mBody, "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
  });
  ASSERT_EQ(second.Requests().size(), 1U);
  EXPECT_EQ(second.Requests()[0]["Last-Event-Id"], "1");
}

/// The request arrives after Stop(), while the gateway still accepts
/// connections.
TEST_F(ForwardingTest, FinishesOpenRequestsBeforeStopping)
{
  bool stopped = false;
  AddUpstream("a", "app", [&](ScriptedExchange& aExchange) -> Task<void> {
    mGateway->Stop([&] { stopped = true; });
    co_await RespondOk(aExchange);
  });
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/write/x"));
    EXPECT_EQ(response.mStatus, 200U);
    while (!stopped) {
      co_await net::post(net::use_awaitable);
    }
  });
}

} // namespace cactusgw::test
