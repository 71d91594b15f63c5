#include "link_relay.hpp"

#include "cactusgw/net/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cactusgw::standins {

using net::ip::tcp;

namespace {

constexpr Milliseconds kCutPause{ 20 };
constexpr std::size_t kBufferBytes = std::size_t{ 16 } * 1024;

} // namespace

LinkRelay::LinkRelay(std::string aTarget)
  : mTarget(std::move(aTarget))
  , mContext(1)
  , mAcceptor(mContext, tcp::endpoint{ net::ip::make_address("127.0.0.1"), 0 })
{
  net::co_spawn(mContext, AcceptLoop(), net::detached);
  mThread = std::thread{ [this] { mContext.run(); } };
}

LinkRelay::~LinkRelay()
{
  mContext.stop();
  mThread.join();
}

std::string
LinkRelay::Address() const
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

Task<void>
LinkRelay::AcceptLoop()
{
  while (true) {
    tcp::socket socket = co_await mAcceptor.async_accept(net::use_awaitable);
    net::co_spawn(mContext, Relay(std::move(socket)), net::detached);
  }
}

Task<void>
LinkRelay::Relay(tcp::socket aSocket)
{
  const std::uint64_t generation = mGeneration;
  const std::shared_ptr<tcp::socket> near =
    std::make_shared<tcp::socket>(std::move(aSocket));
  const std::shared_ptr<tcp::socket> far =
    std::make_shared<tcp::socket>(mContext);
  boost::system::error_code ec;
  co_await far->async_connect(ParseEndpoint(mTarget).value(),
                              net::redirect_error(net::use_awaitable, ec));
  if (ec) {
    co_return;
  }
  near->set_option(tcp::no_delay{ true }, ec);
  far->set_option(tcp::no_delay{ true }, ec);
  net::co_spawn(mContext, Copy(near, far, generation), net::detached);
  net::co_spawn(mContext, Copy(far, near, generation), net::detached);
}

Task<void>
LinkRelay::Pace(std::size_t aBytes)
{
  using Clock = std::chrono::steady_clock;
  const std::uint64_t rate = mBytesPerSecond;
  if (rate == 0) {
    co_return;
  }
  const std::chrono::duration<double> time{ static_cast<double>(aBytes) /
                                            static_cast<double>(rate) };
  mBusyUntil = std::max(mBusyUntil, Clock::now()) +
               std::chrono::duration_cast<Clock::duration>(time);
  net::steady_timer timer{ mContext, mBusyUntil };
  co_await timer.async_wait(net::use_awaitable);
}

Task<void>
LinkRelay::Copy(std::shared_ptr<tcp::socket> aFrom,
                std::shared_ptr<tcp::socket> aTo,
                std::uint64_t aGeneration)
{
  std::array<char, kBufferBytes> buf;
  boost::system::error_code ec;
  net::steady_timer timer{ mContext };
  while (!ec) {
    const std::size_t n = co_await aFrom->async_read_some(
      net::buffer(buf), net::redirect_error(net::use_awaitable, ec));
    while (mCut || aGeneration != mGeneration) {
      timer.expires_after(kCutPause);
      co_await timer.async_wait(net::use_awaitable);
    }
    co_await Pace(n);
    if (!ec) {
      co_await net::async_write(*aTo,
                                net::buffer(buf.data(), n),
                                net::redirect_error(net::use_awaitable, ec));
    }
  }
  boost::system::error_code ignored;
  aFrom->close(ignored);
  aTo->close(ignored);
}

} // namespace cactusgw::standins
