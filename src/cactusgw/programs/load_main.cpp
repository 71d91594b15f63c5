#include "cactusgw/load/load_run.hpp"
#include "cactusgw/programs/command_line.hpp"

#include <boost/asio/co_spawn.hpp>

#include <array>
#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>

namespace {

using namespace cactusgw;

std::vector<std::string>
SplitCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream in{ aText };
  for (std::string part; std::getline(in, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

struct Options
{
  std::string mTargets;
  std::string mKeys;
  std::string mModel;
  std::string mLengths = "fixed:50";
  std::string mEngines;
  std::string mJsonFile;
  std::string mRate = "0";
  long mRequests = 1;
  long mConcurrency = 1;
  long mSeed = 1;
  long mPromptBytes = 64;
  bool mPrint = false;
  bool mDirect = false;
  bool mCheck = false;
};

LoadSettings
ToSettings(const Options& aOptions, const LengthPlan& aLengths)
{
  LoadSettings settings;
  settings.mTargets = SplitCommas(aOptions.mTargets);
  settings.mKeys = SplitCommas(aOptions.mKeys);
  settings.mModel = aOptions.mModel;
  settings.mRequests = static_cast<std::uint64_t>(aOptions.mRequests);
  settings.mConcurrency = static_cast<std::uint32_t>(aOptions.mConcurrency);
  settings.mRate = std::atof(aOptions.mRate.c_str());
  settings.mLengths = aLengths;
  settings.mSeed = static_cast<std::uint64_t>(aOptions.mSeed);
  settings.mPromptBytes = static_cast<std::uint32_t>(aOptions.mPromptBytes);
  settings.mEngines = SplitCommas(aOptions.mEngines);
  settings.mPrint = aOptions.mPrint;
  settings.mDirect = aOptions.mDirect;
  return settings;
}

/// Prints the report. Any violation makes the run a failure.
int
Finish(const LoadReport& aReport, const Options& aOptions)
{
  if (aOptions.mPrint) {
    std::printf("\n\n");
  }
  std::printf("%s", WriteReportTable(aReport).c_str());
  if (!aOptions.mJsonFile.empty()) {
    std::ofstream{ aOptions.mJsonFile } << WriteReportJson(aReport) << "\n";
  }
  return aReport.mViolations == 0 ? kExitOk : kExitFailure;
}

} // namespace

/// The binary cactusgw-load.
int
main(int aArgc, char** aArgv)
{
  Options options;
  const std::array<OptionSpec, 14> specs{
    OptionSpec{
      "targets", "entries, used in turn", "IP:PORT,...", &options.mTargets },
    OptionSpec{ "keys", "keys of workspaces", "KEY,...", &options.mKeys },
    OptionSpec{ "model", "model to ask for", "NAME", &options.mModel },
    OptionSpec{ "lengths",
                "fixed:N, uniform:MIN:MAX or lognormal:MEDIAN:SIGMA:MAX",
                "PLAN",
                &options.mLengths },
    OptionSpec{ "engines",
                "engines to read counters from",
                "IP:PORT,...",
                &options.mEngines },
    OptionSpec{ "json", "file for the report", "FILE", &options.mJsonFile },
    OptionSpec{ "rate", "open loop: requests a second", "N", &options.mRate },
    OptionSpec{
      "requests", "requests in all", "N", nullptr, &options.mRequests },
    OptionSpec{ "concurrency",
                "closed loop: requests at once",
                "N",
                nullptr,
                &options.mConcurrency },
    OptionSpec{ "seed", "seed of all draws", "N", nullptr, &options.mSeed },
    OptionSpec{ "prompt-bytes",
                "filler in each prompt",
                "N",
                nullptr,
                &options.mPromptBytes },
    OptionSpec{ "print",
                "print tokens as they arrive",
                nullptr,
                nullptr,
                nullptr,
                &options.mPrint },
    OptionSpec{ "direct",
                "send to engines themselves",
                nullptr,
                nullptr,
                nullptr,
                &options.mDirect },
    OptionSpec{ "check",
                "check the options and exit",
                nullptr,
                nullptr,
                nullptr,
                &options.mCheck }
  };
  std::vector<std::string> rest;
  const std::optional<int> code =
    ParseCommandLine({ "cactusgw-load" }, aArgc, aArgv, specs, rest);
  if (code) {
    return *code;
  }
  const Result<LengthPlan> lengths = ParseLengthPlan(options.mLengths);
  if (!lengths) {
    std::fprintf(stderr, "%s\n", lengths.error().mDetail.c_str());
    return kExitUsage;
  }
  const bool lacksKeys = options.mKeys.empty() && !options.mDirect;
  if (options.mTargets.empty() || lacksKeys || options.mModel.empty()) {
    std::fprintf(stderr, "cactusgw-load: needs --targets, --keys, --model\n");
    return kExitUsage;
  }
  if (options.mCheck) {
    std::printf("cactusgw-load: ok\n");
    return kExitOk;
  }
  boost::asio::io_context context{ 1 };
  LoadRun run{ context, ToSettings(options, lengths.value()) };
  int exitCode = kExitFailure;
  boost::asio::co_spawn(
    context,
    run.Run(),
    [&](const std::exception_ptr& aError, const LoadReport& aReport) {
      exitCode = aError ? kExitFailure : Finish(aReport, options);
      context.stop();
    });
  context.run();
  return exitCode;
}
