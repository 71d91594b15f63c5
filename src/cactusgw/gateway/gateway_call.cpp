#include "cactusgw/gateway/gateway_call.hpp"

#include "cactusgw/gateway/backup_choice.hpp"
#include "cactusgw/gateway/generation_migrator.hpp"
#include "cactusgw/gateway/message_headers.hpp"
#include "cactusgw/net/problem.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace cactusgw {

namespace {

/// Interval at which an attempt that is due for a retry looks for an upstream
/// and for a share of the retry budget.
constexpr Milliseconds kRetryCheckInterval{ 50 };
/// Subtracted from the client's remaining time, for the latency of the response
/// to the client.
constexpr Milliseconds kReturnLatency{ 10 };
/// Maximum number of times that a request is sent, including those that
/// upstreams refuse without running it. Failed connections don't count.
constexpr std::uint32_t kMaxAttempts = 4;
/// Minimum Retry-After of a refused request: the availability of upstreams
/// changes at about this interval.
constexpr Milliseconds kMinRetryAfter{ 250 };
/// Time after its first event from which a stream counts as begun: a request
/// that crashes its upstream may still send some events.
constexpr Milliseconds kBegunTime{ 300 };
/// Time for an upstream to tell its start, for which it needs no slot.
constexpr Milliseconds kStartTime{ 500 };
/// Time for the question how a tunnel ended, which its carrier knows by then.
constexpr Milliseconds kTunnelEndTime{ 200 };
/// Responses to other requests that are skipped on a connection before it
/// counts as broken.
constexpr int kMaxMismatchedResponses = 2;

/// Whether the exchange was ended by the client rather than by an upstream.
/// Timeout means that the client did not read the response in time; upstream
/// timeouts have other codes, such as UpstreamSilent.
bool
IsClientFailure(const Failure& aFailure)
{
  return aFailure.mCode == FailureCode::ClientDisconnected ||
         aFailure.mCode == FailureCode::Timeout;
}

/// Whether the upstream failed, in contrast to a refusal and to a lack of
/// memory or of a fresh configuration here.
bool
IsUpstreamFailure(const Failure& aFailure)
{
  return aFailure.mCode == FailureCode::UpstreamUnreachable ||
         aFailure.mCode == FailureCode::UpstreamBroke ||
         aFailure.mCode == FailureCode::UpstreamClosed ||
         aFailure.mCode == FailureCode::UpstreamSilent;
}

/// Whether another upstream at the address has responded.
bool
IsMisdirected(const HttpConnection& aResponse)
{
  return aResponse.Status() ==
         static_cast<unsigned>(http::status::misdirected_request);
}

/// Formats a Retry-After value in seconds with three decimals, which clients of
/// the gateway accept.
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
  , mCalls(aState.mCalls)
  , mExchange(aExchange)
  , mStart(SteadyNow())
  , mRequestId(aExchange.Header(aState.mNames.mRequestId))
  , mTable(aState.mTable)
  , mSelector(aState, mStart)
  , mRollout(aState.mRollouts, aState.mMetrics)
{
  mCalls->insert(this);
}

GatewayCall::~GatewayCall()
{
  mCalls->erase(this);
  ReleaseStoppedSource();
  if (!mGeneration) {
    return;
  }
  if (mGeneration->State() == GenerationState::Stopped) {
    mState.mMigrator->Free(mGeneration->Next());
  }
  mGeneration->SetState(GenerationState::Ended);
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
  const Result<void> bound = co_await BindResumedStream();
  if (!bound) {
    co_await Refuse(bound.error());
    co_return;
  }
  mForwarded = ForwardedRequest(mExchange.Request(), mState.mNames);
  mClientWatch = mExchange.WatchClient([this] { OnClientDisconnected(); });
  if (mAdmitted.mService != nullptr) {
    mState.RetryBudgetFor(mAdmitted.mService->mName).OnRequest(mStart);
    mRollout.OnAdmitted(mAdmitted.mService->mName,
                        mAdmitted.mRoute->mName,
                        mState.mFreshness.IsFresh(BootNow()));
    mAdmitted.mSide = mRollout.Side();
  }
  co_await Forward();
}

Task<Result<void>>
GatewayCall::BindResumedStream()
{
  const HeaderNames& names = mState.mNames;
  mStreamId = mRequestId;
  if (mAdmitted.mRoute->mKind != RouteKind::ResumableStream ||
      mAdmitted.mService == nullptr ||
      mExchange.Header(names.mLastEventId).empty()) {
    co_return boost::outcome_v2::success();
  }
  const std::string resumes = mExchange.Header(names.mResumes);
  const std::optional<std::string> version =
    co_await FindStreamVersion(resumes);
  if (!version) {
    mState.mMetrics.mUnknownStreams.Add();
    co_return NotRun(FailureCode::UpstreamUnreachable,
                     "which version began stream " + resumes + " isn't known");
  }
  if (!resumes.empty()) {
    mStreamId = resumes;
  }
  mState.mMetrics.mResumedStreams.Add();
  mAdmitted.mOrigin.mStreamVersion = *version;
  co_return boost::outcome_v2::success();
}

Task<std::optional<std::string>>
GatewayCall::FindStreamVersion(std::string_view aResumes)
{
  // The request that began the stream and one that resumed it before may each
  // have taken the route's time.
  constexpr int kTimeouts = 2;
  const Milliseconds maxAge = mAdmitted.mRoute->mTimeout * kTimeouts;
  const std::string& service = mAdmitted.mService->mName;
  const auto mayHaveBegun = [&] {
    return mState.mStreamVersions.MayHaveBegun(service, maxAge, SteadyNow());
  };
  std::optional<std::string> version =
    mState.mStreamOrigins.VersionOf(aResumes);
  std::string_view source = "begin";
  std::vector<std::string> versions;
  if (!version) {
    source = "unknown";
    versions = mayHaveBegun();
    if (versions.size() <= 1) {
      // What this gateway knows may be older than the stream.
      const bool isRead =
        co_await mState.mReadStreamVersions(std::string{ aResumes });
      versions = mayHaveBegun();
      version = mState.mStreamOrigins.VersionOf(aResumes);
      source = version ? "heard" : (isRead ? "records" : "unread");
      if (!version && isRead && versions.size() == 1) {
        version = versions.front();
      }
    }
    if (!version && versions.size() > 1) {
      const bool isRead =
        co_await mState.mReadStreamOrigins(std::string{ aResumes });
      version = mState.mStreamOrigins.VersionOf(aResumes);
      source = isRead ? "store" : (version ? "heard" : source);
    }
  }
  mState.mLog.Write(
    "stream-resumed",
    { { "request", mRequestId },
      { "resumes", aResumes },
      { "version", version.value_or("unknown") },
      { "source", source },
      { "possibleVersions", static_cast<std::int64_t>(versions.size()) } },
    SteadyNow());
  co_return version;
}

void
GatewayCall::OnStreamBegun(Instant aNow)
{
  if (std::exchange(mHasStreamBegun, true)) {
    return;
  }
  mAdmitted.mOrigin.mStreamVersion = mUpstreamVersion;
  if (mAdmitted.mRoute->mKind == RouteKind::ResumableStream) {
    mState.mStreamOrigins.OnBegun(
      mAdmitted.mService->mName, mStreamId, mUpstreamVersion, aNow);
  }
}

Task<void>
GatewayCall::Forward()
{
  // Where the request goes next, if that is decided already.
  std::optional<std::string> target;
  while (true) {
    Result<std::string> upstream{ target.value_or("") };
    // Checked before the wait, to refuse at once, and again before the send.
    Result<void> allowed = CheckQuarantine();
    if (allowed && !target) {
      upstream = co_await mSelector.Find(mAdmitted, mTriedUpstreams);
      allowed = CheckQuarantine();
    }
    if (mHasClientDisconnected) {
      break;
    }
    if (!allowed) {
      upstream = allowed.error();
    } else if (mIsGivenUp) {
      upstream = NotRun(FailureCode::Stopping, "the gateway is stopping");
    }
    if (!upstream) {
      co_await Refuse(upstream.error());
      co_return;
    }
    const Result<void> sent = co_await SendTo(upstream.value());
    const std::optional<std::string> retry = TakeRetryUpstream();
    mHasClientDisconnected =
      mHasClientDisconnected || (!sent && IsClientFailure(sent.error()));
    if (sent || mHasClientDisconnected) {
      break;
    }
    DropContinuation();
    target = co_await TakeStoppedSource(sent.error());
    if (!target) {
      target = TakeMigrationTarget();
    }
    if (target) {
      continue;
    }
    target = retry;
    OnAttemptFailed(sent.error());
    if (!TryRetry(sent.error())) {
      co_await Refuse(sent.error());
      co_return;
    }
    SetSideOfRetry();
  }
  if (mHasClientDisconnected) {
    mState.mMetrics.mClientDisconnects.Add();
    mState.mLog.Write("caller-left",
                      { { "request", mRequestId },
                        { "upstream", mUpstream },
                        { "afterMs", Elapsed().count() } },
                      SteadyNow());
    mExchange.Abort();
  }
}

std::optional<std::string>
GatewayCall::TakeMigrationTarget()
{
  mContinuation.reset();
  if (!mGeneration) {
    return std::nullopt;
  }
  if (mGeneration->ContinuesAtBackup()) {
    mContinuation = *mGeneration->Backup();
    mStoppedSource = mGeneration;
    mState.mMetrics.mBackupsUsed.Add();
    mState.mLog.Write("backup-used",
                      { { "request", mRequestId },
                        { "from", mUpstream },
                        { "to", mContinuation->mUpstream },
                        { "afterEvent", mProgress.mLastEventId },
                        { "afterMs", Elapsed().count() } },
                      SteadyNow());
  } else if (mGeneration->State() == GenerationState::Stopped) {
    mContinuation = mGeneration->Next();
  } else {
    return std::nullopt;
  }
  mMayHaveRun = true;
  mGeneration.reset();
  mState.mMetrics.mContinued.Add();
  return mContinuation->mUpstream;
}

Task<std::optional<std::string>>
GatewayCall::TakeStoppedSource(const Failure& aFailure)
{
  if (!mStoppedSource || aFailure.mVerdict != Verdict::NotRun) {
    ReleaseStoppedSource();
    co_return std::nullopt;
  }
  const std::shared_ptr<MigratableGeneration> source =
    std::move(mStoppedSource);
  mStoppedSource.reset();
  mState.mMetrics.mBackupsRefused.Add();
  co_await source->WaitWhileStopping(mAdmitted.mDeadline);
  if (source->State() != GenerationState::Stopped || mHasClientDisconnected) {
    source->SetState(GenerationState::Ended);
    co_return std::nullopt;
  }
  mContinuation = source->Next();
  co_return mContinuation->mUpstream;
}

void
GatewayCall::ReleaseStoppedSource()
{
  if (!mStoppedSource) {
    return;
  }
  if (mStoppedSource->State() == GenerationState::Stopped) {
    mState.mMigrator->Free(mStoppedSource->Next());
  }
  // A reply that arrives later is freed by the migrator.
  mStoppedSource->SetState(GenerationState::Ended);
  mStoppedSource.reset();
}

std::optional<Instant>
GatewayCall::CheckAttempt(const AttemptDeadline& aDeadline)
{
  const Instant now = SteadyNow();
  std::string upstream;
  if (MayRepeat() && !mIsGivenUp && !mHasClientDisconnected) {
    SetSideOfRetry();
    upstream = mSelector.FindAtOnce(mAdmitted, mTriedUpstreams);
  }
  if (aDeadline.MakesWayForRetry({ mExchange.HasBegun(), !upstream.empty() },
                                 now) &&
      mState.RetryBudgetFor(mAdmitted.mService->mName)
        .TryWithdraw(mState.mGatewayCount, now)) {
    mMakesWay = true;
    mRetryUpstream = std::move(upstream);
    // Takes the place until the retry does, so that no other request gets it.
    mState.mLoads.Add(mRetryUpstream, RetryLoad());
    mConnection->Close();
  }
  const Instant next = now + kRetryCheckInterval;
  if (mMakesWay || mExchange.HasBegun() || next > aDeadline.RetryUntil()) {
    return std::nullopt;
  }
  return next;
}

bool
GatewayCall::MayRepeat() const
{
  return mAdmitted.mRoute->mKind == RouteKind::Idempotent &&
         mPossibleRuns + 1 < mAdmitted.mRoute->mMaxAttempts &&
         mAttempts < kMaxAttempts;
}

UpstreamLoad
GatewayCall::RetryLoad() const
{
  return { 1, mAdmitted.mTokenNeed.mTotal, mAdmitted.mTokenNeed.mPrompt, 0 };
}

std::optional<std::string>
GatewayCall::TakeRetryUpstream()
{
  if (mRetryUpstream.empty()) {
    return std::nullopt;
  }
  mState.mLoads.Subtract(mRetryUpstream, RetryLoad());
  return std::exchange(mRetryUpstream, {});
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
  mStartedMs = upstream.mRecord.mStartedMs;
  mUpstreamVersion = upstream.mRecord.mVersion;
  mTriedUpstreams.push_back(aUpstream);
  mState.OnSelected(aUpstream, SteadyNow());
  mFirstEventAt.reset();
  mIsServed = false;
  mIsHeldBack = false;
  mMakesWay = false;
  mHasLostLink = false;
  mPendingPromptTokens = mContinuation ? 0 : mAdmitted.mTokenNeed.mPrompt;
  UpstreamLoad load{ 1, mAdmitted.mTokenNeed.mTotal, mPendingPromptTokens, 0 };
  mState.mLoads.Add(mUpstream, load);
  Result<void> result = co_await Connect(upstream.mRecord);
  if (result && IsStartDoubtful()) {
    result = co_await CheckStart();
    mIsHeldBack = !result;
  }
  if (result && mHasClientDisconnected) {
    result = NotRun(FailureCode::ClientDisconnected, "the client disconnected");
  }
  if (result && mIsGivenUp) {
    result = NotRun(FailureCode::Stopping, "the gateway is stopping");
  }
  if (result) {
    result = co_await SendAndRelay(upstream);
    if (std::exchange(mIsOnDirectLink, false)) {
      mState.mConnector->Links().OnEnded(mUpstream);
    }
    if (!result && mHasLostLink) {
      result = MayHaveRun(FailureCode::UpstreamSilent,
                          "the links to upstreams failed");
    }
    if (!result && mMakesWay) {
      result = MayHaveRun(FailureCode::UpstreamSilent,
                          "no whole response in time for a retry");
    }
    // A connection that this gateway closed says nothing about the upstream.
    const Instant endedAt = SteadyNow();
    if (!result && !mIsGivenUp && IsCrashSuspect(result.error(), endedAt) &&
        co_await HasUpstreamClosed()) {
      ReportCrash(upstream, endedAt);
    }
    // An upstream may still crash on a request that its client has left.
    if (mTrial && !mHasClientDisconnected) {
      mState.mRequestCrashes.EndTrial(mAdmitted.mOrigin.mFingerprint, *mTrial);
    }
    mTrial.reset();
  }
  if (mConnection) {
    const bool isReusable =
      result || result.error().mVerdict == Verdict::NotRun;
    if (isReusable && !IsUpstreamDraining()) {
      mState.mPool.Release(std::move(mConnection), SteadyNow());
    }
    mConnection.reset();
  }
  if (mGeneration && mGeneration->State() != GenerationState::Stopped &&
      !mGeneration->ContinuesAtBackup()) {
    mGeneration->SetState(GenerationState::Ended);
    mGeneration.reset();
  }
  if (mBackup) {
    mState.mLoads.Subtract(mBackup->mId, BackupLoad());
    mBackup.reset();
  }
  load += std::exchange(mGenerationLoad, {});
  load.mPromptTokens = std::exchange(mPendingPromptTokens, 0);
  mState.mLoads.Subtract(mUpstream, load);
  mState.mWaitQueue.WakeFirstWaiters();
  co_return result;
}

Task<Result<void>>
GatewayCall::SendAndRelay(const KnownUpstream& aUpstream)
{
  // Nothing may be awaited between these checks and the send.
  Result<void> allowed = CheckQuarantine();
  if (allowed && !mContinuation) {
    allowed = mRollout.Check(aUpstream.mRecord.mVersion);
  }
  if (!allowed) {
    mIsHeldBack = true;
    co_return allowed.error();
  }
  const TunnelUse* const tunnel = mConnection->Tunnel();
  Result<SendClearance> clearance = mState.Gate(BootNow()).Clear(
    mAdmitted.mOrigin,
    mConnection->Target(),
    Purpose(),
    tunnel == nullptr ? std::string_view{} : tunnel->mCarrier.mDataCentre);
  if (!clearance) {
    mIsHeldBack = true;
    co_return clearance.error();
  }
  const Instant now = SteadyNow();
  const AttemptDeadline deadline = AttemptDeadline::Create(
    now, mAdmitted.mDeadline, mAdmitted.mRoute->mLatencyObjective);
  mState.OnSent(aUpstream, now);
  mRollout.OnSent(aUpstream.mRecord.mVersion, now);
  mTrial =
    mState.mRequestCrashes.BeginTrial(mAdmitted.mOrigin.mFingerprint, now);
  const std::uint64_t heldTokens =
    mContinuation ? 0
                  : mState.OnPromptSent(*mAdmitted.mService,
                                        mAdmitted.mPromptPrefixes,
                                        aUpstream,
                                        mAdmitted.mTokenNeed,
                                        now);
  mSentAt = now;
  if (tunnel == nullptr) {
    mState.mConnector->Links().OnSent(mUpstream, now);
    mIsOnDirectLink = true;
  }
  ++mAttempts;
  mState.mLog.Write(
    "sent",
    { { "request", mRequestId },
      { "route", mAdmitted.mRoute->mName },
      { "configVersion", static_cast<std::int64_t>(mTable->Config().mVersion) },
      { "upstream", mUpstream },
      { "version", aUpstream.mRecord.mVersion },
      { "dataCentre", aUpstream.mRecord.mDataCentre },
      { "region", mState.RegionOf(aUpstream.mRecord.mDataCentre) },
      { "homes", mState.Gate(BootNow()).RegionsFor(mAdmitted.mOrigin).Text() },
      { "newestVersion",
        static_cast<std::int64_t>(mState.mTable->Config().mVersion) },
      { "attempt", static_cast<std::int64_t>(mAttempts) },
      { "continues", mContinuation ? mContinuation->mHandle : "nothing" },
      { "afterEvent",
        mProgress.mLastEventId.empty()
          ? mExchange.Header(mState.mNames.mLastEventId)
          : mProgress.mLastEventId },
      { "parts", JoinParts(mAdmitted.mOrigin.mSharedParts) },
      { "fingerprint", ToString(mAdmitted.mOrigin.mFingerprint) },
      { "crashes", KnownCrashes() },
      { "carrier", tunnel == nullptr ? "none" : tunnel->mCarrier.mName },
      { "heldTokens", static_cast<std::int64_t>(heldTokens) },
      { "afterMs", Elapsed().count() } },
    now);
  ChooseBackupFor(aUpstream.mRecord);
  const net::any_io_executor executor = co_await net::this_coro::executor;
  std::optional<AttemptWatch> watch;
  if (MayRepeat()) {
    watch.emplace(
      executor, deadline.RetryAt(), [&] { return CheckAttempt(deadline); });
  }
  const Result<void> header = co_await Exchange(std::move(clearance.value()),
                                                MakeRequest(aUpstream.mRecord),
                                                deadline.End());
  if (!header) {
    co_return header;
  }
  ReleaseStoppedSource();
  co_await TrackGeneration(aUpstream.mRecord);
  mState.mMetrics.mFirstByte.Record(SteadyNow() - mStart);
  ResponseRelay relay{ mExchange,
                       *mConnection,
                       mState.mMetrics,
                       mState.mMemory,
                       mProgress,
                       { [this] { OnEventsRelayed(); },
                         [this] { return WasGenerationStopped(); },
                         [this] { OnCompleted(); } } };
  const ResponseRelayRules rules{ mAdmitted.mRoute->mKind,
                                  IsRetryable(mAdmitted.mRoute->mKind) &&
                                    mPossibleRuns + 1 <
                                      mAdmitted.mRoute->mMaxAttempts };
  co_return co_await relay.Relay(rules, deadline.End());
}

Task<void>
GatewayCall::TrackGeneration(const UpstreamRecord& aUpstream)
{
  const bool canMigrate =
    IsStream(mAdmitted.mRoute->mKind) && mAdmitted.mService->mEngine &&
    mAdmitted.mService->mEngine->mCanMigrate && mState.mMigrator != nullptr &&
    !mConnection->Response().IsCloseDelimited() &&
    IsSuccess(mConnection->Response().Status());
  if (!canMigrate) {
    co_return;
  }
  const net::any_io_executor executor = co_await net::this_coro::executor;
  GenerationIdentity identity{ mRequestId,          mAdmitted.mService->mName,
                               mAdmitted.mOrigin,   aUpstream.mId,
                               aUpstream.mAddress,  aUpstream.mDataCentre,
                               mAdmitted.mTokenNeed };
  // The state of a generation is of use to its own version only.
  identity.mOrigin.mStreamVersion = aUpstream.mVersion;
  mGeneration =
    std::make_shared<MigratableGeneration>(executor, std::move(identity));
  if (mBackup) {
    mGeneration->SetBackup({ mBackup->mId, mBackup->mAddress, mRequestId });
  }
  mGenerationLoad = UpstreamLoad{ 0, 0, 0, 1 };
  mState.mLoads.Add(mUpstream, mGenerationLoad);
  mState.mMigrator->Add(mGeneration);
}

Task<bool>
GatewayCall::WasGenerationStopped()
{
  if (!mGeneration || mHasClientDisconnected) {
    co_return false;
  }
  if (CanContinueAtBackup()) {
    mState.OnResponse({ mUpstream, mStartedMs }, true, SteadyNow());
    mRollout.OnBroken();
    mState.mMigrator->StopForBackup(mGeneration);
  }
  if (mGeneration->ContinuesAtBackup()) {
    co_return true;
  }
  co_await mGeneration->WaitWhileStopping(mAdmitted.mDeadline);
  if (mGeneration->State() == GenerationState::Running &&
      IsUpstreamDraining() && mGeneration->Copy()) {
    mGeneration->SetStopped(*mGeneration->Copy());
  }
  co_return mGeneration->State() == GenerationState::Stopped;
}

void
GatewayCall::ChooseBackupFor(const UpstreamRecord& aUpstream)
{
  const GatewayService& service = *mAdmitted.mService;
  const bool isSuspect =
    KnownCrashes() > 0 || mAdmitted.mOrigin.mOwnCrashes > 0;
  if (isSuspect || mState.mMigrator == nullptr ||
      !IsWorthABackup(service, mAdmitted.mRoute->mKind, mAdmitted.mTokenNeed)) {
    return;
  }
  const Result<AllowedRegions> regions =
    mState.Gate(BootNow()).TrustedRegionsFor(mAdmitted.mOrigin);
  if (!regions) {
    return;
  }
  const CandidateFilter filter{ regions.value(),       {},
                                aUpstream.mDataCentre, false,
                                mAdmitted.mSide,       {},
                                aUpstream.mVersion };
  const std::vector<Candidate> candidates =
    mState.Candidates(service, filter, SteadyNow());
  const Candidate* const chosen =
    ChooseBackup(candidates, aUpstream.mId, service, mAdmitted.mTokenNeed);
  const bool isCleared =
    chosen != nullptr && mState.Gate(BootNow())
                           .Clear(mAdmitted.mOrigin,
                                  TargetOf(chosen->mUpstream->mRecord),
                                  SendPurpose::Copy)
                           .has_value();
  if (!isCleared) {
    return;
  }
  mBackup = chosen->mUpstream->mRecord;
  mState.mLoads.Add(mBackup->mId, BackupLoad());
  mState.mMetrics.mBackupsOrdered.Add();
  mState.mLog.Write(
    "backup-ordered",
    { { "request", mRequestId },
      { "upstream", aUpstream.mId },
      { "backup", mBackup->mId },
      { "tokens", static_cast<std::int64_t>(mAdmitted.mTokenNeed.mTotal) },
      { "loadTokens", static_cast<std::int64_t>(chosen->mLoad.mTokens) } },
    SteadyNow());
}

UpstreamLoad
GatewayCall::BackupLoad() const
{
  return { 0, mAdmitted.mTokenNeed.mTotal, 0, 0 };
}

bool
GatewayCall::CanContinueAtBackup() const
{
  // A request that crashes its upstream does so soon after its first event, and
  // would crash the next one.
  const Instant now = SteadyNow();
  return mGeneration->State() == GenerationState::Running &&
         mGeneration->Backup() && !mIsGivenUp && mFirstEventAt &&
         now - *mFirstEventAt >= kBegunTime && now < mAdmitted.mDeadline;
}

Task<Result<void>>
GatewayCall::Connect(const UpstreamRecord& aUpstream)
{
  const SendGate gate = mState.Gate(BootNow());
  const AllowedRegions regions = gate.RegionsFor(mAdmitted.mOrigin);
  // A late response to an earlier request must not be taken for a start.
  if (!IsStartDoubtful()) {
    mConnection = mState.mPool.Acquire(
      TargetOf(aUpstream),
      mRequestId,
      SteadyNow(),
      [&](const UpstreamConnection& aIdle) {
        const TunnelUse* const tunnel = aIdle.Tunnel();
        return mState.mConnector->MayReuse(aIdle) &&
               (tunnel == nullptr ||
                gate.MayCarry(regions, tunnel->mCarrier.mDataCentre));
      });
  }
  if (mConnection) {
    co_return boost::outcome_v2::success();
  }
  mState.mMetrics.mConnects.Add();
  Result<std::unique_ptr<UpstreamConnection>> connected =
    co_await mState.mConnector->Connect(TargetOf(aUpstream), regions);
  if (!connected) {
    co_return connected.error();
  }
  mConnection = std::move(connected.value());
  co_return boost::outcome_v2::success();
}

bool
GatewayCall::IsStartDoubtful() const
{
  // A restarted upstream doesn't know the state that a continuation names.
  return !mAdmitted.mOrigin.mStreamVersion.empty() && !mContinuation &&
         mState.mStartQuestion.mRequest;
}

Task<Result<void>>
GatewayCall::CheckStart()
{
  const StartQuestion& question = mState.mStartQuestion;
  const Result<std::string> report = co_await mConnection->Ask(
    question.mRequest(),
    std::min(mAdmitted.mDeadline, SteadyNow() + kStartTime));
  if (!report) {
    co_return report.error();
  }
  const std::optional<std::int64_t> started =
    question.mReadStart(report.value());
  if (started && *started != mStartedMs) {
    mConnection->Close();
    mState.mLog.Write("upstream-restarted",
                      { { "request", mRequestId },
                        { "upstream", mUpstream },
                        { "startedMs", *started },
                        { "registeredMs", mStartedMs } },
                      SteadyNow());
    co_return NotRun(FailureCode::UpstreamUnreachable,
                     "upstream " + mUpstream +
                       " has started again since its registration");
  }
  co_return boost::outcome_v2::success();
}

SharedBodyRequest
GatewayCall::MakeRequest(const UpstreamRecord& aUpstream) const
{
  const HeaderNames& names = mState.mNames;
  SharedBodyRequest request{ mForwarded.base() };
  const std::string& body = mExchange.Request().body();
  request.body() = { body.data(), body.size() };
  const Milliseconds left = std::chrono::duration_cast<Milliseconds>(
    std::min(mAdmitted.mDeadline, mAdmitted.mClientDeadline - kReturnLatency) -
    SteadyNow());
  request.set(names.mRemainingTime,
              std::to_string(std::max<std::int64_t>(1, left.count())));
  request.set(names.mExpectedUpstream, aUpstream.mId);
  if (mAdmitted.mWorkspace != nullptr) {
    request.set(names.mWorkspace, mAdmitted.mWorkspace->mName);
  }
  if (!mProgress.mLastEventId.empty()) {
    request.set(names.mLastEventId, mProgress.mLastEventId);
  }
  if (mBackup) {
    request.set(names.mBackupTo, mBackup->mAddress);
  }
  if (mContinuation) {
    request.set(names.mMigratedFrom,
                mContinuation->mSource + "/" + mContinuation->mHandle);
  }
  return request;
}

Task<Result<void>>
GatewayCall::Exchange(SendClearance aClearance,
                      SharedBodyRequest aRequest,
                      Instant aUntil)
{
  ResponseAttribution& attribution = mConnection->Attribution();
  attribution.OnRequest(mRequestId);
  Result<void> header =
    co_await mConnection->Exchange(std::move(aClearance), aRequest, aUntil);
  for (int n = 0; header && n < kMaxMismatchedResponses; ++n) {
    const std::string_view id =
      mConnection->Response().Header(mState.mNames.mRequestId);
    const ResponseOwner owner = attribution.OnResponse(id);
    if (owner == ResponseOwner::Unknown) {
      co_return MayHaveRun(FailureCode::UpstreamBroke,
                           "a response without id on a reused connection");
    }
    if (owner == ResponseOwner::CurrentRequest) {
      ReadSurvival();
      ReadStatedLimit();
      ReadBrittle();
      ReadDraining();
      ReadPause();
      Result<void> checked =
        CheckResponse(mConnection->Response(), mState.mNames);
      if (!checked && checked.error().mVerdict == Verdict::NotRun) {
        attribution.OnRefused();
      }
      co_return checked;
    }
    mState.mLog.Write("foreign-answer",
                      { { "request", mRequestId },
                        { "answerTo", id },
                        { "upstream", mUpstream } },
                      SteadyNow());
    header = co_await mConnection->SkipResponse(aUntil);
  }
  if (!header) {
    co_return header;
  }
  co_return MayHaveRun(FailureCode::UpstreamBroke,
                       "the upstream answered other requests");
}

void
GatewayCall::ReadStatedLimit()
{
  const KnownUpstream* const known = mState.mDirectory.Find(mUpstream);
  const std::string_view text =
    mConnection->Response().Header(mState.mNames.mRateLimit);
  const std::optional<double> limit = ParseDecimal(text);
  // A value that is not a number neither states nor withdraws a limit.
  if (known == nullptr || (!text.empty() && !limit)) {
    return;
  }
  const Instant now = SteadyNow();
  const UpstreamStart upstream{ mUpstream, known->mRecord.mStartedMs };
  if (mState.mStatedLimits.OnResponse(upstream, limit, mSentAt, now)) {
    mState.mLog.Write("limit-stated",
                      { { "request", mRequestId },
                        { "upstream", mUpstream },
                        { "perSecond", limit ? text : "none" } },
                      now);
  }
}

void
GatewayCall::ReadBrittle()
{
  const HttpConnection& response = mConnection->Response();
  const std::string_view text = response.Header(mState.mNames.mBrittle);
  const std::optional<std::uint64_t> bearable = ParseNumber(text);
  // A value that is not a number states nothing and withdraws nothing.
  if (IsMisdirected(response) || (!text.empty() && !bearable)) {
    return;
  }
  const Instant now = SteadyNow();
  const std::string& service = mAdmitted.mService->mName;
  std::optional<std::uint32_t> stated;
  if (bearable) {
    stated = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      *bearable, std::numeric_limits<std::uint32_t>::max()));
  }
  if (mState.mBrittle.OnResponse(service, stated, mSentAt, now)) {
    mState.mLog.Write("brittle-stated",
                      { { "request", mRequestId },
                        { "upstream", mUpstream },
                        { "service", service },
                        { "bearable", bearable ? text : "none" } },
                      now);
  }
  const bool isTurnedAway =
    response.Status() ==
      static_cast<unsigned>(http::status::service_unavailable) &&
    !response.Header(mState.mNames.mNotRun).empty();
  if (isTurnedAway && mState.mBrittle.IsBrittle(service)) {
    const UpstreamTarget& upstream = mConnection->Target();
    mState.mBrittle.OnTurnedAway({ upstream.mId, upstream.mStartedMs }, now);
    mState.mLog.Write("brittle-refusal",
                      { { "request", mRequestId },
                        { "upstream", upstream.mId },
                        { "startedMs", upstream.mStartedMs } },
                      now);
  }
}

