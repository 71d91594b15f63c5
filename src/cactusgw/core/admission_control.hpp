#ifndef CACTUSGW_CORE_ADMISSION_CONTROL_HPP
#define CACTUSGW_CORE_ADMISSION_CONTROL_HPP

/// Admission control on one VM: assigns requests to upstreams within the VM's
/// credits, holds the rest in a bounded queue that is fair between workspaces,
/// and determines how many credits to request from the upstreams' owners.

#include "cactusgw/config/deployment.hpp"
#include "cactusgw/core/admission_queue.hpp"
#include "cactusgw/core/drain_table.hpp"
#include "cactusgw/core/permit_table.hpp"
#include "cactusgw/core/placement.hpp"
#include "cactusgw/core/retry_budget.hpp"
#include "cactusgw/core/upstream_owner.hpp"
#include "cactusgw/core/vm_credits.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cactusgw {

enum class AdmissionOutcome
{
  Granted,
  Busy,
  UnknownTarget,
  Drained,
  RetryBudgetSpent,
  /// No upstream of the target is in the regions in which the request may be
  /// served.
  OutsideHomeRegions,
};

struct AdmissionDecision
{
  std::uint64_t mCall = 0;
  std::string mRequestId;
  AdmissionOutcome mOutcome = AdmissionOutcome::Busy;
  /// Identifies the credit until it is released; zero when not granted.
  std::uint64_t mPermit = 0;
  std::string mUpstream;
  std::string mAddress;
  Milliseconds mRetryAfter{ 0 };
};

/// The outcome of a request that held a permit.
struct PermitRelease
{
  std::uint64_t mPermit = 0;
  bool mCompleted = false;
  bool mSlow = false;
  /// The upstream failed, did not respond or could not be reached.
  bool mTrouble = false;
};

/// A report to send to the owner of an upstream.
struct OutgoingReport
{
  std::string mUpstream;
  CreditReport mReport;
  WorkReport mWork;
};

struct AdmissionCounts
{
  std::uint64_t mGranted = 0;
  std::uint64_t mQueued = 0;
  std::uint64_t mExpired = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mRetriesRefused = 0;
};

/// Not thread-safe; one instance per agent. Each call returns the decisions
/// that it made possible, including those for requests queued earlier.
class AdmissionControl
{
public:
  using Decisions = std::vector<AdmissionDecision>;

  /// How long no requests are sent to an upstream after a failure.
  static constexpr Milliseconds kUpstreamCooldown{ 1000 };
  /// How long the credits of permits that the entry no longer reports stay in
  /// use. The requests end on the upstream within this time.
  static constexpr Milliseconds kAbandonTime{ 6000 };
  /// Minimum time between two reports for one upstream. Reports of the first
  /// demand and reports to a new owner aren't held back.
  static constexpr Milliseconds kMinReportGap{ 40 };
  /// Number of owners asked for a credit for one queued request when credits
  /// are scarce.
  static constexpr std::size_t kOwnersAskedWhenScarce = 2;

  static AdmissionControl Create(std::string aVm,
                                 std::string aDataCentre,
                                 std::uint64_t aIncarnation,
                                 Instant aNow,
                                 CreditTimes aTimes);

  /// Applies a new configuration. Upstreams present in both configurations
  /// keep their credits.
  void SetDeployment(const Deployment& aDeployment, Instant aNow);
  void SetDrains(const DrainTable& aDrains) { mDrains = aDrains; }

  Decisions Admit(AdmissionRequest aRequest, Instant aNow);
  Decisions OnRelease(const PermitRelease& aRelease, Instant aNow);
  Decisions OnGrant(std::string_view aUpstream,
                    const CreditGrant& aGrant,
                    Instant aNow);
  /// Admits queued requests for which a credit is free, rejects those whose
  /// queue time has passed or that the newest deployment doesn't allow, and
  /// releases abandoned permits.
  Decisions OnTick(Instant aNow);

  /// Reconciles the permits with those the entry reports in use: adopts
  /// permits unknown here and marks those the entry doesn't hold as abandoned.
  /// @param aIsNewEntry the entry has restarted since the last call
  void Reconcile(std::span<const LivePermit> aLive,
                 bool aIsNewEntry,
                 Instant aNow);

  /// Returns the reports that are due. Epochs come from the ownership
  /// document; upstreams without a known owner are skipped.
  /// @param aEpochOf returns the epoch of an upstream, zero without an owner
  template<typename EpochOf>
  std::vector<OutgoingReport> DueReports(EpochOf aEpochOf, Instant aNow);

