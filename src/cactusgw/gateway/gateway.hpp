#ifndef CACTUSGW_GATEWAY_GATEWAY_HPP
#define CACTUSGW_GATEWAY_GATEWAY_HPP

/// The gateway of a VM: forwards client requests to upstreams, which register
/// themselves in the platform's store.

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/gateway/generation_migrator.hpp"
#include "cactusgw/gateway/load_exchange.hpp"
#include "cactusgw/gateway/peer_exchange.hpp"
#include "cactusgw/gateway/quarantine_keeper.hpp"
#include "cactusgw/gateway/rollout_records.hpp"
#include "cactusgw/gateway/store_relay.hpp"
#include "cactusgw/gateway/store_view.hpp"
#include "cactusgw/gateway/stream_records.hpp"
#include "cactusgw/interfaces/registry_source.hpp"
#include "cactusgw/net/http_server.hpp"
#include "cactusgw/tunnel/gateway_tunnels.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cactusgw {

/// Not thread-safe; lives on one io_context.
class Gateway
{
public:
  /// Opens the listening sockets and starts the background tasks. Errors:
  /// InvalidInput.
  static Result<std::unique_ptr<Gateway>> Start(
    boost::asio::io_context& aContext,
    GatewaySettings aSettings,
    HeaderNames aNames,
    GenerationControl aControl,
    PeerRegistration aRegistration,
    QuarantineRecords aQuarantines,
    RolloutRecords aRollouts = {},
    StreamVersionRecords aStreamVersions = {},
    StreamOriginRecords aStreamOrigins = {});

  /// Shuts down gracefully: becomes unready at once, accepts connections until
  /// the load balancer has noticed, finishes open requests, and then calls
  /// aOnStopped.
  void Stop(std::function<void()> aOnStopped);

  /// Applies limits, regions and stop times of new settings; addresses require
  /// a restart. Invalid settings are rejected and the current ones stay in
  /// force.
  void Reload(const SettingsResult<GatewaySettings>& aSettings);

  /// Local view of the store; its handler must call the functions below.
  StoreView& Store() { return mStore; }
  /// Whether this gateway currently has to read the store itself.
  bool ShouldReadStore() const;
  /// The same for the list of gateways, from which it learns who else reads.
  bool ShouldReadPeers() const;
  /// Whether the configuration can't be read. Other failed calls are repeated
  /// only when it can be read again.
  bool IsConfigReadDown() const { return mIsConfigReadDown; }
  void OnConfigReadDown(bool aIsDown) { mIsConfigReadDown = aIsDown; }
  /// Maximum backoff between failed calls to the store.
  Milliseconds MaxStoreBackoff() const;

  // Updates from the store. An empty list of changes also marks its collection
  // as loaded.
  void OnConfig(GatewayConfig aConfig);
  void OnConfigUnusable(const Failure& aFailure);
  void OnConfigConfirmed(BootTime aAsOf);
  /// The store had no configuration at this time.
  void OnConfigMissing(BootTime aAsOf) { mState.mFreshness.OnMissing(aAsOf); }
  void OnUpstreamChanges(std::vector<Change<UpstreamRecord>> aChanges);
  /// Each change names a data centre: drained if the change has a value,
  /// whatever the value is, and no longer drained otherwise.
  void OnDrainedChanges(const std::vector<Change<std::string>>& aChanges);
  void OnPeerChanges(const std::vector<Change<GatewayPeer>>& aChanges);
  void OnQuarantineChanges(
    const std::vector<Change<StoredQuarantine>>& aChanges);
  /// Handles orders and their stages, by the name of the service.
  void OnRolloutChanges(std::vector<Change<StoredRollout>> aChanges);
  void OnStreamVersionChanges(
    std::vector<Change<StoredStreamVersion>> aChanges);
  /// Called when the calls of one collection begin to fail, and when they
  /// succeed again.
  void OnStoreLost(std::string_view aWhat, const Failure& aFailure);
  void OnStoreRecovered(std::string_view aWhat);
  /// Called when the watch of upstreams stops or resumes getting responses from
  /// the store.
  void OnUpstreamWatchDown(bool aIsDown)
  {
    mState.mIsUpstreamWatchDown = aIsDown;
  }

