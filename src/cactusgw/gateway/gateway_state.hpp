#ifndef CACTUSGW_GATEWAY_GATEWAY_STATE_HPP
#define CACTUSGW_GATEWAY_GATEWAY_STATE_HPP

/// State shared by all calls of a gateway.

#include "cactusgw/brittle/brittle_upstreams.hpp"
#include "cactusgw/config/process_settings.hpp"
#include "cactusgw/core/byte_budget.hpp"
#include "cactusgw/core/crash_evidence.hpp"
#include "cactusgw/core/limit_pacer.hpp"
#include "cactusgw/core/outlier_detector.hpp"
#include "cactusgw/core/prompt_cache_index.hpp"
#include "cactusgw/core/request_crashes.hpp"
#include "cactusgw/core/stated_limits.hpp"
#include "cactusgw/gateway/cold_start_limiter.hpp"
#include "cactusgw/gateway/decision_log.hpp"
#include "cactusgw/gateway/drain_notices.hpp"
#include "cactusgw/gateway/gateway_metrics.hpp"
#include "cactusgw/gateway/header_names.hpp"
#include "cactusgw/gateway/load_table.hpp"
#include "cactusgw/gateway/response_window.hpp"
#include "cactusgw/gateway/routing_table.hpp"
#include "cactusgw/gateway/send_gate.hpp"
#include "cactusgw/gateway/shared_retry_budget.hpp"
#include "cactusgw/gateway/stop_schedule.hpp"
#include "cactusgw/gateway/store_freshness.hpp"
#include "cactusgw/gateway/store_outages.hpp"
#include "cactusgw/gateway/stream_origins.hpp"
#include "cactusgw/gateway/stream_versions.hpp"
#include "cactusgw/gateway/upstream_choice.hpp"
#include "cactusgw/gateway/upstream_connection_pool.hpp"
#include "cactusgw/gateway/upstream_directory.hpp"
#include "cactusgw/gateway/upstream_health.hpp"
#include "cactusgw/gateway/upstream_pauses.hpp"
#include "cactusgw/gateway/wait_queue.hpp"
#include "cactusgw/interfaces/generation_control.hpp"
#include "cactusgw/rollout/rollout_control.hpp"
#include "cactusgw/telemetry/recorder.hpp"
#include "cactusgw/tunnel/upstream_connector.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cactusgw {

class GatewayCall;
class GenerationMigrator;

/// Restricts the upstreams for a request or a migrated generation.
struct CandidateFilter
{
  AllowedRegions mRegions = AllowedRegions::Everywhere();
  /// Upstreams to skip.
  std::span<const std::string> mExcluded;
  /// Distances are measured from this data centre.
  std::string_view mFromDataCentre;
  /// Whether the request has waited for an upstream.
  bool mIsWaiting = false;
  /// The versions that a roll-out leaves to the request; empty for any.
  std::optional<RolloutSide> mSide;
  /// Prefixes of the prompt that upstreams may hold; empty for plain services
  /// and for migrated generations, whose memory is copied.
  std::span<const PromptPrefix> mPromptPrefixes;
  /// The version of the upstreams that may continue a stream; empty for any.
  std::string_view mStreamVersion;
  /// Whether the request may begin a stream that can be resumed.
  bool mBeginsStream = false;
};

/// Not thread-safe; one instance per process.
class GatewayState
{
public:
  /// Minimum number of gateways that shared limits are divided by, even while
  /// fewer are known: all may start at once and discover each other later.
  static constexpr std::uint32_t kMinGateways = 8;

  /// @param aStartQuestion empty if upstreams can't be asked for their start
  /// @param aRecordsVersions whether the platform keeps records of the versions
  /// that begin streams
  GatewayState(GatewaySettings aSettings,
               HeaderNames aNames,
               StartQuestion aStartQuestion = {},
               bool aRecordsVersions = false);

  /// Applies limits, regions and stop times of new settings.
  void Reload(const GatewaySettings& aSettings);