  /// Whether the configuration lets this VM send requests to the upstream.
  bool Uses(std::string_view aUpstream) const
  {
    return FindState(aUpstream) != nullptr;
  }
  std::uint32_t InUse(std::string_view aUpstream) const;
  std::uint32_t Cap(std::string_view aUpstream, Instant aNow) const;
  CreditSource Source(std::string_view aUpstream, Instant aNow) const;
  std::size_t QueueLength() const { return mQueue.Size(); }
  std::size_t PermitsInUse() const { return mPermits.Size(); }
  const AdmissionCounts& Counts() const { return mCounts; }

private:
  struct UpstreamState
  {
    UpstreamConfig mConfig;
    std::uint32_t mDistance = 0;
    VmCredits mCredits;
    WorkReport mWork;
    std::uint32_t mWanted = 0;
    std::uint32_t mReportedWanted = 0;
    std::uint64_t mReportedEpoch = 0;
    bool mUrgent = false;
    Instant mCooldownUntil;

    /// Sort key for credit requests: upstreams whose credits aren't scarce come
    /// first, then the nearest, then those with the fewest requests in flight
    /// or wanted.
    std::tuple<bool, std::uint32_t, std::uint32_t> DemandOrder() const
    {
      return { mCredits.IsScarce(), mDistance, mCredits.InUse() + mWanted };
    }
  };

  using Upstreams = std::map<std::string, UpstreamState, std::less<>>;

  AdmissionControl(std::string aVm,
                   std::string aDataCentre,
                   std::uint64_t aIncarnation,
                   Instant aNow,
                   CreditTimes aTimes);

  void AddUpstream(const UpstreamConfig& aConfig,
                   const Deployment& aDeployment,
                   Upstreams& aKept,
                   Instant aNow);
  static bool Serves(const UpstreamConfig& aConfig,
                     const AdmissionRequest& aRequest);
  /// Whether the upstream is in these regions and its data centre is in
  /// service.
  bool IsOpen(const UpstreamConfig& aConfig,
              const AllowedRegions& aRegions) const;
  /// Why no wait can help the request, or Granted.
  AdmissionOutcome CheckTarget(const AdmissionRequest& aRequest) const;
  /// Whether a queued request could use every upstream that this one could.
  bool MustQueueBehind(const AdmissionRequest& aRequest) const;
  std::vector<std::string_view> ServingUpstreams(
    const AdmissionRequest& aRequest) const;
  bool TryPlace(const AdmissionRequest& aRequest,
                Instant aNow,
                Decisions& aDecisions);
  AdmissionDecision Grant(const AdmissionRequest& aRequest,
                          UpstreamState& aState,
                          Instant aNow);
  AdmissionDecision Refuse(const AdmissionRequest& aRequest,
                           AdmissionOutcome aOutcome);
  bool HasWorkspaceRoom(std::string_view aWorkspace) const;
  bool ChargeRetryBudget(const AdmissionRequest& aRequest);
  void ServeQueue(Instant aNow, Decisions& aDecisions);
  void ExpireQueue(Instant aNow, Decisions& aDecisions);
  /// Refuses queued requests that the newest deployment doesn't allow.
  void RecheckQueue(Decisions& aDecisions);
  void ExpireAbandoned(Instant aNow);
  void UpdateWanted();
  void AddDemand(const AdmissionRequest& aRequest);
  bool IsReportDue(const UpstreamState& aState,
                   std::uint64_t aEpoch,
                   Instant aNow) const;
  OutgoingReport MakeReport(UpstreamState& aState,
                            std::uint64_t aEpoch,
                            Instant aNow);
  void ReturnCredit(const Permit& aPermit);
  /// Requests in flight divided by the workspace's weight. The workspace with
  /// the lowest value is served first.
  double WeightedInFlight(std::string_view aWorkspace) const;
  const UpstreamState* FindState(std::string_view aUpstream) const;

  std::string mVm;
  std::string mDataCentre;
  std::uint64_t mIncarnation;
  Instant mStartedAt;
  CreditTimes mTimes;
  Deployment mDeployment;
  DrainTable mDrains;
  Upstreams mUpstreams;
  std::map<std::string, RetryBudget, std::less<>> mRetryBudgets;
  PermitTable mPermits;
  AdmissionQueue mQueue;
  bool mReconciled = false;
  bool mHasNewDeployment = false;
  BoundedAffinity mPlacement;
  AdmissionCounts mCounts;
};

template<typename EpochOf>
std::vector<OutgoingReport>
AdmissionControl::DueReports(EpochOf aEpochOf, Instant aNow)
{
  std::vector<OutgoingReport> reports;
  if (!mReconciled) {
    return reports; // The entry has not yet reported its requests in flight.
  }
  UpdateWanted();
  for (auto& [name, state] : mUpstreams) {
    const std::uint64_t epoch = aEpochOf(name);
    if (epoch != 0 && IsReportDue(state, epoch, aNow)) {
      reports.push_back(MakeReport(state, epoch, aNow));
    }
  }
  return reports;
}

} // namespace cactusgw

#endif // CACTUSGW_CORE_ADMISSION_CONTROL_HPP
