#include "cactusgw/net/http_server.hpp"
#include "free_address.hpp"
#include "platform/store_registration.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace cactusgw::platform {

// A withdrawal while the store has not answered the registration must leave
// that call its connection: the process ended by signal 11.
TEST(StoreRegistrationTest, AWithdrawalLeavesAnOpenRegistrationItsConnection)
{
  net::io_context context{ 1 };
  const std::string address = test::FreeAddress();
  const PeerRegistration registration = StoreRegistration(address);
  std::optional<Result<void>> registered;
  std::optional<Result<void>> withdrawn;
  const auto withdraw = [&]() -> Task<void> {
    const std::string name = "vm-1";
    withdrawn = co_await registration.mWithdraw(name);
  };
  net::steady_timer isWithdrawn{ context,
                                 net::steady_timer::time_point::max() };
  const HttpHandler store = [&](HttpExchange& aExchange) -> Task<void> {
    if (aExchange.Request().method() == http::verb::post) {
      net::co_spawn(context, withdraw(), [&](const std::exception_ptr&) {
        isWithdrawn.cancel();
      });
      beast::error_code ec;
      co_await isWithdrawn.async_wait(
        net::redirect_error(net::use_awaitable, ec));
    }
    co_await aExchange.Reply(HttpResponse{ http::status::ok, 11 });
  };
  const Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    context, address, [] { return HttpServerLimits{}; }, store);
  ASSERT_TRUE(server.has_value());
  const auto enter = [&]() -> Task<void> {
    const GatewayPeer self{ "vm-1", "", "dc", 1 };
    registered = co_await registration.mRegister(self);
  };
  net::co_spawn(context, enter(), [](const std::exception_ptr&) {});
  while (!registered || !withdrawn) {
    context.run_one();
  }
  EXPECT_TRUE(withdrawn->has_value());
  EXPECT_TRUE(registered->has_value()) << registered->error().mDetail;
}

} // namespace cactusgw::platform
