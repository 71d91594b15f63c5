#include "cactusgw/core/admission_control.hpp"

#include "cactusgw/config/upstream_subset.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// One spare credit is requested per this many in use, and one more, so that
/// the next request doesn't have to wait for the owner.
constexpr std::uint32_t kInUsePerSpare = 8;
/// Number of reports sent within the validity of a grant to renew it.
constexpr int kRenewalsPerValidity = 3;

bool
Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

AdmissionControl
AdmissionControl::Create(std::string aVm,
                         std::string aDataCentre,
                         std::uint64_t aIncarnation,
                         Instant aNow,
                         CreditTimes aTimes)
{
  return AdmissionControl{
    std::move(aVm), std::move(aDataCentre), aIncarnation, aNow, aTimes
  };
}

AdmissionControl::AdmissionControl(std::string aVm,
                                   std::string aDataCentre,
                                   std::uint64_t aIncarnation,
                                   Instant aNow,
                                   CreditTimes aTimes)
  : mVm(std::move(aVm))
  , mDataCentre(std::move(aDataCentre))
  , mIncarnation(aIncarnation)
  , mStartedAt(aNow)
  , mTimes(aTimes)
  , mDrains(DrainTable::Create())
  , mPermits(PermitTable::Create(aIncarnation))
{
}

void
AdmissionControl::SetDeployment(const Deployment& aDeployment, Instant aNow)
{
  Upstreams kept;
  kept.swap(mUpstreams);
  const DataCentreConfig* own = aDeployment.FindDataCentre(mDataCentre);
  if (own != nullptr) {
    const std::vector<std::string_view> subset =
      UpstreamsOfVm(aDeployment, *own, mVm);
    for (const UpstreamConfig& upstream : aDeployment.mUpstreams) {
      const bool isChosen =
        std::find(subset.begin(), subset.end(), upstream.mName) != subset.end();
      if (isChosen || StaticShareOf(aDeployment, upstream, mVm) > 0) {
        AddUpstream(upstream, aDeployment, kept, aNow);
      }
    }
  }
  for (const ServiceConfig& service : aDeployment.mServices) {
    mRetryBudgets.try_emplace(
      service.mName,
      RetryBudget::Create(service.mRetryPercent, service.mRetryBurst));
  }
  mDeployment = aDeployment;
  mHasNewDeployment = true;
}

void
AdmissionControl::AddUpstream(const UpstreamConfig& aConfig,
                              const Deployment& aDeployment,
                              Upstreams& aKept,
                              Instant aNow)
{
  const std::uint32_t share = StaticShareOf(aDeployment, aConfig, mVm);
  const auto it = aKept.find(aConfig.mName);
  if (it != aKept.end()) {
    UpstreamState state = std::move(it->second);
    state.mConfig = aConfig;
    state.mDistance = DistanceTo(aDeployment, mDataCentre, aConfig);
    state.mCredits.SetStaticShare(share);
    mUpstreams.emplace(aConfig.mName, std::move(state));
    return;
  }
  // At an agent's start, the owner may rely on a former incarnation not using
  // its static share. The share is therefore withheld for the grant validity
  // plus the guard time after the upstream is added. This also applies to an
  // upstream added later, although its owner doesn't rely on that.
  UpstreamState state{
    aConfig,
    DistanceTo(aDeployment, mDataCentre, aConfig),
    VmCredits::Create(share, mIncarnation, std::max(mStartedAt, aNow), mTimes),
    {},
    0,
    0,
    0,
    false,
    {}
  };
  mUpstreams.emplace(aConfig.mName, std::move(state));
}

