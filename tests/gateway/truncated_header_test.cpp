#include "cactusgw/engine/http_engine_client.hpp"
#include "cactusgw/net/http_client.hpp"
#include "gateway_fixture.hpp"

namespace cactusgw::test {

namespace {

constexpr std::string_view kInterim = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kLength =
  "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r-1\r\nContent-Length: 10\r\n\r\n";
constexpr std::string_view kChunked =
  "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r-1\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kCloseDelimited =
  "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r-1\r\n\r\n";

constexpr HttpCallTimes kTimes{ Milliseconds{ 1000 },
                                Milliseconds{ 20'000 },
                                Milliseconds{ 20'000 } };
constexpr EngineTimes kEngineTimes{ Milliseconds{ 1000 },
                                    Milliseconds{ 20'000 },
                                    Milliseconds{ 20'000 } };

/// A response header that its upstream doesn't finish.
struct HeaderCase
{
  const char* mName;
  std::string mHeader;
  /// Closes the connection with a reset.
  bool mResets = false;
  /// The connection has carried a response before.
  bool mIsReused = false;
};

std::ostream&
operator<<(std::ostream& aOut, const HeaderCase& aCase)
{
  return aOut << aCase.mName;
}

std::vector<HeaderCase>
NewConnectionCases()
{
  const std::string interim{ kInterim };
  return {
    { "Length", std::string{ kLength } },
    { "LengthReset", std::string{ kLength }, true },
    { "Chunked", std::string{ kChunked } },
    { "ChunkedReset", std::string{ kChunked }, true },
    { "CloseDelimited", std::string{ kCloseDelimited } },
    { "CloseDelimitedReset", std::string{ kCloseDelimited }, true },
    { "AfterInterim", interim + std::string{ kCloseDelimited } },
    { "AfterInterimReset", interim + std::string{ kCloseDelimited }, true }
  };
}

std::vector<HeaderCase>
ReusedConnectionCases()
{
  std::vector<HeaderCase> cases = NewConnectionCases();
  for (HeaderCase& item : cases) {
    item.mIsReused = true;
  }
  return cases;
}

std::string
NameOf(const ::testing::TestParamInfo<HeaderCase>& aInfo)
{
  return aInfo.param.mName;
}

CheckedAddress
Unrestricted(const ScriptedUpstream& aUpstream)
{
  return { aUpstream.Address(),
           []() -> Result<void> { return boost::outcome_v2::success(); } };
}

} // namespace

class TruncatedHeaderTest
  : public GatewayTest
  , public ::testing::WithParamInterface<HeaderCase>
{
protected:
  /// Writes the first mCut bytes of the header and closes. On a connection
  /// that is to be reused, a complete response goes before.
  Task<void> Truncate(ScriptedExchange& aExchange) const
  {
    if (GetParam().mIsReused && aExchange.Index() == 0) {
      co_await aExchange.Answer(
        200,
        "Seal: s\r\nRequest-Id: " + aExchange.Header("Request-Id") + "\r\n",
        "id: 1\n\n");
      co_return;
    }
    co_await aExchange.Write(GetParam().mHeader.substr(0, mCut));
    aExchange.Close(GetParam().mResets);
  }

  Script TruncateScript() const
  {
    return [this](ScriptedExchange& aExchange) -> Task<void> {
      co_await Truncate(aExchange);
    };
  }

  std::size_t mCut = 0;
};

/// Clients that open a connection for each request.
class TruncatedHeaderClientTest : public TruncatedHeaderTest
{};

// An upstream that stopped inside its response header made clients receive a
// success with an empty or short body.
TEST_P(TruncatedHeaderTest, IsNoResponseOnAnyRoute)
{
  AddUpstream("app", "app", TruncateScript());
  AddUpstream("engine", "engine", TruncateScript());
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    for (GatewayRoute& route : aConfig.mRoutes) {
      route.mMaxAttempts = 1;
    }
  });
  Run([&]() -> Task<void> {
    for (mCut = 0; mCut < GetParam().mHeader.size(); ++mCut) {
      for (const char* const target :
           { "/read/x", "/write/x", "/stream/x", "/resumable/x" }) {
        if (GetParam().mIsReused) {
          HttpRequest first = MakeRequest(http::verb::post, target);
          first.set("Request-Id", "r-0");
          const ClientResponse response = co_await Call(std::move(first));
          EXPECT_EQ(response.mStatus, 200U) << target;
        }
        const ClientResponse response =
          co_await Call(MakeRequest(http::verb::post, target));
        EXPECT_EQ(response.mStatus, 502U) << target << " cut at " << mCut;
      }
    }
  });
}

// The same for calls to engines and to services without a gateway's routes.
TEST_P(TruncatedHeaderClientTest, IsAFailureThatMayHaveRun)
{
  const ScriptedUpstream upstream{ mContext, TruncateScript() };
  Run([&]() -> Task<void> {
    for (mCut = 0; mCut < GetParam().mHeader.size(); ++mCut) {
      HttpRequest request{ http::verb::get, "/", 11 };
      const Result<HttpResponse> fetched = co_await FetchHttp(
        upstream.Address(), std::move(request), kTimes, 65'536);
      EXPECT_FALSE(fetched.has_value()) << "cut at " << mCut;
      EXPECT_TRUE(fetched || fetched.error().mVerdict == Verdict::MayHaveRun);

      HttpEngineClient engine;
      const GenerationRequest generation;
      const Result<std::unique_ptr<HttpGenerationStream>> stream =
        co_await engine.Start(Unrestricted(upstream), generation, kEngineTimes);
      EXPECT_FALSE(stream.has_value()) << "cut at " << mCut;
      EXPECT_TRUE(stream || stream.error().mVerdict == Verdict::MayHaveRun);
    }
  });
}

INSTANTIATE_TEST_SUITE_P(NewConnections,
                         TruncatedHeaderTest,
                         ::testing::ValuesIn(NewConnectionCases()),
                         &NameOf);
INSTANTIATE_TEST_SUITE_P(ReusedConnections,
                         TruncatedHeaderTest,
                         ::testing::ValuesIn(ReusedConnectionCases()),
                         &NameOf);
INSTANTIATE_TEST_SUITE_P(NewConnections,
                         TruncatedHeaderClientTest,
                         ::testing::ValuesIn(NewConnectionCases()),
                         &NameOf);

class TruncatedGenerationTest : public GatewayTest
{};

// A stream of an engine without its end event looked complete.
TEST_F(TruncatedGenerationTest,
       AGenerationThatEndsWithItsConnectionIsNotComplete)
{
  const ScriptedUpstream upstream{
    mContext,
    [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Write(
        std::string{ kCloseDelimited } +
        "data: {\"generation\":\"g\",\"text\":\"t\"}\n\n");
      aExchange.Close();
    }
  };
  Run([&]() -> Task<void> {
    HttpEngineClient engine;
    const GenerationRequest generation;
    const Result<std::unique_ptr<HttpGenerationStream>> stream =
      co_await engine.Start(Unrestricted(upstream), generation, kEngineTimes);
    EXPECT_TRUE(stream.has_value());
    if (stream) {
      const Result<GenerationFrame> first = co_await stream.value()->Next();
      EXPECT_TRUE(first.has_value());
      const Result<GenerationFrame> second = co_await stream.value()->Next();
      EXPECT_FALSE(second.has_value());
    }
  });
}

} // namespace cactusgw::test
