#include "cactusgw/gateway/gateway_call.hpp"

#include "cactusgw/gateway/generation_migrator.hpp"
#include "cactusgw/gateway/message_headers.hpp"
#include "cactusgw/net/problem.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Longest time for a new connection. One way between regions takes 20 ms; a
/// lost packet is sent again after a second, by when another upstream is
/// better.
constexpr Milliseconds kConnectTime{ 500 };
/// An upstream ends work at its time limit by itself; its own answer is waited
/// for this much longer.
constexpr Milliseconds kAnswerSlack{ 100 };
/// Taken off the time that the caller waits, for the way back to it.
constexpr Milliseconds kWayBack{ 10 };
/// Sends of one request that upstreams may refuse without running it.
constexpr std::uint32_t kMaxSends = 4;
/// When a refused caller may try again, unless something better is known:
/// upstreams come and go within this time.
constexpr Milliseconds kComeBack{ 250 };
/// An answer to another request may arrive first, but not many.
constexpr int kMaxForeignAnswers = 2;

/// Whether the caller, and not an upstream, ended the exchange.
bool
ConcernsCaller(const Failure& aFailure)
{
  return aFailure.mCode == FailureCode::CallerLeft ||
         aFailure.mCode == FailureCode::Timeout;
}

/// Seconds with a fraction, as callers of a gateway understand it.
std::string
RetryAfterText(Milliseconds aTime)
{
  constexpr std::int64_t kPerSecond = 1000;
  const std::string fraction = std::to_string(aTime.count() % kPerSecond);
  return std::to_string(aTime.count() / kPerSecond) + "." +
         std::string(3 - fraction.size(), '0') + fraction;
}

} // namespace

GatewayCall::GatewayCall(GatewayState& aState, HttpExchange& aExchange)
  : mState(aState)
  , mExchange(aExchange)
  , mStart(SteadyNow())
  , mRequestId(aExchange.Header(aState.mNames.mRequestId))
  , mTable(aState.mTable)
  , mSeeker(aState, mStart)
{
}

GatewayCall::~GatewayCall()
{
  if (!mRun) {
    return;
  }
  if (mRun->State() == GenerationState::Stopped) {
    mState.mMigrator->Free(mRun->Next());
  }
  mRun->SetState(GenerationState::Ended);
}

Task<void>
GatewayCall::Run()
{
  mState.mMetrics.mRequests.Add();
  Result<AdmittedRequest> admitted =
    AdmitRequest(mState, mTable.get(), mExchange, mStart);
  if (!admitted) {
    co_await Refuse(admitted.error());
    co_return;
  }
  mAdmitted = std::move(admitted.value());
  mForwarded = ForwardedRequest(mExchange.Request(), mState.mNames);
  mExchange.WatchCaller([this] { OnCallerLeft(); });
  if (mAdmitted.mService != nullptr) {
    mState.RetriesTo(mAdmitted.mService->mName).OnRequest(mStart);
  }
  co_await Forward();
}

Task<void>
GatewayCall::Forward()
{
  std::optional<std::string> moved;
  while (true) {
    Result<std::string> upstream{ moved.value_or("") };
    if (!moved) {
      upstream = co_await mSeeker.Find(mAdmitted, mTried);
    }
    if (mCallerLeft) {
      break;
    }
    if (!upstream) {
      co_await Refuse(upstream.error());
      co_return;
    }
    const Result<void> sent = co_await SendTo(upstream.value());
    mCallerLeft = mCallerLeft || (!sent && ConcernsCaller(sent.error()));
    if (sent || mCallerLeft) {
      break;
    }
    moved = TakeMoved();
    if (moved) {
      continue;
    }
    OnSendFailed(sent.error());
    if (!MayTryAgain(sent.error())) {
      co_await Refuse(sent.error());
      co_return;
    }
  }
  if (mCallerLeft) {
    mState.mMetrics.mCallersLeft.Add();
    mState.mLog.Write("caller-left",
                      { { "request", mRequestId },
                        { "upstream", mUpstream },
                        { "afterMs", Elapsed().count() } },
                      SteadyNow());
    mExchange.Abort();
  }
}