AdmissionControl::Decisions
AdmissionControl::Admit(AdmissionRequest aRequest, Instant aNow)
{
  Decisions decisions;
  if (mDrains.IsDrained(mDataCentre)) {
    decisions.push_back(Refuse(aRequest, AdmissionOutcome::Drained));
    return decisions;
  }
  // Without a configuration, nothing is known about the target.
  if (mDeployment.mDataCentres.empty()) {
    decisions.push_back(Refuse(aRequest, AdmissionOutcome::Busy));
    return decisions;
  }
  aRequest.mHomes =
    RequestHomes::Of(mDeployment, aRequest.mService, aRequest.mWorkspace);
  const AdmissionOutcome target = CheckTarget(aRequest);
  if (target != AdmissionOutcome::Granted) {
    decisions.push_back(Refuse(aRequest, target));
    return decisions;
  }
  if (!ChargeRetryBudget(aRequest)) {
    ++mCounts.mRetriesRefused;
    decisions.push_back(Refuse(aRequest, AdmissionOutcome::RetryBudgetSpent));
    return decisions;
  }
  if (!HasWorkspaceRoom(aRequest.mWorkspace)) {
    decisions.push_back(Refuse(aRequest, AdmissionOutcome::Busy));
    return decisions;
  }
  // A new request must not overtake queued ones for its target.
  if (!MustQueueBehind(aRequest) && TryPlace(aRequest, aNow, decisions)) {
    return decisions;
  }
  const ServiceConfig* service = mDeployment.FindService(aRequest.mService);
  if (mQueue.Size() >= service->mQueueLength) {
    decisions.push_back(Refuse(aRequest, AdmissionOutcome::Busy));
    return decisions;
  }
  ++mCounts.mQueued;
  mQueue.Add(std::move(aRequest), aNow + service->mQueueTime);
  return decisions;
}

AdmissionControl::Decisions
AdmissionControl::OnRelease(const PermitRelease& aRelease, Instant aNow)
{
  Decisions decisions;
  const std::optional<Permit> permit = mPermits.Remove(aRelease.mPermit);
  if (!permit) {
    return decisions;
  }
  const auto upstream = mUpstreams.find(permit->mUpstream);
  if (upstream != mUpstreams.end()) {
    UpstreamState& state = upstream->second;
    state.mWork.mCompleted += aRelease.mCompleted ? 1 : 0;
    state.mWork.mSlow += aRelease.mSlow ? 1 : 0;
    if (aRelease.mTrouble) {
      state.mWork.mTrouble = true;
      state.mUrgent = true;
      state.mCooldownUntil = aNow + kUpstreamCooldown;
      state.mCredits.DropIdle();
    }
  }
  ReturnCredit(*permit);
  ServeQueue(aNow, decisions);
  return decisions;
}

AdmissionControl::Decisions
AdmissionControl::OnGrant(std::string_view aUpstream,
                          const CreditGrant& aGrant,
                          Instant aNow)
{
  Decisions decisions;
  const auto it = mUpstreams.find(aUpstream);
  if (it != mUpstreams.end() && it->second.mCredits.OnGrant(aGrant, aNow)) {
    ServeQueue(aNow, decisions);
  }
  return decisions;
}

AdmissionControl::Decisions
AdmissionControl::OnTick(Instant aNow)
{
  Decisions decisions;
  ExpireAbandoned(aNow);
  ServeQueue(aNow, decisions);
  RecheckQueue(decisions);
  ExpireQueue(aNow, decisions);
  return decisions;
}

void
AdmissionControl::Reconcile(std::span<const LivePermit> aLive,
                            bool aIsNewEntry,
                            Instant aNow)
{
  for (const std::string& name : mPermits.Reconcile(aLive, aIsNewEntry, aNow)) {
    const auto it = mUpstreams.find(name);
    if (it != mUpstreams.end()) {
      it->second.mCredits.Adopt();
    }
  }
  mReconciled = true;
}

std::uint32_t
AdmissionControl::InUse(std::string_view aUpstream) const
{
  const UpstreamState* state = FindState(aUpstream);
  return state == nullptr ? 0 : state->mCredits.InUse();
}

std::uint32_t
AdmissionControl::Cap(std::string_view aUpstream, Instant aNow) const
{
  const UpstreamState* state = FindState(aUpstream);
  return state == nullptr ? 0 : state->mCredits.Cap(aNow);
}