Task<bool>
GatewayCall::HasUpstreamClosed()
{
  const TunnelUse* const tunnel = mConnection->Tunnel();
  if (tunnel != nullptr) {
    const TunnelEnd end = co_await AskForTunnelEnd(
      tunnel->mCarrier, tunnel->mRequest, kTunnelEndTime);
    mHasLostLink = end != TunnelEnd::ClosedByUpstream;
    co_return !mHasLostLink;
  }
  const bool areSound = co_await mState.mConnector->AreLinksSound();
  if (!areSound) {
    mHasLostLink = true;
    mState.mLog.Write("crash-unsuspected",
                      { { "request", mRequestId },
                        { "upstream", mUpstream },
                        { "reason", "links-lost" } },
                      SteadyNow());
  }
  co_return areSound;
}

void
GatewayCall::OnLinksDead()
{
  const bool mayRepeat =
    IsRetryable(mAdmitted.mRoute->mKind) &&
    mPossibleRuns + 1 < mAdmitted.mRoute->mMaxAttempts &&
    (!mExchange.HasBegun() || !mProgress.mLastEventId.empty());
  if (mIsOnDirectLink && mConnection && mayRepeat && !mHasLostLink) {
    mHasLostLink = true;
    mConnection->Close();
  }
}

void
GatewayCall::ReadSurvival()
{
  if (mIsOnDirectLink) {
    mState.mConnector->Links().OnBytes(SteadyNow());
  }
  if (IsMisdirected(mConnection->Response())) {
    return;
  }
  const UpstreamTarget& upstream = mConnection->Target();
  if (mState.mRequestCrashes.OnResponse({ upstream.mId, upstream.mStartedMs },
                                        mSentAt)) {
    mState.mLog.Write("crash-refuted",
                      { { "request", mRequestId },
                        { "upstream", upstream.mId },
                        { "startedMs", upstream.mStartedMs } },
                      SteadyNow());
  }
}

