#include "cactusgw/programs/early_signals.hpp"

#include <csignal>

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

void
ReleaseSignals()
{
  const sigset_t signals = HeldSignals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace cactusgw
