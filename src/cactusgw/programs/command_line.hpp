#ifndef CACTUSGW_PROGRAMS_COMMAND_LINE_HPP
#define CACTUSGW_PROGRAMS_COMMAND_LINE_HPP

/// Command lines of the binaries, read with popt.

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Exit codes shared by all binaries.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitBadSettings = 3;
inline constexpr int kExitCannotListen = 4;
inline constexpr int kExitUnreachable = 5;
inline constexpr int kExitConflict = 6;

/// One option; exactly one target is set.
struct OptionSpec
{
  const char* mName = nullptr;
  const char* mHelp = nullptr;
  /// Name of the value in the help text.
  const char* mValueName = nullptr;
  std::string* mText = nullptr;
  long* mNumber = nullptr;
  bool* mFlag = nullptr;
};

struct ProgramInfo
{
  const char* mName = nullptr;
  /// Shown after the options in the usage line.
  const char* mArguments = "";
};

/// Reads the options into their targets; answers --help and --version itself.
/// @param aRest receives the arguments that are no options
/// @return the exit code when the program should end at once
std::optional<int> ParseCommandLine(const ProgramInfo& aProgram,
                                    int aArgc,
                                    char** aArgv,
                                    std::span<const OptionSpec> aOptions,
                                    std::vector<std::string>& aRest);

/// The whole content of a file, or nothing when it can't be read.
std::optional<std::string> ReadWholeFile(const std::string& aPath);

/// The version of this build.
std::string_view ProgramVersion();

} // namespace cactusgw

#endif // CACTUSGW_PROGRAMS_COMMAND_LINE_HPP
