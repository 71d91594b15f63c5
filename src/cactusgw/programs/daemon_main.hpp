#ifndef CACTUSGW_PROGRAMS_DAEMON_MAIN_HPP
#define CACTUSGW_PROGRAMS_DAEMON_MAIN_HPP

/// What the main functions of the daemons share.

#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/net/spawn.hpp"
#include "cactusgw/programs/command_line.hpp"
#include "cactusgw/programs/early_signals.hpp"
#include "cactusgw/programs/event_loop.hpp"
#include "cactusgw/programs/start_retries.hpp"
#include "cactusgw/telemetry/log.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// A daemon that takes new settings while it runs. Reload gets the settings,
/// or the faults in the file, and then keeps what it has.
template<typename Daemon, typename Settings>
concept Reloadable = requires(Daemon& aDaemon,
                              const SettingsResult<Settings>& aSettings)
{
  aDaemon.Reload(aSettings);
};

/// Reads and checks the file. A file that can't be read is a fault too.
template<typename Settings>
SettingsResult<Settings>
ReadSettingsFile(SettingsResult<Settings> (*aRead)(std::string_view,
                                                   std::string_view),
                 const std::string& aPath)
{
  const std::optional<std::string> text = ReadWholeFile(aPath);
  if (!text) {
    return ConfigFaults{ { aPath, "", "can't be read" } };
  }
  return aRead(*text, aPath);
}

/// Reads the settings, starts the daemon and runs it until a signal stops it. A
/// signal during the start is acted on once the daemon runs.
///
/// @tparam Daemon has a static Start(context, settings) and a Stop(function)
template<typename Daemon, typename Settings>
int
DaemonMain(const char* aName,
           SettingsResult<Settings> (*aRead)(std::string_view,
                                             std::string_view),
           int aArgc,
           char** aArgv)
{
  std::string path;
  bool checkOnly = false;
  const std::array<OptionSpec, 2> options{
    OptionSpec{ "settings", "file with the settings", "FILE", &path },
    OptionSpec{ "check",
                "check the settings and exit",
                nullptr,
                nullptr,
                nullptr,
                &checkOnly }
  };
  std::vector<std::string> rest;
  const std::optional<int> code =
    ParseCommandLine({ aName }, aArgc, aArgv, options, rest);
  if (code) {
    return *code;
  }
  if (path.empty() || !rest.empty()) {
    std::fprintf(stderr, "%s: needs --settings FILE\n", aName);
    return kExitUsage;
  }
  if (checkOnly) {
    ReleaseSignals(); // There are no handlers to wait for.
  }
  const SettingsResult<Settings> settings = ReadSettingsFile(aRead, path);
  if (!settings) {
    std::fprintf(stderr, "%s", ToString(settings.error()).c_str());
    return kExitBadSettings;
  }
  if (checkOnly) {
    std::printf("%s: ok\n", path.c_str());
    return kExitOk;
  }
  StartLogging(settings.value().mLog);
  std::unique_ptr<boost::asio::io_context> context;
  Result<std::unique_ptr<Daemon>> daemon = std::unique_ptr<Daemon>{};
  const auto start = [&] {
    // What a failed start has left on its event loop goes with the loop.
    context = std::make_unique<boost::asio::io_context>(1);
    daemon = Daemon::Start(*context, settings.value());
    return daemon ? std::string{} : daemon.error().mDetail;
  };
  const StartResult result = StartWithRetries(aName, start);
  if (result != StartResult::Started) {
    return result == StartResult::Stopped ? kExitOk : kExitCannotListen;
  }
  StopOnSignals(*context,
                [&] { daemon.value()->Stop([&context] { context->stop(); }); });
  if constexpr (Reloadable<Daemon, Settings>) {
    ReloadOnSignal(
      *context, [&] { daemon.value()->Reload(ReadSettingsFile(aRead, path)); });
  }
  ReleaseSignals();
  RunToEnd(*context);
  // Calls in progress refer to the daemon and the daemon to its sockets: the
  // process ends without taking them apart, which could wait for peers.
  log4cplus::Logger::getRoot().closeNestedAppenders(); // Writes queued lines.
  std::fflush(nullptr);
  std::_Exit(kExitOk);
}

} // namespace cactusgw

#endif // CACTUSGW_PROGRAMS_DAEMON_MAIN_HPP
