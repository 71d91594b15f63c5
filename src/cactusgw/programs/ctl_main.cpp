#include "cactusgw/ctl/ctl_commands.hpp"
#include "cactusgw/programs/command_line.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace cactusgw;

constexpr const char* kCommands =
  "config check|diff|apply DIR | config show [DATA-CENTRE] | "
  "data-centre drain|return NAME | status";

struct Options
{
  std::string mSettings;
  std::string mPlatform;
  long mExpect = -1;
  bool mJson = false;
  bool mCheck = false;
};

int
RunTask(Task<int> aTask)
{
  boost::asio::io_context context{ 1 };
  int code = kExitFailure;
  boost::asio::co_spawn(context,
                        std::move(aTask),
                        [&code](const std::exception_ptr& aError, int aCode) {
                          code = aError ? kExitFailure : aCode;
                        });
  context.run();
  return code;
}

int
Usage()
{
  std::fprintf(stderr, "cactusgwctl: needs a command: %s\n", kCommands);
  return kExitUsage;
}

int
RunConfig(const std::vector<std::string>& aWords,
          const ToolSettings& aSettings,
          const Options& aOptions)
{
  const std::string& verb = aWords[1];
  const std::string argument = aWords.size() > 2 ? aWords[2] : "";
  if (verb == "show") {
    return RunTask(ConfigShow(aSettings, argument));
  }
  if (argument.empty()) {
    return Usage();
  }
  if (verb == "check") {
    return ConfigCheck(argument);
  }
  if (verb == "diff") {
    return RunTask(ConfigDiff(aSettings, argument));
  }
  if (verb == "apply") {
    return RunTask(ConfigApply(aSettings, argument, aOptions.mExpect));
  }
  return Usage();
}

int
RunCommand(const std::vector<std::string>& aWords,
           const ToolSettings& aSettings,
           const Options& aOptions)
{
  if (aWords.size() == 1 && aWords[0] == "status") {
    return RunTask(ShowStatus(aSettings, aOptions.mJson));
  }
  if (aWords.size() >= 2 && aWords[0] == "config") {
    return RunConfig(aWords, aSettings, aOptions);
  }
  const bool isDrain = aWords.size() == 3 && aWords[0] == "data-centre" &&
                       (aWords[1] == "drain" || aWords[1] == "return");
  if (isDrain) {
    return RunTask(DrainDataCentre(aSettings, aWords[2], aWords[1] == "drain"));
  }
  return Usage();
}

/// Reads the settings file, when one is given, into the settings.
std::optional<int>
ReadSettingsFile(const Options& aOptions, ToolSettings& aSettings)
{
  if (aOptions.mSettings.empty()) {
    return std::nullopt;
  }
  const std::optional<std::string> text = ReadWholeFile(aOptions.mSettings);
  if (!text) {
    std::fprintf(stderr, "%s: can't be read\n", aOptions.mSettings.c_str());
    return kExitBadSettings;
  }
  const SettingsResult<ToolSettings> settings =
    ReadToolSettings(*text, aOptions.mSettings);
  if (!settings) {
    std::fprintf(stderr, "%s", ToString(settings.error()).c_str());
    return kExitBadSettings;
  }
  aSettings = settings.value();
  return std::nullopt;
}

} // namespace

/// The binary cactusgwctl.
int
main(int aArgc, char** aArgv)
{
  Options options;
  const std::array<OptionSpec, 5> specs{
    OptionSpec{
      "settings", "file with the settings", "FILE", &options.mSettings },
    OptionSpec{
      "platform", "address of the platform", "IP:PORT", &options.mPlatform },
    OptionSpec{ "expect",
                "apply only over this revision",
                "REVISION",
                nullptr,
                &options.mExpect },
    OptionSpec{
      "json", "write JSON", nullptr, nullptr, nullptr, &options.mJson },
    OptionSpec{ "check",
                "check the settings and exit",
                nullptr,
                nullptr,
                nullptr,
                &options.mCheck }
  };
  std::vector<std::string> words;
  const std::optional<int> code =
    ParseCommandLine({ "cactusgwctl", kCommands }, aArgc, aArgv, specs, words);
  if (code) {
    return *code;
  }
  ToolSettings settings;
  const std::optional<int> fault = ReadSettingsFile(options, settings);
  if (fault) {
    return *fault;
  }
  if (options.mCheck) {
    std::printf("%s: ok\n", options.mSettings.c_str());
    return kExitOk;
  }
  if (!options.mPlatform.empty()) {
    settings.mPlatform = options.mPlatform;
  }
  return RunCommand(words, settings, options);
}