CreditSource
AdmissionControl::Source(std::string_view aUpstream, Instant aNow) const
{
  const UpstreamState* state = FindState(aUpstream);
  return state == nullptr ? CreditSource::None : state->mCredits.Source(aNow);
}

bool
AdmissionControl::Serves(const UpstreamConfig& aConfig,
                         const AdmissionRequest& aRequest)
{
  const bool servesModel =
    aRequest.mModel.empty() || Contains(aConfig.mModels, aRequest.mModel);
  return aConfig.mService == aRequest.mService && servesModel;
}

bool
AdmissionControl::IsOpen(const UpstreamConfig& aConfig,
                         const AllowedRegions& aRegions) const
{
  return !mDrains.IsDrained(aConfig.mDataCentre) &&
         IsWithin(mDeployment, aRegions, aConfig);
}

AdmissionOutcome
AdmissionControl::CheckTarget(const AdmissionRequest& aRequest) const
{
  const AllowedRegions regions = aRequest.mHomes.RegionsIn(mDeployment);
  AdmissionOutcome outcome = AdmissionOutcome::UnknownTarget;
  for (const auto& [name, state] : mUpstreams) {
    const UpstreamConfig& config = state.mConfig;
    if (!Serves(config, aRequest)) {
      continue;
    }
    if (IsOpen(config, regions)) {
      return AdmissionOutcome::Granted;
    }
    // An upstream that is only drained comes back.
    if (IsWithin(mDeployment, regions, config)) {
      outcome = AdmissionOutcome::Drained;
    } else if (outcome == AdmissionOutcome::UnknownTarget) {
      outcome = AdmissionOutcome::OutsideHomeRegions;
    }
  }
  return outcome;
}

bool
AdmissionControl::MustQueueBehind(const AdmissionRequest& aRequest) const
{
  const AllowedRegions regions = aRequest.mHomes.RegionsIn(mDeployment);
  const std::deque<QueuedRequest>& waiting = mQueue.Waiting();
  return std::any_of(
    waiting.begin(), waiting.end(), [&](const QueuedRequest& aWaiting) {
      const AdmissionRequest& other = aWaiting.mRequest;
      return other.mService == aRequest.mService &&
             other.mModel == aRequest.mModel &&
             regions.Intersect(other.mHomes.RegionsIn(mDeployment)) == regions;
    });
}

std::vector<std::string_view>
AdmissionControl::ServingUpstreams(const AdmissionRequest& aRequest) const
{
  const AllowedRegions regions = aRequest.mHomes.RegionsIn(mDeployment);
  std::vector<std::string_view> names;
  for (const auto& [name, state] : mUpstreams) {
    if (Serves(state.mConfig, aRequest) && IsOpen(state.mConfig, regions)) {
      names.push_back(name);
    }
  }
  const auto isExcluded = [&](std::string_view aName) {
    return Contains(aRequest.mExcluded, aName);
  };
  // If every upstream is excluded, use them anyway: a retry on the only
  // upstream of a service is better than a failure.
  if (!std::all_of(names.begin(), names.end(), isExcluded)) {
    std::erase_if(names, isExcluded);
  }
  return names;
}

bool
AdmissionControl::TryPlace(const AdmissionRequest& aRequest,
                           Instant aNow,
                           Decisions& aDecisions)
{
  if (!mReconciled) {
    return false;
  }
  std::vector<PlacementCandidate> candidates;
  for (const std::string_view name : ServingUpstreams(aRequest)) {
    const UpstreamState& state = mUpstreams.find(name)->second;
    const std::uint32_t free = state.mCredits.Free(aNow);
    if (free > 0 && aNow >= state.mCooldownUntil) {
      candidates.push_back(
        { name, state.mCredits.InUse(), free, state.mDistance });
    }
  }
  const std::optional<std::size_t> chosen =
    mPlacement.Choose({ aRequest.mPrefixHash }, candidates);
  if (!chosen) {
    return false;
  }
  UpstreamState& state = mUpstreams.find(candidates[*chosen].mUpstream)->second;
  aDecisions.push_back(Grant(aRequest, state, aNow));
  return true;
}

