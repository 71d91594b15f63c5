#include "cactusgw/entry/plain_call.hpp"

#include "cactusgw/net/http_client.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <utility>

namespace cactusgw {

bool
IsIdempotent(http::verb aMethod)
{
  switch (aMethod) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::options:
    case http::verb::trace:
      return true;
    default:
      return false;
  }
}

PlainCall::PlainCall(EntryContext& aContext,
                     RequestScope aScope,
                     PlainRequest aRequest)
  : mContext(aContext)
  , mScope(std::move(aScope))
  , mRequest(std::move(aRequest))
{
}

Task<Result<HttpResponse>>
PlainCall::Run()
{
  Failure last;
  for (int i = 0; i < kMaxTries; ++i) {
    Result<HttpResponse> result = co_await RunOnce(i > 0);
    if (result) {
      co_return result;
    }
    // A retry that is not admitted must not hide what happened before it.
    const bool isRefusedRetry = i > 0 && mPermit.mId == 0;
    if (!isRefusedRetry) {
      last = result.error();
    }
    if (isRefusedRetry || !MayRetry(last)) {
      break;
    }
    mContext.mMetrics.CountRetry();
    mContext.mRecorder.Record(
      EventKind::RequestRetried, mScope.mRequestId, mPermit.mUpstream);
    mExcluded.push_back(mPermit.mUpstream);
  }
  co_return last;
}

Task<Result<HttpResponse>>
PlainCall::RunOnce(bool aIsRetry)
{
  mPermit = {};
  AdmissionTarget target{
    mScope.mRequestId,
    mRequest.mService,
    {},
    mScope.mWorkspace,
    0,
    RequestHomes::Of(*mScope.mDeployment, mRequest.mService, mScope.mWorkspace)
  };
  Result<AdmissionPermit> permit =
    co_await mContext.mLink.Admit(std::move(target), mExcluded, aIsRetry);
  if (!permit) {
    co_return permit.error();
  }
  mPermit = permit.value();
  if (SteadyNow() >= mPermit.mUseBefore) {
    Result<HttpResponse> late =
      NotRun(FailureCode::Busy, "the permit was not used in time");
    EndPermit(late);
    co_return late;
  }
  mContext.mRecorder.Record(
    EventKind::RequestSent, mScope.mRequestId, mPermit.mUpstream);
  const ServiceConfig& service =
    *mScope.mDeployment->FindService(mRequest.mService);
  HttpRequest request{ mRequest.mMethod, mRequest.mTarget, 11 };
  request.set("Request-Id", mScope.mRequestId);
  if (!mRequest.mContentType.empty()) {
    request.set(http::field::content_type, mRequest.mContentType);
  }
  if (!mScope.mIdempotencyKey.empty()) {
    request.set("Idempotency-Key", mScope.mIdempotencyKey);
  }
  request.body() = mRequest.mBody;
  const HttpCallTimes times{ mScope.mDeployment->mLimits.mConnectTime,
                             service.mFirstByteTime,
                             service.mSilenceTime };
  Result<HttpResponse> result = co_await FetchHttp(
    mPermit.mAddress, std::move(request), times, kMaxAnswerBytes);
  EndPermit(result);
  co_return result;
}

void
PlainCall::EndPermit(const Result<HttpResponse>& aResult)
{
  wire::ReleasePermit release;
  release.set_outcome(wire::OUTCOME_COMPLETED);
  if (!aResult) {
    const Failure& failure = aResult.error();
    const bool notRun = failure.mVerdict == Verdict::NotRun;
    release.set_outcome(notRun ? wire::OUTCOME_NOT_RUN : wire::OUTCOME_FAILED);
    release.set_unreachable(failure.mCode == FailureCode::UpstreamUnreachable);
  }
  mContext.mLink.Release(mPermit, release);
}

bool
PlainCall::MayRetry(const Failure& aFailure) const
{
  if (mPermit.mId == 0 || aFailure.mVerdict == Verdict::Ran) {
    return false;
  }
  if (aFailure.mVerdict == Verdict::NotRun) {
    return true;
  }
  return IsIdempotent(mRequest.mMethod);
}

} // namespace cactusgw
