#include "cactusgw/entry/model_answer.hpp"

#include "cactusgw/net/problem.hpp"

#include <utility>

namespace cactusgw {

namespace {

std::int64_t
WallSeconds()
{
  constexpr std::int64_t kMsPerSecond = 1000;
  return WallClockMs() / kMsPerSecond;
}

HttpResponse
WholeResponse(std::string aBody)
{
  HttpResponse response;
  response.result(http::status::ok);
  response.set(http::field::content_type, "application/json");
  response.set("Cactusgw-Verdict", std::string{ ToString(Verdict::Ran) });
  response.body() = std::move(aBody);
  return response;
}

} // namespace

ModelAnswer::ModelAnswer(EntryContext& aContext,
                         HttpExchange& aExchange,
                         RequestScope aScope,
                         ModelRequest aRequest)
  : mContext(aContext)
  , mExchange(aExchange)
  , mScope(std::move(aScope))
  , mRequest(std::move(aRequest))
  , mWriter(mRequest, mScope.mRequestId, WallSeconds())
  , mKeepsText(!mRequest.mStream || !mScope.mIdempotencyKey.empty())
{
}

Task<Result<HttpResponse>>
ModelAnswer::Run()
{
  mCall = Call::Create(mContext, mScope, mRequest);
  const std::weak_ptr<Call> watched = mCall;
  mClientWatch = mExchange.WatchClient([watched] {
    if (const std::shared_ptr<Call> call = watched.lock()) {
      call->OnCallerLeft();
    }
  });
  Result<GenerationResult> result = co_await mCall->Run(
    [this](const AnswerToken& aToken) { return OnToken(aToken); });
  if (!result) {
    co_await AnswerFailure(result.error());
    co_return result.error();
  }
  mContext.mRecorder.Record(EventKind::RequestFinished,
                            mScope.mRequestId,
                            "",
                            static_cast<std::int64_t>(result.value().mTokens));
  HttpResponse whole = WholeResponse(mWriter.WholeAnswer(
    mText, result.value().mFinishReason, result.value().mTokens));
  if (mRequest.mStream) {
    co_await FinishStream(result.value());
  } else {
    co_await mExchange.Reply(whole);
  }
  co_return whole;
}

Task<Result<void>>
ModelAnswer::OnToken(const AnswerToken& aToken)
{
  if (mKeepsText) {
    mText += aToken.mText;
  }
  if (!mRequest.mStream) {
    co_return boost::outcome_v2::success();
  }
  if (!mExchange.HasBegun()) {
    const Result<void> begun = co_await Begin();
    if (!begun) {
      co_return begun.error();
    }
  }
  const std::string event = mWriter.TokenEvent(aToken);
  co_return co_await mExchange.Write(event);
}

Task<Result<void>>
ModelAnswer::Begin()
{
  HttpResponse header;
  header.result(http::status::ok);
  header.set(http::field::content_type, "text/event-stream");
  header.set(http::field::cache_control, "no-store");
  header.set("Request-Id", mScope.mRequestId);
  co_return co_await mExchange.Begin(std::move(header));
}

Task<void>
ModelAnswer::FinishStream(const GenerationResult& aResult)
{
  if (!mExchange.HasBegun()) {
    static_cast<void>(co_await Begin());
  }
  const std::string end =
    mWriter.EndEvents(aResult.mFinishReason, aResult.mTokens);
  const Result<void> written = co_await mExchange.Write(end);
  if (written) {
    static_cast<void>(co_await mExchange.Finish());
  }
}

Task<void>
ModelAnswer::AnswerFailure(const Failure& aFailure)
{
  const bool hasLeft = aFailure.mCode == FailureCode::ClientDisconnected;
  if (hasLeft) {
    mExchange.Abort();
    co_return;
  }
  if (!mExchange.HasBegun()) {
    HttpResponse response = ProblemResponse(aFailure);
    response.set("Request-Id", mScope.mRequestId);
    co_await mExchange.Reply(std::move(response));
    co_return;
  }
  const std::string event = mWriter.ErrorEvent(aFailure);
  const Result<void> written = co_await mExchange.Write(event);
  if (written) {
    static_cast<void>(co_await mExchange.Finish());
  }
}

} // namespace cactusgw
