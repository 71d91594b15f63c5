#include "tunnel_fixture.hpp"

#include "cactusgw/net/address.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "cactusgw/tunnel/tunnel_protocol.hpp"
#include "free_address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdlib>
#include <sstream>
#include <utility>

namespace cactusgw::test {

TunnelTest::TunnelTest()
  : mUpstream(mContext, Tcp::endpoint{ net::ip::address_v4::loopback(), 0 })
  , mUpstreamAddress("127.0.0.1:" +
                     std::to_string(mUpstream.local_endpoint().port()))
  , mCarrier{ "vm-2", FreeAddress(), "dc-1" }
{
}

void
TunnelTest::StartCarrier(TunnelLimits aLimits)
{
  TunnelAccess access{
    [this](std::string_view aVm, const net::ip::address& aIp) {
      EXPECT_FALSE(mIsDestroyed);
      return aVm == "vm-1" && aIp.to_string() == "127.0.0.1";
    },
    [this](std::string_view aId,
           std::int64_t aStartedMs) -> std::optional<std::string> {
      EXPECT_FALSE(mIsDestroyed);
      return aId == "up-1" && aStartedMs == 7
               ? std::optional{ mUpstreamAddress }
               : std::nullopt;
    },
    [this] {
      EXPECT_FALSE(mIsDestroyed);
      return mHasLinks;
    }
  };
  Result<std::unique_ptr<TunnelServer>> server = TunnelServer::Listen(
    mContext, mCarrier.mAddress, std::move(access), mMemory, aLimits);
  ASSERT_TRUE(server.has_value());
  mServer = std::move(server.value());
}

TunnelRequest
TunnelTest::Request(std::string aToken) const
{
  return { "vm-1", std::move(aToken), { "up-1", "", 7 } };
}

void
TunnelTest::Run(Task<void> aTask)
{
  bool isDone = false;
  net::co_spawn(
    mContext, std::move(aTask), [&](const std::exception_ptr& aError) {
      EXPECT_FALSE(aError);
      isDone = true;
    });
  RunUntil([&] { return isDone; });
}

void
TunnelTest::RunUntil(const std::function<bool()>& aHolds)
{
  const Instant until = SteadyNow() + kTestTime;
  while (!aHolds()) {
    // A task that goes on refers to what the test is about to destroy.
    if (SteadyNow() > until) {
      std::abort();
    }
    mContext.run_one_for(Milliseconds{ 10 });
  }
}

TunnelTest::Opened
TunnelTest::Open(const TunnelRequest& aRequest)
{
  std::optional<Opened> opened;
  const auto open = [&]() -> Task<void> {
    opened.emplace(co_await OpenTunnel(mCarrier, aRequest, kTestTime));
  };
  Run(open());
  return std::move(*opened);
}

TunnelEnd
TunnelTest::EndOf(const TunnelRequest& aRequest)
{
  TunnelEnd end = TunnelEnd::Unknown;
  const auto ask = [&]() -> Task<void> {
    end = co_await AskForTunnelEnd(mCarrier, aRequest, kTestTime);
  };
  Run(ask());
  return end;
}

TunnelTest::Tcp::socket
TunnelTest::Send(std::string_view aBytes)
{
  Tcp::socket socket{ mContext };
  socket.connect(ParseEndpoint(mCarrier.mAddress).value());
  socket.send(net::buffer(aBytes));
  socket.non_blocking(true);
  return socket;
}

TunnelTest::RawTunnel
TunnelTest::OpenRaw(const TunnelRequest& aRequest)
{
  std::ostringstream header;
  header << MakeTunnelHeader(TunnelCall::Open, aRequest);
  RawTunnel raw{ Send(header.str()), Tcp::socket{ mContext } };
  std::string text(1024, '\0');
  std::size_t n = 0;
  RunUntil([&] {
    beast::error_code ec;
    n = raw.mAsker.receive(net::buffer(text), 0, ec);
    return n > 0;
  });
  EXPECT_TRUE(text.substr(0, n).starts_with("HTTP/1.1 101 "));
  raw.mUpstream = mUpstream.accept();
  raw.mUpstream.non_blocking(true);
  return raw;
}

std::size_t
TunnelTest::Fill(Tcp::socket& aSocket)
{
  constexpr int kIdleRounds = 20;
  const std::string bytes(16'384, 'x');
  std::size_t sent = 0;
  for (int idle = 0; idle < kIdleRounds;) {
    beast::error_code ec;
    const std::size_t n = aSocket.send(net::buffer(bytes), 0, ec);
    sent += n;
    idle = n > 0 ? 0 : idle + 1;
    if (n == 0) {
      mContext.run_one_for(Milliseconds{ 10 });
      mContext.poll();
    }
  }
  return sent;
}

TunnelTest::Received
TunnelTest::ReadToEnd(Tcp::socket& aSocket)
{
  Received received;
  std::string part(16'384, '\0');
  RunUntil([&] {
    const std::size_t n = aSocket.receive(net::buffer(part), 0, received.mEnd);
    received.mBytes += part.substr(0, n);
    return received.mEnd && received.mEnd != net::error::would_block;
  });
  return received;
}

} // namespace cactusgw::test
