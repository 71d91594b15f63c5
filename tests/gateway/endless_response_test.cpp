#include "cactusgw/net/address.hpp"
#include "cactusgw/net/http_client.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <ostream>
#include <string>
#include <sys/resource.h>

namespace cactusgw::test {

namespace {

/// What a faulty upstream sends without end.
struct EndlessCase
{
  const char* mName;
  /// Sent once.
  std::string mBegin;
  /// Sent again and again.
  std::string mPiece;
  const char* mTarget = "/read/x";
};

std::ostream&
operator<<(std::ostream& aOut, const EndlessCase& aCase)
{
  return aOut << aCase.mName;
}

std::vector<EndlessCase>
EndlessCases()
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = status + "Seal: s\r\nRequest-Id: r-1\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text(1000, 'x');
  return {
    { "StatusLine", "HTTP/1.1 200 ", text },
    { "NoHttp", "", text },
    { "HeaderField", status + "Name: ", text },
    { "HeaderFields", status, "Name: " + text + "\r\n" },
    { "InterimResponses", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    { "ChunkSize", chunked, std::string(1000, '0') },
    { "ChunkExtension", chunked + "5;name=", text },
    { "ChunkExtensions", chunked + "5", ";name=" + text },
    { "Trailer", chunked + "0\r\nName: ", text },
    { "Trailers", chunked + "0\r\n", "Name: " + text + "\r\n" },
    { "Event", chunked, "3e8\r\n" + text + "\r\n", "/stream/x" },
    { "StreamChunkExtension", chunked + "5;name=", text, "/stream/x" },
    { "StreamTrailer", chunked + "0\r\nName: ", text, "/stream/x" },
  };
}

std::string
NameOf(const ::testing::TestParamInfo<EndlessCase>& aInfo)
{
  return aInfo.param.mName;
}

/// Highest memory use of this process so far, in KiB.
long
PeakMemory()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

} // namespace

class EndlessResponseTest
  : public GatewayTest
  , public ::testing::WithParamInterface<EndlessCase>
{
protected:
  /// More than a gateway may hold, with what the kernel buffers.
  static constexpr std::size_t kMaxBytes = std::size_t{ 64 } << 20U;
  static constexpr long kMaxGrowthKiB = 16L * 1024;

  Script EndlessScript()
  {
    return [this](ScriptedExchange& aExchange) -> Task<void> {
      bool isOpen = co_await aExchange.Write(GetParam().mBegin);
      std::string pieces;
      for (int i = 0; i < 16; ++i) {
        pieces += GetParam().mPiece;
      }
      while (isOpen && mWritten < kMaxBytes) {
        isOpen = co_await aExchange.Write(pieces);
        mWritten += pieces.size();
      }
      aExchange.Close();
    };
  }

  std::size_t mWritten = 0;
};

// A faulty upstream sent bytes that were no answer until the gateway closed;
// the gateway kept them all, ran out of memory and ended.
TEST_P(EndlessResponseTest, IsRefusedInBoundedMemory)
{
  AddUpstream("app", "app", EndlessScript());
  AddUpstream("engine", "engine", EndlessScript());
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    for (GatewayRoute& route : aConfig.mRoutes) {
      route.mMaxAttempts = 1;
    }
  });
  const long before = PeakMemory();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, GetParam().mTarget));
    EXPECT_NE(response.mStatus, 200U);
  });
  RecordProperty("written", std::to_string(mWritten));
  RecordProperty("growthKiB", std::to_string(PeakMemory() - before));
  EXPECT_LT(PeakMemory() - before, kMaxGrowthKiB);
  EXPECT_LT(mWritten, kMaxBytes);
}

// The same for status reports of engines and answers of other services.
TEST_P(EndlessResponseTest, IsRefusedByTheHttpClient)
{
  const ScriptedUpstream upstream{ mContext, EndlessScript() };
  const long before = PeakMemory();
  Run([&]() -> Task<void> {
    HttpRequest request{ http::verb::get, "/", 11 };
    const HttpCallTimes times{ Milliseconds{ 1000 },
                               Milliseconds{ 20'000 },
                               Milliseconds{ 20'000 } };
    const Result<HttpResponse> fetched =
      co_await FetchHttp(upstream.Address(), std::move(request), times, 65'536);
    EXPECT_FALSE(fetched.has_value());
  });
  EXPECT_LT(PeakMemory() - before, kMaxGrowthKiB);
  EXPECT_LT(mWritten, kMaxBytes);
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         EndlessResponseTest,
                         ::testing::ValuesIn(EndlessCases()),
                         &NameOf);

/// A client that sends the header of a chunked request and then pieces without
/// end.
class EndlessRequestTest : public GatewayTest
{
protected:
  /// Ends when the gateway closes. It discards what follows a refused request
  /// for a while, so that the client can read the response.
  Task<void> SendWithoutEnd(std::string aBegin, std::string aPiece)
  {
    constexpr std::size_t kMaxBytes = std::size_t{ 64 } << 20U;
    net::ip::tcp::socket socket{ mContext };
    const Result<net::ip::tcp::endpoint> gateway =
      ParseEndpoint(GatewayAddress());
    beast::error_code ec;
    co_await socket.async_connect(gateway.value(),
                                  net::redirect_error(net::use_awaitable, ec));
    std::size_t written = 0;
    std::string bytes = std::move(aBegin);
    while (!ec && written < kMaxBytes) {
      written +=
        co_await net::async_write(socket,
                                  net::buffer(bytes),
                                  net::redirect_error(net::use_awaitable, ec));
      bytes = aPiece;
    }
  }
};

TEST_F(EndlessRequestTest, ChunkExtensionsAndTrailersAreBounded)
{
  AddUpstream("app", "app", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Answer(200, "Seal: s\r\n", "");
  });
  StartGateway();
  const std::string header = "POST /read/x HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
  const long before = PeakMemory();
  Run([&]() -> Task<void> {
    for (const char* const begin : { "5;name=", "0\r\nName: " }) {
      co_await SendWithoutEnd(header + begin,
                              std::string(std::size_t{ 64 } * 1024, 'x'));
    }
  });
  EXPECT_LT(PeakMemory() - before, 16L * 1024);
  EXPECT_TRUE(mUpstreams.front()->Requests().empty());
}

} // namespace cactusgw::test
