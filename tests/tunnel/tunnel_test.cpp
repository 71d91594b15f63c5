#include "cactusgw/net/address.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/tunnel/tunnel_protocol.hpp"
#include "free_address.hpp"
#include "scripted_upstream.hpp"
#include "tunnel_fixture.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <sstream>

namespace cactusgw::test {

namespace {

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

std::string
HeaderOf(const TunnelRequest& aRequest)
{
  std::ostringstream header;
  header << MakeTunnelHeader(TunnelCall::Open, aRequest);
  return header.str();
}

void
Reset(net::ip::tcp::socket& aSocket)
{
  aSocket.set_option(net::socket_base::linger{ true, 0 });
  aSocket.close();
}

} // namespace

// Bytes that the carrier loses or mixes.
TEST_F(TunnelTest, PassesLargeBodiesBothWays)
{
  constexpr int kBodyBytes = 4 * 1024 * 1024;
  StartCarrier();
  RawTunnel tunnel = OpenRaw(Request("1"));
  std::string body;
  for (int n = 0; n < kBodyBytes; ++n) {
    body += static_cast<char>('a' + n % 23);
  }
  for (const bool isRequest : { true, false }) {
    Tcp::socket& from = isRequest ? tunnel.mAsker : tunnel.mUpstream;
    Tcp::socket& to = isRequest ? tunnel.mUpstream : tunnel.mAsker;
    std::string received;
    std::string part(16'384, '\0');
    std::size_t sent = 0;
    RunUntil([&] {
      beast::error_code ec;
      const std::string_view rest = std::string_view{ body }.substr(sent);
      sent += rest.empty() ? 0 : from.send(net::buffer(rest), 0, ec);
      received += part.substr(0, to.receive(net::buffer(part), 0, ec));
      return received.size() == body.size();
    });
    EXPECT_TRUE(received == body);
  }
}

// A stream that is held back, and a connection that carries one request only.
TEST_F(TunnelTest, CarriesHttpAsItArrives)
{
  net::steady_timer more{ mContext, Instant::max() };
  ScriptedUpstream upstream{
    mContext,
    [&](ScriptedExchange& aExchange) -> Task<void> {
      if (aExchange.Index() == 0) {
        co_await aExchange.Answer(200, "", aExchange.Request().body());
        co_return;
      }
      co_await aExchange.BeginChunks("");
      co_await aExchange.Chunk("first");
      beast::error_code ec;
      co_await more.async_wait(net::redirect_error(net::use_awaitable, ec));
      co_await aExchange.Chunk("second");
      co_await aExchange.EndChunks();
    }
  };
  mUpstreamAddress = upstream.Address();
  StartCarrier();
  Opened opened = Open(Request("1"));
  ASSERT_TRUE(opened.has_value());
  const auto use = [&]() -> Task<void> {
    HttpConnection& connection = *opened.value();
    const Instant until = SteadyNow() + kTestTime;
    HttpRequest request{ http::verb::post, "/", 11 };
    request.body() = "body";
    request.prepare_payload();
    EXPECT_TRUE(co_await connection.Exchange(request, until));
    EXPECT_EQ((co_await connection.ReadSome(until)).value(), "body");
    EXPECT_EQ((co_await connection.ReadSome(until)).value(), "");
    EXPECT_TRUE(connection.IsReusable());
    EXPECT_TRUE(co_await connection.Exchange(request, until));
    EXPECT_EQ((co_await connection.ReadSome(until)).value(), "first");
    more.cancel();
    EXPECT_EQ((co_await connection.ReadSome(until)).value(), "second");
    EXPECT_EQ((co_await connection.ReadSome(until)).value(), "");
  };
  Run(use());
}

// Upstreams that generate for requests whose clients have left.
TEST_F(TunnelTest, TheAskersCloseClosesTheUpstreamsConnection)
{
  StartCarrier();
  for (const bool isReset : { false, true }) {
    RawTunnel tunnel = OpenRaw(Request(isReset ? "2" : "1"));
    tunnel.mAsker.send(net::buffer(kRequest));
    if (isReset) {
      Reset(tunnel.mAsker);
    } else {
      tunnel.mAsker.close();
    }
    ReadToEnd(tunnel.mUpstream);
    RunUntil([&] { return mServer->OpenTunnels() == 0; });
    EXPECT_EQ(EndOf(Request(isReset ? "2" : "1")), TunnelEnd::Unknown);
  }
}

// A response that was cut and looks complete.
TEST_F(TunnelTest, TheUpstreamsEndReachesTheAskerAsItWas)
{
  StartCarrier();
  for (const bool isReset : { false, true }) {
    const TunnelRequest request = Request(isReset ? "reset" : "close");
    RawTunnel tunnel = OpenRaw(request);
    tunnel.mUpstream.send(net::buffer("HTTP/1.1 200 OK\r\n\r\npart", 23));
    if (isReset) {
      Reset(tunnel.mUpstream);
    } else {
      tunnel.mUpstream.close();
    }
    const Received received = ReadToEnd(tunnel.mAsker);
    EXPECT_EQ(received.mBytes, "HTTP/1.1 200 OK\r\n\r\npart");
    EXPECT_EQ(received.mEnd,
              isReset ? net::error::connection_reset
                      : static_cast<beast::error_code>(net::error::eof));
    EXPECT_EQ(EndOf(request), TunnelEnd::ClosedByUpstream);
  }
}

// The write that waits takes the error, and the read sees an orderly end.
TEST_F(TunnelTest, AResetDuringAnUploadIsNoOrderlyEnd)
{
  StartCarrier();
  RawTunnel tunnel = OpenRaw(Request("1"));
  Fill(tunnel.mAsker);
  tunnel.mUpstream.send(net::buffer("HTTP/1.1 200 OK\r\n\r\npart", 23));
  Reset(tunnel.mUpstream);
  EXPECT_EQ(ReadToEnd(tunnel.mAsker).mEnd, net::error::connection_reset);
  EXPECT_EQ(EndOf(Request("1")), TunnelEnd::ClosedByUpstream);
}

// A carrier that stops and lets cut responses look complete.
TEST_F(TunnelTest, ACarrierThatStopsResetsItsTunnels)
{
  StartCarrier();
  RawTunnel tunnel = OpenRaw(Request("1"));
  tunnel.mUpstream.send(net::buffer("HTTP/1.1 200 OK\r\n\r\npart", 23));
  std::string text(64, '\0');
  RunUntil([&] {
    beast::error_code ec;
    return tunnel.mAsker.receive(net::buffer(text), 0, ec) > 0;
  });
  mServer.reset();
  mIsDestroyed = true;
  EXPECT_EQ(ReadToEnd(tunnel.mAsker).mEnd, net::error::connection_reset);
  ReadToEnd(tunnel.mUpstream);
  EXPECT_EQ(EndOf(Request("1")), TunnelEnd::Unknown);
}

// Suspicion of an upstream whose carrier lost its own links.
TEST_F(TunnelTest, ACarrierWithoutLinksDoesNotSayWhoClosed)
{
  StartCarrier();
  RawTunnel tunnel = OpenRaw(Request("1"));
  Reset(tunnel.mUpstream);
  ReadToEnd(tunnel.mAsker);
  mHasLinks = false;
  EXPECT_EQ(EndOf(Request("1")), TunnelEnd::Unknown);
}

// Strangers that reach upstreams, or the wrong start of one.
TEST_F(TunnelTest, RefusesWhatItMayNotCarry)
{
  StartCarrier();
  TunnelRequest stranger = Request("1");
  stranger.mFrom = "vm-9";
  EXPECT_EQ(Open(stranger).error(), TunnelFailure::CarrierRefused);
  EXPECT_EQ(EndOf(stranger), TunnelEnd::Unknown);
  TunnelRequest unknown = Request("1");
  unknown.mUpstream.mId = "up-9";
  EXPECT_EQ(Open(unknown).error(), TunnelFailure::UpstreamUnknown);
  TunnelRequest earlier = Request("1");
  earlier.mUpstream.mStartedMs = 6;
  EXPECT_EQ(Open(earlier).error(), TunnelFailure::UpstreamUnknown);
  // The name alone doesn't suffice.
  Tcp::socket elsewhere{ mContext };
  elsewhere.open(Tcp::v4());
  elsewhere.bind({ net::ip::make_address("127.0.0.3"), 0 });
  elsewhere.connect(ParseEndpoint(mCarrier.mAddress).value());
  elsewhere.send(net::buffer(HeaderOf(Request("1"))));
  elsewhere.non_blocking(true);
  EXPECT_TRUE(ReadToEnd(elsewhere).mBytes.starts_with("HTTP/1.1 403 "));
  mHasLinks = false;
  EXPECT_EQ(Open(Request("1")).error(), TunnelFailure::CarrierRefused);
  mHasLinks = true;
  mUpstream.close();
  EXPECT_EQ(Open(Request("1")).error(), TunnelFailure::UpstreamUnreachable);
  mServer->Drain();
  EXPECT_EQ(Open(Request("1")).error(), TunnelFailure::CarrierRefused);
  EXPECT_EQ(mServer->OpenTunnels(), 0U);
}

// A carrier that runs out of descriptors or memory for its own clients.
TEST_F(TunnelTest, BoundsTunnelsAndMemory)
{
  mMemory = ByteBudget::Create({ 3 * std::size_t{ 32 } * 1024, 0 });
  StartCarrier({ .mTunnels = 2 });
  std::vector<Opened> tunnels;
  tunnels.push_back(Open(Request("1")));
  tunnels.push_back(Open(Request("2")));
  EXPECT_EQ(Open(Request("3")).error(), TunnelFailure::CarrierRefused);
  EXPECT_EQ(mMemory->Used(), 2 * std::size_t{ 32 } * 1024);
  tunnels.clear();
  RunUntil([&] { return mServer->OpenTunnels() == 0; });
  EXPECT_EQ(mMemory->Used(), 0U);
  mMemory->Resize({ 16'384, 0 });
  EXPECT_EQ(Open(Request("4")).error(), TunnelFailure::CarrierRefused);
}

// Tunnels that are being opened were not counted.
TEST_F(TunnelTest, CountsTunnelsThatAreBeingOpened)
{
  StartCarrier({ .mTunnels = 2 });
  // A queue of connections that is full leaves those that follow unanswered.
  Tcp::acceptor silent{ mContext };
  silent.open(Tcp::v4());
  silent.bind({ net::ip::address_v4::loopback(), 0 });
  silent.listen(0);
  Tcp::socket first{ mContext };
  first.connect(silent.local_endpoint());
  mUpstreamAddress =
    "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  std::vector<Tcp::socket> waiting;
  for (const char* const token : { "1", "2", "3" }) {
    waiting.push_back(Send(HeaderOf(Request(token))));
  }
  std::vector<std::string> responses;
  for (Tcp::socket& socket : waiting) {
    responses.push_back(ReadToEnd(socket).mBytes.substr(0, 12));
  }
  std::ranges::sort(responses);
  EXPECT_EQ(responses,
            (std::vector<std::string>{
              "HTTP/1.1 502", "HTTP/1.1 502", "HTTP/1.1 503" }));
}

// Connections that hold descriptors, memory or time.
TEST_F(TunnelTest, EndsHostileConnections)
{
  constexpr Milliseconds kHeaderTime{ 200 };
  StartCarrier({ .mUnidentified = 4, .mHeaderTime = kHeaderTime });
  Tcp::socket endless =
    Send("GET /tunnel HTTP/1.1\r\nA: " + std::string(8192, 'x'));
  ReadToEnd(endless);
  Tcp::socket garbage = Send("\x16\x03\x01 no HTTP at all\r\n\r\n");
  ReadToEnd(garbage);
  const std::string header = HeaderOf(Request("1"));
  const std::string start = header.substr(0, header.size() - 2);
  Tcp::socket early = Send(header + "GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(ReadToEnd(early).mBytes.starts_with("HTTP/1.1 400 "));
  Tcp::socket body = Send(start + "Content-Length: 5\r\n\r\n");
  EXPECT_TRUE(ReadToEnd(body).mBytes.starts_with("HTTP/1.1 400 "));
  Tcp::socket chunks = Send(start + "Transfer-Encoding: chunked\r\n\r\n");
  EXPECT_TRUE(ReadToEnd(chunks).mBytes.starts_with("HTTP/1.1 400 "));
  const Instant begin = SteadyNow();
  Tcp::socket slow = Send("GET /tun");
  ReadToEnd(slow);
  EXPECT_GE(SteadyNow() - begin, kHeaderTime);
  EXPECT_EQ(mServer->OpenTunnels(), 0U);
}

// Connections without a header had no bound but their time.
TEST_F(TunnelTest, BoundsConnectionsWithoutAHeader)
{
  StartCarrier({ .mUnidentified = 4, .mHeaderTime = kTestTime });
  std::vector<Tcp::socket> silent;
  for (int n = 0; n < 5; ++n) {
    silent.push_back(Send(""));
  }
  // The last one is closed, long before its time is over.
  ReadToEnd(silent.back());
  // A tunnel needs a place of these only until its header is read.
  silent.clear();
  std::vector<Opened> tunnels;
  for (int n = 0; n < 6; ++n) {
    RunUntil([&] {
      tunnels.push_back(Open(Request(std::to_string(n))));
      return tunnels.back().has_value();
    });
  }
  EXPECT_EQ(mServer->OpenTunnels(), 6U);
}

// Memory that grows while a client reads slowly.
TEST_F(TunnelTest, AnAskerThatStopsReadingStopsTheUpstream)
{
  constexpr std::size_t kMaxBytes = std::size_t{ 1024 } * 1024;
  StartCarrier();
  RawTunnel tunnel = OpenRaw(Request("1"));
  tunnel.mUpstream.set_option(net::socket_base::send_buffer_size{ 65'536 });
  tunnel.mAsker.set_option(net::socket_base::receive_buffer_size{ 65'536 });
  const std::size_t sent = Fill(tunnel.mUpstream);
  EXPECT_LT(sent, kMaxBytes);
  EXPECT_EQ(mMemory->Used(), std::size_t{ 32 } * 1024);
  // All of it arrives once the asker reads.
  tunnel.mUpstream.close();
  EXPECT_EQ(ReadToEnd(tunnel.mAsker).mBytes.size(), sent);
}

// Tunnels that stay although their upstream has left.
TEST_F(TunnelTest, AnEndedTunnelIsClosedThoughTheAskerStays)
{
  StartCarrier({ .mLastBytesTime = Milliseconds{ 50 } });
  RawTunnel tunnel = OpenRaw(Request("1"));
  tunnel.mUpstream.close();
  RunUntil([&] { return mServer->OpenTunnels() == 0; });
  EXPECT_EQ(ReadToEnd(tunnel.mAsker).mEnd, net::error::eof);
}

// What an upstream responded before it closed must not be lost to the rest of
// the request.
TEST_F(TunnelTest, AnEarlyResponseArrivesWhileTheRequestIsBeingSent)
{
  StartCarrier();
  RawTunnel tunnel = OpenRaw(Request("1"));
  const std::string response =
    "HTTP/1.1 413 Large\r\nConnection: close\r\n\r\n" +
    std::string(std::size_t{ 48 } * 1024, 'x');
  tunnel.mUpstream.send(net::buffer(response));
  tunnel.mUpstream.shutdown(Tcp::socket::shutdown_send);
  // The upstream reads no more of a request that goes on.
  RunUntil([&] { return EndOf(Request("1")) != TunnelEnd::Unknown; });
  tunnel.mUpstream.close();
  for (int n = 0; n < 8; ++n) {
    beast::error_code ec;
    tunnel.mAsker.send(net::buffer(response), 0, ec);
    mContext.run_one_for(Milliseconds{ 10 });
  }
  const Received received = ReadToEnd(tunnel.mAsker);
  EXPECT_EQ(received.mBytes.size(), response.size());
  EXPECT_EQ(received.mEnd, net::error::eof);
}

// Tasks that use what the carrier's owner has destroyed.
TEST_F(TunnelTest, MayBeDestroyedAtAnyMoment)
{
  constexpr int kSteps = 40;
  for (int steps = 0; steps < kSteps; ++steps) {
    mIsDestroyed = false;
    mCarrier.mAddress = FreeAddress();
    StartCarrier();
    Tcp::socket first = Send(HeaderOf(Request("1")));
    Tcp::socket second = Send(HeaderOf(Request("2")));
    for (int n = 0; n < steps; ++n) {
      mContext.run_one_for(Milliseconds{ 1 });
    }
    mServer.reset();
    mIsDestroyed = true;
    for (Tcp::socket* const socket : { &first, &second }) {
      ReadToEnd(*socket);
    }
  }
}

// Suspended tasks that refer to what ended before them.
TEST(TunnelServerTest, TheEventLoopMayEndBeforeItsTasks)
{
  const std::string address = FreeAddress();
  std::shared_ptr<ByteBudget> memory = ByteBudget::Unlimited();
  {
    net::io_context context{ 1 };
    net::ip::tcp::acceptor upstream{ context,
                                     { net::ip::address_v4::loopback(), 0 } };
    const std::string at =
      "127.0.0.1:" + std::to_string(upstream.local_endpoint().port());
    TunnelAccess access{
      [](std::string_view, const net::ip::address&) { return true; },
      [&](std::string_view, std::int64_t) { return std::optional{ at }; },
      [] { return true; }
    };
    const Result<std::unique_ptr<TunnelServer>> server =
      TunnelServer::Listen(context, address, access, memory);
    ASSERT_TRUE(server.has_value());
    net::ip::tcp::socket silent{ context };
    net::ip::tcp::socket asker{ context };
    for (net::ip::tcp::socket* const socket : { &silent, &asker }) {
      socket->connect(ParseEndpoint(address).value());
    }
    const TunnelRequest request{ "vm-1", "1", { "up-1", "", 7 } };
    asker.send(net::buffer(HeaderOf(request)));
    const Instant until = SteadyNow() + kTestTime;
    while (server.value()->OpenTunnels() == 0 && SteadyNow() < until) {
      context.run_one_for(Milliseconds{ 10 });
    }
    EXPECT_EQ(server.value()->OpenTunnels(), 1U);
  }
  EXPECT_EQ(memory->Used(), 0U);
}

} // namespace cactusgw::test
