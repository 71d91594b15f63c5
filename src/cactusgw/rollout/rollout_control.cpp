#include "cactusgw/rollout/rollout_control.hpp"

#include "cactusgw/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Part of the extra requests that the target may get at the start of a
/// roll-out for early evidence. The rest covers gateways that start again and
/// the delay of news while the share grows.
constexpr double kInitialFraction = 0.4;

RolloutStage
LaterOf(RolloutStage aOne, RolloutStage aOther)
{
  return std::max(aOne, aOther);
}

} // namespace

RolloutControl::RolloutControl(std::uint64_t aSelf)
  : mSelf(aSelf)
  , mEvidence(RolloutEvidence::Create(aSelf))
{
}

RolloutControl
RolloutControl::Create(std::uint64_t aSelf)
{
  return RolloutControl{ aSelf };
}

const RolloutControl::Rollout*
RolloutControl::Find(std::string_view aService) const
{
  const auto it = mRollouts.find(aService);
  return it == mRollouts.end() ? nullptr : &it->second;
}

void
RolloutControl::OnStored(const std::string& aService,
                         std::optional<StoredRollout> aStored,
                         Instant aNow)
{
  const auto it = mRollouts.find(aService);
  if (!aStored) {
    if (it != mRollouts.end() && it->second.mStage != RolloutStage::Completed) {
      it->second.mIsWithdrawn = true;
    }
    return;
  }
  const bool isKnown =
    it != mRollouts.end() && it->second.mOrder.mId == aStored->mOrder.mId;
  if (!isKnown) {
    Rollout rollout;
    if (it != mRollouts.end()) {
      rollout.mFormerTargets = std::move(it->second.mFormerTargets);
      if (it->second.mStage != RolloutStage::Completed) {
        rollout.mFormerTargets.insert(it->second.mOrder.mId.mTarget);
      }
      rollout.mFormerTargets.erase(aStored->mOrder.mId.mTarget);
      mEvidence.Forget(it->second.mOrder.mId);
      mRollouts.erase(it);
    }
    rollout.mOrder = aStored->mOrder;
    rollout.mStageAt = aNow;
    rollout.mShare = ExposureShare::Create(
      aStored->mOrder.mId,
      mSelf,
      mHasStoreList ? kInitialFraction * mSettings.mExposureExtra /
                        std::max(1U, mSettings.mGatewayCount)
                    : 0);
    MakeRoomForEvidence();
    mEvidence.Begin(aStored->mOrder.mId, aNow);
    mRollouts.emplace(aService, std::move(rollout));
  }
  Rollout& rollout = mRollouts.at(aService);
  rollout.mIsWithdrawn = false;
  rollout.mOrder.mDuration = aStored->mOrder.mDuration;
  rollout.mRevision = aStored->mRevision;
  rollout.mStoredStage = aStored->mStage;
  // A store that was restored from a copy may return an earlier stage.
  const RolloutStage stage =
    LaterOf(rollout.mStage, aStored->mStage.value_or(rollout.mStage));
  if (stage != rollout.mStage) {
    rollout.mStage = stage;
    rollout.mStageAt = aNow;
  }
}

void
RolloutControl::MakeRoomForEvidence()
{
  if (mEvidence.Rollouts().size() < RolloutEvidence::kMaxRollouts) {
    return;
  }
  for (const RolloutId& id : mEvidence.Rollouts()) {
    const Rollout* const rollout = Find(id.mService);
    if (rollout == nullptr || rollout->mIsWithdrawn ||
        rollout->mStage >= RolloutStage::Completed) {
      mEvidence.Forget(id);
      return;
    }
  }
}

void
RolloutControl::OnUpstreamSeen(const std::string& aService,
                               const std::string& aVersion,
                               Instant aNow)
{
  mVersions[aService].emplace(aVersion, aNow);
}

std::vector<RolloutEvent>
RolloutControl::Update(Instant aNow)
{
  std::vector<RolloutEvent> events;
  if (mRollouts.empty() || aNow - mJudgedAt < kJudgeInterval) {
    return events;
  }
  mJudgedAt = aNow;
  for (auto& [service, rollout] : mRollouts) {
    const RolloutId& id = rollout.mOrder.mId;
    // Without other versions there is nothing to compare the target's responses
    // of later hours with.
    const bool isOver = rollout.mStage == RolloutStage::Completed &&
                        mEvidence.Age(id, aNow) > rollout.mOrder.mDuration;
    if (rollout.mJudgedVersion != mEvidence.Version() && !rollout.IsBad() &&
        !isOver) {
      rollout.mJudgedVersion = mEvidence.Version();
      RolloutTotals totals = mEvidence.Totals(id);
      rollout.mVerdict = JudgeRollout(totals, rollout.mSnapshots);
      if (aNow - rollout.mSnapshotAt >= kSnapshotInterval) {
        rollout.mSnapshotAt = aNow;
        if (rollout.mSnapshots.size() == kMaxSnapshots) {
          rollout.mSnapshots.erase(rollout.mSnapshots.begin());
        }
        rollout.mSnapshots.push_back(std::move(totals));
      }
    }
    const bool hasNewStage = rollout.mReportedStage != rollout.mStage;
    const bool hasNewVerdict =
      rollout.mReportedSoundness != rollout.mVerdict.mSoundness;
    if (!hasNewStage && !hasNewVerdict) {
      continue;
    }
    const RolloutTotals totals = mEvidence.Totals(id);
    RolloutEvent event{
      "rollout-stage",  rollout.mOrder,          rollout.mStage,
      rollout.mVerdict, mEvidence.Age(id, aNow), totals.SentToTarget(),
      totals.Sent()
    };
    if (hasNewStage) {
      event.mName =
        rollout.mReportedStage ? "rollout-stage" : "rollout-ordered";
      events.push_back(event);
    }
    if (hasNewVerdict) {
      event.mName = "rollout-verdict";
      events.push_back(event);
    }
    rollout.mReportedStage = rollout.mStage;
    rollout.mReportedSoundness = rollout.mVerdict.mSoundness;
  }
  return events;
}

