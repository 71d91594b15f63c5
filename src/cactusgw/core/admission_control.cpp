#include "cactusgw/core/admission_control.hpp"

#include "cactusgw/config/upstream_subset.hpp"
#include "cactusgw/core/static_share.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Room for the permits of one incarnation, in bits.
constexpr unsigned kPermitBits = 24;
/// One idle credit is kept per this many in use, so that the next request
/// need not wait for the owner.
constexpr std::uint32_t kInUsePerSpare = 8;
/// Reports are renewed this many times within a grant's validity.
constexpr int kRenewalsPerValidity = 3;

bool
Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

std::vector<std::string>
VmNames(const DataCentreConfig& aDataCentre)
{
  std::vector<std::string> names;
  for (const VmConfig& vm : aDataCentre.mVms) {
    names.push_back(vm.mName);
  }
  return names;
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
  , mNextPermit(aIncarnation << kPermitBits)
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
      if (isChosen || ShareOf(upstream, aDeployment) > 0) {
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
}

void
AdmissionControl::AddUpstream(const UpstreamConfig& aConfig,
                              const Deployment& aDeployment,
                              Upstreams& aKept,
                              Instant aNow)
{
  const std::uint32_t share = ShareOf(aConfig, aDeployment);
  const auto it = aKept.find(aConfig.mName);
  if (it != aKept.end()) {
    UpstreamState state = std::move(it->second);
    state.mConfig = aConfig;
    state.mDistance = DistanceTo(aConfig, aDeployment);
    state.mWallet.SetStaticShare(share);
    mUpstreams.emplace(aConfig.mName, std::move(state));
    return;
  }
  // An upstream added later has no former promises, but an agent that just
  // started may have made some in its former incarnation.
  UpstreamState state{ aConfig,
                       DistanceTo(aConfig, aDeployment),
                       CreditWallet::Create(share,
                                            mIncarnation,
                                            std::max(mStartedAt, aNow),
                                            mTimes),
                       {},
                       0,
                       0,
                       0,
                       false,
                       {} };
  mUpstreams.emplace(aConfig.mName, std::move(state));
}

std::uint32_t
AdmissionControl::ShareOf(const UpstreamConfig& aConfig,
                          const Deployment& aDeployment) const
{
  const DataCentreConfig* dataCentre =
    aDeployment.FindDataCentre(aConfig.mDataCentre);
  return dataCentre == nullptr
           ? 0
           : StaticShare(
               aConfig.mName, mVm, VmNames(*dataCentre), aConfig.mLimits.mCold);
}

std::uint32_t
AdmissionControl::DistanceTo(const UpstreamConfig& aConfig,
                             const Deployment& aDeployment) const
{
  constexpr std::uint32_t kSameRegion = 1;
  constexpr std::uint32_t kOtherRegion = 2;
  if (aConfig.mDataCentre == mDataCentre) {
    return 0;
  }
  const DataCentreConfig* own = aDeployment.FindDataCentre(mDataCentre);
  const DataCentreConfig* theirs =
    aDeployment.FindDataCentre(aConfig.mDataCentre);
  const bool isSame =
    own != nullptr && theirs != nullptr && own->mRegion == theirs->mRegion;
  return isSame ? kSameRegion : kOtherRegion;
}

AdmissionControl::Decisions
AdmissionControl::Admit(AdmissionAsk aAsk, Instant aNow)
{
  Decisions decisions;
  if (mDrains.IsDrained(mDataCentre)) {
    decisions.push_back(Refuse(aAsk, AdmissionOutcome::Drained));
    return decisions;
  }
  const ServiceConfig* service = mDeployment.FindService(aAsk.mService);
  if (service == nullptr || ServingUpstreams(aAsk).empty()) {
    decisions.push_back(Refuse(aAsk, AdmissionOutcome::UnknownTarget));
    return decisions;
  }
  if (!TakeRetry(aAsk)) {
    ++mCounts.mRetriesRefused;
    decisions.push_back(Refuse(aAsk, AdmissionOutcome::RetryBudgetSpent));
    return decisions;
  }
  if (!HasWorkspaceRoom(aAsk.mWorkspace)) {
    decisions.push_back(Refuse(aAsk, AdmissionOutcome::Busy));
    return decisions;
  }
  if (!HasWaiting(aAsk) && TryPlace(aAsk, aNow, decisions)) {
    return decisions;
  }
  if (mQueue.size() >= service->mQueueLength) {
    decisions.push_back(Refuse(aAsk, AdmissionOutcome::Busy));
    return decisions;
  }
  ++mCounts.mQueued;
  mQueue.push_back({ std::move(aAsk), aNow + service->mQueueTime });
  return decisions;
}

AdmissionControl::Decisions
AdmissionControl::OnRelease(const PermitRelease& aRelease, Instant aNow)
{
  Decisions decisions;
  const auto it = mPermits.find(aRelease.mPermit);
  if (it == mPermits.end()) {
    return decisions;
  }
  const auto upstream = mUpstreams.find(it->second.mUpstream);
  if (upstream != mUpstreams.end()) {
    UpstreamState& state = upstream->second;
    state.mWork.mCompleted += aRelease.mCompleted ? 1 : 0;
    state.mWork.mSlow += aRelease.mSlow ? 1 : 0;
    if (aRelease.mTrouble) {
      state.mWork.mTrouble = true;
      state.mUrgent = true;
      state.mAvoidUntil = aNow + kAvoidTime;
      state.mWallet.DropIdle();
    }
  }
  ReturnCredit(it->second);
  mPermits.erase(it);
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
  if (it != mUpstreams.end() && it->second.mWallet.OnGrant(aGrant, aNow)) {
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
  ExpireQueue(aNow, decisions);
  return decisions;
}

void
AdmissionControl::Reconcile(std::span<const LivePermit> aLive,
                            bool aIsNewEntry,
                            Instant aNow)
{
  for (const LivePermit& live : aLive) {
    const auto it = mPermits.find(live.mPermit);
    if (it != mPermits.end()) {
      it->second.mIsAbandoned = false;
      continue;
    }
    const auto upstream = mUpstreams.find(live.mUpstream);
    if (upstream != mUpstreams.end()) {
      upstream->second.mWallet.Adopt();
      mPermits[live.mPermit] = { live.mPermit, live.mUpstream, {}, false, {},
                                 aNow };
    }
  }
  for (auto& [id, permit] : mPermits) {
    const std::uint64_t wanted = id;
    const bool isLive =
      std::any_of(aLive.begin(), aLive.end(), [&](const LivePermit& aPermit) {
        return aPermit.mPermit == wanted;
      });
    // A permit granted just now may have crossed the entry's message.
    const bool isOld = aIsNewEntry || aNow >= permit.mGrantedAt + kAvoidTime;
    if (!isLive && isOld && !permit.mIsAbandoned) {
      permit.mIsAbandoned = true;
      permit.mAbandonedAt = aNow;
    }
  }
  mReconciled = true;
}

std::uint32_t
AdmissionControl::InUse(std::string_view aUpstream) const
{
  const UpstreamState* state = FindState(aUpstream);
  return state == nullptr ? 0 : state->mWallet.InUse();
}

std::uint32_t
AdmissionControl::Cap(std::string_view aUpstream, Instant aNow) const
{
  const UpstreamState* state = FindState(aUpstream);
  return state == nullptr ? 0 : state->mWallet.Cap(aNow);
}

CreditSource
AdmissionControl::Source(std::string_view aUpstream, Instant aNow) const
{
  const UpstreamState* state = FindState(aUpstream);
  return state == nullptr ? CreditSource::None : state->mWallet.Source(aNow);
}

bool
AdmissionControl::Serves(const UpstreamState& aState,
                         const AdmissionAsk& aAsk) const
{
  const UpstreamConfig& config = aState.mConfig;
  const bool servesModel =
    aAsk.mModel.empty() || Contains(config.mModels, aAsk.mModel);
  return config.mService == aAsk.mService && servesModel &&
         !mDrains.IsDrained(config.mDataCentre);
}

std::vector<std::string_view>
AdmissionControl::ServingUpstreams(const AdmissionAsk& aAsk) const
{
  std::vector<std::string_view> names;
  for (const auto& [name, state] : mUpstreams) {
    if (Serves(state, aAsk)) {
      names.push_back(name);
    }
  }
  const auto isExcluded = [&](std::string_view aName) {
    return Contains(aAsk.mExcluded, aName);
  };
  // The only upstream of a service is better than none.
  if (!std::all_of(names.begin(), names.end(), isExcluded)) {
    std::erase_if(names, isExcluded);
  }
  return names;
}

bool
AdmissionControl::TryPlace(const AdmissionAsk& aAsk,
                           Instant aNow,
                           Decisions& aDecisions)
{
  if (!mReconciled) {
    return false;
  }
  std::vector<PlacementCandidate> candidates;
  for (const std::string_view name : ServingUpstreams(aAsk)) {
    const UpstreamState& state = mUpstreams.find(name)->second;
    const std::uint32_t free = state.mWallet.Free(aNow);
    if (free > 0 && aNow >= state.mAvoidUntil) {
      candidates.push_back(
        { name, state.mWallet.InUse(), free, state.mDistance });
    }
  }
  const std::optional<std::size_t> chosen =
    mPlacement.Choose({ aAsk.mPrefixHash }, candidates);
  if (!chosen) {
    return false;
  }
  UpstreamState& state = mUpstreams.find(candidates[*chosen].mUpstream)->second;
  aDecisions.push_back(Grant(aAsk, state, aNow));
  return true;
}

AdmissionDecision
AdmissionControl::Grant(const AdmissionAsk& aAsk,
                        UpstreamState& aState,
                        Instant aNow)
{
  aState.mWallet.TryAcquire(aNow);
  const std::uint64_t id = ++mNextPermit;
  mPermits[id] = { id, aState.mConfig.mName, aAsk.mWorkspace, false, {}, aNow };
  ++mInFlight[aAsk.mWorkspace];
  ++mCounts.mGranted;
  AdmissionDecision decision;
  decision.mCall = aAsk.mCall;
  decision.mRequestId = aAsk.mRequestId;
  decision.mOutcome = AdmissionOutcome::Granted;
  decision.mPermit = id;
  decision.mUpstream = aState.mConfig.mName;
  decision.mAddress = aState.mConfig.mAddress;
  return decision;
}

AdmissionDecision
AdmissionControl::Refuse(const AdmissionAsk& aAsk, AdmissionOutcome aOutcome)
{
  ++mCounts.mRefused;
  AdmissionDecision decision;
  decision.mCall = aAsk.mCall;
  decision.mRequestId = aAsk.mRequestId;
  decision.mOutcome = aOutcome;
  const ServiceConfig* service = mDeployment.FindService(aAsk.mService);
  if (service != nullptr) {
    decision.mRetryAfter = service->mQueueTime;
  }
  return decision;
}

bool
AdmissionControl::HasWorkspaceRoom(std::string_view aWorkspace) const
{
  const auto it = std::find_if(mDeployment.mWorkspaces.begin(),
                               mDeployment.mWorkspaces.end(),
                               [&](const WorkspaceConfig& aConfig) {
                                 return aConfig.mName == aWorkspace;
                               });
  return it == mDeployment.mWorkspaces.end() ||
         WorkspaceInFlight(aWorkspace) < it->mMaxInFlight;
}

bool
AdmissionControl::TakeRetry(const AdmissionAsk& aAsk)
{
  const auto it = mRetryBudgets.find(aAsk.mService);
  if (it == mRetryBudgets.end()) {
    return true;
  }
  if (aAsk.mIsRetry) {
    return it->second.TryWithdraw();
  }
  it->second.Deposit();
  return true;
}

bool
AdmissionControl::HasWaiting(const AdmissionAsk& aAsk) const
{
  return std::any_of(
    mQueue.begin(), mQueue.end(), [&](const WaitingAsk& aWaiting) {
      return aWaiting.mAsk.mService == aAsk.mService &&
             aWaiting.mAsk.mModel == aAsk.mModel;
    });
}

void
AdmissionControl::ServeQueue(Instant aNow, Decisions& aDecisions)
{
  bool progress = !mQueue.empty();
  while (progress) {
    progress = false;
    for (const std::size_t i : FairOrder()) {
      if (TryPlace(mQueue[i].mAsk, aNow, aDecisions)) {
        mQueue.erase(mQueue.begin() + static_cast<std::ptrdiff_t>(i));
        progress = !mQueue.empty();
        break;
      }
    }
  }
}

std::vector<std::size_t>
AdmissionControl::FairOrder() const
{
  std::vector<std::size_t> order(mQueue.size());
  std::vector<double> shares(mQueue.size());
  for (std::size_t i = 0; i < mQueue.size(); ++i) {
    const std::string& workspace = mQueue[i].mAsk.mWorkspace;
    order[i] = i;
    shares[i] = static_cast<double>(WorkspaceInFlight(workspace)) /
                WorkspaceWeight(workspace);
  }
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return shares[aLeft] < shares[aRight];
    });
  return order;
}