  /// Upstreams of the service that may currently receive requests.
  std::vector<Candidate> Candidates(const GatewayService& aService,
                                    const CandidateFilter& aFilter,
                                    Instant aNow) const;

  /// The upstreams of a service that serve or still run requests, with what a
  /// roll-out decides by.
  std::vector<VersionedUpstream> VersionsOf(std::string_view aService,
                                            Instant aNow) const;

  /// When the first pause ends, if all upstreams that serve the service in
  /// these regions are paused.
  std::optional<Instant> AllPausedUntil(const GatewayService& aService,
                                        const AllowedRegions& aRegions,
                                        Instant aNow) const;

  /// This gateway's share of the retry budget of a service.
  SharedRetryBudget& RetryBudgetFor(const std::string& aService);

  /// Counts an attempt, also towards the limits of a cold and of a paused
  /// upstream.
  void OnSent(const KnownUpstream& aUpstream, Instant aNow);

  /// Counts a request in the load of its prompt's parts, and the tokens that
  /// its upstream is expected to hold. Returns their number.
  /// @param aNeed already included in the load of the upstream
  std::uint64_t OnPromptSent(const GatewayService& aService,
                             std::span<const PromptPrefix> aPrefixes,
                             const KnownUpstream& aUpstream,
                             const TokenNeed& aNeed,
                             Instant aNow);

  /// Counts a request towards the limit that its upstream states. Called as
  /// soon as the upstream is selected, so that no other request takes the same
  /// place.
  void OnSelected(const std::string& aUpstream, Instant aNow);

  /// Divides the bounds that all gateways keep together.
  /// @param aRank position of this gateway among all
  void SetGateways(std::uint32_t aCount, std::uint32_t aRank);

  /// Applies the limits that upstreams state, and drops those that are old or
  /// whose upstreams are gone. Drops pauses that have ended.
  void UpdateLimits(Instant aNow);

  /// Counts a response of an upstream, or the lack of one, for all gateways;
  /// not if the upstream has restarted since.
  void OnResponse(const UpstreamStart& aUpstream,
                  bool aIsFailure,
                  Instant aNow);
  /// Derives which versions may begin streams, and which streams other gateways
  /// are told of. Called when upstreams or records of versions change, and
  /// regularly.
  void UpdateStreamVersions(Instant aNow);
  void UpdateStreamVersionsIfDue(Instant aNow);
  /// Whether an upstream of this version takes new requests.
  bool IsVersionServing(std::string_view aService,
                        std::string_view aVersion) const;
  /// Ejects upstreams that fail more than others, and admits them again.
  void UpdateOutliers(Instant aNow);

  /// Records an answer of the store. When it ends an outage, upstreams whose
  /// registrations are missing are kept for a while.
  /// @param aFrom for the log: "store", or the gateway that passed it on
  void OnStoreAnswered(Instant aAt, std::string_view aFrom);

  /// Discards health, rate limit and connections of an upstream that was
  /// registered anew.
  void Forget(const std::string& aUpstream);

  /// Decides by the state of this moment; don't keep it while waiting.
  SendGate Gate(BootTime aNow) const;
  /// Returns the region of a data centre, or "unknown".
  std::string RegionOf(std::string_view aDataCentre) const;
  Distance DistanceBetween(std::string_view aFrom, std::string_view aTo) const;

