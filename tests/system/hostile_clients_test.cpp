#include "cactusgw/net/address.hpp"
#include "cactusgw/net/http_server.hpp"
#include "cluster.hpp"
#include "free_address.hpp"
#include "soak_documents.hpp"
#include "spawned_gateway.hpp"
#include "store_standin.hpp"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <signal.h>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw::testing_support {

namespace {

using net::ip::tcp;

/// Memory that the process under test may use, in units of 2^20 bytes.
constexpr long kMemoryMb = 64;
/// What a process has to stay under: the limit less a tenth.
constexpr long kMaxPeakKiB = kMemoryMb * 1024 * 9 / 10;
/// Largest legal body.
constexpr std::size_t kBodyBytes = std::size_t{ 1024 } * 1024;
/// Together the bodies are one and a half times the memory.
constexpr std::size_t kClients = kMemoryMb * 3 / 2;
/// All clients but each of these stop one byte short of the end.
constexpr std::size_t kFinishEvery = 8;
/// Descriptors beyond those of the clients: listeners, logs, messages,
/// upstreams.
constexpr std::size_t kOtherDescriptors = 64;
/// No bound on speed: only how long a test waits before it gives up.
constexpr std::chrono::seconds kPatience{ 60 };

enum class Hostility
{
  EndlessTrailers,
  WholeBodies,
  BodiesInPieces,
  LargeChunks,
  SmallChunks,
};

std::string
ChunkedBody(std::size_t aChunkBytes)
{
  std::ostringstream size;
  size << std::hex << aChunkBytes;
  const std::string chunk =
    size.str() + "\r\n" + std::string(aChunkBytes, 'x') + "\r\n";
  std::string text;
  for (std::size_t n = 0; n < kBodyBytes; n += aChunkBytes) {
    text += chunk;
  }
  return text + "0\r\n\r\n";
}

std::string
Trailers()
{
  std::string text = "1\r\nx\r\n0\r\n";
  while (text.size() < kBodyBytes) {
    text += "trailer-" + std::to_string(text.size()) + ": " +
            std::string(100, 'x') + "\r\n";
  }
  return text;
}

/// The part of a request behind the header fields of the process under test.
std::string
RestOfRequest(Hostility aHostility)
{
  constexpr std::size_t kLargeChunkBytes = std::size_t{ 256 } * 1024;
  constexpr std::size_t kSmallChunkBytes = 32;
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  switch (aHostility) {
    case Hostility::EndlessTrailers:
      return chunked + Trailers();
    case Hostility::LargeChunks:
      return chunked + ChunkedBody(kLargeChunkBytes);
    case Hostility::SmallChunks:
      return chunked + ChunkedBody(kSmallChunkBytes);
    default:
      return "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
             std::string(kBodyBytes, 'x');
  }
}

/// A running process that serves clients.
struct Served
{
  std::string mAddress;
  pid_t mPid = 0;
  /// Request line and fields up to those that state the body's length.
  std::function<std::string()> mHeader;
};

std::size_t
DescriptorsOf(pid_t aPid)
{
  std::error_code ec;
  const std::filesystem::directory_iterator open{
    "/proc/" + std::to_string(aPid) + "/fd", ec
  };
  return static_cast<std::size_t>(
    std::distance(begin(open), std::filesystem::directory_iterator{}));
}

/// Field of the process's status, in KiB.
long
MemoryOf(pid_t aPid, std::string_view aField)
{
  std::ifstream file{ "/proc/" + std::to_string(aPid) + "/status" };
  std::string word;
  while (file >> word && word != aField) {
  }
  long size = 0;
  file >> size;
  return size;
}

/// Clients that send all at once and keep their connections open.
class Crowd
{
public:
  Crowd(net::io_context& aContext, Served aServed)
    : mContext(aContext)
    , mServed(std::move(aServed))
  {
  }

  /// Returns when each client has sent all that it will, or was cut off.
  void SendAll(Hostility aHostility)
  {
    const std::string rest = RestOfRequest(aHostility);
    const std::size_t piece = aHostility == Hostility::WholeBodies ||
                                  aHostility == Hostility::LargeChunks
                                ? rest.size()
                                : kPieceBytes;
    std::size_t sending = kClients;
    for (std::size_t n = 0; n < kClients; ++n) {
      const bool finishes = n % kFinishEvery == 0;
      const std::string_view sent{ rest.data(),
                                   rest.size() - (finishes ? 0 : 1) };
      mSockets.push_back(std::make_unique<tcp::socket>(mContext));
      net::co_spawn(mContext,
                    Send(*mSockets.back(), sent, piece),
                    [&](const std::exception_ptr& aError) {
                      EXPECT_FALSE(aError);
                      mDescriptors =
                        std::max(mDescriptors, DescriptorsOf(mServed.mPid));
                      --sending;
                    });
    }
    while (sending > 0) {
      mContext.run_one();
    }
  }

