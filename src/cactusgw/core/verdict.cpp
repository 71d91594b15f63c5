#include "cactusgw/core/verdict.hpp"

#include <utility>

namespace cactusgw {

std::string_view
ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::NotRun:
      return "not-run";
    case Verdict::MayHaveRun:
      return "may-have-run";
    case Verdict::Ran:
      return "ran";
  }
  return "may-have-run";
}

std::string_view
ToString(FailureCode aCode)
{
  switch (aCode) {
    case FailureCode::InvalidInput:
      return "invalid-input";
    case FailureCode::Unauthorized:
      return "unauthorized";
    case FailureCode::NotFound:
      return "not-found";
    case FailureCode::Busy:
      return "busy";
    case FailureCode::Drained:
      return "data-centre-drained";
    case FailureCode::Stopping:
      return "stopping";
    case FailureCode::Quarantined:
      return "quarantined";
    case FailureCode::RetryBudgetSpent:
      return "retry-budget-spent";
    case FailureCode::OutOfMemory:
      return "out-of-memory";
    case FailureCode::KeyInProgress:
      return "key-in-progress";
    case FailureCode::KeyMismatch:
      return "key-mismatch";
    case FailureCode::StoreUnavailable:
      return "store-unavailable";
    case FailureCode::HistoryCompacted:
      return "history-gone";
    case FailureCode::Conflict:
      return "conflict";
    case FailureCode::OutsideHomeRegions:
      return "outside-home-regions";
    case FailureCode::UpstreamUnreachable:
      return "upstream-unreachable";
    case FailureCode::LinksLost:
      return "links-lost";
    case FailureCode::UpstreamRefused:
      return "upstream-refused";
    case FailureCode::UpstreamBroke:
      return "upstream-broke";
    case FailureCode::UpstreamClosed:
      return "upstream-closed";
    case FailureCode::UpstreamSilent:
      return "upstream-silent";
    case FailureCode::ClientDisconnected:
      return "caller-left";
    case FailureCode::TooLarge:
      return "too-large";
    case FailureCode::Timeout:
      return "timeout";
    case FailureCode::Internal:
      return "internal";
  }
  return "internal";
}

Failure
NotRun(FailureCode aCode, std::string aDetail, Milliseconds aRetryAfter)
{
  return { aCode, Verdict::NotRun, std::move(aDetail), aRetryAfter };
}

Failure
MayHaveRun(FailureCode aCode, std::string aDetail)
{
  return { aCode, Verdict::MayHaveRun, std::move(aDetail), Milliseconds{ 0 } };
}

} // namespace cactusgw
