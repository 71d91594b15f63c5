#include "free_address.hpp"

#include <gtest/gtest.h>

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

/// A gateway process whose output the test reads.
class GatewayProcess
{
public:
  explicit GatewayProcess(const std::string& aExtraSettings)
  {
    std::string path = "/tmp/cactusgw-gateway-test.XXXXXX";
    close(mkstemp(path.data()));
    mPath = path;
    std::ofstream{ mPath } << R"({ "vm": "vm-1", "dataCentre": "dc",
      "regions": { "dc": "north" }, "unreadyMs": 10, "stopMs": 2000,
      "listen": ")" << FreeAddress()
                           << R"(", "readyListen": ")" << FreeAddress()
                           << R"(", "metricsListen": ")" << FreeAddress()
                           << R"(", "peerListen": ")" << FreeAddress()
                           << R"(", "platform": ")" << FreeAddress() << "\""
                           << aExtraSettings << "}";
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
    EXPECT_EQ(posix_spawn(
                &mPid, program.c_str(), &actions, nullptr, arguments, environ),
              0);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    mOutput = fdopen(ends[0], "r");
  }

  ~GatewayProcess()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
    }
    std::fclose(mOutput);
    std::remove(mPath.c_str());
  }

  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void Signal(int aSignal) const { kill(mPid, aSignal); }

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

  /// The exit code, or minus one when a signal ended it.
  int WaitForExit()
  {
    int status = 0;
    waitpid(mPid, &status, 0);
    mPid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

private:
  std::string mPath;
  pid_t mPid = 0;
  std::FILE* mOutput = nullptr;
};

} // namespace

TEST(GatewayProcessTest, StaysUpWithoutItsStoreAndStopsOnSigterm)
{
  GatewayProcess gateway{ "" };
  EXPECT_TRUE(gateway.WaitForLine("event=started"));
  EXPECT_TRUE(gateway.WaitForLine("event=store-lost"));
  gateway.Signal(SIGTERM);
  EXPECT_TRUE(gateway.WaitForLine("event=stopped"));
  EXPECT_EQ(gateway.WaitForExit(), 0);
}

// A repeated SIGTERM must not cut off the requests that a stop still answers.
TEST(GatewayProcessTest, ARepeatedSigtermChangesNothing)
{
  GatewayProcess gateway{ "" };
  EXPECT_TRUE(gateway.WaitForLine("event=started"));
  gateway.Signal(SIGTERM);
  EXPECT_TRUE(gateway.WaitForLine("event=stopping"));
  gateway.Signal(SIGTERM);
  EXPECT_TRUE(gateway.WaitForLine("event=stopped"));
  EXPECT_EQ(gateway.WaitForExit(), 0);
}

TEST(GatewayProcessTest, ReloadsOnSighup)
{
  GatewayProcess gateway{ "" };
  EXPECT_TRUE(gateway.WaitForLine("event=started"));
  gateway.Signal(SIGHUP);
  EXPECT_TRUE(gateway.WaitForLine("event=reloaded"));
  gateway.Signal(SIGTERM);
  EXPECT_TRUE(gateway.WaitForLine("event=stopped"));
  EXPECT_EQ(gateway.WaitForExit(), 0);
}

TEST(GatewayProcessTest, RefusesSettingsItDoesNotKnow)
{
  GatewayProcess gateway{ R"(, "oddMember": 1)" };
  constexpr int kBadSettings = 3;
  EXPECT_EQ(gateway.WaitForExit(), kBadSettings);
}

} // namespace cactusgw::testing_support
