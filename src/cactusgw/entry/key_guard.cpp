#include "cactusgw/entry/key_guard.hpp"

#include "cactusgw/net/problem.hpp"

#include <utility>

namespace cactusgw {

namespace {

HttpResponse
RememberedAnswer(const wire::KeyClaimReply& aReply)
{
  HttpResponse response;
  response.result(aReply.status());
  response.set(http::field::content_type, aReply.content_type());
  response.set("Cactusgw-Verdict", std::string{ ToString(Verdict::Ran) });
  response.set("Idempotent-Replay", "true");
  response.body() = aReply.body();
  return response;
}

/// The answer to a repeat, or none when the claim succeeded.
std::optional<HttpResponse>
AnswerFor(const wire::KeyClaimReply& aReply)
{
  switch (aReply.outcome()) {
    case wire::CLAIM_OURS:
      return std::nullopt;
    case wire::CLAIM_FINISHED:
      return RememberedAnswer(aReply);
    case wire::CLAIM_IN_PROGRESS:
      return ProblemResponse(
        MayHaveRun(FailureCode::KeyInProgress,
                   "a request with this key was sent and has not finished"));
    case wire::CLAIM_MISMATCH:
      return ProblemResponse(NotRun(FailureCode::KeyMismatch,
                                    "the key was used with another request"));
    default:
      return ProblemResponse(
        NotRun(FailureCode::StoreUnavailable,
               "the key can't be claimed while the platform is out"));
  }
}

} // namespace

KeyGuard::KeyGuard(EntryContext& aContext,
                   const RequestScope& aScope,
                   std::uint64_t aFingerprint)
  : mContext(aContext)
  , mScope(aScope)
  , mFingerprint(aFingerprint)
{
}

Task<KeyDecision>
KeyGuard::Claim()
{
  KeyDecision decision;
  if (mScope.mIdempotencyKey.empty()) {
    co_return decision;
  }
  wire::KeyClaim claim;
  claim.set_workspace(mScope.mWorkspace);
  claim.set_key(mScope.mIdempotencyKey);
  claim.set_fingerprint(mFingerprint);
  claim.set_request_id(mScope.mRequestId);
  const Result<wire::KeyClaimReply> reply =
    co_await mContext.mLink.Claim(std::move(claim));
  if (!reply) {
    decision.mAnswer = ProblemResponse(reply.error());
    co_return decision;
  }
  mClaimed = reply.value().outcome() == wire::CLAIM_OURS;
  decision.mAnswer = AnswerFor(reply.value());
  co_return decision;
}

wire::KeyResult
KeyGuard::MakeResult() const
{
  wire::KeyResult result;
  result.set_workspace(mScope.mWorkspace);
  result.set_key(mScope.mIdempotencyKey);
  result.set_fingerprint(mFingerprint);
  result.set_request_id(mScope.mRequestId);
  return result;
}

void
KeyGuard::Finish(const HttpResponse& aResponse)
{
  if (!mClaimed) {
    return;
  }
  wire::KeyResult result = MakeResult();
  result.set_status(aResponse.result_int());
  result.set_body(aResponse.body());
  result.set_content_type(std::string{ aResponse[http::field::content_type] });
  mContext.mLink.FinishKey(result);
}

void
KeyGuard::Fail(const Failure& aFailure)
{
  if (!mClaimed || aFailure.mVerdict != Verdict::NotRun) {
    return;
  }
  wire::KeyResult result = MakeResult();
  result.set_not_run(true);
  mContext.mLink.FinishKey(result);
}

} // namespace cactusgw
