#ifndef CACTUSGW_GATEWAY_GATEWAY_PEER_HPP
#define CACTUSGW_GATEWAY_GATEWAY_PEER_HPP

/// How gateways find each other: each registers itself in the store.

#include "cactusgw/core/verdict.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace cactusgw {

struct GatewayPeer
{
  /// The VM's name.
  std::string mName;
  /// Where it listens for other gateways, as `IP:port`.
  std::string mAddress;
  std::string mDataCentre;
  /// What its VM can carry against others: its part of a processor.
  double mCapacity = 0;
};

/// What a gateway needs to register itself. All functions must be set.
struct PeerRegistration
{
  /// Adds or replaces this gateway's registration.
  std::function<boost::asio::awaitable<Result<void>>(GatewayPeer)> mRegister;
  /// Ends it, given the VM's name.
  std::function<boost::asio::awaitable<Result<void>>(std::string)> mWithdraw;
};

} // namespace cactusgw

#endif // CACTUSGW_GATEWAY_GATEWAY_PEER_HPP