AdmissionDecision
AdmissionControl::Grant(const AdmissionRequest& aRequest,
                        UpstreamState& aState,
                        Instant aNow)
{
  aState.mCredits.TryAcquire(aNow);
  const Permit& permit =
    mPermits.Add(aState.mConfig.mName, aRequest.mWorkspace, aNow);
  ++mCounts.mGranted;
  AdmissionDecision decision;
  decision.mCall = aRequest.mCall;
  decision.mRequestId = aRequest.mRequestId;
  decision.mOutcome = AdmissionOutcome::Granted;
  decision.mPermit = permit.mId;
  decision.mUpstream = aState.mConfig.mName;
  decision.mAddress = aState.mConfig.mAddress;
  return decision;
}

AdmissionDecision
AdmissionControl::Refuse(const AdmissionRequest& aRequest,
                         AdmissionOutcome aOutcome)
{
  ++mCounts.mRefused;
  AdmissionDecision decision;
  decision.mCall = aRequest.mCall;
  decision.mRequestId = aRequest.mRequestId;
  decision.mOutcome = aOutcome;
  const ServiceConfig* service = mDeployment.FindService(aRequest.mService);
  if (service != nullptr) {
    decision.mRetryAfter = service->mQueueTime;
  }
  return decision;
}

bool
AdmissionControl::HasWorkspaceRoom(std::string_view aWorkspace) const
{
  const WorkspaceConfig* workspace = mDeployment.FindWorkspace(aWorkspace);
  return workspace == nullptr ||
         mPermits.InFlight(aWorkspace) < workspace->mMaxInFlight;
}

bool
AdmissionControl::ChargeRetryBudget(const AdmissionRequest& aRequest)
{
  const auto it = mRetryBudgets.find(aRequest.mService);
  if (it == mRetryBudgets.end()) {
    return true;
  }
  if (aRequest.mIsRetry) {
    return it->second.TryWithdraw();
  }
  it->second.Deposit();
  return true;
}

void
AdmissionControl::ServeQueue(Instant aNow, Decisions& aDecisions)
{
  const auto shareOf = [&](std::string_view aWorkspace) {
    return WeightedInFlight(aWorkspace);
  };
  mQueue.Serve(shareOf, [&](const AdmissionRequest& aRequest) {
    return TryPlace(aRequest, aNow, aDecisions);
  });
}

void
AdmissionControl::ExpireQueue(Instant aNow, Decisions& aDecisions)
{
  const bool drained = mDrains.IsDrained(mDataCentre);
  const AdmissionOutcome outcome =
    drained ? AdmissionOutcome::Drained : AdmissionOutcome::Busy;
  for (const AdmissionRequest& ask :
       drained ? mQueue.TakeAll() : mQueue.TakeExpired(aNow)) {
    ++mCounts.mExpired;
    aDecisions.push_back(Refuse(ask, outcome));
  }
}

void
AdmissionControl::RecheckQueue(Decisions& aDecisions)
{
  if (!std::exchange(mHasNewDeployment, false)) {
    return;
  }
  const std::vector<AdmissionRequest> refused =
    mQueue.TakeIf([&](const AdmissionRequest& aRequest) {
      return CheckTarget(aRequest) == AdmissionOutcome::OutsideHomeRegions;
    });
  for (const AdmissionRequest& request : refused) {
    aDecisions.push_back(Refuse(request, AdmissionOutcome::OutsideHomeRegions));
  }
}

void
AdmissionControl::ExpireAbandoned(Instant aNow)
{
  for (const Permit& permit : mPermits.RemoveAbandoned(kAbandonTime, aNow)) {
    ReturnCredit(permit);
  }
}

