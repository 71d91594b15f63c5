#include "cactusgw/programs/event_loop.hpp"

#include "cactusgw/net/spawn.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <utility>

namespace cactusgw {

namespace net = boost::asio;

namespace {

using SharedSignals = std::shared_ptr<net::signal_set>;

net::awaitable<void>
WaitForSignals(SharedSignals aSignals, std::function<void()> aOnStop)
{
  boost::system::error_code ec;
  co_await aSignals->async_wait(net::redirect_error(net::use_awaitable, ec));
  if (ec) {
    co_return;
  }
  aOnStop();
  while (!ec) {
    const int signal = co_await aSignals->async_wait(
      net::redirect_error(net::use_awaitable, ec));
    // A platform may repeat SIGTERM during a graceful stop.
    if (!ec && signal == SIGINT) {
      std::_Exit(EXIT_FAILURE);
    }
  }
}

net::awaitable<void>
WaitForReloads(SharedSignals aSignals, std::function<void()> aOnReload)
{
  boost::system::error_code ec;
  while (!ec) {
    co_await aSignals->async_wait(net::redirect_error(net::use_awaitable, ec));
    if (!ec) {
      aOnReload();
    }
  }
}

net::awaitable<void>
Repeat(std::function<Milliseconds()> aInterval,
       std::function<bool()> aFunction,
       std::string aName)
{
  net::steady_timer timer{ co_await net::this_coro::executor };
  bool goesOn = true;
  while (goesOn) {
    timer.expires_after(aInterval());
    boost::system::error_code ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    goesOn = !ec;
    if (goesOn) {
      RunGuarded(aName, [&] { goesOn = aFunction(); });
    }
  }
}

} // namespace

void
StopOnSignals(net::io_context& aContext, std::function<void()> aOnStop)
{
  // Signals are caught from here on, not only once the loop runs.
  const SharedSignals signals =
    std::make_shared<net::signal_set>(aContext, SIGTERM, SIGINT);
  SpawnLoop(aContext.get_executor(),
            "stop-signal",
            [signals, onStop = std::move(aOnStop)] {
              return WaitForSignals(signals, onStop);
            });
}

void
ReloadOnSignal(net::io_context& aContext, std::function<void()> aOnReload)
{
  const SharedSignals signals =
    std::make_shared<net::signal_set>(aContext, SIGHUP);
  SpawnLoop(aContext.get_executor(),
            "reload-signal",
            [signals, onReload = std::move(aOnReload)] {
              return WaitForReloads(signals, onReload);
            });
}

void
RunEvery(net::io_context& aContext,
         std::function<Milliseconds()> aInterval,
         std::function<bool()> aFunction,
         std::string aName)
{
  std::string task = aName;
  SpawnLoop(
    aContext.get_executor(),
    std::move(task),
    [interval = std::move(aInterval),
     function = std::move(aFunction),
     name = std::move(aName)] { return Repeat(interval, function, name); });
}

} // namespace cactusgw
