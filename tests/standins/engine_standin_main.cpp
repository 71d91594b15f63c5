#include "cactusgw/programs/command_line.hpp"
#include "cactusgw/programs/event_loop.hpp"
#include "engine_standin.hpp"

#include <array>
#include <cstdio>
#include <sstream>

/// The engine stand-in as a process.
int
main(int aArgc, char** aArgv)
{
  using namespace cactusgw;
  std::string listen = "127.0.0.1:7300";
  standins::EngineModel model;
  long stepMs = model.mStep.count();
  long stepPerRunningUs = model.mStepPerRunningUs;
  long memory = static_cast<long>(model.mMemoryLimitTokens);
  long cold = model.mColdLimit;
  long warm = model.mWarmLimit;
  long warmAfter = model.mWarmAfter;
  long seed = 1;
  bool ignoreFencing = false;
  const std::array<OptionSpec, 9> options{
    OptionSpec{ "listen",
                "addresses to listen on, an engine each",
                "IP:PORT,...",
                &listen },
    OptionSpec{ "step-ms", "time per token", "MS", nullptr, &stepMs },
    OptionSpec{ "step-per-running-us",
                "time per token and further generation",
                "US",
                nullptr,
                &stepPerRunningUs },
    OptionSpec{ "memory", "memory limit", "TOKENS", nullptr, &memory },
    OptionSpec{ "cold", "generations borne when cold", "N", nullptr, &cold },
    OptionSpec{ "warm", "generations borne when warm", "N", nullptr, &warm },
    OptionSpec{ "warm-after",
                "completed generations until warm",
                "N",
                nullptr,
                &warmAfter },
    OptionSpec{ "seed", "seed of random choices", "N", nullptr, &seed },
    OptionSpec{ "ignore-fencing",
                "accept orders with old fencing numbers",
                nullptr,
                nullptr,
                nullptr,
                &ignoreFencing }
  };
  std::vector<std::string> rest;
  const std::optional<int> code =
    ParseCommandLine({ "engine-standin" }, aArgc, aArgv, options, rest);
  if (code) {
    return *code;
  }
  model.mStep = Milliseconds{ stepMs };
  model.mStepPerRunningUs = stepPerRunningUs;
  model.mMemoryLimitTokens = static_cast<std::uint64_t>(memory);
  model.mColdLimit = static_cast<std::uint32_t>(cold);
  model.mWarmLimit = static_cast<std::uint32_t>(warm);
  model.mWarmAfter = static_cast<std::uint32_t>(warmAfter);
  model.mSeed = static_cast<std::uint64_t>(seed);
  model.mHonoursFencing = !ignoreFencing;
  net::io_context context{ 1 };
  std::vector<std::unique_ptr<standins::EngineStandin>> engines;
  std::istringstream addresses{ listen };
  for (std::string address; std::getline(addresses, address, ',');) {
    Result<std::unique_ptr<standins::EngineStandin>> engine =
      standins::EngineStandin::Listen(context, address, model);
    if (!engine) {
      std::fprintf(stderr, "%s\n", engine.error().mDetail.c_str());
      return kExitCannotListen;
    }
    engines.push_back(std::move(engine.value()));
    ++model.mSeed;
  }
  StopOnSignals(context, [&context] { context.stop(); });
  context.run();
  return kExitOk;
}