void
GatewayCall::ReadDraining()
{
  const HttpConnection& response = mConnection->Response();
  if (IsMisdirected(response) ||
      response.Header(mState.mNames.mDraining) != kStatedDraining) {
    return;
  }
  mState.mMetrics.mDrainingResponses.Add();
  const UpstreamTarget& upstream = mConnection->Target();
  mState.mOnStatedDraining({ upstream.mId, upstream.mStartedMs });
}

void
GatewayCall::ReadPause()
{
  const HttpConnection& response = mConnection->Response();
  const bool isRefusal =
    response.Status() ==
    static_cast<unsigned>(http::status::service_unavailable);
  const std::optional<Milliseconds> time =
    isRefusal ? ParseRetryAfter(response.Header("Retry-After")) : std::nullopt;
  const UpstreamTarget& upstream = mConnection->Target();
  const Instant now = SteadyNow();
  if (!time || !mState.mPauses.OnRefusal(
                 { upstream.mId, upstream.mStartedMs }, *time, now)) {
    return;
  }
  mState.mMetrics.mPauses.Add();
  mState.mLog.Write("upstream-paused",
                    { { "request", mRequestId },
                      { "upstream", upstream.mId },
                      { "startedMs", upstream.mStartedMs },
                      { "forMs", time->count() } },
                    now);
}

