#ifndef CACTUSGW_TUNNEL_GATEWAY_TUNNELS_HPP
#define CACTUSGW_TUNNEL_GATEWAY_TUNNELS_HPP

/// The tunnels of a gateway, those that it uses and those that it carries.

#include "cactusgw/gateway/gateway_peer.hpp"
#include "cactusgw/gateway/gateway_state.hpp"
#include "cactusgw/tunnel/tunnel_server.hpp"
#include "cactusgw/tunnel/upstream_connector.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactusgw {

/// Not thread-safe; lives on one io_context.
class GatewayTunnels
{
public:
  /// Sets the connector of the state. The state must outlive this object.
  GatewayTunnels(boost::asio::io_context& aContext, GatewayState& aState);
  ~GatewayTunnels();
  GatewayTunnels(const GatewayTunnels&) = delete;
  GatewayTunnels& operator=(const GatewayTunnels&) = delete;

  /// Listens for tunnels if the settings state an address. Errors:
  /// InvalidInput.
  Result<void> Listen();

  void SetPeer(const GatewayPeer& aPeer);
  void RemovePeer(const std::string& aName);
  void Tick(Instant aNow);
  /// Whether clients that come now can be served.
  bool HasWay(Instant aNow) const { return mConnector->HasWay(aNow); }
  /// Carries no new tunnels.
  void Drain();
  std::size_t Carried() const { return mServer ? mServer->OpenTunnels() : 0; }

private:
  ConnectorEvents Events();
  TunnelAccess Access();
  std::vector<UpstreamTarget> NextUpstreams(std::size_t aCount);
  void OnLinksLost();
  void OnLinksBack();
  /// Interrupts calls that wait in vain and can go another way.
  void InterruptCalls();

  boost::asio::io_context& mContext;
  GatewayState& mState;
  std::shared_ptr<UpstreamConnector> mConnector;
  std::unique_ptr<TunnelServer> mServer;
  /// Addresses at which gateways are registered, without ports.
  std::map<std::string, std::string, std::less<>> mPeerIps;
  /// The upstream that was probed last.
  std::string mLastProbed;
};

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_GATEWAY_TUNNELS_HPP
