#include "cactusgw/net/http_client.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cactusgw::test {

namespace {

/// More than the buffers of the sockets between an upstream and a client hold.
constexpr std::size_t kMaxBufferedBytes = std::size_t{ 64 } * 1024 * 1024;

constexpr const char* kCloseDelimited = "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n";

/// Writes the beginning, and then the same bytes until the other side closes.
/// Counts the bytes.
Script
WithoutEnd(std::string aBegin, std::string aRepeated, std::size_t& aWritten)
{
  return [aBegin = std::move(aBegin),
          aRepeated = std::move(aRepeated),
          &aWritten](ScriptedExchange& aExchange) -> Task<void> {
    bool isOpen = co_await aExchange.Write(aBegin);
    while (isOpen) {
      isOpen = co_await aExchange.Write(aRepeated);
      aWritten += aRepeated.size();
    }
    aExchange.Close();
  };
}

Script
WriteAndClose(std::string aBytes)
{
  return
    [aBytes = std::move(aBytes)](ScriptedExchange& aExchange) -> Task<void> {
      co_await aExchange.Write(aBytes);
      aExchange.Close();
    };
}

} // namespace

class BadBytesTest : public GatewayTest
{
protected:
  /// Calls a gateway whose only upstream of each service answers as scripted.
  ClientResponse CallWith(const Script& aScript, const std::string& aTarget)
  {
    AddUpstream("app", "app", aScript);
    AddUpstream("engine", "engine", aScript);
    StartGateway();
    ClientResponse response;
    Run([&]() -> Task<void> {
      response = co_await Call(MakeRequest(http::verb::post, aTarget));
    });
    return response;
  }
};

// Guards against content whose coding the client isn't told: the header that
// names it concerns one connection only and isn't passed on.
TEST_F(BadBytesTest, ABodyWithATransferCodingIsNoAnswer)
{
  const ClientResponse response =
    CallWith(WriteAndClose("HTTP/1.1 200 OK\r\nSeal: s\r\n"
                           "Transfer-Encoding: gzip, chunked\r\n\r\n"
                           "2\r\nab\r\n0\r\n\r\n"),
             "/write/x");
  EXPECT_EQ(response.mStatus, 502U);
  EXPECT_EQ(response.mSeal, "");
}

// Guards against a status that HTTP doesn't define reaching the client as an
// answer, and against a wait for the rest of a response that has ended.
TEST_F(BadBytesTest, AResponseWithoutAValidStatusIsNoAnswer)
{
  for (const char* const status :
       { "000", "001", "099", "600", "700", "999", "101", "150", "199" }) {
    AddUpstream(std::string{ "app-" } + status,
                "app",
                WriteAndClose(std::string{ "HTTP/1.1 " } + status +
                              " X\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"));
  }
  StartGateway();
  Run([&]() -> Task<void> {
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      const ClientResponse response =
        co_await Call(MakeRequest(http::verb::post, "/write/x"));
      EXPECT_EQ(response.mStatus, 502U);
      EXPECT_EQ(response.mSeal, "");
    }
  });
}

// Interim responses, and the classes that HTTP defines, pass.
TEST_F(BadBytesTest, InterimResponsesAndUncommonStatusesAreAnswers)
{
  const ClientResponse response =
    CallWith(WriteAndClose("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                           "HTTP/1.1 299 X\r\nSeal: s\r\n"
                           "Content-Length: 2\r\n\r\nok"),
             "/write/x");
  EXPECT_EQ(response.mStatus, 299U);
  EXPECT_EQ(response.mBody, "ok");
}

// An answer with neither a length nor chunks is whole at the end of its
// connection.
TEST_F(BadBytesTest, ABodyWithoutFramingEndsWithItsConnection)
{
  const ClientResponse response = CallWith(
    WriteAndClose(std::string{ kCloseDelimited } + "body"), "/write/x");
  EXPECT_EQ(response.mStatus, 200U);
  EXPECT_EQ(response.mBody, "body");
  EXPECT_TRUE(response.mIsWhole);
}

TEST_F(BadBytesTest, AStreamWithoutFramingEndsWithItsConnection)
{
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const ClientResponse response =
    CallWith(WriteAndClose(kCloseDelimited + events), "/stream/x");
  EXPECT_EQ(response.mBody, events);
  EXPECT_TRUE(response.mIsWhole);
}

// The end of the connection made a stream look whole that a crash had cut.
TEST_F(BadBytesTest, AStreamThatEndsInsideAnEventIsBrokenOff)
{
  const ClientResponse response =
    CallWith(WriteAndClose(std::string{ kCloseDelimited } +
                           "id: 1\ndata: a\n\nid: 2\nda"),
             "/stream/x");
  EXPECT_EQ(response.mBody, "id: 1\ndata: a\n\n");
  EXPECT_FALSE(response.mIsWhole);
}

TEST_F(BadBytesTest, AFramedStreamThatEndsInsideAnEventIsBrokenOff)
{
  const Script script = [](ScriptedExchange& aExchange) -> Task<void> {
    co_await aExchange.BeginChunks("Seal: s\r\n");
    co_await aExchange.Chunk("id: 1\ndata: a\n\nid: 2\nda");
    co_await aExchange.EndChunks();
  };
  const ClientResponse response = CallWith(script, "/stream/x");
  EXPECT_EQ(response.mBody, "id: 1\ndata: a\n\n");
  EXPECT_FALSE(response.mIsWhole);
}