bool
GatewayCall::IsUpstreamDraining() const
{
  const KnownUpstream* const known = mState.mDirectory.Find(mUpstream);
  return known == nullptr || known->mRecord.mIsDraining;
}

SendPurpose
GatewayCall::Purpose() const
{
  return mContinuation ? SendPurpose::Continuation : SendPurpose::Request;
}

Result<void>
GatewayCall::CheckQuarantine()
{
  Result<void> allowed =
    mState.Gate(BootNow()).CheckCrashes(mAdmitted.mOrigin, Purpose());
  if (!allowed) {
    mState.mMetrics.mQuarantinedRequests.Add();
  }
  return allowed;
}

bool
GatewayCall::IsCrashSuspect(const Failure& aFailure, Instant aNow) const
{
  const KnownUpstream* const known = mState.mDirectory.Find(mUpstream);
  const bool mayEnd = known == nullptr || known->mRecord.mIsDraining;
  const bool hasBegun = mFirstEventAt && aNow - *mFirstEventAt >= kBegunTime;
  if (aFailure.mCode != FailureCode::UpstreamClosed || mayEnd || hasBegun) {
    return false;
  }
  const UpstreamStart upstream{ mUpstream, mStartedMs };
  if (mState.mBrittle.HasTurnedAway(upstream, aNow)) {
    // It fell over for the requests that it turned away.
    mState.mLog.Write("brittle-fall",
                      { { "request", mRequestId },
                        { "upstream", upstream.mId },
                        { "startedMs", upstream.mStartedMs } },
                      aNow);
    return false;
  }
  return true;
}