std::optional<std::string>
GatewayCall::TakeMoved()
{
  mContinued.reset();
  if (!mRun || mRun->State() != GenerationState::Stopped) {
    return std::nullopt;
  }
  mContinued = mRun->Next();
  mMayHaveRun = true;
  mRun.reset();
  mState.mMetrics.mContinued.Add();
  return mContinued->mUpstream;
}

Instant
GatewayCall::AttemptEnd(Instant aNow) const
{
  const bool canRepeat = mAdmitted.mRoute->mKind == RouteKind::Idempotent &&
                         mRuns + 1 < mAdmitted.mRoute->mAttempts;
  if (!canRepeat) {
    return mAdmitted.mEnd + kAnswerSlack;
  }
  const Milliseconds half =
    std::chrono::duration_cast<Milliseconds>((mAdmitted.mEnd - aNow) / 2);
  return aNow + std::max(mAdmitted.mRoute->mObjective, half);
}

Task<Result<void>>
GatewayCall::SendTo(const std::string& aUpstream)
{
  const KnownUpstream* const known = mState.mDirectory.Find(aUpstream);
  if (known == nullptr) {
    co_return NotRun(FailureCode::UpstreamUnreachable, "the upstream is gone");
  }
  const KnownUpstream upstream = *known;
  mUpstream = aUpstream;
  mTried.push_back(aUpstream);
  mPromptInUse = mContinued ? 0 : mAdmitted.mNeed.mPrompt;
  UpstreamUse use{ 1, mAdmitted.mNeed.mTotal, mPromptInUse, 0 };
  mState.mLoads.Add(mUpstream, use);
  Result<void> result = co_await Connect(upstream.mRecord);
  if (result && mCallerLeft) {
    result = NotRun(FailureCode::CallerLeft, "the caller left");
  }
  if (result) {
    result = co_await SendAndPassOn(upstream);
  }
  if (mConnection) {
    if (result || result.error().mVerdict == Verdict::NotRun) {
      mState.mPool.GiveBack(mUpstream, std::move(mConnection), SteadyNow());
    }
    mConnection.reset();
  }
  if (mRun && mRun->State() != GenerationState::Stopped) {
    mRun->SetState(GenerationState::Ended);
    mRun.reset();
  }
  use += std::exchange(mRunUse, {});
  use.mPromptTokens = std::exchange(mPromptInUse, 0);
  mState.mLoads.Subtract(mUpstream, use);
  mState.mLine.WakeFirst();
  co_return result;
}

Task<Result<void>>
GatewayCall::SendAndPassOn(const KnownUpstream& aUpstream)
{
  const Instant now = SteadyNow();
  const Instant until = AttemptEnd(now);
  mState.OnSent(aUpstream, now);
  ++mSends;
  mState.mLog.Write(
    "sent",
    { { "request", mRequestId },
      { "route", mAdmitted.mRoute->mName },
      { "configVersion", static_cast<std::int64_t>(mTable->Config().mVersion) },
      { "upstream", mUpstream },
      { "attempt", static_cast<std::int64_t>(mSends) },
      { "continues", mContinued ? mContinued->mHandle : "nothing" },
      { "afterMs", Elapsed().count() } },
    now);
  const Result<void> header =
    co_await ReadAnswerHeader(MakeRequest(aUpstream.mRecord), until);
  if (!header) {
    co_return header;
  }
  co_await BeginRun(aUpstream.mRecord);
  mState.mMetrics.mFirstByte.Record(SteadyNow() - mStart);
  AnswerRelay relay{ mExchange,
                     *mConnection,
                     mState.mMetrics,
                     mProgress,
                     { [this] { OnFirstEvent(); },
                       [this] { return WasStopped(); },
                       [this] { OnCompleted(); } } };
  const RelayRules rules{ mAdmitted.mRoute->mKind,
                          MayRepeat(mAdmitted.mRoute->mKind) &&
                            mRuns + 1 < mAdmitted.mRoute->mAttempts };
  co_return co_await relay.Pass(rules, until);
}

