#ifndef CACTUSGW_ROLLOUT_ROLLOUT_CONTROL_HPP
#define CACTUSGW_ROLLOUT_ROLLOUT_CONTROL_HPP

/// Decides which version of a service's upstreams gets a request, and the stage
/// to which each roll-out advances. No gateway grants anything to another one:
/// shares and verdicts are computed by each from the stored stage and the
/// merged evidence.

#include "cactusgw/rollout/exposure_share.hpp"
#include "cactusgw/rollout/rollout_evidence.hpp"
#include "cactusgw/rollout/rollout_stages.hpp"
#include "cactusgw/rollout/rollout_verdict.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

struct RolloutSettings
{
  /// Zero if roll-outs are not handled.
  double mExposureShare = 0;
  /// Requests that a bad version may get beyond the share.
  double mExposureExtra = 0;
  /// Gateways that share the extra requests.
  std::uint32_t mGatewayCount = 1;
};

/// An upstream that accepts requests or still runs some.
struct VersionedUpstream
{
  std::string_view mId;
  std::string_view mVersion;
  bool mIsCold = false;
  /// Still listed because of its requests in progress.
  bool mIsDraining = false;
  /// Requests in progress, of all gateways.
  std::uint32_t mRequests = 0;
};

/// A stage that the store lacks.
struct RolloutEdit
{
  RolloutOrder mOrder;
  /// Condition of the write.
  std::uint64_t mRevision = 0;
  RolloutStage mStage = RolloutStage::Observing;
};

/// Something that an operator may want to know.
struct RolloutEvent
{
  std::string_view mName;
  RolloutOrder mOrder;
  RolloutStage mStage = RolloutStage::Observing;
  RolloutVerdict mVerdict;
  Milliseconds mAge{ 0 };
  std::uint64_t mSentToTarget = 0;
  std::uint64_t mSent = 0;
};

/// A request's or generation's place in a roll-out.
struct RolloutPlace
{
  RolloutId mRollout;
  RolloutSide mSide = RolloutSide::OtherVersions;
};

/// Not thread-safe. Time is passed in.
class RolloutControl
{
public:
  /// How long a version that no order names gets no requests while another one
  /// serves: its registration may arrive before the order.
  static constexpr Milliseconds kUnorderedVersionHold{ 2000 };

  /// Versions that are registered within this time, such as those of the first
  /// list, appear together.
  static constexpr Milliseconds kTogether{ 100 };

  /// @param aSelf stable hash of this gateway's name and incarnation
  static RolloutControl Create(std::uint64_t aSelf);

  void SetSettings(const RolloutSettings& aSettings) { mSettings = aSettings; }
  bool IsEnabled() const { return mSettings.mExposureShare > 0; }

  /// Handles a change in the store; without a value the order was withdrawn.
  void OnStored(const std::string& aService,
                std::optional<StoredRollout> aStored,
                Instant aNow);
  /// All orders that the store had at the start were passed to OnStored. Only
  /// later ones grant early requests: a gateway that starts again would send
  /// its part twice, and doesn't know yet how many gateways there are.
  void OnStoreListed() { mHasStoreList = true; }
  /// An upstream was registered.
  void OnUpstreamSeen(const std::string& aService,
                      const std::string& aVersion,
                      Instant aNow);

  /// Evaluates the evidence. Returns what has changed since the last call.
  std::vector<RolloutEvent> Update(Instant aNow);

  /// Returns the next stages to store, at most one for each service.
  /// @param aUpstreams the upstreams of a service that accept requests
  std::vector<RolloutEdit> NextEdits(
    const std::function<std::vector<VersionedUpstream>(std::string_view)>&
      aUpstreams,
    Instant aNow) const;

