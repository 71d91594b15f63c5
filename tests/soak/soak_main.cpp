#include "soak_report.hpp"
#include "soak_run.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string_view>

/// cactusgw-soak --seed N [--seconds S] [--gateways G] [--clients C]
/// [--profile planned|partners|all] [--descriptors D] [--pause MS] [--small]
/// [--direct]
/// [--gateway PROGRAM] [--folder PATH]
/// Exit codes: 0 nothing found, 1 findings, 2 could not run.
int
main(int aArgc, char** aArgv)
{
  using namespace cactusgw::soak;
  constexpr int kFound = 1;
  constexpr int kCouldNotRun = 2;
  std::signal(SIGPIPE, SIG_IGN);
  RunOptions options;
  options.mProgram = CACTUSGW_GATEWAY;
  for (int i = 1; i < aArgc; ++i) {
    const std::string_view name = aArgv[i];
    if (name == "--small") {
      options.mHasLargeBodies = false;
      continue;
    }
    if (name == "--direct") {
      options.mHasPeerLinks = false;
      continue;
    }
    if (i + 1 == aArgc) {
      std::fprintf(stderr, "soak: %s needs a value\n", aArgv[i]);
      return kCouldNotRun;
    }
    const std::string value = aArgv[++i];
    const long number = std::strtol(value.c_str(), nullptr, 10);
    if (name == "--seed") {
      options.mSeed = static_cast<unsigned>(number);
    } else if (name == "--seconds") {
      options.mMs = number * 1000;
    } else if (name == "--gateways") {
      options.mGateways = static_cast<int>(number);
    } else if (name == "--clients") {
      options.mClients = static_cast<int>(number);
    } else if (name == "--pause") {
      options.mPauseMs = static_cast<int>(std::max(1L, number));
    } else if (name == "--descriptors") {
      options.mDescriptors = number;
    } else if (name == "--profile") {
      options.mProfile = value == "planned"    ? Profile::Planned
                         : value == "partners" ? Profile::Partners
                                               : Profile::All;
    } else if (name == "--gateway") {
      options.mProgram = value;
    } else if (name == "--folder") {
      options.mFolder = value;
    } else {
      std::fprintf(stderr, "soak: unknown option %s\n", aArgv[i - 1]);
      return kCouldNotRun;
    }
  }
  std::string folder = "/tmp/cactusgw-soak-XXXXXX";
  const bool isTemporary = options.mFolder.empty();
  if (isTemporary) {
    options.mFolder = mkdtemp(folder.data()) == nullptr ? "." : folder;
  } else {
    std::filesystem::create_directories(options.mFolder);
  }
  SoakRun run{ options };
  const bool isStarted = run.Run();
  const Records records = run.Seen();
  Report report;
  report.mSeed = options.mSeed;
  report.mFolder = options.mFolder;
  report.mSchedule = run.Schedule();
  report.mFindings = FindAll(records, {});
  if (!isStarted) {
    report.mFindings.push_back(
      { "FAULT", "not all gateways became ready at the start", {} });
  }
  std::printf("seed %u: %s, findings %zu\n",
              options.mSeed,
              Summarize(records).c_str(),
              report.mFindings.size());
  std::ofstream{ options.mFolder + "/cuts.txt" } << DescribeCuts(records);
  int code = 0;
  if (!report.mFindings.empty()) {
    std::printf("%s", Explain(report).c_str());
    code = kFound;
  } else if (isTemporary) {
    std::filesystem::remove_all(options.mFolder);
  }
  std::fflush(stdout);
  // Threads of stand-ins go on until the program ends.
  std::_Exit(code);
}