  /// Repeats an ordinary request while it is refused.
  /// @return the last status; 0 without a response
  unsigned CallUntilServed(std::size_t aBodyBytes)
  {
    unsigned status = 0;
    const Instant until = std::chrono::steady_clock::now() + kPatience;
    while (status != 200U && std::chrono::steady_clock::now() < until) {
      bool done = false;
      net::co_spawn(mContext,
                    Call(aBodyBytes),
                    [&](const std::exception_ptr& aError, unsigned aStatus) {
                      status = aError ? 0 : aStatus;
                      done = true;
                    });
      while (!done) {
        mContext.run_one();
      }
    }
    return status;
  }

  /// The checks that all tests share; the clients stay connected meanwhile.
  void ExpectBounded()
  {
    mDescriptors = std::max(mDescriptors, DescriptorsOf(mServed.mPid));
    const long peak = MemoryOf(mServed.mPid, "VmHWM:");
    std::printf("peak %ld KiB of %ld, descriptors %zu of %zu\n",
                peak,
                kMaxPeakKiB,
                mDescriptors,
                kClients + kOtherDescriptors);
    EXPECT_EQ(kill(mServed.mPid, 0), 0);
    EXPECT_GT(peak, 0) << "the process has ended";
    EXPECT_LT(peak, kMaxPeakKiB);
    EXPECT_LT(mDescriptors, kClients + kOtherDescriptors);
  }

private:
  static constexpr std::size_t kPieceBytes = 4096;

  Task<void> Send(tcp::socket& aSocket,
                  std::string_view aRest,
                  std::size_t aPiece)
  {
    boost::system::error_code ec;
    aSocket.open(tcp::v4());
    // What the system buffers isn't in the process's memory.
    aSocket.set_option(net::socket_base::send_buffer_size{ 32 * 1024 });
    co_await aSocket.async_connect(ParseEndpoint(mServed.mAddress).value(),
                                   net::redirect_error(net::use_awaitable, ec));
    const std::string header = mServed.mHeader();
    co_await net::async_write(aSocket,
                              net::buffer(header),
                              net::redirect_error(net::use_awaitable, ec));
    for (std::size_t n = 0; n < aRest.size() && !ec; n += aPiece) {
      const std::string_view piece = aRest.substr(n, aPiece);
      co_await net::async_write(aSocket,
                                net::buffer(piece.data(), piece.size()),
                                net::redirect_error(net::use_awaitable, ec));
    }
  }

  Task<unsigned> Call(std::size_t aBodyBytes)
  {
    boost::system::error_code ec;
    tcp::socket socket{ mContext };
    co_await socket.async_connect(ParseEndpoint(mServed.mAddress).value(),
                                  net::redirect_error(net::use_awaitable, ec));
    const std::string request =
      mServed.mHeader() + "Content-Length: " + std::to_string(aBodyBytes) +
      "\r\n\r\n" + std::string(aBodyBytes, 'x');
    co_await net::async_write(socket,
                              net::buffer(request),
                              net::redirect_error(net::use_awaitable, ec));
    beast::flat_buffer buffer;
    HttpResponse response;
    co_await http::async_read(
      socket, buffer, response, net::redirect_error(net::use_awaitable, ec));
    co_return ec ? 0 : response.result_int();
  }

  net::io_context& mContext;
  /// Without work the context stops, and ignores what is started later.
  net::executor_work_guard<net::io_context::executor_type> mWork{
    mContext.get_executor()
  };
  Served mServed;
  std::vector<std::unique_ptr<tcp::socket>> mSockets;
  std::size_t mDescriptors = 0;
};

/// A gateway process with a store and an upstream.
class GatewaySite
{
public:
  explicit GatewaySite(net::io_context& aContext)
  {
    mUpstream = HttpServer::Listen(
                  aContext,
                  mUpstreamAddress,
                  [] {
                    HttpServerLimits limits;
                    limits.mMaxBodyBytes = 2 * kBodyBytes;
                    return limits;
                  },
                  &GatewaySite::Answer)
                  .value();
    std::string upstream =
      soak::UpstreamText("s", mUpstreamAddress, "ready", 1, 1);
    boost::replace_all(upstream, "zone-a", "dc");
    soak::RouteDocument route;
    route.mName = "r";
    route.mPrefix = "/";
    route.mKind = "unsafe";
    route.mService = "s";
    route.mTimeoutMs = kRouteMs;
    mStore.Put(
      "config",
      "main",
      soak::ConfigText(1, soak::RouteText(route), soak::ServiceText("s")));
    mStore.Put("servers", "u", upstream);
    mSettings.mPlatform = "127.0.0.1:" + std::to_string(mStore.Open({}));
    mSettings.mExtra = R"(,"log":{"output":"/dev/null"},"memoryMb":)" +
                       std::to_string(kMemoryMb);
    mFile = std::make_unique<test::ScratchFile>(mSettings.Text());
    mGateway =
      std::make_unique<test::SpawnedGateway>(mFile->Path(), mOutput.mWriter);
  }