  GatewayState& State() { return mState; }

private:
  Gateway(boost::asio::io_context& aContext,
          GatewaySettings aSettings,
          HeaderNames aNames,
          GenerationControl aControl,
          PeerRegistration aRegistration,
          QuarantineRecords aQuarantines,
          RolloutRecords aRollouts,
          StreamVersionRecords aStreamVersions,
          StreamOriginRecords aStreamOrigins);
  Result<void> Listen();
  HttpServerLimits HttpLimits() const;
  Task<void> ServeClient(HttpExchange& aExchange);
  Task<void> ServeOperator(HttpExchange& aExchange);
  Task<void> FinishOpenRequests();
  /// Calls the function when the requests are finished, also after a failure.
  Task<void> StopGracefully(std::function<void()> aOnStopped);
  /// Lets all calls respond whose responses have not begun.
  void GiveUpOpenCalls();
  bool Tick();
  /// This gateway's registration as it should be.
  GatewayPeer Self() const;
  /// Registers this gateway unless the store has its registration already, from
  /// before a restart.
  void RegisterIfMissing();
  /// Registers this gateway again when the store has lost its registration.
  void RegisterIfLost(Instant aNow);
  Task<void> Register();
  Task<void> Deregister();
  void OnStoreRestored(StoreCollection aCollection);
  void RecordDraining(const std::string& aId);
  void OnRemoved(const std::string& aId, Instant aNow);
  /// Removes upstreams whose registrations have not come back after an outage.
  void RemoveExpired(Instant aNow);
  /// Writes the event if the upstream is kept without a registration.
  void LogIfMissing(const std::string& aId,
                    std::string_view aEvent,
                    Instant aNow);
  void UpdateGatewayCount();
  void OnDrainNotice(const DrainingUpstream& aUpstream,
                     std::string_view aFrom,
                     DrainEvidence aEvidence);
  void OnDirectoryChange(DirectoryChange aChange, const std::string& aId);
  void LogAdded(const std::string& aId);
  void OnUndrained(const std::string& aDataCentre);
  void UpdateQuarantines(Instant aNow);
  void UpdateRequestQuarantines(Instant aNow);
  /// All quarantines in force, in the form in which the store holds them.
  std::vector<Quarantine> QuarantinesToStore() const;
  /// Writes the quarantines into the store while this gateway reads it. Never
  /// returns.
  Task<void> StoreQuarantines();
  Task<Result<void>> Store(QuarantineEdit aEdit);
  /// Evaluates roll-outs, and moves generations off versions that they leave.
  void UpdateRollouts(Instant aNow);
  /// Writes the stages of roll-outs while this gateway reads the store. Never
  /// returns.
  Task<void> StoreRollouts();
  /// Whether this gateway knows what is to be recorded, and reads the store.
  bool MayWriteStreamVersions() const;
  /// Whether this gateway is the one to which all others tell what they know,
  /// and reaches the store.
  bool IsFirstOfStore() const;
  /// Time for which the gateways of data centres that come first may write
  /// what is due, so that one of them does.
  Milliseconds WriteDelay() const;
  bool IsReady() const;
  std::string WriteMetrics();

  boost::asio::io_context& mContext;
  GatewayState mState;
  GenerationMigrator mMigrator;
  PeerRegistration mRegistration;
  QuarantineRecords mQuarantineRecords;
  QuarantineKeeper mQuarantineKeeper;
  RolloutRecords mRolloutRecords;
  std::unique_ptr<PeerExchange> mPeers;
  StoreView mStore;
  StreamRecords mStreamRecords;
  std::unique_ptr<StoreRelay> mRelay;
  std::unique_ptr<LoadExchange> mLoadExchange;
  GatewayTunnels mTunnels;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpServer> mReadyServer;
  std::unique_ptr<HttpServer> mMetricsServer;
  bool mHasUpstreamList = false;
  bool mHasDrainedDataCentres = false;
  bool mHasRollouts = false;
  bool mIsConfigReadDown = false;
  bool mIsRegistering = false;
  /// The newest era that began with a restoration of the store.
  std::uint64_t mRestoredEra = 0;
  /// This gateway's registration as the store has it.
  std::optional<GatewayPeer> mRegistered;
  /// When this gateway last wrote it.
  Instant mRegisteredAt;
  bool mIsStopping = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_HPP
