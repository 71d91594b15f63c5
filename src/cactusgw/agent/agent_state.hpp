#ifndef CACTUSGW_AGENT_AGENT_STATE_HPP
#define CACTUSGW_AGENT_AGENT_STATE_HPP

/// What the parts of an agent share.

#include "cactusgw/config/config_store.hpp"
#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/core/admission_control.hpp"
#include "cactusgw/core/crash_evidence.hpp"
#include "cactusgw/core/drain_table.hpp"
#include "cactusgw/core/lease_keeper.hpp"
#include "cactusgw/core/member_table.hpp"
#include "cactusgw/core/ownership.hpp"
#include "cactusgw/core/upstream_owner.hpp"
#include "cactusgw/telemetry/recorder.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// The state of one agent. Parts change it through these functions, so that a
/// change reaches all that depends on it.
class AgentState
{
public:
  AgentState(AgentSettings aSettings,
             std::uint64_t aIncarnation,
             Instant aNow,
             EventRecorder& aRecorder);

  const AgentSettings& Settings() const { return mSettings; }
  const std::string& Vm() const { return mSettings.mPlace.mVm; }
  const std::string& DataCentre() const { return mSettings.mPlace.mDataCentre; }
  VmIncarnation Self() const { return { Vm(), mIncarnation }; }
  EventRecorder& Recorder() { return mRecorder; }

  ApplyOutcome ApplyConfig(const ConfigUpdate& aUpdate, Instant aNow);
  ApplyOutcome ApplyConfigHead(const ConfigHead& aHead, Instant aNow);
  /// Takes a newer ownership plan of a data centre; older ones are ignored.
  bool ApplyOwnership(std::string_view aDataCentre,
                      const OwnershipPlan& aPlan,
                      Instant aNow);
  /// The plan of a data centre; null when none is known.
  const OwnershipPlan* FindOwnership(std::string_view aDataCentre) const;
  /// Who owns an upstream of any data centre; null when unknown.
  const OwnerAssignment* FindOwnerOf(std::string_view aUpstream) const;
  /// Data centres whose upstreams this VM may send to, its own among them.
  std::vector<std::string> ReachableDataCentres() const;
  bool ApplyDrain(const DrainState& aState);
  DrainState OrderDrain(std::string_view aDataCentre, bool aDrained);

  /// Takes a later lease holder. Lower fencing numbers are ignored.
  void ApplyLeaseHolder(std::string_view aHolder, std::uint64_t aFence);
  /// A reply of the lease holder confirmed this VM's ownership until then.
  void ConfirmOwnership(Instant aUntil);
  /// Whether this VM may act as owner now.
  bool MayActAsOwner(Instant aNow) const;
  bool HoldsLease(Instant aNow) const { return mLease.IsHeld(aNow); }
  void NoteHolderHeard(Instant aNow) { mHolderHeardAt = aNow; }

  /// The owner of an upstream this VM owns now, or null.
  UpstreamOwner* FindOwned(std::string_view aUpstream, std::uint64_t aEpoch);
  using OwnedUpstreams = std::map<std::string, UpstreamOwner, std::less<>>;
  OwnedUpstreams& Owned() { return mOwned; }
  const OwnedUpstreams& Owned() const { return mOwned; }

  /// Time between two heartbeats of a VM: longer in large data centres, so that
  /// the lease holder hears a bounded number a second.
  Milliseconds HeartbeatInterval() const;
  /// How long an owner may act on one reply; several intervals at least.
  Milliseconds OwnershipValidity() const;
  /// Whether the lease holder was heard lately.
  bool HearsHolder(Instant aNow) const;

  /// VMs of this data centre, in the order of the configuration.
  std::vector<std::string> LocalVms() const;
  std::vector<std::string> LocalUpstreams() const;
  /// Position of this VM among those of its data centre, ordered by name.
  std::size_t Rank() const;
  /// The address of a VM's agent; empty when unknown.
  std::string PeerAddress(std::string_view aVm) const;

  ConfigStore mConfig;
  DrainTable mDrains;
  OwnershipPlan mOwnership;
  LeaseKeeper mLease;
  MemberTable mMembers;
  AdmissionControl mAdmission;
  /// What entries have reported of crashes, passed on between agents and to the
  /// own entry, which decides by it.
  CrashEvidence mCrashes = CrashEvidence::Create();
  std::string mLeaseHolder;
  std::uint64_t mLeaseFence = 0;
  bool mPlatformReachable = false;
  Instant mPlatformReachedAt;
  bool mStopping = false;

private:
  void OnConfigChanged(Instant aNow);
  MemberTimes MemberTimesNow() const;
  void RebuildOwned(Instant aNow);
  std::vector<CreditHolder> HoldersOf(const UpstreamConfig& aUpstream) const;

  AgentSettings mSettings;
  std::uint64_t mIncarnation;
  EventRecorder& mRecorder;
  /// Ownership plans of other data centres, for requests that overflow there.
  std::map<std::string, OwnershipPlan, std::less<>> mForeignOwnership;
  Instant mOwnershipConfirmedUntil;
  Instant mHolderHeardAt;
  OwnedUpstreams mOwned;
};

} // namespace cactusgw

#endif // CACTUSGW_AGENT_AGENT_STATE_HPP