void
GatewayCall::ReportCrash(const KnownUpstream& aUpstream, Instant aNow)
{
  mState.mMetrics.mCrashSuspects.Add();
  ++mAdmitted.mOrigin.mOwnCrashes;
  const UpstreamStart upstream = StartOf(aUpstream.mRecord);
  mState.mCrashes.OnCrash(upstream, mAdmitted.mOrigin.mSharedParts, aNow);
  mState.mRequestCrashes.OnCrash(
    mAdmitted.mOrigin.mFingerprint, upstream, mSentAt, aNow);
  const CrashCount count =
    mState.mRequestCrashes.CountOf(mAdmitted.mOrigin.mFingerprint);
  mState.mLog.Write(
    "crash-suspected",
    { { "request", mRequestId },
      { "fingerprint", ToString(mAdmitted.mOrigin.mFingerprint) },
      { "upstream", upstream.mId },
      { "startedMs", upstream.mStartedMs },
      { "sentAgoMs",
        std::chrono::duration_cast<Milliseconds>(aNow - mSentAt).count() },
      { "crashes", static_cast<std::int64_t>(count.mCrashes) },
      { "causes", static_cast<std::int64_t>(count.mCauses) } },
    aNow);
}

std::int64_t
GatewayCall::KnownCrashes() const
{
  return static_cast<std::int64_t>(
    mState.mRequestCrashes.CountOf(mAdmitted.mOrigin.mFingerprint).mCrashes);
}