void
AdmissionControl::ReturnCredit(const Permit& aPermit)
{
  const auto upstream = mUpstreams.find(aPermit.mUpstream);
  if (upstream != mUpstreams.end()) {
    UpstreamState& state = upstream->second;
    state.mCredits.Release();
    state.mUrgent = state.mUrgent || state.mCredits.IsScarce();
  }
}

void
AdmissionControl::UpdateWanted()
{
  for (auto& [name, state] : mUpstreams) {
    const std::uint32_t inUse = state.mCredits.InUse();
    const bool keepsSpare = inUse > 0 && !state.mCredits.IsScarce();
    state.mWanted = keepsSpare ? 1 + inUse / kInUsePerSpare : 0;
  }
  for (const QueuedRequest& waiting : mQueue.Waiting()) {
    AddDemand(waiting.mRequest);
  }
}

void
AdmissionControl::AddDemand(const AdmissionRequest& aRequest)
{
  std::vector<UpstreamState*> states;
  for (const std::string_view name : ServingUpstreams(aRequest)) {
    states.push_back(&mUpstreams.find(name)->second);
  }
  std::stable_sort(states.begin(),
                   states.end(),
                   [](const UpstreamState* aLeft, const UpstreamState* aRight) {
                     return aLeft->DemandOrder() < aRight->DemandOrder();
                   });
  // When credits are scarce, ask several owners for the same request. Credits
  // that turn out not to be needed are returned with the next report.
  const bool isScarce = !states.empty() && states[0]->mCredits.IsScarce();
  const std::size_t asks = std::min(
    states.size(), isScarce ? kOwnersAskedWhenScarce : std::size_t{ 1 });
  for (std::size_t i = 0; i < asks; ++i) {
    ++states[i]->mWanted;
  }
}

bool
AdmissionControl::IsReportDue(const UpstreamState& aState,
                              std::uint64_t aEpoch,
                              Instant aNow) const
{
  if (aState.mReportedEpoch != aEpoch) {
    return true;
  }
  const VmCredits& credits = aState.mCredits;
  const Instant last = credits.LastReportAt();
  const bool wantsMore = aState.mWanted > aState.mReportedWanted;
  // The first demand is reported at once; further demand is batched until the
  // minimum interval has passed.
  const bool isFirstWant = wantsMore && aState.mReportedWanted == 0;
  const bool isGapOver = aNow >= last + kMinReportGap;
  if (isFirstWant || ((aState.mUrgent || wantsMore) && isGapOver)) {
    return true;
  }
  const bool isConcerned = credits.InUse() > 0 || aState.mWanted > 0 ||
                           credits.Cap(aNow) > 0 || credits.HasStaticShare() ||
                           aState.mReportedWanted > 0;
  return isConcerned &&
         aNow >= last + mTimes.mGrantValidity / kRenewalsPerValidity;
}

OutgoingReport
AdmissionControl::MakeReport(UpstreamState& aState,
                             std::uint64_t aEpoch,
                             Instant aNow)
{
  OutgoingReport report;
  report.mUpstream = aState.mConfig.mName;
  report.mReport = aState.mCredits.MakeReport(aEpoch, aState.mWanted, aNow);
  report.mWork = aState.mWork;
  aState.mWork = {};
  aState.mUrgent = false;
  aState.mReportedWanted = aState.mWanted;
  aState.mReportedEpoch = aEpoch;
  return report;
}

double
AdmissionControl::WeightedInFlight(std::string_view aWorkspace) const
{
  const WorkspaceConfig* workspace = mDeployment.FindWorkspace(aWorkspace);
  const std::uint32_t weight = workspace == nullptr ? 1 : workspace->mWeight;
  return static_cast<double>(mPermits.InFlight(aWorkspace)) / weight;
}

const AdmissionControl::UpstreamState*
AdmissionControl::FindState(std::string_view aUpstream) const
{
  const auto it = mUpstreams.find(aUpstream);
  return it == mUpstreams.end() ? nullptr : &it->second;
}

} // namespace cactusgw
