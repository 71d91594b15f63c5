#include "gateway_process.hpp"

#include "channel.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cactusgw::soak {

GatewayProcess::GatewayProcess(GatewayOptions aOptions)
  : mOptions(std::move(aOptions))
  , mFront(FreePort())
  , mReady(FreePort())
  , mMetrics(FreePort())
  , mPeer(FreePort())
  , mTunnel(FreePort())
{
}

GatewayProcess::~GatewayProcess()
{
  const pid_t pid = mPid;
  if (pid > 0) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
}

std::string
GatewayProcess::LogFile() const
{
  return mOptions.mFolder + "/" + mOptions.mName + ".log";
}

std::string
GatewayProcess::SettingsFile() const
{
  return mOptions.mFolder + "/" + mOptions.mName + ".json";
}

std::string
GatewayProcess::SettingsText() const
{
  return R"({"vm":")" + mOptions.mName + R"(","dataCentre":")" +
         mOptions.mDataCentre +
         R"(","regions":{"zone-a":"north","zone-b":"east","zone-c":"south",)"
         R"("zone-d":"west"},"listen":")" +
         AddressOf(mFront) + R"(","readyListen":")" + AddressOf(mReady) +
         R"(","metricsListen":")" + AddressOf(mMetrics) +
         R"(","peerListen":")" + AddressOf(mPeer) + R"(","tunnelListen":")" +
         AddressOf(mTunnel) + R"(","platform":")" + AddressOf(mStorePort) +
         R"(","capacity":0.25,"linkMbps":1000.0,)"
         R"("bounds":{"keyFreshnessMs":5000,"homeFreshnessMs":2500,)"
         R"("retryRatio":0.2,"retryExtra":54,"retryWindowS":10,)"
         R"("coldFactor":1.5,"coldExtra":5},"unreadyMs":2500,"stopS":8})";
}

void
GatewayProcess::WriteSettings() const
{
  std::ofstream{ SettingsFile() } << SettingsText();
}

void
GatewayProcess::WriteOddSettings(unsigned aKind) const
{
  const std::string text = SettingsText();
  const std::array<std::string, 8> texts = {
    text.substr(0, text.size() / 2),
    "",
    std::string(100'000, '{'),
    R"({"vm":7,"stopS":-1})",
    text.substr(0, text.size() - 1) + R"(,"stopMs":1e300})",
    std::string("\0\xff\xfe{}", 5),
    std::string(100'000, '['),
    text.substr(0, text.size() - 1) + R"(,"unknown":{"a":[1,2]}})",
  };
  std::ofstream{ SettingsFile() } << texts[aKind % texts.size()];
}

void
GatewayProcess::Start()
{
  WriteSettings();
  const std::string log = LogFile();
  const std::string settings = SettingsFile();
  const rlimit descriptors{ static_cast<rlim_t>(mOptions.mDescriptors),
                            static_cast<rlim_t>(mOptions.mDescriptors) };
  int executed[2] = { -1, -1 };
  static_cast<void>(!pipe2(executed, O_CLOEXEC));
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setrlimit(RLIMIT_NOFILE, &descriptors);
    const int out =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(mOptions.mProgram.c_str(),
          mOptions.mProgram.c_str(),
          "--settings",
          settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  // Until the program is executed, signals and memory are those of a copy of
  // this process.
  close(executed[1]);
  char none = 0;
  static_cast<void>(!read(executed[0], &none, 1));
  close(executed[0]);
  mPid = pid;
}

void
GatewayProcess::Signal(int aSignal) const
{
  const pid_t pid = mPid;
  if (pid > 0) {
    kill(pid, aSignal);
  }
}

std::optional<int>
GatewayProcess::TakeEnding()
{
  const pid_t pid = mPid;
  int status = 0;
  if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
    mPid = 0;
    return status;
  }
  return std::nullopt;
}

long
GatewayProcess::PeakBytes() const
{
  std::ifstream file{ "/proc/" + std::to_string(mPid) + "/status" };
  std::string line;
  constexpr std::string_view kName = "VmHWM:";
  while (std::getline(file, line)) {
    if (line.compare(0, kName.size(), kName) == 0) {
      return std::strtol(&line[kName.size()], nullptr, 10) * 1024;
    }
  }
  return 0;
}

} // namespace cactusgw::soak
