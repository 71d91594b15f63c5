#ifndef CACTUSGW_ENTRY_INTERNAL_GENERATION_CALL_IMPL_HPP
#define CACTUSGW_ENTRY_INTERNAL_GENERATION_CALL_IMPL_HPP

/// Implementation of GenerationCall.

#include "cactusgw/core/hash.hpp"
#include "cactusgw/entry/generation_call.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace internal {

/// Bytes of a prompt that decide on which upstream its prefix is cached.
inline constexpr std::size_t kPrefixBytes = 256;
/// A request whose end on the upstream could not be confirmed keeps its
/// credit this long; the upstream drops unread generations sooner.
inline constexpr Milliseconds kUnconfirmedHold{ 6000 };
/// Retry-After of a request with a quarantined prompt part. Quarantines last
/// for minutes.
inline constexpr Milliseconds kQuarantineRetryAfter{ 60'000 };

} // namespace internal

template<EngineClient Client>
GenerationCall<Client>::GenerationCall(EntryContext& aContext,
                                       RequestScope aScope,
                                       ModelRequest aRequest)
  : mContext(aContext)
  , mScope(std::move(aScope))
  , mRequest(std::move(aRequest))
  , mAssembler(StreamAssembler::Create())
{
  const ModelConfig* model = mScope.mDeployment->FindModel(mRequest.mModel);
  if (model != nullptr) {
    mService = mScope.mDeployment->FindService(model->mService);
    mMaxTokens = mRequest.mMaxTokens == 0
                   ? model->mMaxOutputTokens
                   : std::min(mRequest.mMaxTokens, model->mMaxOutputTokens);
  }
  const std::string_view prefix =
    std::string_view{ mRequest.mPrompt }.substr(0, internal::kPrefixBytes);
  mPrefixHash = StableHash(mRequest.mModel + std::string{ prefix });
}

template<EngineClient Client>
std::shared_ptr<GenerationCall<Client>>
GenerationCall<Client>::Create(EntryContext& aContext,
                               RequestScope aScope,
                               ModelRequest aRequest)
{
  return std::shared_ptr<GenerationCall>{ new GenerationCall{
    aContext, std::move(aScope), std::move(aRequest) } };
}

template<EngineClient Client>
Task<Result<GenerationResult>>
GenerationCall<Client>::Run(TokenSink aSink)
{
  const std::shared_ptr<GenerationCall> self = this->shared_from_this();
  if (mService == nullptr) {
    co_return NotRun(FailureCode::NotFound,
                     "unknown model \"" + mRequest.mModel + "\"");
  }
  mStartedAt = SteadyNow();
  Failure last;
  for (int i = 0; i < kMaxTries; ++i) {
    Result<GenerationResult> result = co_await RunOnce(aSink, i > 0);
    if (result) {
      co_return result;
    }
    // A retry that is not admitted must not hide what happened before it.
    const bool isRefusedRetry = i > 0 && mPermit.mId == 0;
    if (!isRefusedRetry) {
      last = WithVerdict(result.error());
    }
    if (isRefusedRetry || !MayRetry(last)) {
      break;
    }
    mContext.mMetrics.CountRetry();
    mContext.mRecorder.Record(
      EventKind::RequestRetried, mScope.mRequestId, mPermit.mUpstream);
    mExcluded.push_back(mPermit.mUpstream);
    mAssembler = StreamAssembler::Create();
  }
  co_return last;
}

template<EngineClient Client>
Task<Result<GenerationResult>>
GenerationCall<Client>::RunOnce(TokenSink& aSink, bool aIsRetry)
{
  mPermit = {};
  const Result<void> allowed = CheckQuarantine();
  if (!allowed) {
    co_return allowed.error();
  }
  AdmissionTarget target{
    mScope.mRequestId,
    mService->mName,
    mRequest.mModel,
    mScope.mWorkspace,
    mPrefixHash,
    RequestHomes::Of(*mScope.mDeployment, mService->mName, mScope.mWorkspace)
  };
  Result<AdmissionPermit> permit =
    co_await mContext.mLink.Admit(std::move(target), mExcluded, aIsRetry);
  if (!permit) {
    co_return permit.error();
  }
  mPermit = permit.value();
  if (mCallerLeft || SteadyNow() >= mPermit.mUseBefore) {
    wire::ReleasePermit release;
    release.set_outcome(wire::OUTCOME_NOT_RUN);
    mContext.mLink.Release(mPermit, release);
    co_return NotRun(mCallerLeft ? FailureCode::ClientDisconnected
                                 : FailureCode::Busy,
                     "the permit was not used in time");
  }
  Result<std::unique_ptr<Stream>> started = co_await Start(mPermit);
  if (!started) {
    Result<GenerationResult> failed = started.error();
    RecordEvidence(failed);
    EndPermit(failed);
    co_return failed;
  }
  mStream = std::move(started.value());
  Result<GenerationResult> result = co_await Forward(aSink);
  RecordEvidence(result);
  EndPermit(result);
  co_return result;
}