  GatewaySettings mSettings;
  HeaderNames mNames;
  /// Null before the first configuration.
  std::shared_ptr<const RoutingTable> mTable;
  UpstreamDirectory mDirectory;
  StoreOutages mStoreOutages;
  /// Recent notices of draining upstreams, for the other gateways.
  DrainNotices mDrainNotices;
  /// Called when an upstream states in a response that it is draining. Set by
  /// the owner of this state before the first call.
  std::function<void(const DrainingUpstream&)> mOnStatedDraining;
  /// Whether the watch of upstreams gets no response from the store.
  bool mIsUpstreamWatchDown = false;
  /// Recently undrained data centres, and the time until which their upstreams
  /// are treated as cold regardless of their records.
  std::map<std::string, Instant> mColdAfterUndrainUntil;
  LoadTable mLoads;
  UpstreamHealth mHealth;
  ResponseWindow mResponses;
  /// By service.
  std::map<std::string, OutlierDetector, std::less<>> mOutliers;
  CrashEvidence mCrashes;
  RequestCrashes mRequestCrashes;
  StatedLimits mStatedLimits;
  LimitPacer mLimitPacer;
  BrittleUpstreams mBrittle;
  RolloutControl mRollouts;
  PromptCacheIndex mPromptCaches;
  ColdStartLimiter mColdStartLimiter;
  UpstreamPauses mPauses;
  UpstreamConnectionPool mPool;
  /// Set by the owner of this state before the first call.
  std::shared_ptr<UpstreamConnector> mConnector;
  WaitQueue mWaitQueue;
  /// Set by the owner of this state before the first call.
  GenerationMigrator* mMigrator = nullptr;
  StoreFreshness mFreshness;
  StreamOrigins mStreamOrigins;
  StreamVersions mStreamVersions;
  /// Reads the records of versions. Returns whether the read, which began after
  /// the call, succeeded; false as soon as the begin of the stream that is
  /// passed is known. Set by the owner of this state before the first call.
  std::function<Task<bool>(std::string)> mReadStreamVersions;
  /// The same for the streams that the store holds.
  std::function<Task<bool>(std::string)> mReadStreamOrigins;
  StartQuestion mStartQuestion;
  /// Set once this gateway is stopping.
  std::optional<StopSchedule> mStop;
  /// The calls in progress. Shared with them, as a call that is destroyed with
  /// the event loop may outlive this state.
  std::shared_ptr<std::set<GatewayCall*>> mCalls =
    std::make_shared<std::set<GatewayCall*>>();
  std::uint32_t mGatewayCount = kMinGateways;
  /// Gateways that are known, this one included; may be less than
  /// mGatewayCount.
  std::uint32_t mKnownGateways = 1;
  /// Position of this gateway among all, ordered by name.
  std::uint32_t mGatewayRank = 0;
  /// Memory of requests and responses in progress. Shared with them, as they
  /// may outlive this state.
  std::shared_ptr<ByteBudget> mMemory;
  GatewayMetrics mMetrics;
  EventRecorder mRecorder;
  DecisionLog mLog;

private:
  /// The upstreams near this gateway that requests with this prompt prefer.
  PreferredUpstreams PreferredFor(const GatewayService& aService,
                                  std::span<const PromptPrefix> aPrefixes,
                                  Instant aNow) const;
  double HeldTokens(const GatewayService& aService,
                    const PreferredUpstreams& aPreferred,
                    const KnownUpstream& aUpstream,
                    const UpstreamLoad& aLoad,
                    Instant aNow) const;
  /// Whether an upstream may be selected, as far as its responses tell.
  bool IsEjected(const GatewayService& aService,
                 const std::string& aUpstream,
                 Instant aNow) const;
  /// Whether it is this gateway's turn to probe an ejected upstream.
  bool MayProbe(const std::string& aUpstream, Instant aNow) const;
  bool IsCold(const KnownUpstream& aUpstream, Instant aNow) const;
  /// Whether a brittle upstream has a slot for this gateway.
  bool HasSlot(const GatewayService& aService,
               const UpstreamRecord& aUpstream,
               const UpstreamLoad& aLoad,
               Instant aNow) const;
  std::uint32_t ColdStartShare(const GatewayService& aService) const;
  RolloutSettings SettingsOfRollouts() const;

  std::map<std::string, SharedRetryBudget> mRetryBudgets;
  Instant mOutliersAt;
  Instant mStreamVersionsAt;
  /// When this gateway last selected an upstream that is probed.
  std::map<std::string, Instant, std::less<>> mProbedAt;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_STATE_HPP
