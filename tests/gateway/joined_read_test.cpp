#include "cactusgw/gateway/joined_read.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace cactusgw::test {

// Guards against resumptions that wait for a store that doesn't answer, though
// the begin of their stream has become known meanwhile.
TEST(JoinedReadTest, AWaitEndsOnceTheReadIsNotNeeded)
{
  net::io_context context;
  net::steady_timer silence{ context, Instant::max() };
  bool isSilent = true;
  JoinedRead read{ context, Milliseconds{ 1 }, [&]() -> Task<bool> {
                    beast::error_code ec;
                    while (isSilent) {
                      co_await silence.async_wait(
                        net::redirect_error(net::use_awaitable, ec));
                    }
                    co_return true;
                  } };
  bool isNeeded = true;
  std::optional<bool> unneeded;
  std::optional<bool> needed;
  const auto run = [&](std::optional<bool>& aResult,
                       std::function<bool()> aIsNeeded) -> Task<void> {
    aResult = co_await read.Run(std::move(aIsNeeded));
  };
  net::co_spawn(
    context, run(unneeded, [&] { return isNeeded; }), net::detached);
  net::co_spawn(context, run(needed, [] { return true; }), net::detached);
  context.poll();
  read.Wake();
  context.poll();
  EXPECT_FALSE(unneeded);
  isNeeded = false;
  read.Wake();
  context.poll();
  EXPECT_EQ(unneeded, false);
  EXPECT_FALSE(needed);
  isSilent = false;
  silence.cancel();
  context.run();
  EXPECT_EQ(needed, true);
}

} // namespace cactusgw::test
