#ifndef CACTUSGW_NET_PROBLEM_HPP
#define CACTUSGW_NET_PROBLEM_HPP

/// Problem details (RFC 9457), extended by a verdict.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/net/http_types.hpp"

#include <string>

namespace cactusgw {

/// Maps a failure code to an HTTP status.
http::status StatusOf(FailureCode aCode);

/// Serializes problem details as JSON.
std::string ProblemBody(const Failure& aFailure, http::status aStatus);

/// Builds a complete response: problem details, verdict header and, for
/// statuses 429 and 503, Retry-After in whole seconds.
HttpResponse ProblemResponse(const Failure& aFailure);

/// Builds the same response with an explicit status instead of the one that
/// the failure code maps to.
HttpResponse ProblemResponse(const Failure& aFailure, http::status aStatus);

} // namespace cactusgw

#endif // CACTUSGW_NET_PROBLEM_HPP