void
GatewayCall::OnServed()
{
  if (!std::exchange(mIsServed, true)) {
    mState.mCrashes.OnServed(mAdmitted.mOrigin.mSharedParts, SteadyNow());
    ClearSuspicion();
  }
}

void
GatewayCall::ClearSuspicion()
{
  const RequestFingerprint fingerprint = mAdmitted.mOrigin.mFingerprint;
  if (mState.mRequestCrashes.OnServed(fingerprint)) {
    mState.mLog.Write(
      "suspicion-cleared",
      { { "request", mRequestId },
        { "fingerprint", ToString(fingerprint) },
        { "upstream", mUpstream },
        { "status",
          static_cast<std::int64_t>(mConnection->Response().Status()) } },
      SteadyNow());
  }
}

void
GatewayCall::OnEventsRelayed()
{
  const Instant now = SteadyNow();
  if (mIsOnDirectLink) {
    mState.mConnector->Links().OnBytes(now);
  }
  if (!mFirstEventAt && !mContinuation) {
    const UpstreamTarget& upstream = mConnection->Target();
    mState.mPromptCaches.OnRead(
      mAdmitted.mPromptPrefixes, { upstream.mId, upstream.mStartedMs }, now);
  }
  mFirstEventAt = mFirstEventAt.value_or(now);
  OnStreamBegun(now);
  mRollout.OnEvents(now);
  if (now - *mFirstEventAt >= kBegunTime) {
    OnServed();
  }
  if (!mGeneration || mGeneration->HasBegun()) {
    return;
  }
  mGeneration->OnBegun();
  const UpstreamLoad prompt{ 0, 0, std::exchange(mPendingPromptTokens, 0), 0 };
  mState.mLoads.Subtract(mUpstream, prompt);
}

