#ifndef CACTUSGW_GATEWAY_GATEWAY_PEER_HPP
#define CACTUSGW_GATEWAY_GATEWAY_PEER_HPP

/// Gateway discovery: each gateway registers itself in the store.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace cactusgw {

struct GatewayPeer
{
  /// The VM's name.
  std::string mName;
  /// Address on which it listens for other gateways, as `IP:port`.
  std::string mAddress;
  std::string mDataCentre;
  /// Relative capacity of the VM: its share of a processor.
  double mCapacity = 0;
  /// Address on which it listens for tunnels, as `IP:port`; empty if it carries
  /// none, as gateways of earlier releases.
  std::string mTunnelAddress = {};

  bool operator==(const GatewayPeer&) const = default;
};

/// Functions with which a gateway registers itself. All must be set.
struct PeerRegistration
{
  /// Adds or replaces this gateway's registration.
  std::function<boost::asio::awaitable<Result<void>>(GatewayPeer)> mRegister;
  /// Removes the registration, given the VM's name.
  std::function<boost::asio::awaitable<Result<void>>(std::string)> mWithdraw;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_PEER_HPP
