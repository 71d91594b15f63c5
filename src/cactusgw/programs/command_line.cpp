#include "cactusgw/programs/command_line.hpp"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

#ifndef CACTUSGW_VERSION
#define CACTUSGW_VERSION "unknown"
#endif

namespace cactusgw {

namespace {

constexpr int kHelpValue = 1;
constexpr int kVersionValue = 2;
/// Values of popt for the options of a program start here.
constexpr int kFirstOptionValue = 100;

struct ContextDeleter
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};

using ContextPointer =
  std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

std::vector<poptOption>
MakeTable(std::span<const OptionSpec> aOptions)
{
  std::vector<poptOption> table;
  int value = kFirstOptionValue;
  for (const OptionSpec& option : aOptions) {
    const unsigned kind =
      option.mFlag != nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back({ option.mName,
                      '\0',
                      kind,
                      nullptr,
                      value,
                      option.mHelp,
                      option.mValueName });
    ++value;
  }
  table.push_back({ "help",
                    'h',
                    POPT_ARG_NONE,
                    nullptr,
                    kHelpValue,
                    "show this help and exit",
                    nullptr });
  table.push_back({ "version",
                    'V',
                    POPT_ARG_NONE,
                    nullptr,
                    kVersionValue,
                    "show the version and exit",
                    nullptr });
  table.push_back(POPT_TABLEEND);
  return table;
}

/// Stores one option's value. Returns false when a number is malformed.
bool
Store(const OptionSpec& aOption, const char* aValue)
{
  if (aOption.mFlag != nullptr) {
    *aOption.mFlag = true;
    return true;
  }
  if (aOption.mText != nullptr) {
    *aOption.mText = aValue;
    return true;
  }
  char* end = nullptr;
  *aOption.mNumber = std::strtol(aValue, &end, 10);
  return end != aValue && *end == '\0';
}

int
Complain(const ProgramInfo& aProgram, const std::string& aReason)
{
  std::fprintf(stderr, "%s: %s\n", aProgram.mName, aReason.c_str());
  return kExitUsage;
}

} // namespace

std::optional<int>
ParseCommandLine(const ProgramInfo& aProgram,
                 int aArgc,
                 char** aArgv,
                 std::span<const OptionSpec> aOptions,
                 std::vector<std::string>& aRest)
{
  const std::vector<poptOption> table = MakeTable(aOptions);
  const ContextPointer context{ poptGetContext(
    aProgram.mName, aArgc, const_cast<const char**>(aArgv), table.data(), 0) };
  const std::string usage = "[OPTION...] " + std::string{ aProgram.mArguments };
  poptSetOtherOptionHelp(context.get(), usage.c_str());
  int value = poptGetNextOpt(context.get());
  for (; value > 0; value = poptGetNextOpt(context.get())) {
    if (value == kHelpValue) {
      poptPrintHelp(context.get(), stdout, 0);
      return kExitOk;
    }
    if (value == kVersionValue) {
      std::printf("%s %s\n", aProgram.mName, CACTUSGW_VERSION);
      return kExitOk;
    }
    const OptionSpec& option =
      aOptions[static_cast<std::size_t>(value - kFirstOptionValue)];
    const std::unique_ptr<char, decltype(&std::free)> argument{
      poptGetOptArg(context.get()), &std::free
    };
    if (!Store(option, argument.get())) {
      return Complain(
        aProgram, "--" + std::string{ option.mName } + " needs a whole number");
    }
  }
  if (value < -1) {
    return Complain(aProgram,
                    std::string{ poptBadOption(context.get(), 0) } + ": " +
                      poptStrerror(value));
  }
  const char* argument = poptGetArg(context.get());
  for (; argument != nullptr; argument = poptGetArg(context.get())) {
    aRest.emplace_back(argument);
  }
  return std::nullopt;
}

std::optional<std::string>
ReadWholeFile(const std::string& aPath)
{
  std::ifstream file{ aPath, std::ios::binary };
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string_view
ProgramVersion()
{
  return CACTUSGW_VERSION;
}

} // namespace cactusgw
