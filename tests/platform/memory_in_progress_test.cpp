#include "cactusgw/net/http_connection.hpp"
#include "cactusgw/net/http_server.hpp"
#include "cactusgw/net/steady_now.hpp"
#include "free_address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace cactusgw::testing_support {

namespace {

using test::FreeAddress;

constexpr std::size_t kLargestBytes = 4'194'304;
constexpr long kLimitMb = 110;
constexpr Milliseconds kCallTime{ 60'000 };

constexpr const char* kConfig = R"({"version":1,"routes":[
  {"name":"r","host":"host.test","pathPrefix":"/","kind":"unsafe",
   "timeoutMs":60000,"targetLatencyMs":1000,"service":"s","public":true}],
  "services":[{"name":"s","maxConnections":100000}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":30000,"idleTimeoutMs":60000},"tenants":[]})";

/// What clients of one kind saw.
struct Outcome
{
  int mServed = 0;
  int mRefused = 0;
  int mUnanswered = 0;
};

/// How a client sends the largest body, or reads the largest response.
enum class Transfer
{
  StatedLength,
  Chunked,
  Response,
};

} // namespace

struct MemoryCase
{
  Transfer mTransfer;
  int mClients;
};

/// A gateway process with a memory limit, its store and an upstream.
class MemoryInProgressTest : public ::testing::TestWithParam<MemoryCase>
{
protected:
  void SetUp() override
  {
    mStore = Serve(mStoreAddress, [this](HttpExchange& aExchange) {
      return ServeStore(aExchange);
    });
    mUpstream = Serve(mUpstreamAddress, [this](HttpExchange& aExchange) {
      return ServeRequest(aExchange);
    });
    ASSERT_TRUE(mStore && mUpstream);
    char path[] = "/tmp/cactusgw-memory-test.XXXXXX";
    close(mkstemp(path));
    mSettings = path;
    std::ofstream{ mSettings }
      << R"({ "vm": "vm-1", "dataCentre": "dc", "regions": { "dc": "north" },
      "log": { "output": "/dev/null" }, "listen": ")"
      << mGateway << R"(", "readyListen": ")" << FreeAddress()
      << R"(", "metricsListen": ")" << FreeAddress() << R"(", "peerListen": ")"
      << FreeAddress() << R"(", "platform": ")" << mStoreAddress
      << R"(", "memoryMb": )" << kLimitMb << ".0 }";
    std::string program = CACTUSGW_GATEWAY;
    std::string option = "--settings";
    char* const arguments[] = {
      program.data(), option.data(), mSettings.data(), nullptr
    };
    ASSERT_EQ(
      posix_spawn(&mPid, program.c_str(), nullptr, nullptr, arguments, environ),
      0);
  }

  void TearDown() override
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
    }
    std::remove(mSettings.c_str());
  }

  std::unique_ptr<HttpServer> Serve(const std::string& aAddress,
                                    HttpHandler aHandler)
  {
    HttpServerLimits limits;
    limits.mMaxBodyBytes = 2 * kLargestBytes;
    limits.mIdleTime = kCallTime;
    Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
      mContext, aAddress, [limits] { return limits; }, std::move(aHandler));
    return server ? std::move(server.value()) : nullptr;
  }

  Task<void> ServeStore(HttpExchange& aExchange)
  {
    const std::string target{ aExchange.Request().target() };
    HttpResponse response{ http::status::ok, 11 };
    const auto object = [](const std::string& aName, const std::string& aText) {
      return R"({"metadata":{"name":")" + aName +
             R"(","revision":1},"specification":)" + aText + "}";
    };
    const std::string upstream =
      R"({"service":"s","address":")" + mUpstreamAddress +
      R"(","zone":"dc","version":"v","slots":1000,"state":"ready",)" +
      R"("coldRemainingMs":0,"born":1,"sequence":1})";
    std::string items;
    if (target.find("watch=") != std::string::npos) {
      net::steady_timer timer{ co_await net::this_coro::executor,
                               Milliseconds{ 200 } };
      co_await timer.async_wait(net::use_awaitable);
      response.body() = R"({"events":[],"storeRevision":1})";
    } else if (target.find("/config/main") != std::string::npos) {
      response.body() = object("main", kConfig);
    } else {
      items = target.find("/config") != std::string::npos
                ? object("main", kConfig)
                : "";
      items = target.find("/servers") != std::string::npos
                ? object("u", upstream)
                : items;
      response.body() =
        R"({"items":[)" + items + R"(],"more":false,"storeRevision":1})";
    }
    co_await aExchange.Reply(std::move(response));
  }

  Task<void> ServeRequest(HttpExchange& aExchange)
  {
    if (aExchange.Path() != "/small") {
      // Until every client of the case has been taken or refused.
      ++mTaken;
      if (mTaken + mOutcome.mRefused < GetParam().mClients) {
        boost::system::error_code ignored;
        co_await mAllTaken.async_wait(
          net::redirect_error(net::use_awaitable, ignored));
      } else {
        mAllTaken.cancel();
      }
    }
    HttpResponse response{ http::status::ok, 11 };
    response.set("X-Cactusgw-Request-Id",
                 aExchange.Header("X-Cactusgw-Request-Id"));
    response.set("X-Cactusgw-Response-Seal", "seal");
    if (aExchange.Path() == "/large") {
      response.body() = std::string(kLargestBytes, 'x');
    }
    co_await aExchange.Reply(std::move(response));
  }

  /// Returns the status, or zero without a whole response.
  Task<unsigned> Call(std::string aTarget, std::string_view aBody, bool aChunks)
  {
    Result<std::unique_ptr<HttpConnection>> connected =
      co_await HttpConnection::Connect(mGateway, kCallTime);
    if (!connected) {
      co_return 0;
    }
    HttpConnection& connection = *connected.value();
    SharedBodyRequest request{ http::verb::post, aTarget, 11 };
    request.set(http::field::host, "host.test");
    request.set("X-Cactusgw-Request-Id", "r-" + std::to_string(++mIds));
    request.body() = { aBody.data(), aBody.size() };
    if (aChunks) {
      request.chunked(true);
    } else {
      request.content_length(aBody.size());
    }
    const Instant until = SteadyNow() + kCallTime;
    Result<void> sent = co_await connection.Exchange(request, until);
    if (aTarget == "/large") {
      co_await WaitForAllToBegin();
    }
    std::size_t read = 0;
    while (sent) {
      const Result<std::string> piece = co_await connection.ReadSome(until);
      if (!piece) {
        co_return 0;
      }
      if (piece.value().empty()) {
        break;
      }
      read += piece.value().size();
    }
    const bool isWhole = aTarget != "/large" || !sent ||
                         connection.Status() != 200U || read == kLargestBytes;
    co_return sent&& isWhole ? connection.Status() : 0;
  }

  /// Leaves all large responses unread until each client has got a header.
  Task<void> WaitForAllToBegin()
  {
    if (++mBegun == GetParam().mClients) {
      mAllBegun.cancel();
      co_return;
    }
    boost::system::error_code ignored;
    co_await mAllBegun.async_wait(
      net::redirect_error(net::use_awaitable, ignored));
  }

  Task<void> RunClient()
  {
    const Transfer transfer = GetParam().mTransfer;
    const bool isResponse = transfer == Transfer::Response;
    const std::string_view body =
      isResponse ? std::string_view{} : std::string_view{ mBody };
    const unsigned status = co_await Call(
      isResponse ? "/large" : "/body", body, transfer == Transfer::Chunked);
    mOutcome.mServed += status == 200U ? 1 : 0;
    mOutcome.mRefused += status == 503U ? 1 : 0;
    mOutcome.mUnanswered += status == 0U ? 1 : 0;
    if (mTaken + mOutcome.mRefused + mOutcome.mUnanswered >=
        GetParam().mClients) {
      mAllTaken.cancel();
    }
    --mOpen;
  }

  Task<void> RunSmallRequests()
  {
    while (mOpen > 0) {
      const Instant start = SteadyNow();
      EXPECT_EQ(co_await Call("/small", "a small body", false), 200U);
      mSlowest = std::max(mSlowest, SteadyNow() - start);
      ++mSmall;
    }
  }

  Task<void> RunCase()
  {
    // Until the gateway has its configuration and its upstream.
    const Instant until = SteadyNow() + kCallTime;
    while (co_await Call("/small", "", false) != 200U && SteadyNow() < until) {
      net::steady_timer timer{ co_await net::this_coro::executor,
                               Milliseconds{ 20 } };
      co_await timer.async_wait(net::use_awaitable);
    }
    mOpen = GetParam().mClients;
    for (int n = 0; n < GetParam().mClients; ++n) {
      net::co_spawn(mContext, RunClient(), net::detached);
    }
    co_await RunSmallRequests();
  }

  /// Peak of the gateway's resident memory.
  long PeakKb() const
  {
    std::ifstream status{ "/proc/" + std::to_string(mPid) + "/status" };
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmHWM:", 0) == 0) {
        return std::atol(line.c_str() + 6);
      }
    }
    return 0;
  }

  net::io_context mContext{ 1 };
  std::string mStoreAddress = FreeAddress();
  std::string mUpstreamAddress = FreeAddress();
  std::string mGateway = FreeAddress();
  std::unique_ptr<HttpServer> mStore;
  std::unique_ptr<HttpServer> mUpstream;
  std::string mSettings;
  pid_t mPid = 0;
  std::string mBody = std::string(kLargestBytes, 'x');
  net::steady_timer mAllTaken{ mContext, Instant::max() };
  net::steady_timer mAllBegun{ mContext, SteadyNow() + kCallTime / 2 };
  Outcome mOutcome;
  int mTaken = 0;
  int mBegun = 0;
  int mOpen = 0;
  int mIds = 0;
  int mSmall = 0;
  std::chrono::nanoseconds mSlowest{ 0 };
};

