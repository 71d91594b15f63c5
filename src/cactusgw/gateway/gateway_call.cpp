#include "cactusgw/gateway/gateway_call.hpp"

#include "cactusgw/core/hash.hpp"
#include "cactusgw/gateway/generation_mover.hpp"
#include "cactusgw/gateway/message_headers.hpp"
#include "cactusgw/net/problem.hpp"

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
/// Part of the objective that a request may wait for room.
constexpr double kWaitPart = 0.6;
/// Longest time a waiting request sleeps before it looks again: others may
/// have freed room that nobody tells of.
constexpr Milliseconds kLookAgain{ 50 };
/// A whole answer up to this size is passed on only once it is complete, so
/// that a broken one can be replaced.
constexpr std::size_t kWholeAnswerBytes = std::size_t{ 256 } * 1024;
/// A request whose size nobody declared.
constexpr std::uint64_t kUnknownOutputTokens = 256;
/// When a refused caller may try again, unless something better is known:
/// upstreams come and go within this time.
constexpr Milliseconds kComeBack{ 250 };
/// An answer to another request may arrive first, but not many.
constexpr int kMaxForeignAnswers = 2;

Instant
Now()
{
  return std::chrono::steady_clock::now();
}

bool
IsSuccess(unsigned aStatus)
{
  constexpr unsigned kFirst = 200;
  constexpr unsigned kLast = 299;
  return aStatus >= kFirst && aStatus <= kLast;
}

bool
IsServerError(unsigned aStatus)
{
  constexpr unsigned kFirst = 500;
  return aStatus >= kFirst;
}

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

/// Statuses that tell a caller that its request never runs.
bool
PromisesNotRun(unsigned aStatus)
{
  switch (static_cast<http::status>(aStatus)) {
    case http::status::request_timeout:
    case http::status::misdirected_request:
    case http::status::too_many_requests:
    case http::status::service_unavailable:
      return true;
    default:
      return false;
  }
}

} // namespace

GatewayCall::GatewayCall(GatewayState& aState, HttpExchange& aExchange)
  : mState(aState)
  , mExchange(aExchange)
  , mStart(Now())
  , mRequestId(aExchange.Header(aState.mNames.mRequestId))
  , mTable(aState.mTable)
{
}

GatewayCall::~GatewayCall()
{
  if (!mRun) {
    return;
  }
  if (mRun->State() == RunState::Stopped) {
    mState.mMover->Free(mRun->Next());
  }
  mRun->SetState(RunState::Ended);
}

Task<void>
GatewayCall::Run()
{
  mState.mMetrics.mRequests.Add();
  const Result<void> admitted = Admit();
  if (!admitted) {
    co_await Refuse(admitted.error());
    co_return;
  }
  ReadNeed();
  ChooseService();
  mForwarded = ForwardedRequest(mExchange.Request(), mState.mNames);
  mExchange.WatchCaller([this] { OnCallerLeft(); });
  if (mService != nullptr) {
    mState.RetriesTo(mService->mName).OnRequest(mStart);
  }
  co_await Forward();
}

Result<void>
GatewayCall::Admit()
{
  if (!mTable) {
    return NotRun(FailureCode::StoreUnavailable, "no configuration yet");
  }
  const std::string host = mExchange.Header("Host");
  mRoute = mTable->FindRoute(host, mExchange.Path());
  if (mRoute == nullptr) {
    return NotRun(FailureCode::NotFound, "no route for this host and path");
  }
  if (mRequestId.empty()) {
    return NotRun(FailureCode::InvalidInput, "the request's id is missing");
  }
  const Result<void> key = AdmitKey();
  if (!key) {
    return key;
  }
  const std::optional<std::uint64_t> timeLeft =
    ParseNumber(mExchange.Header(mState.mNames.mTimeLeft));
  const Milliseconds callerTime =
    timeLeft ? Milliseconds{ *timeLeft } : mRoute->mTimeout;
  mCallerEnd = mStart + callerTime;
  mEnd = mStart + std::min(callerTime, mRoute->mTimeout);
  return boost::outcome_v2::success();
}