void
AdmissionControl::ExpireQueue(Instant aNow, Decisions& aDecisions)
{
  const bool drained = mDrains.IsDrained(mDataCentre);
  std::erase_if(mQueue, [&](const WaitingAsk& aWaiting) {
    if (!drained && aNow < aWaiting.mDeadline) {
      return false;
    }
    ++mCounts.mExpired;
    aDecisions.push_back(
      Refuse(aWaiting.mAsk,
             drained ? AdmissionOutcome::Drained : AdmissionOutcome::Busy));
    return true;
  });
}

void
AdmissionControl::ExpireAbandoned(Instant aNow)
{
  std::erase_if(mPermits, [&](const auto& aItem) {
    const Permit& permit = aItem.second;
    const bool isOver =
      permit.mIsAbandoned && aNow >= permit.mAbandonedAt + kAbandonTime;
    if (isOver) {
      ReturnCredit(permit);
    }
    return isOver;
  });
}

void
AdmissionControl::ReturnCredit(const Permit& aPermit)
{
  const auto upstream = mUpstreams.find(aPermit.mUpstream);
  if (upstream != mUpstreams.end()) {
    UpstreamState& state = upstream->second;
    state.mWallet.Release();
    state.mUrgent = state.mUrgent || state.mWallet.IsScarce();
  }
  const auto it = mInFlight.find(aPermit.mWorkspace);
  if (it != mInFlight.end() && --it->second == 0) {
    mInFlight.erase(it);
  }
}