  Served Start()
  {
    mOutput.CloseWriter();
    return { mSettings.mListen, mGateway->Pid(), [this] {
              return "POST /body HTTP/1.1\r\nHost: site.example\r\n" +
                     soak::RequestHeader("r-" + std::to_string(++mIds),
                                         kRouteMs);
            } };
  }

private:
  static constexpr long kRouteMs = 60'000;

  static Task<void> Answer(HttpExchange& aExchange)
  {
    const std::string id = aExchange.Header(soak::RequestIdName());
    HttpResponse response{ http::status::ok, 11 };
    response.set(soak::RequestIdName(), id);
    response.set(soak::SealName(), soak::SealOf(id));
    co_await aExchange.Reply(std::move(response));
  }

  std::string mUpstreamAddress = test::FreeAddress();
  std::unique_ptr<HttpServer> mUpstream;
  /// Lives to the end of the process, as its threads do.
  soak::StoreStandin& mStore = *new soak::StoreStandin;
  test::SpawnSettings mSettings = test::SpawnSettings::Free();
  std::unique_ptr<test::ScratchFile> mFile;
  test::Pipe mOutput;
  std::unique_ptr<test::SpawnedGateway> mGateway;
  int mIds = 0;
};

/// An entry with its agent, and an upstream of a plain service.
class EntrySite
{
public:
  explicit EntrySite(net::io_context&) {}

  Served Start()
  {
    mCluster.AddEngine("plain-1", "dc-1");
    mCluster.AddVm("vm-1", "dc-1");
    mCluster.SetEntryMemoryMb(kMemoryMb);
    mCluster.SetLimit("maxBodyBytes", kBodyBytes);
    mCluster.Start();
    EXPECT_TRUE(mCluster.WaitForCredits("vm-1"));
    return { mCluster.Vm("vm-1").mListen, mCluster.ProcessId("entry/vm-1"), [] {
              return std::string{
                "POST /v1/services/portal/plain/x HTTP/1.1\r\nHost: h\r\n"
                "Authorization: Bearer test-key\r\n"
              };
            } };
  }

private:
  Cluster mCluster;
};

/// @param Site starts the process under test
template<typename Site>
void
ExpectSurvival(Hostility aHostility)
{
  net::io_context context{ 1 };
  Site site{ context };
  Crowd crowd{ context, site.Start() };
  ASSERT_EQ(crowd.CallUntilServed(10), 200U);
  crowd.SendAll(aHostility);
  EXPECT_EQ(crowd.CallUntilServed(10), 200U);
  crowd.ExpectBounded();
}

template<typename Site>
void
ExpectLargestBodyServed()
{
  net::io_context context{ 1 };
  Site site{ context };
  Crowd crowd{ context, site.Start() };
  ASSERT_EQ(crowd.CallUntilServed(10), 200U);
  EXPECT_EQ(crowd.CallUntilServed(kBodyBytes), 200U);
  crowd.ExpectBounded();
}

std::string
NameOf(const ::testing::TestParamInfo<Hostility>& aInfo)
{
  constexpr const char* kNames[] = { "EndlessTrailers",
                                     "WholeBodies",
                                     "BodiesInPieces",
                                     "LargeChunks",
                                     "SmallChunks" };
  return kNames[static_cast<int>(aInfo.param)];
}

const auto kAllKinds = ::testing::Values(Hostility::EndlessTrailers,
                                         Hostility::WholeBodies,
                                         Hostility::BodiesInPieces,
                                         Hostility::LargeChunks,
                                         Hostility::SmallChunks);

} // namespace

class HostileClientsOfGatewayTest : public ::testing::TestWithParam<Hostility>
{};

class HostileClientsOfEntryTest : public ::testing::TestWithParam<Hostility>
{};

// Guards against a process that is ended for its memory, or serves nobody any
// more, because clients hold large requests open that they never finish.
TEST_P(HostileClientsOfGatewayTest, TheProcessStaysWithinItsLimitsAndServes)
{
  ExpectSurvival<GatewaySite>(GetParam());
}

// The same for an entry, which held all bodies that its clients sent.
TEST_P(HostileClientsOfEntryTest, TheProcessStaysWithinItsLimitsAndServes)
{
  ExpectSurvival<EntrySite>(GetParam());
}

// Guards against a bound that refuses a body of legal size without other load.
TEST(HostileClientsTest, ASingleBodyOfTheLargestSizeIsServedByAGateway)
{
  ExpectLargestBodyServed<GatewaySite>();
}

TEST(HostileClientsTest, ASingleBodyOfTheLargestSizeIsServedByAnEntry)
{
  ExpectLargestBodyServed<EntrySite>();
}

INSTANTIATE_TEST_SUITE_P(AllKinds,
                         HostileClientsOfGatewayTest,
                         kAllKinds,
                         &NameOf);
INSTANTIATE_TEST_SUITE_P(AllKinds,
                         HostileClientsOfEntryTest,
                         kAllKinds,
                         &NameOf);

} // namespace cactusgw::testing_support