// Guards against a process that is ended for its memory, with all that it has
// accepted, since many clients send or read the largest sizes at once.
TEST_P(MemoryInProgressTest, StaysUnderItsLimitAndServesSmallRequests)
{
  bool done = false;
  net::co_spawn(mContext, RunCase(), [&](const std::exception_ptr& aError) {
    done = true;
    EXPECT_FALSE(aError);
  });
  while (!done) {
    mContext.run_one();
  }
  const long peak = PeakKb();
  std::printf("peak %ld KB, served %d, refused %d, unanswered %d; small "
              "requests %d, slowest %ld ms\n",
              peak,
              mOutcome.mServed,
              mOutcome.mRefused,
              mOutcome.mUnanswered,
              mSmall,
              static_cast<long>(mSlowest.count() / 1'000'000));
  EXPECT_GT(peak, 0);
  EXPECT_LT(peak, kLimitMb * 1024 * 9 / 10);
  EXPECT_EQ(mOutcome.mUnanswered, 0);
  EXPECT_GT(mOutcome.mServed, 0);
  EXPECT_EQ(mOutcome.mServed + mOutcome.mRefused, GetParam().mClients);
}

namespace {

std::string
NameOf(const ::testing::TestParamInfo<MemoryCase>& aInfo)
{
  constexpr const char* kNames[] = { "StatedLength", "Chunked", "Response" };
  return kNames[static_cast<int>(aInfo.param.mTransfer)] +
         std::to_string(aInfo.param.mClients);
}

} // namespace

INSTANTIATE_TEST_SUITE_P(
  AllTransfers,
  MemoryInProgressTest,
  ::testing::Values(MemoryCase{ Transfer::StatedLength, 1 },
                    MemoryCase{ Transfer::StatedLength, 10 },
                    MemoryCase{ Transfer::StatedLength, 100 },
                    MemoryCase{ Transfer::Chunked, 10 },
                    MemoryCase{ Transfer::Chunked, 100 },
                    MemoryCase{ Transfer::Response, 10 },
                    MemoryCase{ Transfer::Response, 100 }),
  &NameOf);

} // namespace cactusgw::testing_support