Result<void>
GatewayCall::AdmitKey()
{
  mRank = mRoute->mRank;
  mRegions = mRoute->mRegions;
  if (mRoute->mIsPublic || !mTable->NeedsKeys()) {
    return boost::outcome_v2::success();
  }
  const BootTime now = BootNow();
  if (!mState.mFreshness.IsFresh(now)) {
    return NotRun(FailureCode::StoreUnavailable,
                  "the keys are too old: " +
                    std::to_string(mState.mFreshness.Age(now).count()) + " ms");
  }
  const std::string authorization = mExchange.Header("Authorization");
  mWorkspace = mTable->FindWorkspace(BearerKey(authorization));
  if (mWorkspace == nullptr) {
    return NotRun(FailureCode::Unauthorized, "the key is unknown");
  }
  mRank = mWorkspace->mRank.value_or(mRank);
  if (mRegions.empty()) {
    mRegions = mWorkspace->mRegions;
  } else if (!mWorkspace->mRegions.empty()) {
    std::erase_if(mRegions, [&](const std::string& aRegion) {
      const std::vector<std::string>& others = mWorkspace->mRegions;
      return std::find(others.begin(), others.end(), aRegion) == others.end();
    });
    if (mRegions.empty()) {
      return NotRun(FailureCode::UpstreamUnreachable,
                    "no region is open to both route and workspace");
    }
  }
  return boost::outcome_v2::success();
}

void
GatewayCall::ReadNeed()
{
  const std::optional<TokenCounts> counts =
    ParseTokenCounts(mExchange.Header(mState.mNames.mTokenCounts));
  if (!counts) {
    return;
  }
  const std::optional<std::uint64_t> hint =
    ParseNumber(mExchange.Header(mState.mNames.mLengthHint));
  const std::uint64_t output =
    std::min(counts->mMaxOutput, hint.value_or(kUnknownOutputTokens));
  mNeed = TokenNeed{ counts->mPrompt, counts->mPrompt + output };
}

void
GatewayCall::ChooseService()
{
  std::uint64_t total = 0;
  for (const RouteTarget& target : mRoute->mTargets) {
    total += target.mWeight;
  }
  // The id decides, so that all sends of a request go to one service.
  std::uint64_t at = total == 0 ? 0 : StableHash(mRequestId) % total;
  for (const RouteTarget& target : mRoute->mTargets) {
    mService = mTable->FindService(target.mService);
    if (at < target.mWeight) {
      return;
    }
    at -= target.mWeight;
  }
}

Task<void>
GatewayCall::Forward()
{
  std::optional<std::string> moved;
  while (true) {
    Result<std::string> upstream{ moved.value_or("") };
    if (!moved) {
      upstream = co_await Choose();
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
                      Now());
    mExchange.Abort();
  }
}

std::optional<std::string>
GatewayCall::TakeMoved()
{
  mContinued.reset();
  if (!mRun || mRun->State() != RunState::Stopped) {
    return std::nullopt;
  }
  mContinued = mRun->Next();
  mMayHaveRun = true;
  mRun.reset();
  mState.mMetrics.mContinued.Add();
  return mContinued->mUpstream;
}

const Candidate*
GatewayCall::FindRoom(std::vector<Candidate>& aCandidates) const
{
  const CandidateFilter filter{ mRegions,
                                mTried,
                                mState.mSettings.mPlace.mDataCentre };
  aCandidates = mState.Candidates(*mService, filter, Now());
  return ChooseUpstream(aCandidates, *mService, mNeed);
}

Task<Result<std::string>>
GatewayCall::Choose()
{
  if (mService == nullptr) {
    co_return NotRun(FailureCode::UpstreamUnreachable,
                     "the route leads to no known service");
  }
  if (!mState.mLine.IsAhead(mService->mName, mRank)) {
    std::vector<Candidate> candidates;
    const Candidate* const found = FindRoom(candidates);
    if (found != nullptr) {
      co_return found->mUpstream->mRecord.mId;
    }
  }
  co_return co_await WaitForUpstream();
}

