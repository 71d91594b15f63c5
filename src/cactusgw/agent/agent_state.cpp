#include "cactusgw/agent/agent_state.hpp"

#include "cactusgw/config/upstream_subset.hpp"

#include <algorithm>
#include <utility>

namespace cactusgw {

namespace {

/// Missed heartbeats after which a VM is taken for dead.
constexpr int kMissedHeartbeats = 3;

/// Ownership is confirmed for this many heartbeat intervals, so that one lost
/// heartbeat does not end it.
constexpr int kIntervalsPerOwnership = 3;
/// The lease holder hears at most so many heartbeats a second, however many
/// VMs the data centre has.
constexpr std::size_t kHolderHeartbeatsPerSecond = 16;
constexpr std::size_t kMillisecondsPerSecond = 1000;

bool
MayUse(const Deployment& aDeployment,
       const DataCentreConfig& aFrom,
       std::string_view aVm,
       const UpstreamConfig& aUpstream)
{
  const std::vector<std::string_view> names =
    UpstreamsOfVm(aDeployment, aFrom, aVm);
  return std::find(names.begin(), names.end(), aUpstream.mName) != names.end();
}

} // namespace

AgentState::AgentState(AgentSettings aSettings,
                       std::uint64_t aIncarnation,
                       Instant aNow,
                       EventRecorder& aRecorder)
  : mConfig(ConfigStore::Create(aSettings.mPlace.mDataCentre))
  , mDrains(DrainTable::Create())
  , mLease(
      LeaseKeeper::Create(aSettings.mPlace.mVm, aIncarnation, aSettings.mLease))
  , mMembers(MemberTable::Create({}))
  , mAdmission(AdmissionControl::Create(aSettings.mPlace.mVm,
                                        aSettings.mPlace.mDataCentre,
                                        aIncarnation,
                                        aNow,
                                        aSettings.mCreditTimes))
  , mSettings(std::move(aSettings))
  , mIncarnation(aIncarnation)
  , mRecorder(aRecorder)
{
  mMembers.SetTimes(MemberTimesNow());
}

MemberTimes
AgentState::MemberTimesNow() const
{
  MemberTimes times;
  times.mDeadAfter = HeartbeatInterval() * kMissedHeartbeats;
  times.mOwnershipValidity = OwnershipValidity();
  times.mPromise = mSettings.mLease.mDuration;
  times.mGuard = mSettings.mLease.mGuard;
  return times;
}

Milliseconds
AgentState::HeartbeatInterval() const
{
  const std::size_t scaled =
    LocalVms().size() * kMillisecondsPerSecond / kHolderHeartbeatsPerSecond;
  return std::max(mSettings.mHeartbeatEvery, Milliseconds{ scaled });
}

Milliseconds
AgentState::OwnershipValidity() const
{
  return std::max(mSettings.mOwnershipValidity,
                  HeartbeatInterval() * kIntervalsPerOwnership);
}

bool
AgentState::HearsHolder(Instant aNow) const
{
  return aNow < mHolderHeardAt + HeartbeatInterval() * kMissedHeartbeats;
}

ApplyOutcome
AgentState::ApplyConfig(const ConfigUpdate& aUpdate, Instant aNow)
{
  const ApplyOutcome outcome = mConfig.Apply(aUpdate);
  if (outcome == ApplyOutcome::Applied) {
    OnConfigChanged(aNow);
  }
  return outcome;
}

ApplyOutcome
AgentState::ApplyConfigHead(const ConfigHead& aHead, Instant aNow)
{
  const std::uint64_t former = mConfig.Revision();
  const ApplyOutcome outcome = mConfig.ApplyHead(aHead);
  if (mConfig.Revision() != former) {
    OnConfigChanged(aNow);
  }
  return outcome;
}

void
AgentState::OnConfigChanged(Instant aNow)
{
  mRecorder.Record(EventKind::ConfigApplied,
                   "",
                   DataCentre(),
                   static_cast<std::int64_t>(mConfig.Revision()));
  mAdmission.SetDeployment(mConfig.Current(), aNow);
  mLease.SetGroup(LocalVms());
  mMembers.SetTimes(MemberTimesNow());
  RebuildOwned(aNow);
}

bool
AgentState::ApplyOwnership(std::string_view aDataCentre,
                           const OwnershipPlan& aPlan,
                           Instant aNow)
{
  if (aDataCentre != DataCentre()) {
    OwnershipPlan& known = mForeignOwnership[std::string{ aDataCentre }];
    const bool isNewer = aPlan.mVersion > known.mVersion;
    known = isNewer ? aPlan : known;
    return isNewer;
  }
  if (aPlan.mVersion <= mOwnership.mVersion) {
    return false;
  }
  mOwnership = aPlan;
  RebuildOwned(aNow);
  return true;
}

const OwnershipPlan*
AgentState::FindOwnership(std::string_view aDataCentre) const
{
  if (aDataCentre == DataCentre()) {
    return &mOwnership;
  }
  const auto it = mForeignOwnership.find(aDataCentre);
  return it == mForeignOwnership.end() ? nullptr : &it->second;
}

const OwnerAssignment*
AgentState::FindOwnerOf(std::string_view aUpstream) const
{
  const UpstreamConfig* upstream = mConfig.Current().FindUpstream(aUpstream);
  const OwnershipPlan* plan =
    upstream == nullptr ? nullptr : FindOwnership(upstream->mDataCentre);
  return plan == nullptr ? nullptr : FindOwner(*plan, aUpstream);
}

std::vector<std::string>
AgentState::ReachableDataCentres() const
{
  std::vector<std::string> names{ DataCentre() };
  const Deployment& deployment = mConfig.Current();
  const DataCentreConfig* own = deployment.FindDataCentre(DataCentre());
  for (const UpstreamConfig& upstream : deployment.mUpstreams) {
    const bool isKnown =
      std::find(names.begin(), names.end(), upstream.mDataCentre) !=
      names.end();
    if (own != nullptr && !isKnown &&
        IsWithinScope(deployment, *own, upstream)) {
      names.push_back(upstream.mDataCentre);
    }
  }
  return names;
}

bool
AgentState::ApplyDrain(const DrainState& aState)
{
  if (!mDrains.Merge(aState)) {
    return false;
  }
  mRecorder.Record(
    EventKind::DrainApplied, "", aState.mDataCentre, aState.mDrained ? 1 : 0);
  mAdmission.SetDrains(mDrains);
  for (auto& [name, owner] : mOwned) {
    owner.SetDrained(mDrains.IsDrained(DataCentre()));
  }
  return true;
}

DrainState
AgentState::OrderDrain(std::string_view aDataCentre, bool aDrained)
{
  DrainTable next = mDrains;
  const DrainState state = next.SetDrained(aDataCentre, aDrained);
  ApplyDrain(state);
  return state;
}

void
AgentState::ApplyLeaseHolder(std::string_view aHolder, std::uint64_t aFence)
{
  if (aFence > mLeaseFence) {
    mLeaseFence = aFence;
    mLeaseHolder = aHolder;
  }
}

void
AgentState::ConfirmOwnership(Instant aUntil)
{
  mOwnershipConfirmedUntil = std::max(mOwnershipConfirmedUntil, aUntil);
}

bool
AgentState::MayActAsOwner(Instant aNow) const
{
  return !mStopping && (aNow < mOwnershipConfirmedUntil || mLease.IsHeld(aNow));
}

UpstreamOwner*
AgentState::FindOwned(std::string_view aUpstream, std::uint64_t aEpoch)
{
  const auto it = mOwned.find(aUpstream);
  const bool isCurrent =
    it != mOwned.end() && it->second.Ledger().Epoch() == aEpoch;
  return isCurrent ? &it->second : nullptr;
}

std::vector<std::string>
AgentState::LocalVms() const
{
  const DataCentreConfig* own = mConfig.Current().FindDataCentre(DataCentre());
  return own == nullptr ? std::vector<std::string>{} : VmNames(*own);
}

std::vector<std::string>
AgentState::LocalUpstreams() const
{
  std::vector<std::string> names;
  for (const UpstreamConfig& upstream : mConfig.Current().mUpstreams) {
    if (upstream.mDataCentre == DataCentre()) {
      names.push_back(upstream.mName);
    }
  }
  return names;
}

std::size_t
AgentState::Rank() const
{
  const std::vector<std::string> vms = LocalVms();
  return static_cast<std::size_t>(
    std::count_if(vms.begin(), vms.end(), [&](const std::string& aOther) {
      return aOther < Vm();
    }));
}

std::string
AgentState::PeerAddress(std::string_view aVm) const
{
  for (const DataCentreConfig& dataCentre : mConfig.Current().mDataCentres) {
    for (const VmConfig& vm : dataCentre.mVms) {
      if (vm.mName == aVm) {
        return vm.mPeerAddress;
      }
    }
  }
  return {};
}

void
AgentState::RebuildOwned(Instant aNow)
{
  std::map<std::string, UpstreamOwner, std::less<>> owned;
  for (const UpstreamConfig& config : mConfig.Current().mUpstreams) {
    const OwnerAssignment* assignment = FindOwner(mOwnership, config.mName);
    if (assignment == nullptr || assignment->mOwner != Self()) {
      continue;
    }
    const std::vector<CreditHolder> holders = HoldersOf(config);
    const auto it = mOwned.find(config.mName);
    const bool isKept =
      it != mOwned.end() && it->second.Ledger().Epoch() == assignment->mEpoch;
    if (isKept) {
      it->second.AddHolders(holders, aNow);
      it->second.SetBounds(config.mLimits);
      owned.emplace(config.mName, std::move(it->second));
      continue;
    }
    UpstreamOwner owner = UpstreamOwner::Create(config.mLimits,
                                                holders,
                                                assignment->mEpoch,
                                                aNow,
                                                mSettings.mCreditTimes);
    owner.SetDrained(mDrains.IsDrained(DataCentre()));
    mRecorder.Record(EventKind::OwnershipTaken,
                     "",
                     config.mName,
                     static_cast<std::int64_t>(assignment->mEpoch));
    owned.emplace(config.mName, std::move(owner));
  }
  mOwned = std::move(owned);
}

std::vector<CreditHolder>
AgentState::HoldersOf(const UpstreamConfig& aUpstream) const
{
  std::vector<CreditHolder> holders;
  const Deployment& deployment = mConfig.Current();
  for (const DataCentreConfig& dataCentre : deployment.mDataCentres) {
    if (!IsWithinScope(deployment, dataCentre, aUpstream)) {
      continue;
    }
    for (const std::string& name : VmNames(dataCentre)) {
      const std::uint32_t share = StaticShareOf(deployment, aUpstream, name);
      if (share > 0 || MayUse(deployment, dataCentre, name, aUpstream)) {
        holders.push_back({ name, share });
      }
    }
  }
  return holders;
}

} // namespace cactusgw
