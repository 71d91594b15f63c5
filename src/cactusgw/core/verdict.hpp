#ifndef CACTUSGW_CORE_VERDICT_HPP
#define CACTUSGW_CORE_VERDICT_HPP

/// Verdicts, failures and the result type used throughout the library.

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace cactusgw {

/// Monotonic time, always passed in by the caller of core code.
using Instant = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Whether a request may have run on an upstream.
enum class Verdict
{
  /// Provably not run. Safe to send again, whatever the request is.
  NotRun,
  /// The outcome is unknown. Only an idempotent request may be sent again.
  MayHaveRun,
  /// The request ran, wholly or in part.
  Ran,
};

/// The form used in the `Cactusgw-Verdict` header and in problem bodies.
std::string_view ToString(Verdict aVerdict);

/// What went wrong, in terms a caller of the library can act on.
enum class FailureCode
{
  InvalidInput,
  Unauthorized,
  NotFound,
  Busy,
  Drained,
  Quarantined,
  RetryBudgetSpent,
  KeyInProgress,
  KeyMismatch,
  StoreUnavailable,
  /// The store no longer holds the changes that were asked for.
  HistoryCompacted,
  Conflict,
  UpstreamUnreachable,
  UpstreamRefused,
  UpstreamBroke,
  UpstreamSilent,
  ClientDisconnected,
  TooLarge,
  Timeout,
  Internal,
};

/// A stable lower-case identifier, used in logs, metrics and problem types.
std::string_view ToString(FailureCode aCode);

/// An error together with the verdict on the request it concerns.
struct Failure
{
  FailureCode mCode = FailureCode::Internal;
  Verdict mVerdict = Verdict::NotRun;
  std::string mDetail;
  /// When a new try may succeed; zero when unknown.
  Milliseconds mRetryAfter{ 0 };
};

/// Makes a failure of a request that provably did not run.
Failure NotRun(FailureCode aCode,
               std::string aDetail,
               Milliseconds aRetryAfter = Milliseconds{ 0 });

/// Makes a failure of a request whose outcome is unknown.
Failure MayHaveRun(FailureCode aCode, std::string aDetail);

/// A value or a Failure. Reading the absent one terminates the program.
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Failure, boost::outcome_v2::policy::terminate>;

} // namespace cactusgw

#endif // CACTUSGW_CORE_VERDICT_HPP