Task<Result<std::string>>
GatewayCall::WaitForUpstream()
{
  mState.mMetrics.mWaits.Add();
  const Instant waitEnd =
    std::min(mEnd,
             mStart + std::chrono::duration_cast<Milliseconds>(
                        mRoute->mObjective * kWaitPart));
  WaitingLine::Place place{
    mState.mLine, mService->mName, mRank, co_await net::this_coro::executor
  };
  mPlace = &place;
  while (!mCallerLeft && Now() < waitEnd) {
    if (place.IsFirst()) {
      std::vector<Candidate> candidates;
      const Candidate* const found = FindRoom(candidates);
      if (found != nullptr) {
        mPlace = nullptr;
        co_return found->mUpstream->mRecord.mId;
      }
    }
    co_await place.Wait(std::min(waitEnd, Now() + kLookAgain));
  }
  mPlace = nullptr;
  const std::size_t known = mState.mDirectory.Serving(mService->mName).size();
  co_return NotRun(FailureCode::Busy,
                   "none of " + std::to_string(known) + " upstreams has room");
}

Instant
GatewayCall::AttemptEnd(Instant aNow) const
{
  const bool canRepeat =
    mRoute->mKind == RouteKind::Idempotent && mRuns + 1 < mRoute->mAttempts;
  if (!canRepeat) {
    return mEnd + kAnswerSlack;
  }
  const Milliseconds half =
    std::chrono::duration_cast<Milliseconds>((mEnd - aNow) / 2);
  return aNow + std::max(mRoute->mObjective, half);
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
  mPromptInUse = mContinued ? 0 : mNeed.mPrompt;
  UpstreamUse use{ 1, mNeed.mTotal, mPromptInUse, 0 };
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
      mState.mPool.GiveBack(mUpstream, std::move(mConnection), Now());
    }
    mConnection.reset();
  }
  if (mRun && mRun->State() != RunState::Stopped) {
    mRun->SetState(RunState::Ended);
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
  const Instant now = Now();
  const Instant until = AttemptEnd(now);
  mState.OnSent(aUpstream, now);
  ++mSends;
  mState.mLog.Write(
    "sent",
    { { "request", mRequestId },
      { "route", mRoute->mName },
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
  co_return co_await PassOn(until);
}

Task<void>
GatewayCall::BeginRun(const UpstreamRecord& aUpstream)
{
  const bool canMove =
    IsStream(mRoute->mKind) && mService->mEngine &&
    mService->mEngine->mCanMove && mState.mMover != nullptr &&
    !mConnection->EndsWithConnection() && IsSuccess(mConnection->Status());
  if (!canMove) {
    co_return;
  }
  const net::any_io_executor executor = co_await net::this_coro::executor;
  RunIdentity identity{
    mRequestId,         mService->mName,       mRegions, aUpstream.mId,
    aUpstream.mAddress, aUpstream.mDataCentre, mNeed
  };
  mRun = std::make_shared<MovableRun>(executor, std::move(identity));
  mRunUse = UpstreamUse{ 0, 0, 0, 1 };
  mState.mLoads.Add(mUpstream, mRunUse);
  mState.mMover->Add(mRun);
}

Task<bool>
GatewayCall::WasStopped()
{
  if (!mRun) {
    co_return false;
  }
  co_await mRun->WaitWhileStopping(mEnd);
  const KnownUpstream* const known = mState.mDirectory.Find(mUpstream);
  const bool leaves = known == nullptr || known->mRecord.mIsLeaving;
  if (mRun->State() == RunState::Running && leaves && mRun->Copy()) {
    mRun->SetStopped(*mRun->Copy());
  }
  co_return mRun->State() == RunState::Stopped;
}

Task<Result<void>>
GatewayCall::Connect(const UpstreamRecord& aUpstream)
{
  mConnection = mState.mPool.Take(aUpstream.mId, Now());
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
    std::min(mEnd, mCallerEnd - kWayBack) - Now());
  request.set(names.mTimeLeft,
              std::to_string(std::max<std::int64_t>(1, left.count())));
  request.set(names.mExpectedUpstream, aUpstream.mId);
  if (mWorkspace != nullptr) {
    request.set(names.mWorkspace, mWorkspace->mName);
  }
  if (!mLastEventId.empty()) {
    request.set(names.mLastEventId, mLastEventId);
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
      co_return CheckAnswer();
    }
    mState.mLog.Write("foreign-answer",
                      { { "request", mRequestId },
                        { "answerTo", id },
                        { "upstream", mUpstream } },
                      Now());
    header = co_await mConnection->SkipAnswer(aUntil);
  }
  if (!header) {
    co_return header;
  }
  co_return MayHaveRun(FailureCode::UpstreamBroke,
                       "the upstream answered other requests");
}