Task<void>
GatewayCall::BeginRun(const UpstreamRecord& aUpstream)
{
  const bool canMove =
    IsStream(mAdmitted.mRoute->mKind) && mAdmitted.mService->mEngine &&
    mAdmitted.mService->mEngine->mCanMove && mState.mMigrator != nullptr &&
    !mConnection->EndsWithConnection() && IsSuccess(mConnection->Status());
  if (!canMove) {
    co_return;
  }
  const net::any_io_executor executor = co_await net::this_coro::executor;
  GenerationIdentity identity{ mRequestId,         mAdmitted.mService->mName,
                               mAdmitted.mRegions, aUpstream.mId,
                               aUpstream.mAddress, aUpstream.mDataCentre,
                               mAdmitted.mNeed };
  mRun = std::make_shared<MigratableGeneration>(executor, std::move(identity));
  mRunUse = UpstreamUse{ 0, 0, 0, 1 };
  mState.mLoads.Add(mUpstream, mRunUse);
  mState.mMigrator->Add(mRun);
}

Task<bool>
GatewayCall::WasStopped()
{
  if (!mRun || mCallerLeft) {
    co_return false;
  }
  co_await mRun->WaitWhileStopping(mAdmitted.mEnd);
  const KnownUpstream* const known = mState.mDirectory.Find(mUpstream);
  const bool leaves = known == nullptr || known->mRecord.mIsLeaving;
  if (mRun->State() == GenerationState::Running && leaves && mRun->Copy()) {
    mRun->SetStopped(*mRun->Copy());
  }
  co_return mRun->State() == GenerationState::Stopped;
}

Task<Result<void>>
GatewayCall::Connect(const UpstreamRecord& aUpstream)
{
  mConnection = mState.mPool.Take(aUpstream.mId, SteadyNow());
  if (mConnection) {
    co_return boost::outcome_v2::success();
  }
  mState.mMetrics.mConnects.Add();
  Result<std::unique_ptr<HttpConnection>> connected =
    co_await HttpConnection::Connect(aUpstream.mAddress, kConnectTime);
  if (!connected) {
    co_return connected.error();
  }
  mConnection = std::move(connected.value());
  co_return boost::outcome_v2::success();
}

HttpRequest
GatewayCall::MakeRequest(const UpstreamRecord& aUpstream) const
{
  const HeaderNames& names = mState.mNames;
  HttpRequest request = mForwarded;
  const Milliseconds left = std::chrono::duration_cast<Milliseconds>(
    std::min(mAdmitted.mEnd, mAdmitted.mCallerEnd - kWayBack) - SteadyNow());
  request.set(names.mTimeLeft,
              std::to_string(std::max<std::int64_t>(1, left.count())));
  request.set(names.mExpectedUpstream, aUpstream.mId);
  if (mAdmitted.mWorkspace != nullptr) {
    request.set(names.mWorkspace, mAdmitted.mWorkspace->mName);
  }
  if (!mProgress.mLastEventId.empty()) {
    request.set(names.mLastEventId, mProgress.mLastEventId);
  }
  if (mContinued) {
    request.set(names.mMovedFrom,
                mContinued->mSource + "/" + mContinued->mHandle);
  }
  return request;
}

Task<Result<void>>
GatewayCall::ReadAnswerHeader(HttpRequest aRequest, Instant aUntil)
{
  Result<void> header = co_await mConnection->Exchange(aRequest, aUntil);
  for (int n = 0; header && n < kMaxForeignAnswers; ++n) {
    const std::string_view id = mConnection->Header(mState.mNames.mRequestId);
    if (id.empty() || id == mRequestId) {
      co_return CheckAnswer(*mConnection, mState.mNames);
    }
    mState.mLog.Write("foreign-answer",
                      { { "request", mRequestId },
                        { "answerTo", id },
                        { "upstream", mUpstream } },
                      SteadyNow());
    header = co_await mConnection->SkipAnswer(aUntil);
  }
  if (!header) {
    co_return header;
  }
  co_return MayHaveRun(FailureCode::UpstreamBroke,
                       "the upstream answered other requests");
}

void
GatewayCall::OnFirstEvent()
{
  if (!mRun || mRun->HasBegun()) {
    return;
  }
  mRun->OnBegun();
  const UpstreamUse prompt{ 0, 0, std::exchange(mPromptInUse, 0), 0 };
  mState.mLoads.Subtract(mUpstream, prompt);
}

