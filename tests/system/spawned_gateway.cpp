#include "spawned_gateway.hpp"

#include "free_address.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cactusgw::test {

SpawnSettings
SpawnSettings::Free()
{
  SpawnSettings settings;
  settings.mListen = FreeAddress();
  settings.mReadyListen = FreeAddress();
  settings.mMetricsListen = FreeAddress();
  settings.mPeerListen = FreeAddress();
  settings.mPlatform = FreeAddress();
  return settings;
}

std::string
SpawnSettings::Text() const
{
  const auto member = [](const char* aName, const std::string& aValue) {
    return std::string{ "\"" } + aName + R"(": ")" + aValue + "\"";
  };
  return "{" + member("vm", mVm) + "," + member("dataCentre", "dc") +
         R"(,"regions":{"dc":"north"},"unreadyMs":10,"stopMs":2000,)" +
         member("listen", mListen) + "," + member("readyListen", mReadyListen) +
         "," + member("metricsListen", mMetricsListen) + "," +
         member("peerListen", mPeerListen) + "," +
         member("platform", mPlatform) + mExtra + "}";
}

SpawnedGateway::SpawnedGateway(const std::string& aPath,
                               int aOutput,
                               const std::vector<int>& aPending)
{
  mPid = fork();
  if (mPid != 0) {
    return;
  }
  // Pending signals and the mask of blocked ones are kept by exec.
  sigset_t pending{};
  sigemptyset(&pending);
  for (const int signal : aPending) {
    sigaddset(&pending, signal);
  }
  sigprocmask(SIG_BLOCK, &pending, nullptr);
  for (const int signal : aPending) {
    kill(getpid(), signal);
  }
  dup2(aOutput, STDOUT_FILENO);
  execl(
    CACTUSGW_GATEWAY, CACTUSGW_GATEWAY, "--settings", aPath.c_str(), nullptr);
  _exit(EXIT_FAILURE);
}

SpawnedGateway::~SpawnedGateway()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
}

void
SpawnedGateway::Signal(int aSignal) const
{
  kill(mPid, aSignal);
}

int
SpawnedGateway::WaitForExit(int aMilliseconds)
{
  const int process = static_cast<int>(syscall(SYS_pidfd_open, mPid, 0));
  pollfd ended{ process, POLLIN, 0 };
  if (poll(&ended, 1, aMilliseconds) == 0) {
    kill(mPid, SIGKILL);
  }
  close(process);
  int status = 0;
  waitpid(mPid, &status, 0);
  mPid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

long
SpawnedGateway::PeakKiB() const
{
  std::ifstream file{ "/proc/" + std::to_string(mPid) + "/status" };
  std::string word;
  while (file >> word && word != "VmHWM:") {
  }
  long peak = 0;
  file >> peak;
  return peak;
}

Pipe::Pipe()
{
  std::array<int, 2> ends{ -1, -1 };
  if (pipe2(ends.data(), O_CLOEXEC) == 0) {
    mReader = ends[0];
    mWriter = ends[1];
  }
}

Pipe::~Pipe()
{
  close(mReader);
  CloseWriter();
}

void
Pipe::CloseWriter()
{
  if (mWriter >= 0) {
    close(mWriter);
    mWriter = -1;
  }
}

std::string
Pipe::ReadUntil(std::string_view aText) const
{
  std::string text;
  std::array<char, 4096> buf{};
  ssize_t n = 1;
  while (n > 0 && text.find(aText) == std::string::npos) {
    n = read(mReader, buf.data(), buf.size());
    text.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
  }
  return text;
}

ScratchFile::ScratchFile(std::string_view aText)
{
  mFolder = "/tmp/cactusgw-process-test.XXXXXX";
  if (mkdtemp(mFolder.data()) == nullptr) {
    std::abort();
  }
  mPath = mFolder + "/settings";
  Replace(aText);
}

ScratchFile::~ScratchFile()
{
  std::remove(mPath.c_str());
  rmdir(mFolder.c_str());
}

void
ScratchFile::Replace(std::string_view aText) const
{
  const std::string written = mPath + ".new";
  std::ofstream{ written } << aText;
  std::rename(written.c_str(), mPath.c_str());
}

} // namespace cactusgw::test
