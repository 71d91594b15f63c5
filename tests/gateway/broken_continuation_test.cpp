#include "cactusgw/net/address.hpp"
#include "cactusgw/net/http_server.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <gmock/gmock.h>

namespace cactusgw::test {

namespace {

using ::testing::EndsWith;
using ::testing::HasSubstr;
using ::testing::Not;

constexpr const char* kLastChunk = "0\r\n\r\n";

/// Sends the request and returns all bytes until the server closes.
Task<std::string>
ReadBytes(std::string aAddress, HttpRequest aRequest)
{
  const Result<net::ip::tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  net::ip::tcp::socket socket{ co_await net::this_coro::executor };
  co_await socket.async_connect(endpoint.value(), net::use_awaitable);
  aRequest.keep_alive(false);
  co_await http::async_write(socket, aRequest, net::use_awaitable);
  std::string bytes;
  beast::error_code ec;
  co_await net::async_read(socket,
                           net::dynamic_buffer(bytes),
                           net::redirect_error(net::use_awaitable, ec));
  co_return bytes;
}

std::size_t
CountOf(std::string_view aText, std::string_view aPart)
{
  std::size_t count = 0;
  std::size_t at = aText.find(aPart);
  while (at != std::string_view::npos) {
    ++count;
    at = aText.find(aPart, at + aPart.size());
  }
  return count;
}

/// An upstream's response to a request to continue a stream after event 2.
struct ContinuationCase
{
  const char* mName;
  const char* mBytes;
};

std::ostream&
operator<<(std::ostream& aOut, const ContinuationCase& aCase)
{
  return aOut << aCase.mName;
}

constexpr const char* kFirstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

Task<void>
BreakOff(ScriptedExchange& aExchange)
{
  co_await aExchange.BeginChunks("Seal: s\r\n");
  co_await aExchange.Chunk(kFirstEvents);
  aExchange.Close();
}

} // namespace

class BrokenContinuationTest
  : public GatewayTest
  , public ::testing::WithParamInterface<ContinuationCase>
{};

// The response to a request to continue a stream was written into the stream,
// with its header, or the stream ended as if it were complete.
TEST_P(BrokenContinuationTest, TheStreamEndsVisiblyBroken)
{
  AddUpstream("a", "engine", &BreakOff);
  AddUpstream("b", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.Write(GetParam().mBytes);
  });
  StartGateway();
  Run([&]() -> Task<void> {
    const std::string bytes = co_await ReadBytes(
      GatewayAddress(), MakeRequest(http::verb::post, "/resumable/x"));
    EXPECT_EQ(CountOf(bytes, "HTTP/1.1"), 1U);
    EXPECT_EQ(CountOf(bytes, "data:"), 2U);
    EXPECT_THAT(bytes, HasSubstr(kFirstEvents));
    EXPECT_THAT(bytes, Not(HasSubstr("text")));
    EXPECT_THAT(bytes, Not(EndsWith(kLastChunk)));
  });
  EXPECT_EQ(mUpstreams[1]->Requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
  AllResponses,
  BrokenContinuationTest,
  ::testing::Values(
    ContinuationCase{ "ServerError",
                      "HTTP/1.1 500 S\r\nContent-Length: 4\r\n\r\ntext" },
    ContinuationCase{ "ClientError",
                      "HTTP/1.1 404 S\r\nContent-Length: 4\r\n\r\ntext" },
    ContinuationCase{ "Redirection",
                      "HTTP/1.1 302 S\r\nContent-Length: 0\r\n\r\n" },
    ContinuationCase{ "UnprovenRefusal",
                      "HTTP/1.1 503 S\r\nContent-Length: 4\r\n\r\ntext" },
    ContinuationCase{
      "Refusal",
      "HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\ntext" },
    ContinuationCase{ "NoContent", "HTTP/1.1 204 S\r\nSeal: o\r\n\r\n" },
    ContinuationCase{ "ResetContent",
                      "HTTP/1.1 205 S\r\nSeal: o\r\n"
                      "Content-Length: 0\r\n\r\n" },
    ContinuationCase{ "OtherContent",
                      "HTTP/1.1 200 S\r\nSeal: o\r\n"
                      "Content-Type: application/json\r\n"
                      "Content-Length: 6\r\n\r\ntext\n\n" },
    ContinuationCase{ "EventsFromTheBeginning",
                      "HTTP/1.1 200 S\r\nSeal: o\r\nContent-Length: 28\r\n\r\n"
                      "id: 1\ndata: text\n\nid: 2\ndata" },
    ContinuationCase{ "LastEventAgain",
                      "HTTP/1.1 200 S\r\nSeal: o\r\nContent-Length: 18\r\n\r\n"
                      "id: 2\ndata: text\n\n" }),
  [](const ::testing::TestParamInfo<ContinuationCase>& aInfo) {
    return std::string{ aInfo.param.mName };
  });

class ResumedStreamTest : public GatewayTest
{};

// Comments before the first event of a continuation made the gateway forget
// where the stream was, and the next break ended it.
TEST_F(ResumedStreamTest, AStreamIsResumedAgainAfterAContinuationWithoutEvents)
{
  AddUpstream("a", "engine", &BreakOff);
  AddUpstream("b", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.BeginChunks("Seal: o\r\n");
    co_await aExchange.Chunk(": comment\n\n");
    aExchange.Close();
  });
  ScriptedUpstream& third =
    AddUpstream("c", "engine", [](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.BeginChunks("Seal: o\r\n");
      co_await aExchange.Chunk("id: 3\ndata: c\n\n");
      co_await aExchange.EndChunks();
    });
  StartGateway();
  Configure(2, [](GatewayConfig& aConfig) {
    for (GatewayRoute& route : aConfig.mRoutes) {
      route.mMaxAttempts = 3;
    }
  });
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/resumable/x"));
    EXPECT_TRUE(response.mIsWhole);
  });
  ASSERT_EQ(third.Requests().size(), 1U);
  EXPECT_EQ(third.Requests()[0]["Last-Event-Id"], "2");
}

/// How a handler tries to begin a second response.
class SecondResponseTest
  : public GatewayTest
  , public ::testing::WithParamInterface<bool>
{};

// Whatever a handler does, a response must not hold the header of another one.
TEST_P(SecondResponseTest, ClosesTheConnection)
{
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    mContext,
    mSettings.mListen,
    [] { return HttpServerLimits{}; },
    [](HttpExchange& aExchange) -> Task<void> {
      HttpResponse first;
      HttpResponse second;
      static_cast<void>(co_await aExchange.Begin(std::move(first)));
      static_cast<void>(co_await aExchange.Write("first"));
      if (GetParam()) {
        const Result<void> begun = co_await aExchange.Begin(std::move(second));
        EXPECT_FALSE(begun.has_value());
      } else {
        const Result<void> sent = co_await aExchange.Send(std::move(second));
        EXPECT_FALSE(sent.has_value());
      }
      static_cast<void>(co_await aExchange.Finish());
    });
  ASSERT_TRUE(server.has_value());
  Run([&]() -> Task<void> {
    const std::string bytes =
      co_await ReadBytes(GatewayAddress(), MakeRequest(http::verb::get, "/"));
    EXPECT_EQ(CountOf(bytes, "HTTP/1.1"), 1U);
    EXPECT_THAT(bytes, HasSubstr("first"));
    EXPECT_THAT(bytes, Not(EndsWith(kLastChunk)));
  });
}

INSTANTIATE_TEST_SUITE_P(SendAndBegin, SecondResponseTest, ::testing::Bool());

} // namespace cactusgw::test
