#include "cactusgw/programs/command_line.hpp"
#include "cactusgw/programs/event_loop.hpp"
#include "platform_standin.hpp"

#include <array>
#include <cstdio>

/// The platform stand-in as a process.
int
main(int aArgc, char** aArgv)
{
  using namespace cactusgw;
  std::string listen = "127.0.0.1:7000";
  const std::array<OptionSpec, 1> options{ OptionSpec{
    "listen", "address to listen on", "IP:PORT", &listen } };
  std::vector<std::string> rest;
  const std::optional<int> code =
    ParseCommandLine({ "platform-standin" }, aArgc, aArgv, options, rest);
  if (code) {
    return *code;
  }
  net::io_context context{ 1 };
  Result<std::unique_ptr<standins::PlatformStandin>> platform =
    standins::PlatformStandin::Listen(context, listen);
  if (!platform) {
    std::fprintf(stderr, "%s\n", platform.error().mDetail.c_str());
    return kExitCannotListen;
  }
  StopOnSignals(context, [&context] { context.stop(); });
  context.run();
  return kExitOk;
}