void
GatewayCall::OnCompleted()
{
  const Instant now = SteadyNow();
  if (IsServerError(mConnection->Status())) {
    mState.mHealth.OnFailure(mUpstream, 1, now);
  } else {
    mState.mHealth.OnSuccess(mUpstream, now);
  }
  mState.mMetrics.mCompleted.Add();
  mState.mMetrics.mWholeAnswer.Record(now - mStart);
  mState.mLog.Write(
    "answered",
    { { "request", mRequestId },
      { "upstream", mUpstream },
      { "status", static_cast<std::int64_t>(mConnection->Status()) },
      { "afterMs", Elapsed().count() } },
    now);
}

void
GatewayCall::OnSendFailed(const Failure& aFailure)
{
  const Instant now = SteadyNow();
  if (aFailure.mVerdict != Verdict::NotRun) {
    mMayHaveRun = true;
    ++mRuns;
  }
  mState.mHealth.OnFailure(mUpstream, 1, now);
  mState.mLog.Write("send-failed",
                    { { "request", mRequestId },
                      { "upstream", mUpstream },
                      { "verdict", ToString(aFailure.mVerdict) },
                      { "reason", ToString(aFailure.mCode) },
                      { "detail", aFailure.mDetail },
                      { "afterMs", Elapsed().count() } },
                    now);
}

bool
GatewayCall::MayTryAgain(const Failure& aFailure)
{
  const bool isRunFree = aFailure.mVerdict == Verdict::NotRun && !mMayHaveRun;
  const bool isAllowed = isRunFree || (MayRepeat(mAdmitted.mRoute->mKind) &&
                                       mRuns < mAdmitted.mRoute->mAttempts);
  const bool isLate = SteadyNow() >= mAdmitted.mEnd;
  const bool canContinue =
    !mExchange.HasBegun() || !mProgress.mLastEventId.empty();
  if (!isAllowed || isLate || !canContinue || mSends >= kMaxSends) {
    return false;
  }
  // A connection that failed reached nobody and costs the others nothing.
  if (aFailure.mCode == FailureCode::UpstreamUnreachable) {
    return true;
  }
  if (!mState.RetriesTo(mAdmitted.mService->mName)
         .TryTake(mState.mGateways, SteadyNow())) {
    mState.mLog.Write(
      "repeat-denied",
      { { "request", mRequestId }, { "service", mAdmitted.mService->mName } },
      SteadyNow());
    return false;
  }
  mState.mMetrics.mRepeats.Add();
  return true;
}

Task<void>
GatewayCall::Refuse(const Failure& aFailure)
{
  Failure failure = aFailure;
  if (mMayHaveRun && failure.mVerdict == Verdict::NotRun) {
    failure.mVerdict = Verdict::MayHaveRun;
  }
  mState.mMetrics.CountFailure(failure);
  mState.mLog.Write(
    "refused",
    { { "request", mRequestId },
      { "route",
        mAdmitted.mRoute != nullptr ? mAdmitted.mRoute->mName : "none" },
      { "verdict", ToString(failure.mVerdict) },
      { "reason", ToString(failure.mCode) },
      { "detail", failure.mDetail },
      { "configVersion",
        static_cast<std::int64_t>(mTable ? mTable->Config().mVersion : 0) },
      { "configAgeMs", mState.mFreshness.Age(BootNow()).count() },
      { "afterMs", Elapsed().count() } },
    SteadyNow());
  if (mExchange.HasBegun()) {
    mExchange.Abort();
    co_return;
  }
  http::status status = StatusOf(failure.mCode);
  if (failure.mVerdict != Verdict::NotRun) {
    status = SteadyNow() >= mAdmitted.mEnd ? http::status::gateway_timeout
                                           : http::status::bad_gateway;
  } else if (status == http::status::too_many_requests) {
    status = http::status::service_unavailable;
  }
  HttpResponse response = ProblemResponse(failure, status);
  if (status == http::status::service_unavailable) {
    response.set(http::field::retry_after,
                 RetryAfterText(std::max(failure.mRetryAfter, kComeBack)));
  }
  co_await mExchange.Reply(std::move(response));
}

void
GatewayCall::OnCallerLeft()
{
  mCallerLeft = true;
  if (mConnection) {
    mConnection->Close();
  }
  mSeeker.Cancel();
}

Milliseconds
GatewayCall::Elapsed() const
{
  return std::chrono::duration_cast<Milliseconds>(SteadyNow() - mStart);
}

} // namespace cactusgw
