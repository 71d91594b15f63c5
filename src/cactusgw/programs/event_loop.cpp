#include "cactusgw/programs/event_loop.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <cstdlib>
#include <utility>

namespace cactusgw {

namespace net = boost::asio;

namespace {

net::awaitable<void>
WaitForSignals(std::function<void()> aOnStop)
{
  net::signal_set signals{ co_await net::this_coro::executor, SIGTERM, SIGINT };
  boost::system::error_code ec;
  co_await signals.async_wait(net::redirect_error(net::use_awaitable, ec));
  if (ec) {
    co_return;
  }
  aOnStop();
  co_await signals.async_wait(net::redirect_error(net::use_awaitable, ec));
  if (!ec) {
    std::_Exit(EXIT_FAILURE);
  }
}

net::awaitable<void>
WaitForReloads(std::function<void()> aOnReload)
{
  net::signal_set signals{ co_await net::this_coro::executor, SIGHUP };
  boost::system::error_code ec;
  while (!ec) {
    co_await signals.async_wait(net::redirect_error(net::use_awaitable, ec));
    if (!ec) {
      aOnReload();
    }
  }
}

net::awaitable<void>
Repeat(std::function<Milliseconds()> aInterval, std::function<bool()> aFunction)
{
  net::steady_timer timer{ co_await net::this_coro::executor };
  bool goesOn = true;
  while (goesOn) {
    timer.expires_after(aInterval());
    boost::system::error_code ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    goesOn = !ec && aFunction();
  }
}

} // namespace

void
StopOnSignals(net::io_context& aContext, std::function<void()> aOnStop)
{
  net::co_spawn(aContext, WaitForSignals(std::move(aOnStop)), net::detached);
}

void
ReloadOnSignal(net::io_context& aContext, std::function<void()> aOnReload)
{
  net::co_spawn(aContext, WaitForReloads(std::move(aOnReload)), net::detached);
}

void
RunEvery(net::io_context& aContext,
         std::function<Milliseconds()> aInterval,
         std::function<bool()> aFunction)
{
  net::co_spawn(aContext,
                Repeat(std::move(aInterval), std::move(aFunction)),
                net::detached);
}

} // namespace cactusgw
