#include "cactusgw/net/problem.hpp"

#include <boost/beast/http/field.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace cactusgw {

namespace {

constexpr Milliseconds kMinRetryAfter{ 1000 };

bool
CarriesRetryAfter(http::status aStatus)
{
  return aStatus == http::status::too_many_requests ||
         aStatus == http::status::service_unavailable;
}

/// Retry-After takes whole seconds; the wait is rounded up.
std::int64_t
RetryAfterSeconds(const Failure& aFailure)
{
  const Milliseconds wait = std::max(aFailure.mRetryAfter, kMinRetryAfter);
  return std::chrono::ceil<std::chrono::seconds>(wait).count();
}

} // namespace

http::status
StatusOf(FailureCode aCode)
{
  switch (aCode) {
    case FailureCode::InvalidInput:
      return http::status::bad_request;
    case FailureCode::Unauthorized:
      return http::status::unauthorized;
    case FailureCode::NotFound:
      return http::status::not_found;
    case FailureCode::Busy:
    case FailureCode::RetryBudgetSpent:
      return http::status::too_many_requests;
    case FailureCode::KeyInProgress:
    case FailureCode::Conflict:
      return http::status::conflict;
    case FailureCode::KeyMismatch:
      return http::status::unprocessable_entity;
    case FailureCode::TooLarge:
      return http::status::payload_too_large;
    case FailureCode::UpstreamBroke:
    case FailureCode::UpstreamClosed:
    case FailureCode::UpstreamSilent:
      return http::status::bad_gateway;
    case FailureCode::Timeout:
      return http::status::gateway_timeout;
    case FailureCode::Drained:
    case FailureCode::Stopping:
    case FailureCode::Quarantined:
    case FailureCode::OutOfMemory:
    case FailureCode::StoreUnavailable:
    case FailureCode::HistoryCompacted:
    case FailureCode::UpstreamUnreachable:
    case FailureCode::LinksLost:
    case FailureCode::OutsideHomeRegions:
    case FailureCode::UpstreamRefused:
      return http::status::service_unavailable;
    case FailureCode::ClientDisconnected:
    case FailureCode::Internal:
      return http::status::internal_server_error;
  }
  return http::status::internal_server_error;
}

std::string
ProblemBody(const Failure& aFailure, http::status aStatus)
{
  boost::json::object body;
  body["type"] =
    "urn:cactusgw:problem:" + std::string{ ToString(aFailure.mCode) };
  body["title"] = std::string{ http::obsolete_reason(aStatus) };
  body["status"] = static_cast<unsigned>(aStatus);
  body["detail"] = aFailure.mDetail;
  body["verdict"] = std::string{ ToString(aFailure.mVerdict) };
  return boost::json::serialize(body);
}

HttpResponse
ProblemResponse(const Failure& aFailure)
{
  return ProblemResponse(aFailure, StatusOf(aFailure.mCode));
}

HttpResponse
ProblemResponse(const Failure& aFailure, http::status aStatus)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/problem+json");
  response.set("Cactusgw-Verdict", std::string{ ToString(aFailure.mVerdict) });
  if (CarriesRetryAfter(aStatus)) {
    response.set(http::field::retry_after,
                 std::to_string(RetryAfterSeconds(aFailure)));
  }
  response.body() = ProblemBody(aFailure, aStatus);
  return response;
}

} // namespace cactusgw