template<EngineClient Client>
Task<Result<std::unique_ptr<typename Client::Stream>>>
GenerationCall<Client>::Start(const AdmissionPermit& aPermit)
{
  mContext.mRecorder.Record(
    EventKind::RequestSent, mScope.mRequestId, aPermit.mUpstream);
  GenerationRequest request;
  request.mRequestId = mScope.mRequestId;
  request.mModel = mRequest.mModel;
  request.mPrompt = mRequest.mPrompt;
  request.mMaxTokens = mMaxTokens;
  request.mPriority = mScope.mPriority;
  co_return co_await mClient.Start(
    aPermit.mAddress, std::move(request), Times());
}

template<EngineClient Client>
Task<Result<GenerationResult>>
GenerationCall<Client>::Forward(TokenSink& aSink)
{
  int resumes = 0;
  while (true) {
    Result<GenerationFrame> frame = co_await mStream->Next();
    bool mustResume = !frame;
    if (frame) {
      const GenerationFrame& f = frame.value();
      const FrameDecision decision =
        mAssembler.Accept({ f.mGeneration, f.mOffset, f.mText, f.mIsEnd });
      if (decision == FrameDecision::End) {
        if (f.mFinishReason == "cancelled") {
          co_return MayHaveRun(FailureCode::UpstreamBroke,
                               "the upstream cancelled the generation");
        }
        co_return GenerationResult{ f.mFinishReason, f.mOffset };
      }
      if (decision == FrameDecision::Deliver) {
        const Result<void> delivered = co_await Deliver(aSink, f);
        if (!delivered) {
          co_return delivered.error();
        }
      }
      mustResume = decision == FrameDecision::Gap;
    }
    if (!mustResume) {
      continue;
    }
    if (mCallerLeft) {
      co_return MayHaveRun(FailureCode::ClientDisconnected, "the caller left");
    }
    if (mAssembler.Generation().empty() || resumes == kMaxResumes) {
      co_return frame
        ? MayHaveRun(FailureCode::UpstreamBroke, "tokens are missing")
        : frame.error();
    }
    ++resumes;
    const Result<void> resumed = co_await ResumeStream();
    if (!resumed) {
      co_return resumed.error();
    }
  }
}

template<EngineClient Client>
Task<Result<void>>
GenerationCall<Client>::Deliver(TokenSink& aSink, const GenerationFrame& aFrame)
{
  NoteToken(SteadyNow());
  const AnswerToken token{ aFrame.mText, aFrame.mGeneration, aFrame.mOffset };
  co_return co_await aSink(token);
}

template<EngineClient Client>
Task<Result<void>>
GenerationCall<Client>::ResumeStream()
{
  mContext.mMetrics.CountResume();
  mContext.mRecorder.Record(EventKind::StreamResumed,
                            mScope.mRequestId,
                            mPermit.mUpstream,
                            static_cast<std::int64_t>(mAssembler.NextOffset()));
  mStream->Close();
  Result<std::unique_ptr<Stream>> resumed =
    co_await mClient.Resume(mPermit.mAddress,
                            mAssembler.Generation(),
                            mAssembler.NextOffset(),
                            Times());
  if (!resumed) {
    co_return MayHaveRun(FailureCode::UpstreamBroke,
                         "the stream broke and could not be resumed");
  }
  mStream = std::move(resumed.value());
  co_return boost::outcome_v2::success();
}

template<EngineClient Client>
void
GenerationCall<Client>::NoteToken(Instant aNow)
{
  mContext.mMetrics.CountTokens(1);
  if (mAssembler.NextOffset() == 1) {
    mContext.mMetrics.RecordFirstToken(aNow - mStartedAt);
    mContext.mRecorder.Record(
      EventKind::FirstToken, mScope.mRequestId, mPermit.mUpstream);
  } else {
    const Milliseconds gap =
      std::chrono::duration_cast<Milliseconds>(aNow - mLastTokenAt);
    mContext.mMetrics.RecordGap(aNow - mLastTokenAt);
    mMaxGap = std::max(mMaxGap, gap);
    const bool isSlow = gap > mScope.mDeployment->mLimits.mTokenGapTarget;
    mSlowTokens += isSlow ? 1 : 0;
  }
  mLastTokenAt = aNow;
}

