#include "cactusgw/net/address.hpp"
#include "cactusgw/net/http_server.hpp"
#include "free_address.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <thread>

namespace cactusgw::test {

namespace {

using net::ip::tcp;

/// What the callback of a watch refers to.
struct WatchedCall
{
  bool mHasEnded = false;
  int mCallsWhileRunning = 0;
  int mCallsAfterEnd = 0;
};

/// Closes the sending side and returns once the peer's kernel has confirmed it.
void
CloseAndWaitUntilSeen(tcp::socket& aSocket)
{
  aSocket.shutdown(tcp::socket::shutdown_send);
  tcp_info info{};
  while (info.tcpi_state != TCP_FIN_WAIT2) {
    socklen_t size = sizeof(info);
    ASSERT_EQ(
      getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size),
      0);
    std::this_thread::yield();
  }
}

Task<void>
RunOthers(int aRounds)
{
  for (int n = 0; n < aRounds; ++n) {
    co_await net::post(net::use_awaitable);
  }
}

enum class CallEnd
{
  Returns,
  Throws,
  CannotWrite,
};

/// Serves one request of a client that leaves while its call runs.
class LeavingClient
{
public:
  /// @param aRounds of the event loop between a close and the end of the call
  LeavingClient(CallEnd aEnd, int aRounds)
    : mEnd(aEnd)
    , mRounds(aRounds)
    , mServer(HttpServer::Listen(
        mContext,
        mAddress,
        [] { return HttpServerLimits{}; },
        [this](HttpExchange& aExchange) { return Serve(aExchange); }))
  {
  }

  std::shared_ptr<WatchedCall> Run()
  {
    mClient.connect(ParseEndpoint(mAddress).value());
    net::write(mClient,
               net::buffer(std::string{ "GET / HTTP/1.1\r\nHost: h\r\n\r\n" }));
    while (!mCall->mHasEnded || mServer.value()->OpenConnections() > 0) {
      mContext.run_one();
      if (mIsWriting && mContext.poll() == 0 && mClient.is_open()) {
        // Resets the connection, so that the write and the watch complete at
        // once.
        mClient.set_option(net::socket_base::linger{ true, 0 });
        mClient.close();
      }
    }
    mContext.poll();
    return mCall;
  }

private:
  Task<void> Serve(HttpExchange& aExchange)
  {
    constexpr int kRoundsUntilWatched = 8;
    const std::shared_ptr<WatchedCall> call = mCall;
    const ClientWatch watch = aExchange.WatchClient([call] {
      ++(call->mHasEnded ? call->mCallsAfterEnd : call->mCallsWhileRunning);
    });
    co_await RunOthers(kRoundsUntilWatched);
    if (mEnd == CallEnd::CannotWrite) {
      co_await WriteUntilItFails(aExchange);
    } else {
      CloseAndWaitUntilSeen(mClient);
      co_await RunOthers(mRounds);
    }
    call->mHasEnded = true;
    if (mEnd == CallEnd::Throws) {
      throw std::runtime_error{ "an unexpected error" };
    }
  }

  Task<void> WriteUntilItFails(HttpExchange& aExchange)
  {
    constexpr std::size_t kMoreThanAllBuffers = std::size_t{ 32 } << 20U;
    const std::string chunk(kMoreThanAllBuffers, 'x');
    mIsWriting = true;
    EXPECT_FALSE(co_await aExchange.Write(chunk));
    mIsWriting = false;
  }

  CallEnd mEnd;
  int mRounds;
  bool mIsWriting = false;
  net::io_context mContext{ 1 };
  std::string mAddress = FreeAddress();
  std::shared_ptr<WatchedCall> mCall = std::make_shared<WatchedCall>();
  tcp::socket mClient{ mContext };
  Result<std::unique_ptr<HttpServer>> mServer;
};

} // namespace

// A callback after the end of its call runs on freed memory: the process ends
// by signal 11, or another client's request is given up.
TEST(ClientWatchTest, NoCallbackRunsAfterACallThatCouldNotWrite)
{
  EXPECT_EQ(LeavingClient(CallEnd::CannotWrite, 0).Run()->mCallsAfterEnd, 0);
}

// The same for a call that ends, by itself or by an exception, at any moment
// around the close.
TEST(ClientWatchTest, NoCallbackRunsAfterTheEndOfTheCall)
{
  constexpr int kMostRounds = 6;
  for (const CallEnd end : { CallEnd::Returns, CallEnd::Throws }) {
    for (int rounds = 0; rounds <= kMostRounds; ++rounds) {
      EXPECT_EQ(LeavingClient(end, rounds).Run()->mCallsAfterEnd, 0)
        << rounds << " rounds, throws: " << (end == CallEnd::Throws);
    }
  }
}

// The watch must still see a client that leaves while its call runs.
TEST(ClientWatchTest, AClientThatLeavesIsReportedOnceWhileTheCallRuns)
{
  constexpr int kRounds = 20;
  EXPECT_EQ(LeavingClient(CallEnd::Returns, kRounds).Run()->mCallsWhileRunning,
            1);
}

} // namespace cactusgw::test
