#ifndef CACTUSGW_GATEWAY_GATEWAY_HPP
#define CACTUSGW_GATEWAY_GATEWAY_HPP

/// The gateway of a VM: carries callers' requests to upstreams that register
/// themselves in the platform's store.

#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/gateway/generation_migrator.hpp"
#include "cactusgw/gateway/peer_exchange.hpp"
#include "cactusgw/gateway/store_relay.hpp"
#include "cactusgw/gateway/store_view.hpp"
#include "cactusgw/gateway/use_exchange.hpp"
#include "cactusgw/interfaces/registry_source.hpp"
#include "cactusgw/net/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cactusgw {

/// Not thread-safe; lives on one io_context.
class Gateway
{
public:
  /// Starts to listen. Errors: InvalidInput.
  static Result<std::unique_ptr<Gateway>> Start(
    boost::asio::io_context& aContext,
    GatewaySettings aSettings,
    HeaderNames aNames,
    GenerationControl aControl,
    PeerRegistration aRegistration);

  /// Turns unready at once, goes on accepting until the balancer has noticed,
  /// finishes what is in progress, and then calls the function.
  void Stop(std::function<void()> aOnStopped);

  /// Takes bounds and regions from new settings; addresses need a restart. With
  /// faults in them the old settings stay in force.
  void Reload(const SettingsResult<GatewaySettings>& aSettings);

  /// What is known of the store; its handler must call the functions below.
  StoreView& Store() { return mStore; }
  /// Whether this gateway has to read the store itself at present.
  bool ShouldReadStore() const;
  /// Longest pause between calls that the store does not answer.
  Milliseconds LastStorePause() const;

  // What the store says. Lists of changes may be empty: the collection is
  // known then.
  void OnConfig(GatewayConfig aConfig);
  void OnConfigUnusable(const Failure& aFailure);
  void OnConfigConfirmed(BootTime aAsOf);
  void OnUpstreamChanges(std::vector<Change<UpstreamRecord>> aChanges);
  /// Values are the names of drained data centres.
  void OnDrainedChanges(const std::vector<Change<std::string>>& aChanges);
  void OnPeerChanges(const std::vector<Change<GatewayPeer>>& aChanges);
  void OnStoreLost(std::string_view aWhat, const Failure& aFailure);
  void OnStoreBack(std::string_view aWhat);
  /// Whether changes to upstreams are being told at present.
  void OnUpstreamsBlind(bool aIsBlind) { mState.mIsBlind = aIsBlind; }

  GatewayState& State() { return mState; }

private:
  Gateway(boost::asio::io_context& aContext,
          GatewaySettings aSettings,
          HeaderNames aNames,
          GenerationControl aControl,
          PeerRegistration aRegistration);
  Result<void> Listen();
  HttpServerLimits CallerBounds() const;
  Task<void> ServeCaller(HttpExchange& aExchange);
  Task<void> ServeOperator(HttpExchange& aExchange);
  Task<void> FinishInProgress(std::function<void()> aOnStopped);
  bool Tick();
  Task<void> Register();
  Task<void> Withdraw();
  void RecordLeaving(const std::string& aId);
  void OnRemoved(const std::string& aId, Instant aNow);
  void CountGateways();
  void OnLeavingHeard(const LeavingUpstream& aUpstream, std::string_view aFrom);
  void OnDirectoryChange(DirectoryChange aChange, const std::string& aId);
  void OnTakenBack(const std::string& aDataCentre);
  bool IsReady() const;
  std::string WriteMetrics();

  boost::asio::io_context& mContext;
  GatewayState mState;
  GenerationMigrator mMigrator;
  PeerRegistration mRegistration;
  std::unique_ptr<PeerExchange> mPeers;
  StoreView mStore;
  std::unique_ptr<StoreRelay> mRelay;
  std::unique_ptr<UseExchange> mUse;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpServer> mReadyServer;
  std::unique_ptr<HttpServer> mMetricsServer;
  bool mHasUpstreams = false;
  bool mHasDrained = false;
  bool mStopping = false;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_HPP