void
GatewayCall::OnCompleted()
{
  const Instant now = SteadyNow();
  const HttpConnection& response = mConnection->Response();
  mState.OnResponse(
    { mUpstream, mStartedMs }, IsServerError(response.Status()), now);
  if (IsServerError(response.Status())) {
    mState.mHealth.OnFailure(mUpstream, 1, now);
  } else {
    mState.mHealth.OnSuccess(mUpstream, now);
  }
  // A response that ends with its connection may have been cut by a crash.
  if (IsSuccess(response.Status()) && !response.IsCloseDelimited()) {
    OnServed();
  }
  // A sick upstream fails requests that it has not run.
  if (!IsServerError(response.Status()) && !response.IsCloseDelimited()) {
    ClearSuspicion();
  }
  mRollout.OnCompleted(IsServerError(response.Status()), now);
  mState.mMetrics.mCompleted.Add();
  mState.mMetrics.mResponseTime.Record(now - mStart);
  mState.mLog.Write(
    "answered",
    { { "request", mRequestId },
      { "upstream", mUpstream },
      { "status", static_cast<std::int64_t>(response.Status()) },
      { "afterMs", Elapsed().count() } },
    now);
}

void
GatewayCall::DropContinuation()
{
  if (mContinuation && mIsHeldBack) {
    mState.mMigrator->Free(*mContinuation);
  }
}