// A crash before the first event looked like an empty stream.
TEST_F(BadBytesTest, AStreamWithoutFramingAndEventsIsNoAnswer)
{
  const ClientResponse response =
    CallWith(WriteAndClose(kCloseDelimited), "/stream/x");
  EXPECT_EQ(response.mStatus, 502U);
}

// A stream that is cut inside an event is resumed behind the last whole one.
TEST_F(BadBytesTest, AResumableStreamGoesOnBehindItsLastWholeEvent)
{
  AddUpstream("a",
              "engine",
              WriteAndClose(std::string{ kCloseDelimited } +
                            "id: 1\ndata: a\n\nid: 2\nda"));
  ScriptedUpstream& second = AddUpstream(
    "b", "engine", WriteAndClose(std::string{ kCloseDelimited } + "id: 2\n\n"));
  StartGateway();
  Run([&]() -> Task<void> {
    const ClientResponse response =
      co_await Call(MakeRequest(http::verb::post, "/resumable/x"));
    EXPECT_EQ(response.mBody, "id: 1\ndata: a\n\nid: 2\n\n");
    EXPECT_TRUE(response.mIsWhole);
  });
  ASSERT_EQ(second.Requests().size(), 1U);
  EXPECT_EQ(second.Requests()[0]["Last-Event-Id"], "1");
}

// Bytes without end must neither fill the memory nor hold the request for long.
TEST_F(BadBytesTest, AHeadWithoutEndIsCutOff)
{
  std::size_t written = 0;
  const std::string field = "X: " + std::string(1000, 'x') + "\r\n";
  const ClientResponse response =
    CallWith(WithoutEnd("HTTP/1.1 200 OK\r\n", field, written), "/write/x");
  EXPECT_EQ(response.mStatus, 502U);
  EXPECT_LT(written, kMaxBufferedBytes);
}

TEST_F(BadBytesTest, AnEventWithoutEndIsCutOff)
{
  std::size_t written = 0;
  const ClientResponse response = CallWith(
    WithoutEnd(kCloseDelimited, std::string(1000, 'x'), written), "/stream/x");
  EXPECT_EQ(response.mStatus, 502U);
  EXPECT_LT(written, kMaxBufferedBytes);
}

TEST_F(BadBytesTest, InterimResponsesWithoutEndAreCutOff)
{
  std::size_t written = 0;
  const ClientResponse response = CallWith(
    WithoutEnd("", "HTTP/1.1 100 Continue\r\n\r\n", written), "/write/x");
  EXPECT_EQ(response.mStatus, 502U);
  EXPECT_LT(written, kMaxBufferedBytes);
}

// The same for the calls that move generations and ask for reports.
TEST_F(BadBytesTest, AControlCallWithoutEndIsCutOff)
{
  constexpr HttpCallTimes kTimes{ Milliseconds{ 1000 },
                                  Milliseconds{ 20'000 },
                                  Milliseconds{ 20'000 } };
  std::size_t written = 0;
  const std::string body(1000, 'x');
  const std::string field = "X: " + body + "\r\n";
  const ScriptedUpstream endlessBody{
    mContext, WithoutEnd(kCloseDelimited, body, written)
  };
  const ScriptedUpstream endlessHead{
    mContext, WithoutEnd("HTTP/1.1 200 OK\r\n", field, written)
  };
  Run([&]() -> Task<void> {
    for (const std::string& address :
         { endlessBody.Address(), endlessHead.Address() }) {
      HttpRequest request{ http::verb::get, "/report", 11 };
      const Result<HttpResponse> response =
        co_await FetchHttp(address, std::move(request), kTimes, 65'536);
      EXPECT_FALSE(response.has_value());
    }
  });
  EXPECT_LT(written, kMaxBufferedBytes);
}

// A client that does not read must stop the upstream, not fill the memory.
TEST_F(BadBytesTest, ABodyWithoutEndWaitsForTheClient)
{
  std::size_t written = 0;
  AddUpstream("app",
              "app",
              WithoutEnd(kCloseDelimited, std::string(16'384, 'x'), written));
  StartGateway();
  Run([&]() -> Task<void> {
    Result<std::unique_ptr<HttpConnection>> connected =
      co_await HttpConnection::Connect(GatewayAddress(), Milliseconds{ 1000 });
    HttpRequest request = MakeRequest(http::verb::post, "/write/x");
    const Instant until =
      std::chrono::steady_clock::now() + std::chrono::seconds{ 20 };
    const Result<void> head =
      co_await connected.value()->Exchange(request, until);
    EXPECT_TRUE(head.has_value());
    // The client reads nothing. The upstream is blocked once its bytes fill the
    // buffers on the way.
    std::size_t before = 0;
    do {
      before = written;
      net::steady_timer timer{ mContext, Milliseconds{ 200 } };
      co_await timer.async_wait(net::use_awaitable);
    } while (before != written && written < kMaxBufferedBytes);
    EXPECT_LT(written, kMaxBufferedBytes);
  });
}

} // namespace cactusgw::test