void
AdmissionControl::UpdateWanted()
{
  for (auto& [name, state] : mUpstreams) {
    const std::uint32_t inUse = state.mWallet.InUse();
    const bool keepsSpare = inUse > 0 && !state.mWallet.IsScarce();
    state.mWanted = keepsSpare ? 1 + inUse / kInUsePerSpare : 0;
  }
  for (const WaitingAsk& waiting : mQueue) {
    AddDemand(waiting.mAsk);
  }
}

void
AdmissionControl::AddDemand(const AdmissionAsk& aAsk)
{
  std::vector<UpstreamState*> states;
  for (const std::string_view name : ServingUpstreams(aAsk)) {
    states.push_back(&mUpstreams.find(name)->second);
  }
  std::stable_sort(states.begin(),
                   states.end(),
                   [](const UpstreamState* aLeft, const UpstreamState* aRight) {
                     return aLeft->DemandOrder() < aRight->DemandOrder();
                   });
  // Contended owners are asked in pairs; what is not used goes back.
  const bool isScarce = !states.empty() && states[0]->mWallet.IsScarce();
  const std::size_t asks =
    std::min(states.size(), isScarce ? kScarceAsks : std::size_t{ 1 });
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
  const CreditWallet& wallet = aState.mWallet;
  const Instant last = wallet.LastReportAt();
  const bool wantsMore = aState.mWanted > aState.mReportedWanted;
  if ((aState.mUrgent || wantsMore) && aNow >= last + kMinReportGap) {
    return true;
  }
  const bool isConcerned = wallet.InUse() > 0 || aState.mWanted > 0 ||
                           wallet.Cap(aNow) > 0 || wallet.HasStaticShare() ||
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
  report.mReport = aState.mWallet.MakeReport(aEpoch, aState.mWanted, aNow);
  report.mWork = aState.mWork;
  aState.mWork = {};
  aState.mUrgent = false;
  aState.mReportedWanted = aState.mWanted;
  aState.mReportedEpoch = aEpoch;
  return report;
}

std::uint32_t
AdmissionControl::WorkspaceInFlight(std::string_view aWorkspace) const
{
  const auto it = mInFlight.find(aWorkspace);
  return it == mInFlight.end() ? 0 : it->second;
}

std::uint32_t
AdmissionControl::WorkspaceWeight(std::string_view aWorkspace) const
{
  for (const WorkspaceConfig& workspace : mDeployment.mWorkspaces) {
    if (workspace.mName == aWorkspace) {
      return workspace.mWeight;
    }
  }
  return 1;
}

const AdmissionControl::UpstreamState*
AdmissionControl::FindState(std::string_view aUpstream) const
{
  const auto it = mUpstreams.find(aUpstream);
  return it == mUpstreams.end() ? nullptr : &it->second;
}

} // namespace cactusgw
