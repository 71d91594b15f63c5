#ifndef CACTUSGW_TUNNEL_TUNNEL_CLIENT_HPP
#define CACTUSGW_TUNNEL_TUNNEL_CLIENT_HPP

/// Opens connections to upstreams through another gateway, the carrier, which
/// passes on the bytes of both directions unread. A carrier connects to the
/// upstream itself and never uses a tunnel for it, so that tunnels form no
/// loops.

#include "cactusgw/core/send_clearance.hpp"
#include "cactusgw/net/http_connection.hpp"

#include <boost/outcome/basic_result.hpp>

#include <memory>
#include <string>

namespace cactusgw {

/// A gateway that offers tunnels.
struct Carrier
{
  /// The VM's name.
  std::string mName;
  /// `IP:port` on which it listens for tunnels.
  std::string mAddress;
  std::string mDataCentre;

  bool operator==(const Carrier&) const = default;
};

/// Why there is no tunnel. No request has been sent in any of these cases.
enum class TunnelFailure
{
  /// The carrier did not respond in time, or not in the protocol.
  CarrierUnreachable,
  /// The carrier has no links to upstreams itself, is stopping, holds as many
  /// tunnels as it may, or does not know this gateway.
  CarrierRefused,
  /// The carrier does not know this start of the upstream.
  UpstreamUnknown,
  /// The carrier could not connect to the upstream.
  UpstreamUnreachable,
};

/// How a tunnel ended, as its carrier saw it.
enum class TunnelEnd
{
  /// The carrier does not respond, or remembers no such tunnel.
  Unknown,
  /// The upstream closed or reset its connection first.
  ClosedByUpstream,
  /// The carrier closed it: it was stopping, or the upstream did not
  /// acknowledge in time.
  ClosedByCarrier,
};

template<typename T>
using TunnelResult = boost::outcome_v2::
  basic_result<T, TunnelFailure, boost::outcome_v2::policy::terminate>;

/// What identifies a tunnel to its carrier.
struct TunnelRequest
{
  /// Name of the VM that asks.
  std::string mFrom;
  /// Not used before by this VM since its process started.
  std::string mToken;
  UpstreamTarget mUpstream;
};

/// The tunnel that a connection goes through.
struct TunnelUse
{
  Carrier mCarrier;
  TunnelRequest mRequest;
  /// Held while the tunnel is open.
  std::shared_ptr<void> mLease;
};

/// Opens a tunnel. What the connection carries then is the upstream's HTTP.
Task<TunnelResult<std::unique_ptr<HttpConnection>>>
OpenTunnel(Carrier aCarrier, TunnelRequest aRequest, Milliseconds aTime);

/// Asks the carrier how a tunnel ended that it carried. The end of a connection
/// alone doesn't tell an upstream that crashed from a carrier that did.
Task<TunnelEnd> AskForTunnelEnd(Carrier aCarrier,
                                TunnelRequest aRequest,
                                Milliseconds aTime);

} // namespace cactusgw

#endif // CACTUSGW_TUNNEL_TUNNEL_CLIENT_HPP
