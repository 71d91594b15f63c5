#include "cactusgw/net/address.hpp"
#include "cactusgw/net/http_connection.hpp"
#include "cactusgw/net/http_server.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "free_address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

namespace cactusgw::test {

namespace {

Task<unsigned>
StatusOf(std::string aAddress, std::string aTarget)
{
  constexpr Milliseconds kTime{ 5000 };
  Result<std::unique_ptr<HttpConnection>> connected =
    co_await HttpConnection::Connect(aAddress, kTime);
  if (!connected) {
    co_return 0;
  }
  HttpRequest request{ http::verb::get, aTarget, 11 };
  request.set(http::field::host, "host.test");
  const Result<void> done =
    co_await connected.value()->Exchange(request, SteadyNow() + kTime);
  co_return done ? connected.value()->Status() : 0;
}

} // namespace

// An error in one handler must not end the process, which serves others.
TEST(HttpServerTest, AHandlerThatThrowsFailsOnlyItsOwnExchange)
{
  net::io_context context{ 1 };
  const std::string address = FreeAddress();
  const HttpHandler handler = [](HttpExchange& aExchange) -> Task<void> {
    if (aExchange.Path() == "/throw") {
      throw std::runtime_error{ "an unexpected error" };
    }
    if (aExchange.Path() == "/begin") {
      static_cast<void>(co_await aExchange.Begin(HttpResponse{}));
      throw std::runtime_error{ "an unexpected error" };
    }
    co_await aExchange.Reply(HttpResponse{ http::status::ok, 11 });
  };
  const Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    context, address, [] { return HttpServerLimits{}; }, handler);
  ASSERT_TRUE(server.has_value());
  bool done = false;
  const auto test = [&]() -> Task<void> {
    EXPECT_EQ(co_await StatusOf(address, "/throw"), 500U);
    EXPECT_EQ(co_await StatusOf(address, "/begin"), 200U); // And then closed.
    EXPECT_EQ(co_await StatusOf(address, "/"), 200U);
  };
  net::co_spawn(context, test(), [&](const std::exception_ptr& aError) {
    done = true;
    EXPECT_FALSE(aError);
  });
  while (!done) {
    context.run_one();
  }
  EXPECT_EQ(server.value()->OpenExchanges(), 0U);
}

/// Runs the event loop until the condition holds.
template<typename Condition>
void
RunUntil(net::io_context& aContext, Condition aHolds)
{
  while (!aHolds()) {
    aContext.run_one();
  }
}

// The server closed connections with a request that it had not yet read.
TEST(HttpServerTest, AnswersRequestsThatWaitInSocketsWhenAcceptingStops)
{
  constexpr std::string_view kRequest =
    "GET / HTTP/1.1\r\nHost: host.test\r\n\r\n";
  net::io_context context{ 1 };
  const std::string address = FreeAddress();
  int served = 0;
  const HttpHandler handler = [&](HttpExchange& aExchange) -> Task<void> {
    ++served;
    co_await aExchange.Reply(HttpResponse{ http::status::ok, 11 });
  };
  const Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
    context, address, [] { return HttpServerLimits{}; }, handler);
  ASSERT_TRUE(server.has_value());
  const net::ip::tcp::endpoint endpoint = ParseEndpoint(address).value();
  net::ip::tcp::socket kept{ context };
  kept.connect(endpoint);
  kept.send(net::buffer(kRequest));
  RunUntil(context, [&] { return served == 1; });
  std::string text(1024, '\0');
  kept.receive(net::buffer(text));
  // The response is sent before the connection waits for its next request.
  context.poll();
  net::ip::tcp::socket fresh{ context };
  fresh.connect(endpoint);
  kept.send(net::buffer(kRequest));
  fresh.send(net::buffer(kRequest));
  server.value()->StopAccepting();
  RunUntil(context, [&] { return server.value()->OpenConnections() == 0; });
  EXPECT_EQ(served, 3);
  for (net::ip::tcp::socket* const socket : { &kept, &fresh }) {
    beast::error_code ec;
    const std::size_t n = socket->receive(net::buffer(text), 0, ec);
    EXPECT_TRUE(text.substr(0, ec ? 0 : n).starts_with("HTTP/1.1 200 "));
  }
}

} // namespace cactusgw::test
