#include "cactusgw/net/address.hpp"
#include "cactusgw/net/http_types.hpp"
#include "free_address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace cactusgw::testing_support {

namespace {

using net::ip::tcp;
using test::FreeAddress;

constexpr rlim_t kDescriptors = 64;
constexpr std::size_t kExcess = 200;

/// A gateway process that may open few descriptors.
class LimitedGateway
{
public:
  LimitedGateway()
  {
    std::string path = "/tmp/cactusgw-descriptor-test.XXXXXX";
    close(mkstemp(path.data()));
    mPath = path;
    std::ofstream{ mPath } << R"({ "vm": "vm-1", "dataCentre": "dc",
      "regions": { "dc": "north" }, "unreadyMs": 10, "stopMs": 2000,
      "listen": ")" << FreeAddress()
                           << R"(", "readyListen": ")" << mReady
                           << R"(", "metricsListen": ")" << FreeAddress()
                           << R"(", "peerListen": ")" << FreeAddress()
                           << R"(", "platform": ")" << FreeAddress() << "\"}";
    int ends[2] = { -1, -1 };
    EXPECT_EQ(pipe(ends), 0);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, ends[0]);
    std::string program = CACTUSGW_GATEWAY;
    std::string option = "--settings";
    char* const arguments[] = {
      program.data(), option.data(), mPath.data(), nullptr
    };
    rlimit usual{};
    getrlimit(RLIMIT_NOFILE, &usual);
    const rlimit few{ kDescriptors, usual.rlim_max };
    setrlimit(RLIMIT_NOFILE, &few);
    EXPECT_EQ(posix_spawn(
                &mPid, program.c_str(), &actions, nullptr, arguments, environ),
              0);
    setrlimit(RLIMIT_NOFILE, &usual);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    mOutput = fdopen(ends[0], "r");
  }

  ~LimitedGateway()
  {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    std::fclose(mOutput);
    std::remove(mPath.c_str());
  }

  LimitedGateway(const LimitedGateway&) = delete;
  LimitedGateway& operator=(const LimitedGateway&) = delete;

  void Stop() const { kill(mPid, SIGTERM); }
  tcp::endpoint Address() const { return ParseEndpoint(mReady).value(); }

  /// Reads on until a line holds the text.
  bool WaitForLine(const std::string& aText)
  {
    char* line = nullptr;
    std::size_t size = 0;
    bool found = false;
    while (!found && getline(&line, &size, mOutput) >= 0) {
      found = std::string{ line }.find(aText) != std::string::npos;
    }
    std::free(line);
    return found;
  }

  /// Processor time used since the start, in seconds.
  double ProcessorTime() const
  {
    constexpr int kFieldsBefore = 11;
    std::ifstream file{ "/proc/" + std::to_string(mPid) + "/stat" };
    std::string field;
    while (file >> field && field.back() != ')') {
    }
    for (int n = 0; n < kFieldsBefore; ++n) {
      file >> field;
    }
    double user = 0;
    double system = 0;
    file >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }

private:
  std::string mReady = FreeAddress();
  std::string mPath;
  pid_t mPid = 0;
  std::FILE* mOutput = nullptr;
};

tcp::socket
Connect(net::io_context& aContext, const tcp::endpoint& aAddress)
{
  tcp::socket socket{ aContext };
  socket.connect(aAddress);
  return socket;
}

/// Whether a request on the connection gets a response in time.
bool
IsAnswered(tcp::socket& aSocket)
{
  constexpr timeval kLongest{ 5, 0 };
  setsockopt(aSocket.native_handle(),
             SOL_SOCKET,
             SO_RCVTIMEO,
             &kLongest,
             sizeof(kLongest));
  const std::string request = "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n";
  std::array<char, 4096> buf;
  return send(aSocket.native_handle(),
              request.data(),
              request.size(),
              MSG_NOSIGNAL) > 0 &&
         recv(aSocket.native_handle(), buf.data(), buf.size(), 0) > 0;
}

} // namespace

// Connections beyond the limit of descriptors made the process spin, and a
// connection that is refused once must not stop others from being accepted.
TEST(DescriptorLimitTest, ExcessConnectionsWaitWhileOthersAreAnswered)
{
  constexpr std::chrono::seconds kWindow{ 2 };
  constexpr double kMaxShareOfACore = 0.2;
  LimitedGateway gateway;
  ASSERT_TRUE(gateway.WaitForLine("event=started"));
  net::io_context context;
  tcp::socket kept = Connect(context, gateway.Address());
  ASSERT_TRUE(IsAnswered(kept));
  std::vector<tcp::socket> excess;
  for (std::size_t n = 0; n < kExcess; ++n) {
    excess.push_back(Connect(context, gateway.Address()));
  }
  const double before = gateway.ProcessorTime();
  const std::chrono::steady_clock::time_point begun =
    std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - begun < kWindow) {
    EXPECT_TRUE(IsAnswered(kept));
    usleep(100'000); // A client that sends ten requests a second.
  }
  EXPECT_LT(gateway.ProcessorTime() - before,
            kMaxShareOfACore * static_cast<double>(kWindow.count()));
  excess.clear();
  tcp::socket later = Connect(context, gateway.Address());
  EXPECT_TRUE(IsAnswered(later));
  EXPECT_TRUE(IsAnswered(kept));
  gateway.Stop();
  EXPECT_TRUE(gateway.WaitForLine("event=accept-failed"));
}

} // namespace cactusgw::testing_support