Result<void>
GatewayCall::CheckAnswer() const
{
  const HeaderNames& names = mState.mNames;
  const unsigned status = mConnection->Status();
  const bool isMisdirected =
    status == static_cast<unsigned>(http::status::misdirected_request);
  if (isMisdirected || !mConnection->Header(names.mNotRun).empty()) {
    return NotRun(FailureCode::UpstreamRefused,
                  "the upstream refused with status " + std::to_string(status));
  }
  if (!mConnection->Header("Content-Encoding").empty()) {
    return MayHaveRun(FailureCode::UpstreamBroke, "the answer is encoded");
  }
  if (IsSuccess(status) && mConnection->Header(names.mSeal).empty()) {
    return MayHaveRun(FailureCode::UpstreamBroke,
                      "the answer is not the upstream's");
  }
  return boost::outcome_v2::success();
}

Task<Result<void>>
GatewayCall::PassOn(Instant aUntil)
{
  mState.mMetrics.mFirstByte.Record(Now() - mStart);
  const unsigned status = mConnection->Status();
  if (IsSuccess(status) && IsStream(mRoute->mKind)) {
    co_return co_await PassStream(aUntil);
  }
  co_return co_await PassWhole(aUntil);
}

Task<Result<void>>
GatewayCall::PassWhole(Instant aUntil)
{
  std::string body;
  while (true) {
    Result<std::string> piece = co_await mConnection->ReadSome(aUntil);
    if (!piece) {
      co_return piece.error();
    }
    if (piece.value().empty()) {
      break;
    }
    body += piece.value();
    if (body.size() > kWholeAnswerBytes) {
      co_return co_await PassPieces(std::move(body), aUntil);
    }
  }
  const unsigned status = mConnection->Status();
  const bool isRepeatable = MayRepeat(mRoute->mKind);
  if (IsServerError(status) && isRepeatable && mRuns + 1 < mRoute->mAttempts) {
    Failure failure =
      MayHaveRun(FailureCode::UpstreamBroke,
                 "the upstream failed with status " + std::to_string(status));
    failure.mVerdict = Verdict::Ran;
    co_return failure;
  }
  if (PromisesNotRun(status) && !isRepeatable) {
    co_return MayHaveRun(FailureCode::UpstreamBroke,
                         "the upstream's status " + std::to_string(status) +
                           " does not say that the request did not run");
  }
  co_return co_await Deliver(std::move(body));
}

Task<Result<void>>
GatewayCall::Deliver(std::string aBody)
{
  HttpResponse response =
    ForwardedHeader(mConnection->Status(), mConnection->Fields());
  response.body() = std::move(aBody);
  OnCompleted();
  co_return co_await mExchange.Send(std::move(response));
}

Task<Result<void>>
GatewayCall::PassPieces(std::string aBegin, Instant aUntil)
{
  Result<void> passed = co_await mExchange.Begin(
    ForwardedHeader(mConnection->Status(), mConnection->Fields()));
  std::string piece = std::move(aBegin);
  while (passed && !piece.empty()) {
    passed = co_await mExchange.Write(piece);
    Result<std::string> next = co_await mConnection->ReadSome(aUntil);
    if (!next) {
      co_return next.error();
    }
    piece = std::move(next.value());
  }
  if (passed) {
    OnCompleted();
    passed = co_await mExchange.Finish();
  }
  co_return passed;
}

