#ifndef CACTUSGW_TESTS_TUNNEL_TUNNEL_FIXTURE_HPP
#define CACTUSGW_TESTS_TUNNEL_TUNNEL_FIXTURE_HPP

/// A carrier, an upstream and an asking gateway in one event loop.

#include "cactusgw/tunnel/tunnel_client.hpp"
#include "cactusgw/tunnel/tunnel_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw::test {

/// Time in which every test has ended.
inline constexpr Milliseconds kTestTime{ 20'000 };

class TunnelTest : public testing::Test
{
protected:
  using Tcp = net::ip::tcp;
  using Opened = TunnelResult<std::unique_ptr<HttpConnection>>;

  TunnelTest();

  void StartCarrier(TunnelLimits aLimits = {});
  TunnelRequest Request(std::string aToken) const;
  /// Runs the event loop until the task has ended.
  void Run(Task<void> aTask);
  void RunUntil(const std::function<bool()>& aHolds);
  Opened Open(const TunnelRequest& aRequest);
  TunnelEnd EndOf(const TunnelRequest& aRequest);
  /// Sends these bytes to the carrier on a connection of their own.
  Tcp::socket Send(std::string_view aBytes);
  /// An open tunnel whose both ends the test reads and writes itself.
  struct RawTunnel
  {
    Tcp::socket mAsker;
    Tcp::socket mUpstream;
  };
  RawTunnel OpenRaw(const TunnelRequest& aRequest);
  /// Writes until the other side's buffers stay full.
  std::size_t Fill(Tcp::socket& aSocket);
  /// Reads until the end, or until nothing has arrived for a while.
  struct Received
  {
    std::string mBytes;
    beast::error_code mEnd;
  };
  Received ReadToEnd(Tcp::socket& aSocket);

  net::io_context mContext{ 1 };
  Tcp::acceptor mUpstream;
  std::string mUpstreamAddress;
  bool mHasLinks = true;
  bool mIsDestroyed = false;
  std::shared_ptr<ByteBudget> mMemory = ByteBudget::Unlimited();
  Carrier mCarrier;
  std::unique_ptr<TunnelServer> mServer;
};

} // namespace cactusgw::test

#endif // CACTUSGW_TESTS_TUNNEL_TUNNEL_FIXTURE_HPP