std::vector<RolloutEdit>
RolloutControl::NextEdits(
  const std::function<std::vector<VersionedUpstream>(std::string_view)>&
    aUpstreams,
  Instant aNow) const
{
  std::vector<RolloutEdit> edits;
  for (const auto& [service, rollout] : mRollouts) {
    if (rollout.mIsWithdrawn) {
      continue;
    }
    if (rollout.mStoredStage != rollout.mStage) {
      edits.push_back({ rollout.mOrder, rollout.mRevision, rollout.mStage });
      continue;
    }
    RolloutSituation situation;
    situation.mStage = rollout.mStage;
    situation.mAge = mEvidence.Age(rollout.mOrder.mId, aNow);
    situation.mTimeInStage =
      std::chrono::duration_cast<Milliseconds>(aNow - rollout.mStageAt);
    situation.mDuration = rollout.mOrder.mDuration;
    situation.mSoundness = rollout.mVerdict.mSoundness;
    for (const VersionedUpstream& upstream : aUpstreams(service)) {
      if (rollout.IsTarget(upstream.mVersion)) {
        situation.mTargetUpstreams += upstream.mIsDraining ? 0 : 1;
      } else {
        situation.mRequestsOnOthers += upstream.mRequests;
      }
    }
    const RolloutStage next = NextRolloutStage(situation);
    if (next != rollout.mStage) {
      edits.push_back({ rollout.mOrder, rollout.mRevision, next });
    }
  }
  return edits;
}

std::optional<RolloutSide>
RolloutControl::OnRequest(std::string_view aService, bool aIsConfigFresh)
{
  const auto it = mRollouts.find(aService);
  if (it == mRollouts.end()) {
    return std::nullopt;
  }
  Rollout& rollout = it->second;
  if (rollout.RefusesTarget()) {
    return RolloutSide::OtherVersions;
  }
  const double share = TargetShare(rollout.mStage, mSettings.mExposureShare);
  if (share >= 1) {
    return RolloutSide::Target;
  }
  // A gateway that may lack the evidence of others sends nothing.
  return aIsConfigFresh ? rollout.mShare->OnRequest(share)
                        : RolloutSide::OtherVersions;
}

std::optional<RolloutSide>
RolloutControl::SideOfRetry(std::string_view aService) const
{
  const Rollout* const rollout = Find(aService);
  if (rollout == nullptr) {
    return std::nullopt;
  }
  const bool isAll =
    !rollout->RefusesTarget() &&
    TargetShare(rollout->mStage, mSettings.mExposureShare) >= 1;
  return isAll ? RolloutSide::Target : RolloutSide::OtherVersions;
}

bool
RolloutControl::MayFallBack(std::string_view aService) const
{
  const Rollout* const rollout = Find(aService);
  return rollout == nullptr || rollout->mStage < RolloutStage::Drained ||
         rollout->RefusesTarget();
}

bool
RolloutControl::IsLeaving(std::string_view aService,
                          std::string_view aVersion) const
{
  const Rollout* const rollout = Find(aService);
  return rollout != nullptr && !rollout->RefusesTarget() &&
         !rollout->IsTarget(aVersion) && rollout->mStage >= RolloutStage::All;
}

std::vector<std::string>
RolloutControl::LeavingServices() const
{
  std::vector<std::string> services;
  for (const auto& [service, rollout] : mRollouts) {
    const bool isLeaving = rollout.mStage == RolloutStage::All ||
                           rollout.mStage == RolloutStage::Drained;
    if (isLeaving && !rollout.RefusesTarget()) {
      services.push_back(service);
    }
  }
  return services;
}

