#ifndef CACTUSGW_NET_PROBLEM_HPP
#define CACTUSGW_NET_PROBLEM_HPP

/// Problem bodies (RFC 9457) that carry a verdict.

#include "cactusgw/core/verdict.hpp"
#include "cactusgw/net/http_types.hpp"

#include <string>

namespace cactusgw {

/// The HTTP status that stands for a failure.
http::status StatusOf(FailureCode aCode);

/// The body of a problem as JSON text.
std::string ProblemBody(const Failure& aFailure, http::status aStatus);

/// A whole answer: problem body, verdict header and, where it applies,
/// Retry-After in whole seconds.
HttpResponse ProblemResponse(const Failure& aFailure);

/// The same with a status that the failure's code does not imply.
HttpResponse ProblemResponse(const Failure& aFailure, http::status aStatus);

} // namespace cactusgw

#endif // CACTUSGW_NET_PROBLEM_HPP