  /// Counts a request of the service and returns the side that is to get it;
  /// nullopt if any upstream may.
  /// @param aIsConfigFresh whether this gateway's knowledge is trusted
  std::optional<RolloutSide> OnRequest(std::string_view aService,
                                       bool aIsConfigFresh);
  /// The side for a further attempt, and for moving a generation.
  std::optional<RolloutSide> SideOfRetry(std::string_view aService) const;
  /// Whether other versions may serve a request that was meant for the target.
  bool MayFallBack(std::string_view aService) const;
  /// Whether generations on this version are to be moved to the target.
  bool IsLeaving(std::string_view aService, std::string_view aVersion) const;
  /// Services whose generations are to be moved to the target.
  std::vector<std::string> LeavingServices() const;

  /// Whether some upstreams of a service may not be used by all requests.
  bool Restricts(std::string_view aService, Instant aNow) const;
  /// Ids of the upstreams that requests of a side may use. Without a side,
  /// those that any request may use.
  std::set<std::string_view> Admitted(
    std::string_view aService,
    std::optional<RolloutSide> aSide,
    std::span<const VersionedUpstream> aUpstreams,
    Instant aNow) const;
  /// Whether a request may be sent to this version at this moment.
  bool MaySend(std::string_view aService, std::string_view aVersion) const;

  /// Counts a send; returns the place in the roll-out, if there is one.
  /// @param aChosen what OnRequest returned, for the first send after it
  std::optional<RolloutPlace> OnSent(std::string_view aService,
                                     std::string_view aVersion,
                                     std::string_view aRoute,
                                     std::optional<RolloutSide> aChosen);

  RolloutEvidence& Evidence() { return mEvidence; }
  const RolloutEvidence& Evidence() const { return mEvidence; }

private:
  struct Rollout
  {
    RolloutOrder mOrder;
    std::uint64_t mRevision = 0;
    std::optional<RolloutStage> mStoredStage;
    RolloutStage mStage = RolloutStage::Observing;
    Instant mStageAt;
    bool mIsWithdrawn = false;
    /// Targets of orders that this one replaced before they were completed.
    std::set<std::string, std::less<>> mFormerTargets;
    RolloutVerdict mVerdict;
    std::uint64_t mJudgedVersion = 0;
    /// Totals of the evidence at earlier moments, oldest first.
    std::vector<RolloutTotals> mSnapshots;
    Instant mSnapshotAt;
    std::optional<ExposureShare> mShare;
    /// What Update has reported.
    std::optional<RolloutStage> mReportedStage;
    RolloutSoundness mReportedSoundness = RolloutSoundness::Undecided;

    bool IsBad() const { return mVerdict.mSoundness == RolloutSoundness::Bad; }
    bool RefusesTarget() const
    {
      return mIsWithdrawn || IsBad() || mStage == RolloutStage::RolledBack;
    }
    bool IsFormerTarget(std::string_view aVersion) const
    {
      return mFormerTargets.contains(aVersion);
    }
    bool IsTarget(std::string_view aVersion) const
    {
      return aVersion == mOrder.mId.mTarget;
    }
  };

  explicit RolloutControl(std::uint64_t aSelf);
  const Rollout* Find(std::string_view aService) const;
  /// Forgets the evidence of an ended order if there is no room for another.
  void MakeRoomForEvidence();
  bool IsHeld(std::string_view aService,
              std::string_view aVersion,
              Instant aNow) const;
  std::set<std::string_view> Observed(
    std::span<const VersionedUpstream> aUpstreams,
    const Rollout& aRollout) const;

  /// Interval at which the evidence is evaluated: its counts change with each
  /// request of the fleet.
  static constexpr Milliseconds kJudgeInterval{ 100 };

  /// Time between two snapshots and their number, enough for 20 s.
  static constexpr Milliseconds kSnapshotInterval{ 2000 };
  static constexpr std::size_t kMaxSnapshots = 10;

  std::uint64_t mSelf;
  bool mHasStoreList = false;
  Instant mJudgedAt;
  RolloutSettings mSettings;
  RolloutEvidence mEvidence;
  std::map<std::string, Rollout, std::less<>> mRollouts;
  /// When each version of each service was first registered.
  std::
    map<std::string, std::map<std::string, Instant, std::less<>>, std::less<>>
      mVersions;
};

} // namespace cactusgw

#endif // CACTUSGW_ROLLOUT_ROLLOUT_CONTROL_HPP
