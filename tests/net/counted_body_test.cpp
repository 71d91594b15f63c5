#include "cactusgw/net/address.hpp"
#include "cactusgw/net/http_server.hpp"
#include "free_address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <utility>

namespace cactusgw::test {

namespace {

constexpr std::size_t kBodyBytes = 300'000;

enum class Arrival
{
  StatedLength,
  OneChunk,
  ManyChunks,
};

std::string
RequestOf(Arrival aArrival, std::size_t aBytes)
{
  const std::string line = "POST /x HTTP/1.1\r\nHost: host.test\r\n";
  if (aArrival == Arrival::StatedLength) {
    return line + "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n" +
           std::string(aBytes, 'x');
  }
  const std::size_t step = aArrival == Arrival::OneChunk ? aBytes : 1000;
  std::string text = line + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < aBytes; sent += step) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", step);
    text += size + std::string(step, 'x') + "\r\n";
  }
  return text + "0\r\n\r\n";
}

/// The response to bytes that are sent as a whole before it is read.
Task<HttpResponse>
Send(std::string aAddress, std::string aBytes)
{
  TcpStream stream{ co_await net::this_coro::executor };
  stream.expires_after(Milliseconds{ 20'000 });
  co_await stream.async_connect(ParseEndpoint(aAddress).value(),
                                net::use_awaitable);
  beast::error_code ec;
  co_await net::async_write(
    stream, net::buffer(aBytes), net::redirect_error(net::use_awaitable, ec));
  beast::flat_buffer buffer;
  HttpResponse response;
  co_await http::async_read(
    stream, buffer, response, net::redirect_error(net::use_awaitable, ec));
  EXPECT_FALSE(ec) << ec.message();
  co_return response;
}

} // namespace

/// A server whose budget holds less than two large bodies.
class CountedBodyTest : public ::testing::TestWithParam<Arrival>
{
protected:
  void SetUp() override
  {
    const HttpHandler handler = [this](HttpExchange& aExchange) -> Task<void> {
      EXPECT_GE(mBudget->Used(), aExchange.Request().body().size());
      HttpResponse response{ http::status::ok, 11 };
      response.body() = std::to_string(aExchange.Request().body().size());
      co_await aExchange.Reply(std::move(response));
    };
    HttpServerMemory memory{ mBudget,
                             [this](const HttpRequest&, const Failure& aWhy) {
                               EXPECT_EQ(aWhy.mVerdict, Verdict::NotRun);
                               ++mRefused;
                             } };
    Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
      mContext,
      mAddress,
      [] { return HttpServerLimits{}; },
      handler,
      std::move(memory));
    ASSERT_TRUE(server.has_value());
    mServer = std::move(server.value());
  }

  HttpResponse Call(std::size_t aBytes)
  {
    HttpResponse response;
    bool done = false;
    const auto test = [&]() -> Task<void> {
      response = co_await Send(mAddress, RequestOf(GetParam(), aBytes));
    };
    net::co_spawn(mContext, test(), [&](const std::exception_ptr& aError) {
      done = true;
      EXPECT_FALSE(aError);
    });
    while (!done) {
      mContext.run_one();
    }
    return response;
  }

  net::io_context mContext{ 1 };
  std::string mAddress = FreeAddress();
  std::shared_ptr<ByteBudget> mBudget =
    ByteBudget::Create({ 500'000, 100'000 });
  std::unique_ptr<HttpServer> mServer;
  int mRefused = 0;
};

TEST_P(CountedBodyTest, ABodyIsCountedWhileItsRequestIsInProgress)
{
  const HttpResponse response = Call(kBodyBytes);
  EXPECT_EQ(response.result(), http::status::ok);
  EXPECT_EQ(response.body(), std::to_string(kBodyBytes));
  EXPECT_GE(mBudget->Peak(), kBodyBytes);
  EXPECT_LT(mBudget->Peak(), kBodyBytes + ByteBudget::kSmallBytes);
}

// Guards against bodies that take a process over its limit together, and
// against a refusal that the client can't read as it is still sending.
TEST_P(CountedBodyTest, ABodyThatDoesNotFitIsRefusedAsNotRun)
{
  ByteReservation others{ mBudget };
  ASSERT_TRUE(others.TryGrowTo(350'000));
  const HttpResponse refused = Call(kBodyBytes);
  EXPECT_EQ(refused.result(), http::status::service_unavailable);
  EXPECT_EQ(refused["Cactusgw-Verdict"], "not-run");
  EXPECT_FALSE(refused[http::field::retry_after].empty());
  EXPECT_EQ(mRefused, 1);
  EXPECT_EQ(Call(20'000).result(), http::status::ok); // In the small reserve.
  others.Release();
  EXPECT_EQ(Call(kBodyBytes).result(), http::status::ok);
}

INSTANTIATE_TEST_SUITE_P(AllArrivals,
                         CountedBodyTest,
                         ::testing::Values(Arrival::StatedLength,
                                           Arrival::OneChunk,
                                           Arrival::ManyChunks));

} // namespace cactusgw::test
