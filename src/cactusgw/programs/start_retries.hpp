#ifndef CACTUSGW_PROGRAMS_START_RETRIES_HPP
#define CACTUSGW_PROGRAMS_START_RETRIES_HPP

/// Repeats a start that fails because the former process still has the ports.

#include "cactusgw/core/verdict.hpp"

#include <functional>
#include <string>

namespace cactusgw {

/// How long a start is repeated before the process ends. A former process that
/// stops gracefully has released its ports by then.
inline constexpr Milliseconds kStartRetryTime{ 20000 };

enum class StartResult
{
  Started,
  /// A SIGINT or SIGTERM came while the start was repeated.
  Stopped,
  Failed
};

/// Calls the function until it succeeds, kStartRetryTime at most. Signals have
/// to be held back meanwhile.
/// @param aName the program, for the error on standard error
/// @param aStart returns an empty text, or what failed
StartResult StartWithRetries(const char* aName,
                             const std::function<std::string()>& aStart);

} // namespace cactusgw

#endif // CACTUSGW_PROGRAMS_START_RETRIES_HPP