bool
RolloutControl::IsHeld(std::string_view aService,
                       std::string_view aVersion,
                       Instant aNow) const
{
  const auto versions = mVersions.find(aService);
  if (versions == mVersions.end()) {
    return false;
  }
  const auto version = versions->second.find(aVersion);
  if (version == versions->second.end() ||
      aNow - version->second >= kUnorderedVersionHold) {
    return false;
  }
  return std::any_of(
    versions->second.begin(), versions->second.end(), [&](const auto& aOther) {
      return aOther.second + kTogether < version->second;
    });
}

std::set<std::string_view>
RolloutControl::Observed(std::span<const VersionedUpstream> aUpstreams,
                         const Rollout& aRollout) const
{
  std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
  std::size_t known = 0;
  for (const VersionedUpstream& upstream : aUpstreams) {
    if (!aRollout.IsTarget(upstream.mVersion) || upstream.mIsDraining) {
      continue;
    }
    ++known;
    // A cold upstream is slow whatever its version.
    if (!upstream.mIsCold) {
      ranked.emplace_back(StableHash(upstream.mId), upstream.mId);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const std::size_t count =
    std::min(ranked.size(),
             TargetUpstreams(aRollout.mStage, mSettings.mExposureShare, known));
  std::set<std::string_view> observed;
  for (const auto& [rank, id] : std::span{ ranked }.first(count)) {
    observed.insert(id);
  }
  return observed;
}

bool
RolloutControl::Restricts(std::string_view aService, Instant aNow) const
{
  if (!IsEnabled()) {
    return false;
  }
  const auto versions = mVersions.find(aService);
  const bool mayHold =
    versions != mVersions.end() && versions->second.size() > 1 &&
    std::any_of(versions->second.begin(),
                versions->second.end(),
                [&](const auto& aVersion) {
                  return aNow - aVersion.second < kUnorderedVersionHold;
                });
  return mayHold || Find(aService) != nullptr;
}

std::set<std::string_view>
RolloutControl::Admitted(std::string_view aService,
                         std::optional<RolloutSide> aSide,
                         std::span<const VersionedUpstream> aUpstreams,
                         Instant aNow) const
{
  const Rollout* const rollout = Find(aService);
  std::set<std::string_view> admitted;
  const bool isRefused = rollout != nullptr && rollout->RefusesTarget();
  const bool isObserving =
    rollout != nullptr && rollout->mStage == RolloutStage::Observing;
  const bool isDrained = rollout != nullptr && !isRefused &&
                         rollout->mStage >= RolloutStage::Drained;
  if (isDrained) {
    aSide = RolloutSide::Target; // Also for requests that chose a side before.
  } else if (rollout != nullptr && !aSide) {
    // A request from before the order has no part in the share.
    aSide = RolloutSide::OtherVersions;
  }
  const std::set<std::string_view> observed =
    isObserving ? Observed(aUpstreams, *rollout) : std::set<std::string_view>{};
  for (const VersionedUpstream& upstream : aUpstreams) {
    const bool isTarget =
      rollout != nullptr && rollout->IsTarget(upstream.mVersion);
    bool isAdmitted = true;
    if (rollout == nullptr) {
      isAdmitted = !IsHeld(aService, upstream.mVersion, aNow);
    } else if (isTarget) {
      isAdmitted = !isRefused && aSide != RolloutSide::OtherVersions &&
                   (!isObserving || observed.contains(upstream.mId));
    } else {
      isAdmitted = aSide != RolloutSide::Target &&
                   !rollout->IsFormerTarget(upstream.mVersion) &&
                   !IsHeld(aService, upstream.mVersion, aNow);
    }
    if (isAdmitted) {
      admitted.insert(upstream.mId);
    }
  }
  return admitted;
}

bool
RolloutControl::MaySend(std::string_view aService,
                        std::string_view aVersion) const
{
  const Rollout* const rollout = Find(aService);
  if (rollout == nullptr) {
    return true;
  }
  if (rollout->IsFormerTarget(aVersion)) {
    return false;
  }
  return rollout->IsTarget(aVersion)
           ? !rollout->RefusesTarget()
           : rollout->mStage < RolloutStage::Drained ||
               rollout->RefusesTarget();
}

std::optional<RolloutPlace>
RolloutControl::OnSent(std::string_view aService,
                       std::string_view aVersion,
                       std::string_view aRoute,
                       std::optional<RolloutSide> aChosen)
{
  const auto it = mRollouts.find(aService);
  if (it == mRollouts.end()) {
    return std::nullopt;
  }
  Rollout& rollout = it->second;
  const RolloutSide side = rollout.IsTarget(aVersion)
                             ? RolloutSide::Target
                             : RolloutSide::OtherVersions;
  const bool wasChosen = aChosen == RolloutSide::Target;
  if (side == RolloutSide::Target && !wasChosen) {
    rollout.mShare->OnFurtherSend();
  } else if (side == RolloutSide::OtherVersions && wasChosen) {
    rollout.mShare->OnNotSent();
  }
  mEvidence.OnSent(rollout.mOrder.mId, aRoute, side);
  return RolloutPlace{ rollout.mOrder.mId, side };
}

} // namespace cactusgw
