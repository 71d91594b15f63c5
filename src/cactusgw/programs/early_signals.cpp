#include "cactusgw/programs/early_signals.hpp"

#include <chrono>
#include <csignal>
#include <ctime>

namespace cactusgw {

namespace {

sigset_t
HeldSignals()
{
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

void
HoldSignals(int /*aArgc*/, char** /*aArgv*/, char** /*aEnvironment*/)
{
  const sigset_t signals = HeldSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  // A write to an output whose reader is gone returns an error instead.
  std::signal(SIGPIPE, SIG_IGN);
}

/// Run by the dynamic loader before the constructors of all libraries.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kHoldSignals)(int, char**, char**) = &HoldSignals;

} // namespace

bool
TakeStopSignal(Milliseconds aTime)
{
  const std::chrono::seconds seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aTime);
  timespec time{};
  time.tv_sec = static_cast<std::time_t>(seconds.count());
  time.tv_nsec = std::chrono::nanoseconds{ aTime - seconds }.count();
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return sigtimedwait(&signals, nullptr, &time) > 0;
}

void
ReleaseSignals()
{
  const sigset_t signals = HeldSignals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace cactusgw
