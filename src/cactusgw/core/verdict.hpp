#ifndef CACTUSGW_CORE_VERDICT_HPP
#define CACTUSGW_CORE_VERDICT_HPP

/// Verdicts, failures and the result type that the whole library uses.

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace cactusgw {

/// Monotonic time. Core code reads no clock; its callers pass the time in.
using Instant = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Whether a request may have run on an upstream.
enum class Verdict
{
  /// The request provably did not run. Any request can safely be retried.
  NotRun,
  /// The outcome is unknown. Only an idempotent request may be retried.
  MayHaveRun,
  /// The request ran, wholly or in part.
  Ran,
};

/// Returns the form used in the `Cactusgw-Verdict` header and in problem
/// bodies.
std::string_view ToString(Verdict aVerdict);

/// Why an operation failed, in terms that code using the library can act on.
enum class FailureCode
{
  InvalidInput,
  Unauthorized,
  NotFound,
  Busy,
  Drained,
  /// The process is stopping and would not finish the request in time.
  Stopping,
  Quarantined,
  RetryBudgetSpent,
  /// The memory for what is in progress is used up.
  OutOfMemory,
  KeyInProgress,
  KeyMismatch,
  StoreUnavailable,
  /// The store has compacted its history and no longer has the requested
  /// changes.
  HistoryCompacted,
  Conflict,
  UpstreamUnreachable,
  /// This gateway has lost its links to upstreams, and no other one lends its.
  LinksLost,
  /// The request may not be served in the region of the upstream, or in none.
  OutsideHomeRegions,
  UpstreamRefused,
  /// The upstream's response is not valid.
  UpstreamBroke,
  /// The upstream closed or reset the connection before its response was
  /// complete.
  UpstreamClosed,
  UpstreamSilent,
  ClientDisconnected,
  TooLarge,
  Timeout,
  Internal,
};

/// Returns a stable lower-case identifier, used in logs, metrics and problem
/// types.
std::string_view ToString(FailureCode aCode);

/// An error, together with the verdict on the request that it concerns.
struct Failure
{
  FailureCode mCode = FailureCode::Internal;
  Verdict mVerdict = Verdict::NotRun;
  std::string mDetail;
  /// Time after which a retry may succeed; zero if unknown.
  Milliseconds mRetryAfter{ 0 };
};

/// Creates the failure of a request that provably did not run. Also used for
/// failures that concern no request, such as invalid settings.
Failure NotRun(FailureCode aCode,
               std::string aDetail,
               Milliseconds aRetryAfter = Milliseconds{ 0 });

/// Creates the failure of a request whose outcome is unknown.
Failure MayHaveRun(FailureCode aCode, std::string aDetail);

/// A value or a Failure. Accessing the one that is absent terminates the
/// program.
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Failure, boost::outcome_v2::policy::terminate>;

} // namespace cactusgw

#endif // CACTUSGW_CORE_VERDICT_HPP