template<EngineClient Client>
Result<void>
GenerationCall<Client>::CheckQuarantine()
{
  CrashEvidence& crashes = mContext.mLink.Crashes();
  crashes.Update(SteadyNow());
  const Quarantine* const quarantine = crashes.Find(mRequest.mSharedParts);
  if (quarantine == nullptr) {
    return boost::outcome_v2::success();
  }
  mContext.mLog.Warn("Request " + mScope.mRequestId +
                     " is refused: upstreams crash on its prompt.");
  return NotRun(FailureCode::Quarantined,
                "upstreams crash on " +
                  std::to_string(quarantine->mParts.size()) +
                  " messages of the prompt",
                internal::kQuarantineRetryAfter);
}

template<EngineClient Client>
void
GenerationCall<Client>::RecordEvidence(const Result<GenerationResult>& aResult)
{
  CrashEvidence& crashes = mContext.mLink.Crashes();
  const Instant now = SteadyNow();
  if (aResult) {
    crashes.OnServed(mRequest.mSharedParts, now);
    return;
  }
  const Failure& failure = aResult.error();
  const bool isClosed = failure.mCode == FailureCode::UpstreamClosed &&
                        failure.mVerdict != Verdict::NotRun;
  if (isClosed && mAssembler.NextOffset() == 0 && !mCallerLeft) {
    // Entries don't know when an upstream started; crashes of one upstream are
    // told apart by their time.
    crashes.OnCrash(
      { mPermit.mUpstream, WallClockMs() }, mRequest.mSharedParts, now);
  }
}

template<EngineClient Client>
void
GenerationCall<Client>::EndPermit(const Result<GenerationResult>& aResult)
{
  mContext.mMetrics.CountFrames(mAssembler.Counts());
  wire::ReleasePermit release;
  release.set_tokens(static_cast<std::uint32_t>(mAssembler.NextOffset()));
  release.set_max_gap_ms(static_cast<std::uint32_t>(mMaxGap.count()));
  release.set_slow_tokens(mSlowTokens);
  if (aResult) {
    release.set_outcome(wire::OUTCOME_COMPLETED);
    mContext.mLink.Release(mPermit, release);
    return;
  }
  const Failure& failure = aResult.error();
  if (failure.mVerdict == Verdict::NotRun) {
    release.set_outcome(wire::OUTCOME_NOT_RUN);
    release.set_unreachable(failure.mCode == FailureCode::UpstreamUnreachable);
    mContext.mLink.Release(mPermit, release);
    return;
  }
  const bool isCallers = failure.mCode == FailureCode::ClientDisconnected ||
                         failure.mCode == FailureCode::Timeout;
  release.set_outcome(isCallers ? wire::OUTCOME_CANCELLED
                                : wire::OUTCOME_FAILED);
  if (mStream) {
    mStream->Close();
  }
  boost::asio::co_spawn(
    mContext.mContext,
    [self = this->shared_from_this(), permit = mPermit, release]()
      -> Task<void> { co_await self->CancelAndRelease(permit, release); },
    boost::asio::detached);
}

template<EngineClient Client>
Task<void>
GenerationCall<Client>::CancelAndRelease(AdmissionPermit aPermit,
                                         wire::ReleasePermit aRelease)
{
  const Result<void> cancelled =
    co_await mClient.Cancel(aPermit.mAddress.WithoutCheck(), mScope.mRequestId);
  const bool isGone =
    !cancelled && cancelled.error().mVerdict == Verdict::NotRun;
  aRelease.set_unreachable(isGone);
  if (!cancelled) {
    // It may be running yet, unseen: its credit stays in use meanwhile.
    boost::asio::steady_timer timer{ mContext.mContext,
                                     internal::kUnconfirmedHold };
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  mContext.mLink.Release(aPermit, aRelease);
}

template<EngineClient Client>
void
GenerationCall<Client>::OnCallerLeft()
{
  mCallerLeft = true;
  if (mStream) {
    mStream->Close();
  }
}

template<EngineClient Client>
bool
GenerationCall<Client>::MayRetry(const Failure& aFailure) const
{
  const bool isFinal =
    aFailure.mVerdict == Verdict::Ran || mCallerLeft || mPermit.mId == 0;
  if (isFinal) {
    return false;
  }
  if (aFailure.mVerdict == Verdict::NotRun) {
    return true;
  }
  // A generation of which nothing was delivered may be made again, unless the
  // caller asked for it to run at most once.
  return mScope.mIdempotencyKey.empty();
}

template<EngineClient Client>
Failure
GenerationCall<Client>::WithVerdict(Failure aFailure) const
{
  if (mAssembler.NextOffset() > 0) {
    aFailure.mVerdict = Verdict::Ran;
  }
  return aFailure;
}

template<EngineClient Client>
EngineTimes
GenerationCall<Client>::Times() const
{
  return { mScope.mDeployment->mLimits.mConnectTime,
           mService->mFirstByteTime,
           mService->mSilenceTime };
}

} // namespace cactusgw

#endif // CACTUSGW_ENTRY_INTERNAL_GENERATION_CALL_IMPL_HPP