void
GatewayCall::OnAttemptFailed(const Failure& aFailure)
{
  const Instant now = SteadyNow();
  if (aFailure.mVerdict != Verdict::NotRun) {
    mMayHaveRun = true;
    ++mPossibleRuns;
  }
  const bool isOfOwnLinks =
    mHasLostLink || aFailure.mCode == FailureCode::LinksLost;
  if (!mIsHeldBack && !mIsGivenUp && !isOfOwnLinks) {
    mState.mHealth.OnFailure(mUpstream, 1, now);
    // A request that has crashed several upstreams says nothing about one.
    const bool isAttributed =
      aFailure.mCode == FailureCode::UpstreamClosed && KnownCrashes() > 1;
    if (IsUpstreamFailure(aFailure) && !isAttributed) {
      mState.OnResponse({ mUpstream, mStartedMs }, true, now);
    }
  }
  if (aFailure.mVerdict != Verdict::NotRun && !mIsGivenUp) {
    mRollout.OnBroken();
  }
  mState.mLog.Write(
    "send-failed",
    { { "request", mRequestId },
      { "upstream", mUpstream },
      { "verdict", ToString(aFailure.mVerdict) },
      { "reason", ToString(aFailure.mCode) },
      { "detail", aFailure.mDetail },
      { "begun", mProgress.mLastEventId.empty() ? "no" : "yes" },
      { "parts", JoinParts(mAdmitted.mOrigin.mSharedParts) },
      { "fingerprint", ToString(mAdmitted.mOrigin.mFingerprint) },
      { "afterMs", Elapsed().count() } },
    now);
}

void
GatewayCall::SetSideOfRetry()
{
  mRollout.OnRetry();
  mAdmitted.mSide = mRollout.Side();
}

bool
GatewayCall::TryRetry(const Failure& aFailure)
{
  const bool hasNotRun = aFailure.mVerdict == Verdict::NotRun && !mMayHaveRun;
  const bool isAllowed =
    hasNotRun || (IsRetryable(mAdmitted.mRoute->mKind) &&
                  mPossibleRuns < mAdmitted.mRoute->mMaxAttempts);
  // The configuration is as old for each other upstream.
  const bool isConfigTooOld = aFailure.mCode == FailureCode::StoreUnavailable;
  const bool hasNoWay = aFailure.mCode == FailureCode::LinksLost;
  const bool isLate = SteadyNow() >= mAdmitted.mDeadline;
  const bool canContinue =
    !mExchange.HasBegun() || !mProgress.mLastEventId.empty();
  if (!isAllowed || isConfigTooOld || hasNoWay || isLate || mIsGivenUp ||
      !canContinue || mAttempts >= kMaxAttempts) {
    return false;
  }
  // Nothing was sent, so the retry does not count towards the budget.
  if (mIsHeldBack || aFailure.mCode == FailureCode::UpstreamUnreachable) {
    return true;
  }
  if (!mMakesWay && !mState.RetryBudgetFor(mAdmitted.mService->mName)
                       .TryWithdraw(mState.mGatewayCount, SteadyNow())) {
    mState.mLog.Write(
      "repeat-denied",
      { { "request", mRequestId }, { "service", mAdmitted.mService->mName } },
      SteadyNow());
    return false;
  }
  mState.mMetrics.mRetries.Add();
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
    status = SteadyNow() >= mAdmitted.mDeadline ? http::status::gateway_timeout
                                                : http::status::bad_gateway;
  } else if (status == http::status::too_many_requests) {
    status = http::status::service_unavailable;
  }
  HttpResponse response = ProblemResponse(failure, status);
  if (status == http::status::service_unavailable) {
    response.set(http::field::retry_after,
                 RetryAfterText(std::max(failure.mRetryAfter, kMinRetryAfter)));
  }
  co_await mExchange.Reply(std::move(response));
}

void
GatewayCall::OnClientDisconnected()
{
  mHasClientDisconnected = true;
  Interrupt();
}

void
GatewayCall::GiveUp()
{
  if (!mExchange.HasBegun()) {
    mIsGivenUp = true;
    Interrupt();
  }
}

void
GatewayCall::Interrupt()
{
  if (mConnection) {
    mConnection->Close();
  }
  mSelector.Cancel();
}

Milliseconds
GatewayCall::Elapsed() const
{
  return std::chrono::duration_cast<Milliseconds>(SteadyNow() - mStart);
}

} // namespace cactusgw