Task<Result<void>>
GatewayCall::PassStream(Instant aUntil)
{
  EventSplitter splitter;
  while (true) {
    Result<std::string> piece = co_await mConnection->ReadSome(aUntil);
    if (!piece) {
      // A stopped generation's stream breaks off; one that reached its end
      // was whole, whatever the answer to the order to stop said.
      if (!mCallerLeft && co_await WasStopped()) {
        co_return MayHaveRun(FailureCode::UpstreamBroke,
                             "the generation was moved");
      }
      co_return piece.error();
    }
    if (piece.value().empty()) {
      break;
    }
    const std::string events = splitter.Feed(piece.value());
    if (events.empty()) {
      continue;
    }
    const Result<void> passed = co_await PassEvents(events);
    if (!passed) {
      co_return passed;
    }
    mLastEventId = splitter.LastId();
    if (mRun && !mRun->HasBegun()) {
      mRun->OnBegun();
      OnPromptRead();
    }
  }
  const Result<void> rest = co_await PassEvents(splitter.Rest());
  if (!rest) {
    co_return rest;
  }
  OnCompleted();
  co_return co_await mExchange.Finish();
}

void
GatewayCall::OnPromptRead()
{
  const UpstreamUse prompt{ 0, 0, mPromptInUse, 0 };
  mPromptInUse = 0;
  mState.mLoads.Subtract(mUpstream, prompt);
}

Task<Result<void>>
GatewayCall::PassEvents(const std::string& aEvents)
{
  if (!mExchange.HasBegun()) {
    const Result<void> begun = co_await mExchange.Begin(
      ForwardedHeader(mConnection->Status(), mConnection->Fields()));
    if (!begun) {
      co_return begun;
    }
  } else if (mLastEventAt != Instant{}) {
    mState.mMetrics.mEventGap.Record(Now() - mLastEventAt);
  }
  mLastEventAt = Now();
  if (aEvents.empty()) {
    co_return boost::outcome_v2::success();
  }
  co_return co_await mExchange.Write(aEvents);
}

void
GatewayCall::OnCompleted()
{
  const Instant now = Now();
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
  const Instant now = Now();
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
  const bool isAllowed =
    isRunFree || (MayRepeat(mRoute->mKind) && mRuns < mRoute->mAttempts);
  const bool isLate = Now() >= mEnd;
  const bool canContinue = !mExchange.HasBegun() || !mLastEventId.empty();
  if (!isAllowed || isLate || !canContinue || mSends >= kMaxSends) {
    return false;
  }
  // A connection that failed reached nobody and costs the others nothing.
  if (aFailure.mCode == FailureCode::UpstreamUnreachable) {
    return true;
  }
  if (!mState.RetriesTo(mService->mName).TryTake(mState.mGateways, Now())) {
    mState.mLog.Write(
      "repeat-denied",
      { { "request", mRequestId }, { "service", mService->mName } },
      Now());
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
      { "route", mRoute != nullptr ? mRoute->mName : "none" },
      { "verdict", ToString(failure.mVerdict) },
      { "reason", ToString(failure.mCode) },
      { "detail", failure.mDetail },
      { "configVersion",
        static_cast<std::int64_t>(mTable ? mTable->Config().mVersion : 0) },
      { "configAgeMs", mState.mFreshness.Age(BootNow()).count() },
      { "afterMs", Elapsed().count() } },
    Now());
  if (mExchange.HasBegun()) {
    mExchange.Abort();
    co_return;
  }
  http::status status = StatusOf(failure.mCode);
  if (failure.mVerdict != Verdict::NotRun) {
    status =
      Now() >= mEnd ? http::status::gateway_timeout : http::status::bad_gateway;
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
  if (mPlace != nullptr) {
    mPlace->Wake();
  }
}

Milliseconds
GatewayCall::Elapsed() const
{
  return std::chrono::duration_cast<Milliseconds>(Now() - mStart);
}

} // namespace cactusgw
