#include "cactusgw/gateway/generation_migrator.hpp"

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/net/spawn.hpp"
#include "cactusgw/net/steady_now.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

namespace cactusgw {

namespace {

/// Delay before retrying a generation that could not be migrated yet, such as
/// one that has sent no event or is being copied by an earlier request.
constexpr Milliseconds kMigrationRetryDelay{ 30 };
/// Migrations of other gateways may take this factor longer than the link rate
/// implies, plus a fixed overhead for each generation.
constexpr double kTransferTimeFactor = 1.2;
constexpr Milliseconds kTransferOverhead{ 40 };
constexpr Milliseconds kPendingMigrationsPollInterval{ 10 };
/// After this time the migrations start even if the link is still shared: a
/// longer pause of the stream is better than losing it, and an upstream may
/// give as little as 1.5 s of notice.
constexpr Milliseconds kMaxEarlierMigrationsTime{ 900 };
/// How often upstreams are polled while the watch of upstreams is down. An
/// upstream may give as little as 1.5 s of notice.
constexpr Milliseconds kDrainPollInterval{ 400 };
/// Score added for the distance of a target. A copy between data centres
/// occupies the link for twice as long, so a target in another data centre of
/// the region weighs more than in the choice for a new request. The weight of
/// other regions has no effect: ChooseTarget() excludes them.
constexpr DistanceWeights kMigrationDistances{ 0.3, 1.0 };

} // namespace

GenerationMigrator::GenerationMigrator(net::io_context& aContext,
                                       GatewayState& aState,
                                       GenerationControl aControl,
                                       DrainHandler aOnDraining)
  : mContext(aContext)
  , mState(aState)
  , mControl(std::move(aControl))
  , mOnDraining(std::move(aOnDraining))
{
}

void
GenerationMigrator::Add(
  const std::shared_ptr<MigratableGeneration>& aGeneration)
{
  std::vector<std::weak_ptr<MigratableGeneration>>& generations =
    mGenerations[aGeneration->Identity().mUpstream];
  std::erase_if(generations,
                [](const std::weak_ptr<MigratableGeneration>& aOther) {
                  return aOther.expired();
                });
  generations.push_back(aGeneration);
  const KnownUpstream* const known =
    mState.mDirectory.Find(aGeneration->Identity().mUpstream);
  const bool isLeaving = known == nullptr || known->mRecord.mIsDraining ||
                         mState.mRollouts.IsLeaving(known->mRecord.mService,
                                                    known->mRecord.mVersion);
  if (isLeaving) {
    OnDraining(aGeneration->Identity().mUpstream);
  }
}

GenerationMigrator::Generations
GenerationMigrator::TakeRunning(const std::string& aUpstream)
{
  Generations generations;
  const auto it = mGenerations.find(aUpstream);
  if (it == mGenerations.end()) {
    return generations;
  }
  for (const std::weak_ptr<MigratableGeneration>& weak : it->second) {
    std::shared_ptr<MigratableGeneration> generation = weak.lock();
    if (generation && generation->State() == GenerationState::Running) {
      generations.push_back(std::move(generation));
    }
  }
  mGenerations.erase(it);
  return generations;
}

void
GenerationMigrator::OnDraining(const std::string& aUpstream)
{
  Generations generations = TakeRunning(aUpstream);
  if (!generations.empty()) {
    SpawnTask(
      mContext.get_executor(), "migration", MigrateAll(std::move(generations)));
  }
}

Task<void>
GenerationMigrator::MigrateAll(Generations aGenerations)
{
  std::deque<std::shared_ptr<MigratableGeneration>> waiting{
    aGenerations.begin(), aGenerations.end()
  };
  aGenerations.clear();
  std::erase_if(
    waiting, [this](const std::shared_ptr<MigratableGeneration>& aGeneration) {
      const bool canContinue =
        aGeneration->HasBegun() && UsableBackup(*aGeneration) != nullptr;
      if (canContinue) {
        StopForBackup(aGeneration);
      }
      return canContinue;
    });
  if (waiting.empty()) {
    co_return;
  }
  const GenerationIdentity& first = waiting.front()->Identity();
  co_await WaitForEarlierMigrations(first.mUpstream, first.mService);
  while (!waiting.empty()) {
    const std::shared_ptr<MigratableGeneration> generation =
      std::move(waiting.front());
    waiting.pop_front();
    if (generation->State() != GenerationState::Running) {
      continue;
    }
    // Migrations run one at a time: they share the source's link, so parallel
    // copies would lengthen the pause of each stream.
    bool isDone = true;
    try {
      isDone = co_await Migrate(generation);
    } catch (...) {
      // The others of the upstream must still be migrated.
      ReportTaskFailure("migration", std::current_exception());
    }
    if (!isDone) {
      waiting.push_back(generation);
      net::steady_timer timer{ mContext };
      timer.expires_after(kMigrationRetryDelay);
      beast::error_code ec;
      co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
  }
}

Milliseconds
GenerationMigrator::EarlierMigrationsTime(const std::string& aUpstream,
                                          const std::string& aService) const
{
  const GatewayService* const service =
    mState.mTable ? mState.mTable->FindService(aService) : nullptr;
  if (service == nullptr || !service->mEngine ||
      service->mEngine->mLinkMbps <= 0) {
    return Milliseconds::zero();
  }
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAndMbps = 1000;
  const PendingMigrations ahead =
    mState.mLoads.MigrationsAhead(aUpstream, SteadyNow());
  const double bits =
    static_cast<double>(ahead.mTokens * service->mEngine->mBytesPerToken) *
    kBitsPerByte;
  const double ms = bits / (service->mEngine->mLinkMbps * kBitsPerMsAndMbps);
  const Milliseconds waitTime =
    Milliseconds{ static_cast<std::int64_t>(ms * kTransferTimeFactor) } +
    kTransferOverhead * ahead.mMigratable;
  return std::min(waitTime, kMaxEarlierMigrationsTime);
}

Task<void>
GenerationMigrator::WaitForEarlierMigrations(std::string aUpstream,
                                             std::string aService)
{
  const Instant latest =
    SteadyNow() + EarlierMigrationsTime(aUpstream, aService);
  net::steady_timer timer{ mContext };
  while (SteadyNow() < latest &&
         mState.mLoads.MigrationsAhead(aUpstream, SteadyNow()).mMigratable >
           0) {
    timer.expires_after(kPendingMigrationsPollInterval);
    beast::error_code ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
  }
}

Task<void>
GenerationMigrator::PollWhileWatchIsDown()
{
  net::steady_timer timer{ mContext };
  while (true) {
    timer.expires_after(kDrainPollInterval);
    beast::error_code ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    if (mState.mIsUpstreamWatchDown) {
      PollUpstreams();
    }
  }
}

void
GenerationMigrator::PollUpstreams()
{
  for (const auto& [upstream, generations] : mGenerations) {
    const bool hasGenerations =
      std::any_of(generations.begin(),
                  generations.end(),
                  [](const std::weak_ptr<MigratableGeneration>& aGeneration) {
                    return !aGeneration.expired();
                  });
    const KnownUpstream* const known = mState.mDirectory.Find(upstream);
    if (hasGenerations && known != nullptr && !known->mRecord.mIsDraining) {
      SpawnTask(
        mContext.get_executor(), "upstream-poll", PollUpstream(known->mRecord));
    }
  }
}

Task<void>
GenerationMigrator::PollUpstream(UpstreamRecord aUpstream)
{
  const Result<bool> isDraining =
    co_await mControl.mIsDraining(aUpstream.mAddress);
  if (isDraining && isDraining.value()) {
    mOnDraining({ aUpstream.mId, aUpstream.mStartedMs });
  }
}

const KnownUpstream*
GenerationMigrator::ChooseTarget(const GenerationIdentity& aIdentity) const
{
  const GatewayService* const service =
    mState.mTable ? mState.mTable->FindService(aIdentity.mService) : nullptr;
  if (service == nullptr) {
    return nullptr;
  }
  const Result<AllowedRegions> regions =
    mState.Gate(BootNow()).TrustedRegionsFor(aIdentity.mOrigin);
  if (!regions) {
    return nullptr;
  }
  const std::array<std::string, 1> excluded{ aIdentity.mUpstream };
  const CandidateFilter filter{ regions.value(),
                                excluded,
                                aIdentity.mDataCentre,
                                false,
                                mState.mRollouts.SideOfRetry(
                                  aIdentity.mService),
                                {},
                                aIdentity.mOrigin.mStreamVersion };
  std::vector<Candidate> candidates =
    mState.Candidates(*service, filter, SteadyNow());
  // A copy to another region takes minutes and delays those queued behind it.
  std::erase_if(candidates, [](const Candidate& aCandidate) {
    return aCandidate.mDistance == Distance::OtherRegion;
  });
  const Candidate* chosen =
    ChooseUpstream(candidates, *service, aIdentity.mNeed, kMigrationDistances);
  if (chosen == nullptr) {
    // No target has enough memory. An engine that is short of memory preempts
    // a generation, which is better than losing this one.
    chosen = ChooseUpstream(candidates, *service, {}, kMigrationDistances);
  }
  return chosen == nullptr ? nullptr : chosen->mUpstream;
}

const KnownUpstream*
GenerationMigrator::UsableBackup(const MigratableGeneration& aGeneration) const
{
  if (!aGeneration.Backup()) {
    return nullptr;
  }
  const KnownUpstream* const known =
    mState.mDirectory.Find(aGeneration.Backup()->mUpstream);
  const bool isUsable =
    known != nullptr && !known->mRecord.mIsDraining &&
    known->mRecord.mAddress == aGeneration.Backup()->mSource &&
    Clear(aGeneration.Identity(), *known).has_value();
  return isUsable ? known : nullptr;
}

void
GenerationMigrator::StopForBackup(
  const std::shared_ptr<MigratableGeneration>& aGeneration)
{
  const KnownUpstream* const target = UsableBackup(*aGeneration);
  if (target == nullptr) {
    return;
  }
  aGeneration->StopForBackup();
  SpawnTask(mContext.get_executor(),
            "stop-for-backup",
            StopAtSource(aGeneration, *target));
}

Task<void>
GenerationMigrator::StopAtSource(
  std::shared_ptr<MigratableGeneration> aGeneration,
  KnownUpstream aTarget)
{
  const Instant begun = SteadyNow();
  const CopyOutcome outcome = co_await StopAndCopy(aGeneration, aTarget);
  if (outcome == CopyOutcome::Withheld &&
      aGeneration->State() == GenerationState::Stopping) {
    aGeneration->SetState(GenerationState::Running); // Nothing was ordered.
  }
  Log("move-ended",
      aGeneration->Identity(),
      aTarget.mRecord.mId,
      ToString(outcome),
      begun);
}

Task<bool>
GenerationMigrator::Migrate(
  const std::shared_ptr<MigratableGeneration>& aGeneration)
{
  const GenerationIdentity& identity = aGeneration->Identity();
  if (aGeneration->HasBegun() && UsableBackup(*aGeneration) != nullptr) {
    // The memory is there already, so nothing has to wait for the link.
    StopForBackup(aGeneration);
    co_return true;
  }
  const KnownUpstream* const found =
    aGeneration->HasBegun() ? ChooseTarget(identity) : nullptr;
  if (found == nullptr) {
    co_return false;
  }
  const KnownUpstream target = *found;
  const std::string& targetId = target.mRecord.mId;
  Result<SendClearance> clearance = Clear(identity, target);
  if (!clearance) {
    co_return false;
  }
  const Instant begun = SteadyNow();
  const UpstreamLoad load{ 1, identity.mNeed.mTotal, 0, 0 };
  mState.mMetrics.mMigrationsStarted.Add();
  mState.mLoads.Add(targetId, load);
  Log("move-started", identity, targetId, "none", begun);
  CopyOrder order{ SourceOf(identity, target),
                   identity.mRequestId,
                   std::move(clearance.value()),
                   false };
  const CopyReply copied = co_await mControl.mCopy(std::move(order));
  const bool isGone = aGeneration->State() != GenerationState::Running;
  const bool isAllowed = Clear(identity, target).has_value();
  const bool isUsable = !isGone && isAllowed;
  if (copied.mOutcome == CopyOutcome::Copied && !isUsable) {
    Free({ targetId, identity.mAddress, copied.mHandle });
  }
  if (copied.mOutcome == CopyOutcome::Copied && isUsable) {
    aGeneration->SetCopy({ targetId, identity.mAddress, copied.mHandle });
    const CopyOutcome outcome = co_await StopAndCopy(aGeneration, target);
    Log("move-ended", identity, targetId, ToString(outcome), begun);
  } else {
    Log("move-not-begun", identity, targetId, ToString(copied.mOutcome), begun);
  }
  mState.mLoads.Subtract(targetId, load);
  if (!isGone && !isAllowed) {
    co_return false;
  }
  co_return isGone || copied.mOutcome == CopyOutcome::Copied ||
    copied.mOutcome == CopyOutcome::Unknown;
}

CheckedAddress
GenerationMigrator::SourceOf(const GenerationIdentity& aIdentity,
                             const KnownUpstream& aTarget) const
{
  return { aIdentity.mAddress,
           [this, identity = aIdentity, target = aTarget]() -> Result<void> {
             const Result<SendClearance> clearance = Clear(identity, target);
             if (!clearance) {
               return NotRun(FailureCode::Conflict, clearance.error().mDetail);
             }
             return boost::outcome_v2::success();
           } };
}

Result<SendClearance>
GenerationMigrator::Clear(const GenerationIdentity& aIdentity,
                          const KnownUpstream& aTarget) const
{
  Result<SendClearance> clearance = mState.Gate(BootNow()).Clear(
    aIdentity.mOrigin, TargetOf(aTarget.mRecord), SendPurpose::Copy);
  if (!clearance) {
    Log("move-refused",
        aIdentity,
        aTarget.mRecord.mId,
        ToString(clearance.error().mCode),
        SteadyNow());
  }
  return clearance;
}

Task<CopyOutcome>
GenerationMigrator::StopAndCopy(
  const std::shared_ptr<MigratableGeneration>& aGeneration,
  KnownUpstream aTarget)
{
  const GenerationIdentity& identity = aGeneration->Identity();
  const std::string& targetId = aTarget.mRecord.mId;
  Result<SendClearance> clearance = Clear(identity, aTarget);
  if (!clearance) {
    co_return CopyOutcome::Withheld;
  }
  aGeneration->SetState(GenerationState::Stopping);
  CopyOrder order{ SourceOf(identity, aTarget),
                   identity.mRequestId,
                   std::move(clearance.value()),
                   true };
  const CopyReply stopped = co_await mControl.mCopy(std::move(order));
  const bool isStopped =
    !stopped.mHandle.empty() && (stopped.mOutcome == CopyOutcome::Copied ||
                                 stopped.mOutcome == CopyOutcome::NoRoom);
  if (!isStopped) {
    mState.mMetrics.mMigrationsFailed.Add();
    if (aGeneration->State() == GenerationState::Stopping) {
      aGeneration->SetState(GenerationState::Running);
    }
    co_return stopped.mOutcome;
  }
  mState.mMetrics.mMigrationsCompleted.Add();
  const bool isCopied = stopped.mOutcome == CopyOutcome::Copied;
  // Without room at the target, the source keeps the memory, and the generation
  // continues there.
  Continuation next{ isCopied ? targetId : identity.mUpstream,
                     identity.mAddress,
                     stopped.mHandle };
  if (aGeneration->State() == GenerationState::Stopping) {
    aGeneration->SetStopped(std::move(next));
  } else {
    Free(next);
  }
  co_return stopped.mOutcome;
}

void
GenerationMigrator::Free(const Continuation& aContinuation)
{
  SpawnTask(mContext.get_executor(),
            "free-copy",
            mControl.mFree(aContinuation.mSource, aContinuation.mHandle));
}

void
GenerationMigrator::Log(std::string_view aEvent,
                        const GenerationIdentity& aIdentity,
                        std::string_view aTarget,
                        std::string_view aOutcome,
                        Instant aBegun) const
{
  const Instant now = SteadyNow();
  const KnownUpstream* const target = mState.mDirectory.Find(aTarget);
  mState.mLog.Write(
    aEvent,
    { { "request", aIdentity.mRequestId },
      { "from", aIdentity.mUpstream },
      { "to", aTarget },
      { "region",
        target == nullptr ? "unknown"
                          : mState.RegionOf(target->mRecord.mDataCentre) },
      { "homes", mState.Gate(BootNow()).RegionsFor(aIdentity.mOrigin).Text() },
      { "outcome", aOutcome },
      { "tokens", static_cast<std::int64_t>(aIdentity.mNeed.mTotal) },
      { "tookMs",
        std::chrono::duration_cast<Milliseconds>(now - aBegun).count() } },
    now);
}

} // namespace cactusgw
